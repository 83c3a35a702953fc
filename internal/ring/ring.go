// Package ring provides the byte buffer between a socket and a parser.
package ring

import "errors"

// ErrFull is returned by a write that would exceed the limit of the buffer or of its budget.
var ErrFull = errors.New("ring: buffer is full")

const (
	initialSize = 2 << 10 // bytes of storage that a buffer allocates first
	maxIdleSize = 4 << 10 // bytes; larger storage is released once the buffer is empty
)

// Budget limits the total storage of all buffers that share it.
type Budget struct {
	Max  int // bytes
	used int // bytes allocated by the buffers, or reserved
}

// Reserve counts bytes that are stored outside a buffer towards the limit. They may exceed it: the caller checks
// HasSpace first if they must not.
func (b *Budget) Reserve(size int) { b.used += size }

// Release reverts Reserve.
func (b *Budget) Release(size int) { b.used -= size }

// HasSpace reports whether the limit allows that many further bytes.
func (b *Budget) HasSpace(size int) bool { return b.used+size <= b.Max }

// Buffer is a ring buffer of bytes that grows up to a limit. It allocates no storage until it is used.
type Buffer struct {
	buf     []byte
	head, n int // index of the first buffered byte; number of buffered bytes
	max     int // limit of n
	budget  *Budget
}

// New returns an empty buffer that holds at most max bytes and takes its storage from a budget.
func New(max int, budget *Budget) *Buffer { return &Buffer{max: max, budget: budget} }

// Len returns the number of buffered bytes.
func (b *Buffer) Len() int { return b.n }

// Cap returns the number of bytes of allocated storage.
func (b *Buffer) Cap() int { return len(b.buf) }

// Write appends all of p, or nothing and returns ErrFull if that would exceed a limit.
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

// Space returns contiguous free storage to read into. It is empty if the buffer or its budget is full. Commit then adds
// the bytes that were read to the buffer.
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

// Commit adds the first n bytes of the last Space to the buffered bytes.
func (b *Buffer) Commit(n int) { b.n += n }

// Front returns the buffered bytes up to the point where they wrap around. They are the next ones to be written out.
func (b *Buffer) Front() []byte {
	return b.buf[b.head:min(b.head+b.n, len(b.buf))]
}

// Bytes returns all buffered bytes as one slice, which is valid until the next call of a method. If the bytes wrap
// around, they are copied to new storage first.
func (b *Buffer) Bytes() []byte {
	if b.head+b.n > len(b.buf) {
		b.reallocate(len(b.buf))
	}
	return b.buf[b.head : b.head+b.n]
}

// Discard removes the first n bytes.
func (b *Buffer) Discard(n int) {
	b.n -= n
	b.head += n
	if len(b.buf) > 0 {
		b.head %= len(b.buf)
	}
	if b.n == 0 {
		b.head = 0
		if len(b.buf) > maxIdleSize {
			b.Free()
		}
	}
}

// Free discards the buffered bytes and releases the storage.
func (b *Buffer) Free() {
	b.budget.used -= len(b.buf)
	b.buf, b.head, b.n = nil, 0, 0
}

// tail returns the index after the last buffered byte.
func (b *Buffer) tail() int { return (b.head + b.n) % max(1, len(b.buf)) }

// grow makes the storage at least size bytes large. It returns false if the budget does not allow that.
func (b *Buffer) grow(size int) bool {
	if size <= len(b.buf) {
		return true
	}
	size = min(b.max, max(size, 2*len(b.buf), initialSize))
	if !b.budget.HasSpace(size - len(b.buf)) {
		return false
	}
	b.reallocate(size)
	return true
}

// reallocate copies the buffered bytes to the start of new storage.
func (b *Buffer) reallocate(size int) {
	buf := make([]byte, size)
	k := copy(buf, b.Front())
	copy(buf[k:b.n], b.buf)
	b.budget.used += size - len(b.buf)
	b.buf, b.head = buf, 0
}
