package idempotency

import (
	"fmt"

	"chutechute/internal/fieldcodec"
)

// Op is the operation of a command.
type Op uint64

// The operations. Those marked "by the leader" come from DueCommands, the others from front ends.
const (
	Register         Op = iota + 1 // register a request, or join the record that exists
	AuthorizeAttempt               // authorize an attempt to start
	Complete                       // commit the outcome, or remove a request that did not run
	Expire                         // by the leader: end a request whose attempts can no longer run
	Evict                          // by the leader: remove a record whose outcome was retained long enough
	Inspect                        // return the state of the record as of the command's log index
	OfferTransfer                  // by the leader: have another front end poll for a started request
	Transfer                       // give up a started request, as the owner shuts down, for an OfferTransfer
)

// encodedCommandBytes is the initial capacity of the buffer for an encoded command without its rows.
const encodedCommandBytes = 128

// Command is one command on a record. Stale commands are detected by their Epoch (commands of an owner) or by their
// ChangedIndex (commands of the leader).
type Command struct {
	Op              Op
	IdempotencyKey  string
	OrderKey        string // identifies the queue of the request; empty if it has none
	Tenant          string
	Class           string
	StatementDigest []byte
	RequestID       string
	ClientTimeout   uint64 // microseconds that the client still waits, counted from before the proposal
	TakeOver        bool   // Register: make the proposer the owner if no attempt was authorized
	Epoch           uint64 // the epoch in which the proposer became the owner
	Attempt         uint64 // AuthorizeAttempt: the number of the attempt
	Engine          string // AuthorizeAttempt: the engine of the attempt
	Outcome         Phase  // Complete: Served, Failed, or Unregistered to remove a request that never ran
	Rows            []byte // Complete: the rows of a served request
	ChangedIndex    uint64 // commands of the leader: the log index of the record's last change known to it
	NewOwner        uint64 // OfferTransfer: the incarnation of the new owner
}

// fields encodes or decodes the fields of a command.
func (c *Command) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &c.Op)
	f.String(2, &c.IdempotencyKey)
	f.String(3, &c.OrderKey)
	f.String(4, &c.Tenant)
	f.String(5, &c.Class)
	f.Copied(6, &c.StatementDigest)
	f.String(7, &c.RequestID)
	fieldcodec.Uint(f, 8, &c.ClientTimeout)
	f.Bool(9, &c.TakeOver)
	fieldcodec.Uint(f, 10, &c.Epoch)
	fieldcodec.Uint(f, 11, &c.Attempt)
	f.String(12, &c.Engine)
	fieldcodec.Uint(f, 13, &c.Outcome)
	f.Copied(14, &c.Rows)
	fieldcodec.Uint(f, 15, &c.ChangedIndex)
	fieldcodec.Uint(f, 16, &c.NewOwner)
}

// Encode returns the encoded command.
func (c *Command) Encode() []byte {
	f := fieldcodec.Encode(make([]byte, 0, encodedCommandBytes+len(c.Rows)))
	c.fields(&f)
	return f.Bytes()
}

// DecodeCommand decodes a command. The error wraps fieldcodec.ErrMalformed; the command then has the fields decoded
// before the malformed one.
func DecodeCommand(b []byte) (*Command, error) {
	c := &Command{}
	f := fieldcodec.Decode(b)
	for f.Next() {
		c.fields(&f)
	}
	if err := f.Err(); err != nil {
		return c, fmt.Errorf("idempotency: decode command: %w", err)
	}
	return c, nil
}
