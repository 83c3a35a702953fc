// Package peer is the link between two front ends: frames, the hello that names and proves both sides, and the queues of
// what is to be sent. It is fed bytes and knows no socket. A link carries messages one way, from who dialled to who listens,
// so that two front ends have two and each direction can fail alone.
//
// Nothing rests on a link's order or on its delivering: a message may be lost with its connection, come late or come twice.
package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Kind says what a frame carries.
type Kind byte

// The kinds. Challenge, Hello and Welcome open a link.
const (
	Challenge Kind = iota + 1
	Hello
	Welcome
	ControlHeartbeat // who is there, as the sender sees it
	Replication      // between copies of the record
	Proposal
	Response
	Notification
	Bootstrap
	Relay // one of the others, by way of a third
	// Of front ends that are attached to control members; see package attach.
	AttachedHeartbeat // of an attached front end
	ViewUpdate        // to an attached front end
	TablePull         // asks a control member for a table
	TableUpdate       // of one control member's attached front ends
	Forward           // for the record or from it, by way of an attached front end's control member
	kinds
)

func (k Kind) String() string {
	if k == 0 || k >= kinds {
		return "unknown"
	}
	return [...]string{"", "challenge", "hello", "welcome", "status", "ledger", "ask", "answer", "note", "found", "relay",
		"heartbeat", "view", "pull", "table", "forward"}[k]
}

const (
	header = 10 // length:4 kind:1 flags:1 offset:4
	// MaxFrameBody is the most that one frame carries; longer messages go in parts.
	MaxFrameBody = 64 << 10
	flagsAt      = 5
	moreFlag     = 1
)

// Errors of a peer that does not keep to the form; the link is closed.
var (
	ErrFrameLength     = errors.New("peer: a length out of range")
	ErrUnknownKind     = errors.New("peer: an unknown kind of frame")
	ErrFragmentOrder   = errors.New("peer: parts that do not follow one another")
	ErrUnexpectedFrame = errors.New("peer: a frame before the hello")
)

// AppendFrame adds a frame with a part of a message.
func AppendFrame(b []byte, kind Kind, offset int, more bool, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+header-4))
	flags := byte(0)
	if more {
		flags = moreFlag
	}
	b = append(b, byte(kind), flags)
	b = binary.BigEndian.AppendUint32(b, uint32(offset))
	return append(b, body...)
}

// Reader puts messages together again from the bytes of one link.
type Reader struct {
	// MaxMessage is how long a message may be.
	MaxMessage int
	buf        []byte
	parts      [kinds][]byte
}

// Feed adds bytes that have come.
func (r *Reader) Feed(b []byte) { r.buf = append(r.buf, b...) }

// Next gives the next whole message; ok is false where more bytes are needed. Its body is the caller's own.
func (r *Reader) Next() (kind Kind, body []byte, ok bool, err error) {
	for {
		if len(r.buf) < header {
			return 0, nil, false, nil
		}
		size := int(binary.BigEndian.Uint32(r.buf)) - (header - 4)
		if size < 0 || size > MaxFrameBody {
			return 0, nil, false, fmt.Errorf("%w: %d", ErrFrameLength, size)
		}
		kind = Kind(r.buf[4])
		if kind == 0 || kind >= kinds {
			return 0, nil, false, fmt.Errorf("%w: %d", ErrUnknownKind, kind)
		}
		if len(r.buf) < header+size {
			return 0, nil, false, nil
		}
		more, offset := r.buf[flagsAt]&moreFlag != 0, int(binary.BigEndian.Uint32(r.buf[6:]))
		part := append([]byte(nil), r.buf[header:header+size]...)
		r.buf = r.buf[header+size:]
		if len(r.buf) == 0 {
			r.buf = nil
		}
		have := r.parts[kind]
		switch {
		case offset == 0 && !more:
			return kind, part, true, nil
		case offset == 0 && len(have) == 0:
		case offset < len(have):
			continue // it came twice
		case offset != len(have):
			return 0, nil, false, fmt.Errorf("%w: %s", ErrFragmentOrder, kind)
		}
		if offset+len(part) > r.MaxMessage {
			return 0, nil, false, fmt.Errorf("%w: a message of over %d", ErrFrameLength, r.MaxMessage)
		}
		have = append(have, part...)
		if more {
			r.parts[kind] = have
			continue
		}
		r.parts[kind] = nil
		return kind, have, true, nil
	}
}
