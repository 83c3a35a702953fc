package testharness

import (
	"bytes"
	"sync"
)

// LogBuffer is a buffer that captures the log of a process. It is safe for concurrent use.
type LogBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends p to the buffer. It never fails.
func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// String returns everything that was written so far.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}
