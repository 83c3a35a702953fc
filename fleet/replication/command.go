package replication

import "chutechute/internal/fieldcodec"

// encodingOverhead is the usual encoded size of the fields of a Command or Response without the body, in bytes.
const encodingOverhead = 32

// Command is a command to a state machine, and an entry of the replicated log.
type Command struct {
	// StateMachineID is the ID of the state machine that applies the command.
	StateMachineID uint32
	// Version is the version of the body's encoding.
	Version uint32
	// Proposer is the process that proposed the command; 0 for a command that the leader proposed by itself.
	Proposer Incarnation
	// Sequence is the number that the proposer gave the proposal. The response repeats it.
	Sequence uint64
	// Body is the command in the state machine's own encoding.
	Body []byte
}

func (c *Command) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &c.StateMachineID)
	fieldcodec.Uint(f, 2, &c.Version)
	fieldcodec.Uint(f, 3, &c.Proposer)
	fieldcodec.Uint(f, 4, &c.Sequence)
	f.Shared(5, &c.Body)
}

// Encode returns the command's encoding.
func (c Command) Encode() []byte {
	f := fieldcodec.Encode(make([]byte, 0, len(c.Body)+encodingOverhead))
	c.fields(&f)
	return f.Bytes()
}

// DecodeCommand decodes a command. Its body is a part of b.
func DecodeCommand(b []byte) (c Command, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		c.fields(&f)
	}
	return c, f.Err()
}

// Response is a replica's response to a proposed command.
type Response struct {
	// Sequence is the number that the proposer gave the command.
	Sequence uint64
	// Result reports whether the command was committed, and if not, why.
	Result Result
	// Leader is the replica ID of the leader as known to the replica that rejects the proposal; 0 if it knows none.
	Leader uint64
	// Body is the state machine's response, if the command was committed.
	Body []byte
}

// Result is the result of proposing a command.
type Result uint64

// The results of a proposal.
const (
	// Committed is the result of a command that was committed and applied.
	Committed Result = iota + 1
	// NotLeader is the result of a proposal to a replica that is not the leader. It does not say whether the command
	// is committed; it should be proposed to another replica.
	NotLeader
	// Busy is the result of a command that was not accepted, because too many proposed bytes are not committed yet or
	// because a leader transfer is in progress.
	Busy
	// Unsupported is the result of a command for a state machine, or in a version, that the replica does not support.
	Unsupported
)

func (r *Response) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &r.Sequence)
	fieldcodec.Uint(f, 2, &r.Result)
	fieldcodec.Uint(f, 3, &r.Leader)
	f.Copied(4, &r.Body)
}

// Encode returns the response's encoding.
func (r Response) Encode() []byte {
	f := fieldcodec.Encode(make([]byte, 0, len(r.Body)+encodingOverhead))
	r.fields(&f)
	return f.Bytes()
}

// DecodeResponse decodes a response. Its body is a copy.
func DecodeResponse(b []byte) (r Response, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		r.fields(&f)
	}
	return r, f.Err()
}
