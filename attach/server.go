package attach

// Server is a control member's part: the home of the front ends attached to it, a replica of all other homes' tables, and the
// source of the view for those that subscribe.
type Server struct {
	// Counters may be read at any time.
	Counters Counters

	cfg  Config
	view *View
}

// NewServer begins with no attached front ends.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg.withDefaults(), view: newView()}
}

// Versions is what goes into the next heartbeat to the other control members: the version of this one's table, and once a
// second those of all tables that it has.
func (s *Server) Versions(now Micros) []byte { return nil }

// PeerVersions takes what Versions gave at another control member, and pulls what is missing here.
func (s *Server) PeerVersions(now Micros, from string, incarnation uint64, b []byte) error { return nil }

// ReceiveControl takes a Pull or Table of a control member.
func (s *Server) ReceiveControl(now Micros, from string, incarnation uint64, kind Kind, body []byte) error {
	return nil
}

// Receive takes a message of an attached front end; after an error the link is to be closed.
func (s *Server) Receive(now Micros, l Link, kind Kind, body []byte) error { return nil }

// Linked says that an attached front end has proven itself over a new link.
func (s *Server) Linked(now Micros, l Link) {}

// Unlinked says that such a link is closed.
func (s *Server) Unlinked(now Micros, l Link) {}

// Refused says that the queue of the link to that process was full. What waits there is to be dropped; the process resumes by
// its next heartbeat.
func (s *Server) Refused(now Micros, name string, incarnation uint64) {}

// Tick lets time pass; controls are the other control members as package member sees them now.
func (s *Server) Tick(now Micros, controls []ControlMember) {}

// Leave says that this control member ends as planned: its attached front ends are told so and go elsewhere.
func (s *Server) Leave() {}

// Actions gives what is to be sent, and forgets it.
func (s *Server) Actions() []Message { return nil }

// Close gives the links that are to be closed, and forgets them: of a replaced process, or after bad input.
func (s *Server) Close() []Link { return nil }

// View is the merged view. It changes with the calls above.
func (s *Server) View() *View { return s.view }

// HomeOf is the control member that has a link to that process of an attached front end now, as far as is known here.
func (s *Server) HomeOf(incarnation uint64) (control string, ok bool) { return "", false }
