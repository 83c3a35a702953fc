package attach

// Client is an attached front end's part.
type Client struct {
	// Counters may be read at any time.
	Counters Counters

	cfg  Config
	view *View
}

// NewClient begins without links and with an empty view.
func NewClient(cfg Config) *Client { return &Client{cfg: cfg.withDefaults(), view: newView()} }

// Targets is the control members to keep links with now; links to others are to be closed. They are two, for a while three
// where this front end returns to its zone's, and fewer where there are no more or during the pause after a loss.
func (c *Client) Targets(now Micros) []string { return nil }

// Linked says that a link to that process of a control member is open.
func (c *Client) Linked(now Micros, control string, incarnation uint64) {}

// Unlinked says that the link to a control member is closed, or could not be opened.
func (c *Client) Unlinked(now Micros, control string) {}

// Receive takes a message of a control member; after an error the link is to be closed.
func (c *Client) Receive(now Micros, control string, incarnation uint64, kind Kind, body []byte) error {
	return nil
}

// Tick lets time pass. It is to be called no later than Next says, and may be called more often.
func (c *Client) Tick(now Micros) {}

// Next is when Tick has something to do.
func (c *Client) Next() Micros { return 0 }

// Leave says that this front end ends as planned, which the next heartbeats tell.
func (c *Client) Leave() {}

// Actions gives what is to be sent, and forgets it.
func (c *Client) Actions() []Message { return nil }

// Home is the control member that serves this front end's view and forwards for it; empty without one.
func (c *Client) Home() string { return "" }

// View is the view as last received. It changes with the calls above.
func (c *Client) View() *View { return c.view }
