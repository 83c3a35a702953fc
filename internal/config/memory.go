package config

import "chutechute/gateway"

const (
	// memoryShares is the number of equal parts that a front end's memory is divided into. Buffers of clients, buffers
	// of engines, open requests, and the statements and keys of these, are each limited to one part. The other parts are
	// for the program itself and for garbage that is not collected yet.
	memoryShares = 8
	// requestBytes is the estimated memory of an open request and its attempts, without the statement.
	requestBytes = 2 << 10
	// nonHeapBytes is the resident memory that the heap's limit leaves for the program's code and for garbage that is
	// produced while it is collected.
	nonHeapBytes = 14 << 20
)

// memoryShare returns the size of one of the memoryShares, in bytes.
func (c *Config) memoryShare() int { return c.MemoryMB << 20 / memoryShares }

// BufferBytes returns the limit, in bytes, of the buffers of all clients together. The buffers of all connections to
// engines together have the same limit.
func (c *Config) BufferBytes() int { return c.memoryShare() }

// Limits returns the limits of the number of open requests and of the bytes of their statements and keys.
func (c *Config) Limits() gateway.Limits {
	return gateway.Limits{
		MaxOpen:         min(c.Settings.MaxOpen, c.memoryShare()/requestBytes),
		MaxRequestBytes: c.memoryShare(),
	}
}

// HeapLimit returns the soft limit of the heap, in bytes: two thirds of the memory, or less where the rest would be
// smaller than nonHeapBytes, but at least half of it. The rest is for stacks, the program's code and the kernel.
func (c *Config) HeapLimit() int64 {
	memory := int64(c.MemoryMB) << 20
	return max(memory/2, min(memory*2/3, memory-nonHeapBytes))
}
