package idempotency

import (
	"fmt"

	"chutechute/internal/fieldcodec"
)

// Op is what a command asks for.
type Op uint64

// The commands. Those "by the leader" come from DueCommands, the others from front ends.
const (
	Register         Op = iota + 1 // register a request, or join the record that exists
	AuthorizeAttempt               // authorize an attempt to start
	Complete                       // commit the outcome, or remove a request that did not run
	Expire                         // by the leader: no attempt of the request can run any more
	Evict                          // by the leader: the outcome was retained long enough, evict the record
	Inspect                        // return the record, as of this place in the order of commits
	OfferTransfer                  // by the leader: the owner is unreachable, another front end polls what was started
	Transfer                       // the owner shuts down: another front end is to poll what was started
)

// encodedCommandBytes is the capacity with which the encoding of a command begins, besides its rows.
const encodedCommandBytes = 128

// Command is one command on a record. A stale command shows by its Epoch (commands of an owner) or by its ChangedIndex
// (commands of the leader).
type Command struct {
	Op              Op
	IdempotencyKey  string
	OrderKey        string // names the queue of the request; empty without one
	Tenant          string
	Class           string
	StatementDigest []byte
	RequestID       string
	ClientTimeout   uint64 // microseconds that the client waits, from before the command was proposed
	TakeOver        bool   // Register: become the owner if no attempt was authorized
	Epoch           uint64 // the epoch in which the proposer believes to be the owner
	Attempt         uint64 // AuthorizeAttempt: the number of the attempt
	Engine          string // AuthorizeAttempt: where the attempt is to run
	Outcome         Phase  // Complete: Served, Failed, or Unregistered for a request that never ran and is removed
	Rows            []byte // Complete: the rows of a served request
	ChangedIndex    uint64 // commands of the leader: the log index of the record's last change that it saw
	NewOwner        uint64 // OfferTransfer: the incarnation of the new owner
}

// fields lists the fields of a command for both directions.
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

// Encode returns the command's bytes.
func (c *Command) Encode() []byte {
	f := fieldcodec.Encode(make([]byte, 0, encodedCommandBytes+len(c.Rows)))
	c.fields(&f)
	return f.Bytes()
}

// DecodeCommand decodes the bytes of a command. The error wraps fieldcodec.ErrMalformed; the command then has the
// fields that were decoded before.
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
