// Package proto writes and reads protobuf messages field by field, over the library's wire encoding. It keeps to what the
// fleet's messages need: unsigned numbers, bytes and messages in messages. Unknown fields are passed over, so that a newer
// version may add some.
package proto

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// Uint adds a number; zero is left out.
func Uint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

// Bool adds a truth value; false is left out.
func Bool(b []byte, field protowire.Number, v bool) []byte {
	return Uint(b, field, protowire.EncodeBool(v))
}

// String adds a text; an empty one is left out.
func String(b []byte, field protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), v)
}

// Bytes adds bytes; none are left out.
func Bytes(b []byte, field protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	return Message(b, field, v)
}

// Message adds a message in a message, an empty one too.
func Message(b []byte, field protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

// ErrForm is the error of bytes that are no message.
var ErrForm = errors.New("proto: malformed message")

// Field is one field that was read. Data lies in the bytes that were read.
type Field struct {
	Number protowire.Number
	Uint   uint64
	Data   []byte
}

// Text is the field's bytes as a string of its own.
func (f Field) Text() string { return string(f.Data) }

// Copy is the field's bytes on their own.
func (f Field) Copy() []byte { return append([]byte(nil), f.Data...) }

// Each reads a message, field by field.
func Each(b []byte, take func(Field) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrForm
		}
		b = b[n:]
		f := Field{Number: number}
		switch kind {
		case protowire.VarintType:
			f.Uint, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.Data, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(number, kind, b)
		}
		if n < 0 {
			return ErrForm
		}
		b = b[n:]
		if kind != protowire.VarintType && kind != protowire.BytesType {
			continue
		}
		if err := take(f); err != nil {
			return err
		}
	}
	return nil
}
