// Package fieldcodec encodes and decodes protobuf messages from one description of their fields. A message has a
// method that lists its fields once, in the order in which they are encoded; the same method serves both
// directions:
//
//	func (r *report) fields(f *fieldcodec.Fields) {
//		f.String(1, &r.Name)
//		fieldcodec.Uint(f, 2, &r.Incarnation)
//	}
//
//	func (r *report) encode() []byte {
//		f := fieldcodec.Encode(nil)
//		r.fields(&f)
//		return f.Bytes()
//	}
//
//	func decodeReport(b []byte) (r report, err error) {
//		f := fieldcodec.Decode(b)
//		for f.Next() {
//			r.fields(&f)
//		}
//		return r, f.Err()
//	}
//
// Decoding calls the method once for each field of the input, and only the line with that field's number decodes it.
// A field with an unknown number is skipped, so that a later version may add fields. Fields with a zero value are not
// encoded, unless a function's documentation says otherwise. The wire format is that of
// https://protobuf.dev/programming-guides/encoding/.
package fieldcodec

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed says that the input is not a protobuf message.
var ErrMalformed = errors.New("fieldcodec: malformed message")

// Unsigned is a constraint for types that are encoded as an unsigned number.
type Unsigned interface {
	~uint8 | ~uint32 | ~uint64
}

// Integer is a constraint for signed types whose values are never negative on the wire, such as times and amounts.
type Integer interface {
	~int | ~int64
}

// Fields is the field list of one message while it is encoded or decoded.
//
// While a message is decoded, the methods for all of its fields are called each time that one field is read. They are
// therefore small enough to be inlined: they compare the number and leave encoding to functions that are not inlined.
type Fields struct {
	encoding bool
	output   []byte           // encoding: the bytes so far
	input    []byte           // decoding: the whole message
	next     int              // decoding: the offset of the next field in input
	number   protowire.Number // decoding: of the current field; encoding: 0, which no field has
	value    uint64           // decoding: the value of the current field, if it is a number
	start    int              // decoding: the offset of the current field's bytes in input; 0 if it is a number
	end      int              // decoding: the offset of the end of these bytes
	err      error
}

// Encode begins to encode a message. Its fields are appended to b.
func Encode(b []byte) Fields { return Fields{encoding: true, output: b} }

// Decode begins to decode a message. Next moves to its first field.
func Decode(b []byte) Fields { return Fields{input: b} }

// Bytes returns the encoded message.
func (f *Fields) Bytes() []byte { return f.output }

// Err returns ErrMalformed, the error that was passed to Fail, or nil.
func (f *Fields) Err() error { return f.err }

// Fail sets the error that Err returns, unless it is already set, and so ends decoding.
func (f *Fields) Fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// Next moves to the next field of the input. It returns false at the end and after an error. It stores offsets instead
// of slices, because storing a pointer costs more while the garbage collector is marking.
func (f *Fields) Next() bool {
	for f.next < len(f.input) && f.err == nil {
		number, kind, size := consumeTag(f.input[f.next:])
		if size < 0 {
			f.Fail(ErrMalformed)
			return false
		}
		f.number = number
		start := f.next + size
		var data []byte
		switch kind {
		case protowire.VarintType:
			f.value, size = protowire.ConsumeVarint(f.input[start:])
			f.start, f.end = 0, 0
		case protowire.BytesType:
			data, size = protowire.ConsumeBytes(f.input[start:])
			f.value = 0
			f.end = start + size
			f.start = f.end - len(data)
		default:
			size = protowire.ConsumeFieldValue(number, kind, f.input[start:])
		}
		if size < 0 {
			f.Fail(ErrMalformed)
			return false
		}
		f.next = start + size
		if kind == protowire.VarintType || kind == protowire.BytesType {
			return true
		}
	}
	return false
}

// consumeTag is protowire.ConsumeTag with a fast path for tags of one byte, which are those of field numbers up to 15.
func consumeTag(b []byte) (protowire.Number, protowire.Type, int) {
	const maxOneByte = 0x7f
	if tag := b[0]; tag <= maxOneByte && tag>>3 >= byte(protowire.MinValidNumber) {
		return protowire.Number(tag >> 3), protowire.Type(tag & 7), 1
	}
	return protowire.ConsumeTag(b)
}

// Decoding reports whether the message is being decoded and the current field has the number. It is for fields that the
// other methods cannot decode.
func (f *Fields) Decoding(number protowire.Number) bool { return f.number == number }

// Encoding reports whether the message is being encoded.
func (f *Fields) Encoding() bool { return f.encoding }

// Number returns the number of the current field of a message that is being decoded.
func (f *Fields) Number() protowire.Number { return f.number }

// Value returns the current field's value, or 0 if it is a field of bytes.
func (f *Fields) Value() uint64 { return f.value }

// Data returns the current field's bytes, or nil if it is a number. They are part of the input.
func (f *Fields) Data() []byte {
	if f.start == 0 { // the bytes of a field come after its tag, so never at 0
		return nil
	}
	return f.input[f.start:f.end]
}

// AppendUint encodes a number, even if it is zero.
func (f *Fields) AppendUint(number protowire.Number, v uint64) {
	f.output = protowire.AppendVarint(protowire.AppendTag(f.output, number, protowire.VarintType), v)
}

// AppendBytes encodes bytes, even if v is empty.
func (f *Fields) AppendBytes(number protowire.Number, v []byte) {
	f.output = protowire.AppendBytes(protowire.AppendTag(f.output, number, protowire.BytesType), v)
}

// encodeUint encodes a number unless it is zero.
//
//go:noinline
func (f *Fields) encodeUint(number protowire.Number, v uint64) {
	if v != 0 {
		f.AppendUint(number, v)
	}
}

