// Package ring has the byte buffer that stands between a socket and a parser.
package ring

import "errors"

// ErrFull says that a buffer would pass its bound.
var ErrFull = errors.New("ring: buffer is full")

const (
	first  = 2 << 10 // bytes of a buffer's first storage
	keepTo = 8 << 10 // larger storage is let go once it is empty
)

// Buffer is a ring of bytes that grows up to a bound and holds no storage until it is used.
type Buffer struct {
	buf     []byte
	head, n int
	max     int
}

// New returns an empty buffer that holds at most max bytes.
func New(max int) *Buffer { return &Buffer{max: max} }

// Len is how many bytes the buffer holds.
func (b *Buffer) Len() int { return b.n }

// Write appends all of p or, where it would pass the bound, nothing.
func (b *Buffer) Write(p []byte) (int, error) {
	if b.n+len(p) > b.max {
		return 0, ErrFull
	}
	b.grow(b.n + len(p))
	tail := b.tail()
	k := copy(b.buf[tail:], p)
	copy(b.buf, p[k:])
	b.n += len(p)
	return len(p), nil
}

// Space is a free run of storage to read into, empty where the buffer is full; Commit takes up what was read.
func (b *Buffer) Space() []byte {
	if b.n == len(b.buf) {
		b.grow(b.n + 1)
	}
	if b.n == len(b.buf) {
		return nil
	}
	tail := b.tail()
	if tail < b.head {
		return b.buf[tail:b.head]
	}
	return b.buf[tail:]
}

// Commit counts n bytes of the last Space as held.
func (b *Buffer) Commit(n int) { b.n += n }

// Front is the first run of held bytes, for a write.
func (b *Buffer) Front() []byte {
	return b.buf[b.head:min(b.head+b.n, len(b.buf))]
}

// Bytes is all that is held, in one run; it is valid until the next call.
func (b *Buffer) Bytes() []byte {
	if b.head+b.n > len(b.buf) {
		b.move(len(b.buf))
	}
	return b.buf[b.head : b.head+b.n]
}

// Discard drops the first n bytes.
func (b *Buffer) Discard(n int) {
	b.n -= n
	b.head += n
	if len(b.buf) > 0 {
		b.head %= len(b.buf)
	}
	if b.n == 0 {
		b.head = 0
		if len(b.buf) > keepTo {
			b.buf = nil
		}
	}
}

func (b *Buffer) tail() int { return (b.head + b.n) % max(1, len(b.buf)) }

// grow makes room for size bytes, within the bound.
func (b *Buffer) grow(size int) {
	if size <= len(b.buf) || len(b.buf) >= b.max {
		return
	}
	b.move(min(b.max, max(size, 2*len(b.buf), first)))
}

// move puts what is held at the start of new storage.
func (b *Buffer) move(size int) {
	buf := make([]byte, size)
	k := copy(buf, b.Front())
	copy(buf[k:b.n], b.buf)
	b.buf, b.head = buf, 0
}
