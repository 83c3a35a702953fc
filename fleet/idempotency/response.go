package idempotency

import (
	"fmt"

	"chutechute/internal/fieldcodec"
)

// Status is the result of a command.
type Status uint64

// The statuses.
const (
	OK               Status = iota + 1 // the command was applied
	Denied                             // not the owner, another epoch, finished, or an invalid outcome
	Blocked                            // the request is not the first of its order key
	Conflict                           // the idempotency key was used with another statement, order key or class
	CapacityExceeded                   // the limit on the size of all records is reached
	NotFound                           // the registry has no record of the idempotency key
)

// encodedResponseBytes is the initial capacity of the buffer for an encoded response without its rows.
const encodedResponseBytes = 64

// Response is the state of a record after a command. ClientTimeout and the fields after it are set only in the phase
// Started.
type Response struct {
	Status         Status
	Phase          Phase
	Owner          uint64 // incarnation of the owner; 0 while the record has none
	Epoch          uint64
	Index          uint64 // log index of the registration, by which requests of one order key are ordered
	FirstInQueue   bool   // whether no request of the same order key precedes it
	OwnerRequestID string // the ID of the request that the owner registered
	Rows           []byte // of a served request

	ClientTimeout    uint64 // microseconds that the client waits
	Engine           string // of the last attempt
	StartedRequestID string // the ID of the request that the last attempt was authorized for
	Class            string
	OrderKey         string
	StatementDigest  []byte
}

// fields encodes or decodes the fields of a response.
func (r *Response) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &r.Status)
	fieldcodec.Uint(f, 2, &r.Phase)
	fieldcodec.Uint(f, 3, &r.Owner)
	fieldcodec.Uint(f, 4, &r.Epoch)
	fieldcodec.Uint(f, 5, &r.Index)
	f.Bool(6, &r.FirstInQueue)
	f.String(7, &r.OwnerRequestID)
	f.Copied(8, &r.Rows)
	fieldcodec.Uint(f, 9, &r.ClientTimeout)
	f.String(10, &r.Engine)
	f.String(11, &r.StartedRequestID)
	f.String(12, &r.Class)
	f.String(13, &r.OrderKey)
	f.Copied(14, &r.StatementDigest)
}

// Encode returns the encoded response.
func (r *Response) Encode() []byte {
	f := fieldcodec.Encode(make([]byte, 0, encodedResponseBytes+len(r.Rows)))
	r.fields(&f)
	return f.Bytes()
}

// DecodeResponse decodes a response. The error wraps fieldcodec.ErrMalformed; the response then has the fields decoded
// before the malformed one.
func DecodeResponse(b []byte) (r Response, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		r.fields(&f)
	}
	if err := f.Err(); err != nil {
		return r, fmt.Errorf("idempotency: decode response: %w", err)
	}
	return r, nil
}
