// Package ring has the byte buffer that stands between a socket and a parser.
package ring

import "errors"

// ErrFull says that a buffer would pass its bound, or all buffers of its budget theirs.
var ErrFull = errors.New("ring: buffer is full")

const (
	first  = 2 << 10 // bytes of a buffer's first storage
	keepTo = 4 << 10 // larger storage is let go once it is empty
)

// Budget bounds the storage of many buffers together.
type Budget struct {
	Max  int // bytes
	used int
}

// Buffer is a ring of bytes that grows up to a bound and holds no storage until it is used.
type Buffer struct {
	buf     []byte
	head, n int
	max     int
	budget  *Budget
}

// New returns an empty buffer that holds at most max bytes and draws its storage on a budget.
func New(max int, budget *Budget) *Buffer { return &Buffer{max: max, budget: budget} }

// Len is how many bytes the buffer holds.
func (b *Buffer) Len() int { return b.n }

// Cap is how much storage the buffer has.
func (b *Buffer) Cap() int { return len(b.buf) }

// Write appends all of p or, where it would pass a bound, nothing.
func (b *Buffer) Write(p []byte) (int, error) {
	if b.n+len(p) > b.max || !b.grow(b.n+len(p)) {
		return 0, ErrFull
	}
	tail := b.tail()
	k := copy(b.buf[tail:], p)
	copy(b.buf, p[k:])
	b.n += len(p)
	return len(p), nil
}

// Space is a free run of storage to read into, empty where the buffer or the budget is full; Commit takes up
// what was read.
func (b *Buffer) Space() []byte {
	if b.n == len(b.buf) && (b.n >= b.max || !b.grow(b.n+1)) {
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
			b.Free()
		}
	}
}

// Free lets go of what is held and of the storage.
func (b *Buffer) Free() {
	b.budget.used -= len(b.buf)
	b.buf, b.head, b.n = nil, 0, 0
}

func (b *Buffer) tail() int { return (b.head + b.n) % max(1, len(b.buf)) }

// grow makes room for size bytes, within the bounds.
func (b *Buffer) grow(size int) bool {
	if size <= len(b.buf) {
		return true
	}
	size = min(b.max, max(size, 2*len(b.buf), first))
	if b.budget.used+size-len(b.buf) > b.budget.Max {
		return false
	}
	b.move(size)
	return true
}

// move puts what is held at the start of new storage.
func (b *Buffer) move(size int) {
	buf := make([]byte, size)
	k := copy(buf, b.Front())
	copy(buf[k:b.n], b.buf)
	b.budget.used += size - len(b.buf)
	b.buf, b.head = buf, 0
}
