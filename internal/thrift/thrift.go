// Package thrift decodes and encodes the messages of the Front service, which uses Thrift's framed transport with the
// strict binary protocol. It does no input or output itself.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"chutechute/internal/ring"
)

// Sizes of messages in bytes.
const (
	MaxFrame   = 256 << 10 // maximum size of a frame
	LengthSize = 4         // size of the length that precedes each frame
)

// Methods of the service.
const (
	MethodCall   = "call"
	MethodCancel = "cancel"
	MethodHealth = "health"
)

// Fields of a call.
const (
	FieldClass          = "op"
	FieldID             = "call"
	FieldTimeout        = "ttl" // in milliseconds
	FieldTenant         = "org"
	FieldIdempotencyKey = "dedupe"
	FieldWork           = "work" // estimated, in milliseconds on one core
	FieldMemory         = "mb"   // estimated, in megabytes
	FieldOrderKey       = "row"
	FieldToken          = "token"
)

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
	version   = 0x80010000 // of the strict binary protocol
	maxDepth  = 16         // nesting levels of a skipped value
	maxFields = 256        // of one request

	minFrame = 12 // bytes of a message without a name and arguments
)

// Kinds of application exceptions.
const (
	UnknownMethod = 1
	InternalError = 6
	ProtocolError = 7
)

// Exception reports a message that can't be processed, while the frames after it can. Its sender gets an application
// exception.
type Exception struct {
	Seq  int32
	Name string
	Kind int32
	Text string
}

func (e *Exception) Error() string { return "thrift: " + e.Name + ": " + e.Text }

// Message is a method call from a client: call, cancel or health.
type Message struct {
	Name   string
	Seq    int32
	Fields map[string]string // of call: those of callFields
	Body   []byte            // of call
	Target int32             // of cancel: sequence number of the call to cancel

	size int
}

// Size returns the size of the message's frame in bytes.
func (m *Message) Size() int { return m.size }

// callFields are the fields of a call that are kept. Any others are skipped: a client may send hundreds, and each kept
// one takes much more memory than its bytes in the frame.
var callFields = []string{
	FieldClass, FieldID, FieldTimeout, FieldTenant, FieldIdempotencyKey, FieldWork, FieldMemory, FieldOrderKey,
	FieldToken,
}

// ErrFrame reports bytes that are not a frame of the strict binary protocol. The connection has to be closed.
var ErrFrame = errors.New("thrift: not a frame of the strict binary protocol")

// NextSize returns the size of the next message's frame, as its sender claims; 0 if its length is not received yet.
func NextSize(in *ring.Buffer) int {
	if in.Len() < LengthSize {
		return 0
	}
	return LengthSize + int(binary.BigEndian.Uint32(in.Bytes()))
}

// Next removes the next message from the input buffer. ok is false while it is incomplete. After an *Exception the
// connection stays usable; after any other error it has to be closed.
func Next(in *ring.Buffer) (m Message, ok bool, err error) { return next(in, true) }

// NextHeader is Next, but leaves out the arguments of a call, so that it takes no memory for them.
func NextHeader(in *ring.Buffer) (m Message, ok bool, err error) { return next(in, false) }

func next(in *ring.Buffer, keepArguments bool) (m Message, ok bool, err error) {
	if in.Len() < LengthSize {
		return m, false, nil
	}
	data := in.Bytes()
	size := binary.BigEndian.Uint32(data)
	if size > MaxFrame || size < minFrame {
		return m, false, fmt.Errorf("%w: length %d", ErrFrame, size)
	}
	end := LengthSize + int(size)
	if len(data) < end {
		return m, false, nil
	}
	m, err = parse(data[LengthSize:end], keepArguments)
	m.size = end
	in.Discard(end)
	return m, err == nil, err
}

// parse parses the payload of a frame. Arguments that are unknown or of another type than expected are skipped.
func parse(frame []byte, keepArguments bool) (Message, error) {
	r := &reader{data: frame}
	head := uint32(r.i32())
	name := r.text()
	m := Message{Name: name, Seq: r.i32()}
	kind := head & 0xff
	if r.malformed || head&0xffffff00 != version || kind != typeCall && kind != typeOneway {
		return m, ErrFrame
	}
	var handleField func(id int16, kind byte) bool
	switch name {
	case MethodCall:
		handleField = func(id int16, kind byte) bool {
			switch {
			case !keepArguments:
				return false
			case id == 1 && kind == tMap:
				m.Fields = r.fields()
			case id == 2 && kind == tString:
				m.Body = append([]byte(nil), r.bytes()...)
			default:
				return false
			}
			return true
		}
	case MethodCancel:
		handleField = func(id int16, kind byte) bool {
			if id != 1 || kind != tI32 {
				return false
			}
			m.Target = r.i32()
			return true
		}
	case MethodHealth:
		handleField = func(int16, byte) bool { return false }
	default:
		return m, &Exception{m.Seq, name, UnknownMethod, "unknown method"}
	}
	r.structure(maxDepth, handleField)
	if r.malformed {
		return m, &Exception{m.Seq, name, ProtocolError, "unreadable arguments"}
	}
	return m, nil
}

// reader decodes the values of a frame one after the other. After the first malformed value, malformed stays set and
// all values are zero.
type reader struct {
	data      []byte
	malformed bool
}

// take removes the next n bytes.
func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.data) {
		r.malformed, r.data = true, nil
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

// fields decodes a map of strings to strings, and returns the entries whose keys are in callFields.
func (r *reader) fields() map[string]string {
	key, value, n := r.byte(), r.byte(), r.i32()
	if n < 0 || n > maxFields || n > 0 && (key != tString || value != tString) {
		r.malformed = true
		return nil
	}
	m := make(map[string]string, min(int(n), len(callFields)))
	for ; n > 0 && !r.malformed; n-- {
		name, value := r.bytes(), r.bytes()
		if i := slices.IndexFunc(callFields, func(known string) bool { return known == string(name) }); i >= 0 {
			m[callFields[i]] = string(value)
		}
	}
	return m
}

// structure decodes the fields of a struct with handleField, which returns false for fields to skip.
func (r *reader) structure(depth int, handleField func(id int16, kind byte) bool) {
	for !r.malformed {
		kind := r.byte()
		if r.malformed || kind == tStop {
			return
		}
		if id := r.i16(); handleField == nil || !handleField(id, kind) {
			r.skip(kind, depth)
		}
	}
}

// skip skips a value that has at most depth levels of nesting.
func (r *reader) skip(kind byte, depth int) {
	if depth == 0 {
		r.malformed = true
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
		for ; n > 0 && !r.malformed; n-- {
			r.skip(k, depth-1)
			r.skip(v, depth-1)
		}
	case tSet, tList:
		k, n := r.byte(), r.i32()
		for ; n > 0 && !r.malformed; n-- {
			r.skip(k, depth-1)
		}
	default:
		r.malformed = true
	}
}
