package thrift

import (
	"errors"
	"testing"

	"chutechute/internal/ring"
)

// Arbitrary bytes, split anywhere, give messages, exceptions after which parsing goes on, or an error, and no bytes are
// parsed twice.
func FuzzNext(f *testing.F) {
	call := []byte("\x80\x01\x00\x01\x00\x00\x00\x04call\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\x00\x00\x00\x01" +
		"\x00\x00\x00\x02op\x00\x00\x00\x01l\x0b\x00\x02\x00\x00\x00\x01x\x00")
	f.Add(append([]byte{0, 0, 0, byte(len(call))}, call...), 3)
	f.Add([]byte("\x00\x00\x00\x15\x80\x01\x00\x04\x00\x00\x00\x06cancel\x00\x00\x00\x02\x08\x00\x01"), 1)
	f.Add([]byte("\x00\x00\x00\x0cabcdefghijkl\xff\xff\xff\xff"), 100)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		in := ring.New(MaxFrame+4, &ring.Budget{Max: MaxFrame + 4})
		piece = max(1, piece)
		for len(data) > 0 {
			n := min(piece, len(data))
			if _, err := in.Write(data[:n]); err != nil {
				return // the buffer is full: a server would stop reading from the connection
			}
			data = data[n:]
			for {
				before := in.Len()
				m, ok, err := Next(in)
				var exception *Exception
				if err != nil && !errors.As(err, &exception) {
					return
				}
				if !ok && err == nil {
					break
				}
				if in.Len() >= before {
					t.Fatal("message consumed no bytes")
				}
				if err != nil {
					exception.Reply()
					continue
				}
				if m.Name == "" || len(m.Fields) > maxFields {
					t.Fatalf("%q with %d fields", m.Name, len(m.Fields))
				}
			}
		}
	})
}
