package replication

import "chutechute/internal/proto"

// Command is one entry of the record.
type Command struct {
	StateMachine uint32
	Version      uint32
	Proposer     Incarnation
	Sequence     uint64 // of the asker's question; its answer carries it
	Body         []byte
}

// Encode gives the command's bytes.
func (c Command) Encode() []byte {
	b := make([]byte, 0, len(c.Body)+32)
	b = proto.Uint(b, 1, uint64(c.StateMachine))
	b = proto.Uint(b, 2, uint64(c.Version))
	b = proto.Uint(b, 3, uint64(c.Proposer))
	b = proto.Uint(b, 4, c.Sequence)
	return proto.Bytes(b, 5, c.Body)
}

// DecodeCommand reads one.
func DecodeCommand(b []byte) (c Command, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			c.StateMachine = uint32(f.Uint)
		case 2:
			c.Version = uint32(f.Uint)
		case 3:
			c.Proposer = Incarnation(f.Uint)
		case 4:
			c.Sequence = f.Uint
		case 5:
			c.Body = f.Data
		}
		return nil
	})
	return c, err
}

// Response is what a copy tells who asked.
type Response struct {
	Sequence uint64
	Result   Result
	Leader   uint64 // the copy to ask instead, with NotLeader
	Body     []byte
}

// Result says what became of a question.
type Result uint64

// The results.
const (
	Committed   Result = iota + 1
	NotLeader          // ask elsewhere; nothing is known of what became of it
	Busy               // not taken, as too much is under way
	Unsupported        // of a kind or version that the copy does not know
)

// Encode gives the answer's bytes.
func (a Response) Encode() []byte {
	b := make([]byte, 0, len(a.Body)+32)
	b = proto.Uint(b, 1, a.Sequence)
	b = proto.Uint(b, 2, uint64(a.Result))
	b = proto.Uint(b, 3, a.Leader)
	return proto.Bytes(b, 4, a.Body)
}

// DecodeResponse reads one; its body is the reader's own.
func DecodeResponse(b []byte) (a Response, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			a.Sequence = f.Uint
		case 2:
			a.Result = Result(f.Uint)
		case 3:
			a.Leader = f.Uint
		case 4:
			a.Body = f.Copy()
		}
		return nil
	})
	return a, err
}
