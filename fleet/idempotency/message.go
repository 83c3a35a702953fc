package idempotency

import "chutechute/internal/proto"

// Op is what a command asks for.
type Op uint64

// The commands.
const (
	Register         Op = iota + 1 // a load was taken: note it, or attach to the one that is there
	AuthorizeAttempt               // may this attempt begin?
	Complete                       // its outcome
	Expire                         // by the leader: its time is over for certain
	Forget                         // by the leader: its outcome was kept long enough
	Inspect                        // how it stands, as of this place in the order of commits
	OfferTransfer                  // by the leader: its owner is missing; another is to ask after what was started
	Transfer                       // its owner ends as planned: another is to ask after what was started
)

// Phase is how far a load is.
type Phase uint64

// The phases.
const (
	Unregistered Phase = iota // not noted
	Waiting                   // taken; nothing of it has begun
	Started                   // an attempt may have begun
	Served                    // over, with its rows
	Failed                    // over, and may have run
)

// Finished says whether the load has its outcome.
func (p Phase) Finished() bool { return p >= Served }

func (p Phase) String() string {
	return [...]string{"none", "waiting", "started", "served", "failed"}[min(p, Failed)]
}

// Command is one command on loads. Epoch and Changed tell a stale one.
type Command struct {
	Op                                      Op
	IdempotencyKey, OrderKey, Tenant, Class string
	StatementDigest                         []byte // of the statement
	RequestID                               string
	TTL                                     uint64 // microseconds that its client waits, from before it was asked
	TakeOver                                bool   // take it over where nothing has begun
	Epoch                                   uint64
	Attempt                                 uint64
	Engine                                  string
	Outcome                                 Phase // None: it never ran, and is taken out
	Rows                                    []byte
	ChangedIndex                            uint64
	NewOwner                                uint64 // incarnation, of an Offer
}

// Encode gives the command's bytes.
func (c *Command) Encode() []byte {
	b := make([]byte, 0, 128+len(c.Rows))
	b = proto.Uint(b, 1, uint64(c.Op))
	b = proto.String(b, 2, c.IdempotencyKey)
	b = proto.String(b, 3, c.OrderKey)
	b = proto.String(b, 4, c.Tenant)
	b = proto.String(b, 5, c.Class)
	b = proto.Bytes(b, 6, c.StatementDigest)
	b = proto.String(b, 7, c.RequestID)
	b = proto.Uint(b, 8, c.TTL)
	b = proto.Bool(b, 9, c.TakeOver)
	b = proto.Uint(b, 10, c.Epoch)
	b = proto.Uint(b, 11, c.Attempt)
	b = proto.String(b, 12, c.Engine)
	b = proto.Uint(b, 13, uint64(c.Outcome))
	b = proto.Bytes(b, 14, c.Rows)
	b = proto.Uint(b, 15, c.ChangedIndex)
	return proto.Uint(b, 16, c.NewOwner)
}

// DecodeCommand reads a command.
func DecodeCommand(b []byte) (*Command, error) {
	c := &Command{}
	err := proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			c.Op = Op(f.Uint)
		case 2:
			c.IdempotencyKey = f.Text()
		case 3:
			c.OrderKey = f.Text()
		case 4:
			c.Tenant = f.Text()
		case 5:
			c.Class = f.Text()
		case 6:
			c.StatementDigest = f.Copy()
		case 7:
			c.RequestID = f.Text()
		case 8:
			c.TTL = f.Uint
		case 9:
			c.TakeOver = f.Uint != 0
		case 10:
			c.Epoch = f.Uint
		case 11:
			c.Attempt = f.Uint
		case 12:
			c.Engine = f.Text()
		case 13:
			c.Outcome = Phase(f.Uint)
		case 14:
			c.Rows = f.Copy()
		case 15:
			c.ChangedIndex = f.Uint
		case 16:
			c.NewOwner = f.Uint
		}
		return nil
	})
	return c, err
}

// Status says what became of a command.
type Status uint64

// The statuses.
const (
	OK               Status = iota + 1
	Denied                  // not the owner, of another epoch, or over: see the rest of the view
	Blocked                 // others of its key come first
	Conflict                // the same idempotency key with another statement or key
	CapacityExceeded        // no room for another load and its outcome
	NotFound                // not noted
)

// Response is how a load stands, as the answer to a command on it.
type Response struct {
	Status           Status
	Phase            Phase
	Owner            uint64 // incarnation
	Epoch            uint64
	Index            uint64 // in the order of commits
	FirstOfKey       bool   // nothing of its key stands before it
	OwnerRequestID   string // of the try that its owner holds
	Rows             []byte
	TTL              uint64 // that its client waits, where something was started
	Engine           string // of the last start
	StartedRequestID string // its call
	Class            string
	OrderKey         string
	StatementDigest  []byte
}

// Encode gives the view's bytes.
func (v *Response) Encode() []byte {
	b := make([]byte, 0, 64+len(v.Rows))
	b = proto.Uint(b, 1, uint64(v.Status))
	b = proto.Uint(b, 2, uint64(v.Phase))
	b = proto.Uint(b, 3, v.Owner)
	b = proto.Uint(b, 4, v.Epoch)
	b = proto.Uint(b, 5, v.Index)
	b = proto.Bool(b, 6, v.FirstOfKey)
	b = proto.String(b, 7, v.OwnerRequestID)
	b = proto.Bytes(b, 8, v.Rows)
	b = proto.Uint(b, 9, v.TTL)
	b = proto.String(b, 10, v.Engine)
	b = proto.String(b, 11, v.StartedRequestID)
	b = proto.String(b, 12, v.Class)
	b = proto.String(b, 13, v.OrderKey)
	return proto.Bytes(b, 14, v.StatementDigest)
}

// DecodeResponse reads one.
func DecodeResponse(b []byte) (v Response, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			v.Status = Status(f.Uint)
		case 2:
			v.Phase = Phase(f.Uint)
		case 3:
			v.Owner = f.Uint
		case 4:
			v.Epoch = f.Uint
		case 5:
			v.Index = f.Uint
		case 6:
			v.FirstOfKey = f.Uint != 0
		case 7:
			v.OwnerRequestID = f.Text()
		case 8:
			v.Rows = f.Copy()
		case 9:
			v.TTL = f.Uint
		case 10:
			v.Engine = f.Text()
		case 11:
			v.StartedRequestID = f.Text()
		case 12:
			v.Class = f.Text()
		case 13:
			v.OrderKey = f.Text()
		case 14:
			v.StatementDigest = f.Copy()
		}
		return nil
	})
	return v, err
}
