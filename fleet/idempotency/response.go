package idempotency

import (
	"fmt"

	"chutechute/internal/fieldcodec"
)

// Status is the result of a command.
type Status uint64

// The statuses.
const (
	OK               Status = iota + 1 // done
	Denied                             // not the owner, another epoch, or finished: the rest of the response says
	Blocked                            // other requests of its order key are first
	Conflict                           // the idempotency key was used with another statement, order key or class
	CapacityExceeded                   // no capacity for another record and its outcome
	NotFound                           // the registry has no such record
)

// encodedResponseBytes is the capacity with which the encoding of a response begins, besides its rows.
const encodedResponseBytes = 64

// Response is the state of a record after a command. The fields from TTL on are set only for a started request.
type Response struct {
	Status         Status
	Phase          Phase
	Owner          uint64 // incarnation; 0 while the record has no owner
	Epoch          uint64
	Index          uint64 // the log index of the registration, which is its place in the order of commits
	FirstInQueue   bool   // no request of its order key is before it
	OwnerRequestID string // the request that the owner registered
	Rows           []byte // of a served request

	ClientTimeout    uint64 // microseconds that the client waits
	Engine           string // of the last attempt
	StartedRequestID string // the request whose last attempt it is
	Class            string
	OrderKey         string
	StatementDigest  []byte
}

// fields lists the fields of a response for both directions.
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

// Encode returns the response's bytes.
func (r *Response) Encode() []byte {
	f := fieldcodec.Encode(make([]byte, 0, encodedResponseBytes+len(r.Rows)))
	r.fields(&f)
	return f.Bytes()
}

// DecodeResponse decodes the bytes of a response. The error wraps fieldcodec.ErrMalformed; the response then has the
// fields that were decoded before.
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
