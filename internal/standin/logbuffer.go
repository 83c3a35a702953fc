package standin

import (
	"bytes"
	"sync"
)

// LockedBuffer is a buffer that is safe for concurrent use. It captures the log of a process.
type LockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends p to the buffer. It never fails.
func (l *LockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// String returns all that was written so far.
func (l *LockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}
