// Package thrift reads and writes the messages of the Front service: Thrift's
// framed transport with the strict binary protocol. It is fed bytes and knows no socket.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"

	"chutechute/internal/ring"
)

// MaxFrame is the longest frame that is taken.
const MaxFrame = 256 << 10

// Types of messages.
const (
	typeCall      = 1
	typeReply     = 2
	typeException = 3
	typeOneway    = 4
)

// Types of values.
const (
	tStop   = 0
	tBool   = 2
	tByte   = 3
	tDouble = 4
	tI16    = 6
	tI32    = 8
	tI64    = 10
	tString = 11
	tStruct = 12
	tMap    = 13
	tSet    = 14
	tList   = 15
	tUUID   = 16
)

const (
	version  = 0x80010000
	deepest  = 16  // structures within structures
	mostKeys = 256 // fields of one request
)

// Kinds of application exceptions.
const (
	UnknownMethod = 1
	InternalError = 6
	ProtocolError = 7
)

// Exception is a message that can't be used on a connection that still can: its sender gets an
// application exception.
type Exception struct {
	Seq  int32
	Name string
	Kind int32
	Text string
}

func (e *Exception) Error() string { return "thrift: " + e.Name + ": " + e.Text }

// Message is a call from a client.
type Message struct {
	Name   string
	Seq    int32
	Fields map[string]string // of call
	Body   []byte            // of call
	Target int32             // of cancel: the call that it names
}

// ErrFrame says that the stream holds no frame of ours: the connection has to end.
var ErrFrame = errors.New("thrift: not a frame of the strict binary protocol")

// Next takes the next whole message from what has come; ok is false until there is one. After an
// *Exception the connection can go on, after any other error it can't.
func Next(in *ring.Buffer) (m Message, ok bool, err error) {
	if in.Len() < 4 {
		return m, false, nil
	}
	data := in.Bytes()
	size := binary.BigEndian.Uint32(data)
	if size > MaxFrame || size < 12 {
		return m, false, fmt.Errorf("%w: length %d", ErrFrame, size)
	}
	if len(data) < 4+int(size) {
		return m, false, nil
	}
	m, err = parse(data[4 : 4+size])
	in.Discard(4 + int(size))
	return m, err == nil, err
}

func parse(frame []byte) (Message, error) {
	r := &reader{data: frame}
	head := uint32(r.i32())
	name := r.text()
	m := Message{Name: name, Seq: r.i32()}
	kind := head & 0xff
	if r.bad || head&0xffffff00 != version || kind != typeCall && kind != typeOneway {
		return m, ErrFrame
	}
	var use func(id int16, kind byte) bool
	switch name {
	case "call":
		use = func(id int16, kind byte) bool {
			switch {
			case id == 1 && kind == tMap:
				m.Fields = r.fields()
			case id == 2 && kind == tString:
				m.Body = append([]byte(nil), r.bytes()...)
			default:
				return false
			}
			return true
		}
	case "cancel":
		use = func(id int16, kind byte) bool {
			if id != 1 || kind != tI32 {
				return false
			}
			m.Target = r.i32()
			return true
		}
	case "health":
		use = func(int16, byte) bool { return false }
	default:
		return m, &Exception{m.Seq, name, UnknownMethod, "unknown method"}
	}
	r.structure(deepest, use)
	if r.bad {
		return m, &Exception{m.Seq, name, ProtocolError, "unreadable arguments"}
	}
	return m, nil
}

// reader takes values off a frame; once something does not fit, bad stays set and all else is zero.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.data) {
		r.bad, r.data = true, nil
		return nil
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) i16() int16 {
	if b := r.take(2); b != nil {
		return int16(binary.BigEndian.Uint16(b))
	}
	return 0
}

func (r *reader) i32() int32 {
	if b := r.take(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

func (r *reader) bytes() []byte { return r.take(int(r.i32())) }
func (r *reader) text() string  { return string(r.bytes()) }

func (r *reader) fields() map[string]string {
	key, value, n := r.byte(), r.byte(), r.i32()
	if n < 0 || n > mostKeys || n > 0 && (key != tString || value != tString) {
		r.bad = true
		return nil
	}
	m := make(map[string]string, n)
	for ; n > 0 && !r.bad; n-- {
		k := r.text()
		m[k] = r.text()
	}
	return m
}

// structure reads a structure's fields; what use does not take is skipped.
func (r *reader) structure(depth int, use func(id int16, kind byte) bool) {
	for !r.bad {
		kind := r.byte()
		if r.bad || kind == tStop {
			return
		}
		if id := r.i16(); use == nil || !use(id, kind) {
			r.skip(kind, depth)
		}
	}
}

func (r *reader) skip(kind byte, depth int) {
	if depth == 0 {
		r.bad = true
		return
	}
	switch kind {
	case tBool, tByte:
		r.take(1)
	case tI16:
		r.take(2)
	case tI32:
		r.take(4)
	case tI64, tDouble:
		r.take(8)
	case tUUID:
		r.take(16)
	case tString:
		r.bytes()
	case tStruct:
		r.structure(depth-1, nil)
	case tMap:
		k, v, n := r.byte(), r.byte(), r.i32()
		for ; n > 0 && !r.bad; n-- {
			r.skip(k, depth-1)
			r.skip(v, depth-1)
		}
	case tSet, tList:
		k, n := r.byte(), r.i32()
		for ; n > 0 && !r.bad; n-- {
			r.skip(k, depth-1)
		}
	default:
		r.bad = true
	}
}