// encodeBool encodes a boolean unless it is false.
//
//go:noinline
func (f *Fields) encodeBool(number protowire.Number, v bool) {
	if v {
		f.AppendUint(number, protowire.EncodeBool(v))
	}
}

// encodeString encodes a string unless it is empty.
//
//go:noinline
func (f *Fields) encodeString(number protowire.Number, v string) {
	if v != "" {
		f.output = protowire.AppendString(protowire.AppendTag(f.output, number, protowire.BytesType), v)
	}
}

//go:noinline
func (f *Fields) decodeString(v *string) { *v = string(f.Data()) }

//go:noinline
func (f *Fields) decodeCopy(v *[]byte) { *v = append([]byte(nil), f.Data()...) }

//go:noinline
func (f *Fields) decodeShared(v *[]byte) { *v = f.Data() }

// encodeBytes encodes bytes unless v is empty.
//
//go:noinline
func (f *Fields) encodeBytes(number protowire.Number, v []byte) {
	if len(v) > 0 {
		f.AppendBytes(number, v)
	}
}

// Uint is an unsigned number. A decoded number is truncated to the width of its type.
func Uint[T Unsigned](f *Fields, number protowire.Number, v *T) {
	if f.number == number {
		*v = T(f.value)
	} else if f.encoding {
		f.encodeUint(number, uint64(*v))
	}
}

// UintUpTo is an unsigned number. A number above limit is decoded as limit.
func UintUpTo[T Unsigned](f *Fields, number protowire.Number, v *T, limit T) {
	if f.number == number {
		*v = T(min(f.value, uint64(limit)))
	} else if f.encoding {
		f.encodeUint(number, uint64(*v))
	}
}

// IntUpTo is a number that is never negative on the wire. A negative number is encoded as 0, and a number above limit
// is decoded as limit.
func IntUpTo[T Integer](f *Fields, number protowire.Number, v *T, limit T) {
	if f.number == number {
		*v = T(min(f.value, uint64(limit)))
	} else if f.encoding {
		f.encodeUint(number, uint64(max(0, *v)))
	}
}

// ZigZag is a signed number. A decoded number is clamped to the range from -limit to limit.
func (f *Fields) ZigZag(number protowire.Number, v *int64, limit int64) {
	if f.number == number {
		*v = min(max(protowire.DecodeZigZag(f.value), -limit), limit)
	} else if f.encoding {
		f.encodeUint(number, protowire.EncodeZigZag(*v))
	}
}

// Bool is a boolean field.
func (f *Fields) Bool(number protowire.Number, v *bool) {
	if f.number == number {
		*v = f.value != 0
	} else if f.encoding {
		f.encodeBool(number, *v)
	}
}

// String is a string field.
func (f *Fields) String(number protowire.Number, v *string) {
	if f.number == number {
		f.decodeString(v)
	} else if f.encoding {
		f.encodeString(number, *v)
	}
}

// Strings is a repeated field of strings. Empty strings are not encoded.
func (f *Fields) Strings(number protowire.Number, list *[]string) {
	if f.Decoding(number) {
		*list = append(*list, string(f.Data()))
	}
	if f.Encoding() {
		for i := range *list {
			f.String(number, &(*list)[i])
		}
	}
}

// Copied is a field of bytes. Decoded bytes are a copy of the input.
func (f *Fields) Copied(number protowire.Number, v *[]byte) {
	if f.number == number {
		f.decodeCopy(v)
	} else if f.encoding {
		f.encodeBytes(number, *v)
	}
}

// Shared is a field of bytes. Decoded bytes are part of the input, which must not change while they are used.
func (f *Fields) Shared(number protowire.Number, v *[]byte) {
	if f.number == number {
		f.decodeShared(v)
	} else if f.encoding {
		f.encodeBytes(number, *v)
	}
}

// Message is a field with one nested message, which is encoded even if it is empty.
func Message[T any](f *Fields, number protowire.Number, v *T, fields func(*T, *Fields)) {
	if f.Decoding(number) {
		nested := Decode(f.Data())
		for nested.Next() {
			fields(v, &nested)
		}
		if err := nested.Err(); err != nil {
			f.Fail(err)
		}
	}
	if f.Encoding() {
		start := f.beginNested(number)
		fields(v, f)
		f.endNested(start)
	}
}

// Messages is a repeated field of nested messages. Decoding more than limit of them fails with tooMany; a limit of 0
// means no limit.
func Messages[T any](
	f *Fields, number protowire.Number, list *[]T, limit int, tooMany error, fields func(*T, *Fields),
) {
	if f.Decoding(number) {
		if limit > 0 && len(*list) == limit {
			f.Fail(tooMany)
			return
		}
		var v T
		*list = append(*list, v)
		Message(f, number, &(*list)[len(*list)-1], fields)
	}
	if f.Encoding() {
		for i := range *list {
			Message(f, number, &(*list)[i], fields)
		}
	}
}

// beginNested writes the tag of a nested message and leaves one byte for its length.
func (f *Fields) beginNested(number protowire.Number) (start int) {
	f.output = append(protowire.AppendTag(f.output, number, protowire.BytesType), 0)
	return len(f.output)
}

// endNested writes the length of the nested message that began at start. If the length takes more than one byte, the
// message is moved to make room.
func (f *Fields) endNested(start int) {
	length := len(f.output) - start
	extraBytes := protowire.SizeVarint(uint64(length)) - 1
	for range extraBytes {
		f.output = append(f.output, 0)
	}
	copy(f.output[start+extraBytes:], f.output[start:start+length])
	protowire.AppendVarint(f.output[:start-1], uint64(length))
}
