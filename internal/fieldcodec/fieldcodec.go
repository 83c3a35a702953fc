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
// Decoding calls the method once for each field of the input, and only the line with that field's number takes it.
// A field with an unknown number is skipped, so that a later version may add fields. Fields with a zero value are
// left out, unless a method says otherwise. The wire format is that of
// https://protobuf.dev/programming-guides/encoding/.
package fieldcodec

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is the error of bytes that are not a protobuf message.
var ErrMalformed = errors.New("fieldcodec: malformed message")

// Unsigned is the types that are encoded as an unsigned number.
type Unsigned interface {
	~uint8 | ~uint32 | ~uint64
}

// Integer is the types of numbers that are never negative on the wire, such as times and amounts.
type Integer interface {
	~int | ~int64
}

// Fields is the field list of one message while it is encoded or decoded.
//
// While a message is decoded, its methods are called for every field each time that one field is read. So their test of
// the number is short enough to be inlined, and what encodes is kept out of line.
type Fields struct {
	encoding bool
	output   []byte           // encoding: the bytes so far
	input    []byte           // decoding: the whole message
	next     int              // decoding: where in input the next field begins
	number   protowire.Number // decoding: of the current field; encoding: 0, which is no field's
	value    uint64           // decoding: the current field, if it is a number
	start    int              // decoding: where in input the current field's bytes begin; 0 if it is a number
	end      int              // decoding: where they end
	err      error
}

// Encode begins a message whose fields are appended to b.
func Encode(b []byte) Fields { return Fields{encoding: true, output: b} }

// Decode begins to read a message. Next moves to its fields.
func Decode(b []byte) Fields { return Fields{input: b} }

// Bytes returns the encoded message.
func (f *Fields) Bytes() []byte { return f.output }

// Err returns what was wrong with the message: ErrMalformed, or the error that Fail was given.
func (f *Fields) Err() error { return f.err }

// Fail ends decoding with an error. The first error counts.
func (f *Fields) Fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// Next moves to the next field of the input. It returns false at the end and after an error. It stores positions and no
// slices: a pointer that is stored costs more while the garbage collector marks.
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

// consumeTag is protowire.ConsumeTag with a short way for tags of one byte, which are those of the numbers up to 15.
func consumeTag(b []byte) (protowire.Number, protowire.Type, int) {
	const maxOneByte = 0x7f
	if tag := b[0]; tag <= maxOneByte && tag>>3 >= byte(protowire.MinValidNumber) {
		return protowire.Number(tag >> 3), protowire.Type(tag & 7), 1
	}
	return protowire.ConsumeTag(b)
}

// Decoding reports whether the message is being decoded and the current field has the number: for a field whose
// decoding needs more than the methods offer.
func (f *Fields) Decoding(number protowire.Number) bool { return f.number == number }

// Encoding reports whether the message is being encoded.
func (f *Fields) Encoding() bool { return f.encoding }

// Number returns the number of the current field of a message that is being decoded.
func (f *Fields) Number() protowire.Number { return f.number }

// Value returns the current field's value, 0 for a field of bytes.
func (f *Fields) Value() uint64 { return f.value }

// Data returns the current field's bytes, nil for a number. They are part of the input.
func (f *Fields) Data() []byte {
	if f.start == 0 { // a field of bytes has its tag before it
		return nil
	}
	return f.input[f.start:f.end]
}

// AppendUint encodes a number, even if it is zero.
func (f *Fields) AppendUint(number protowire.Number, v uint64) {
	f.output = protowire.AppendVarint(protowire.AppendTag(f.output, number, protowire.VarintType), v)
}

// AppendBytes encodes bytes, even if there are none.
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

// encodeBool encodes a truth value unless it is false.
//
//go:noinline
func (f *Fields) encodeBool(number protowire.Number, v bool) {
	if v {
		f.AppendUint(number, protowire.EncodeBool(v))
	}
}

// encodeString encodes a text unless it is empty.
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

// encodeBytes encodes bytes unless there are none.
//
//go:noinline
func (f *Fields) encodeBytes(number protowire.Number, v []byte) {
	if len(v) > 0 {
		f.AppendBytes(number, v)
	}
}

// Uint is a field of an unsigned number. A decoded number is cut to the type's width.
func Uint[T Unsigned](f *Fields, number protowire.Number, v *T) {
	if f.number == number {
		*v = T(f.value)
	} else if f.encoding {
		f.encodeUint(number, uint64(*v))
	}
}

// UintUpTo is a field of an unsigned number of which larger ones are decoded as limit.
func UintUpTo[T Unsigned](f *Fields, number protowire.Number, v *T, limit T) {
	if f.number == number {
		*v = T(min(f.value, uint64(limit)))
	} else if f.encoding {
		f.encodeUint(number, uint64(*v))
	}
}

// IntUpTo is a field of a number that is encoded as 0 if it is negative, and of which larger ones are decoded as limit.
func IntUpTo[T Integer](f *Fields, number protowire.Number, v *T, limit T) {
	if f.number == number {
		*v = T(min(f.value, uint64(limit)))
	} else if f.encoding {
		f.encodeUint(number, uint64(max(0, *v)))
	}
}

// ZigZag is a field of a signed number. A decoded one is brought within -limit to limit.
func (f *Fields) ZigZag(number protowire.Number, v *int64, limit int64) {
	if f.number == number {
		*v = min(max(protowire.DecodeZigZag(f.value), -limit), limit)
	} else if f.encoding {
		f.encodeUint(number, protowire.EncodeZigZag(*v))
	}
}

// Bool is a field of a truth value.
func (f *Fields) Bool(number protowire.Number, v *bool) {
	if f.number == number {
		*v = f.value != 0
	} else if f.encoding {
		f.encodeBool(number, *v)
	}
}

// String is a field of text.
func (f *Fields) String(number protowire.Number, v *string) {
	if f.number == number {
		f.decodeString(v)
	} else if f.encoding {
		f.encodeString(number, *v)
	}
}

// Strings is a repeated field of texts; empty ones are left out.
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

// Copied is a field of bytes; decoded ones are a copy.
func (f *Fields) Copied(number protowire.Number, v *[]byte) {
	if f.number == number {
		f.decodeCopy(v)
	} else if f.encoding {
		f.encodeBytes(number, *v)
	}
}

// Shared is a field of bytes; decoded ones are part of the input, which must not change while they are used.
func (f *Fields) Shared(number protowire.Number, v *[]byte) {
	if f.number == number {
		f.decodeShared(v)
	} else if f.encoding {
		f.encodeBytes(number, *v)
	}
}

// Message is a field of one message, which is encoded even if it is empty.
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

// Messages is a repeated field of messages. A list that grows beyond limit while it is decoded fails with tooMany;
// 0 is no limit.
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

// endNested writes the length of the nested message that began at start, and moves the message where that takes
// more bytes.
func (f *Fields) endNested(start int) {
	length := len(f.output) - start
	more := protowire.SizeVarint(uint64(length)) - 1
	for range more {
		f.output = append(f.output, 0)
	}
	copy(f.output[start+more:], f.output[start:start+length])
	protowire.AppendVarint(f.output[:start-1], uint64(length))
}
