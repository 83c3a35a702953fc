package config

import "chutechute/gateway"

const (
	// memoryShares is the number of equal parts of a front end's memory. One part each is the limit of the buffers of
	// clients, of the buffers of engines, of open requests and of their statements. The rest is for the program itself
	// and for garbage that is not collected yet.
	memoryShares = 8
	// requestBytes is the size of an open request and its attempts, without the statement.
	requestBytes = 2 << 10
)

// memoryShare returns the size of one of the memoryShares, in bytes.
func (c *Config) memoryShare() int { return c.MemoryMB << 20 / memoryShares }

// BufferBytes returns the limit, in bytes, of the buffers of all clients together, and of those of all connections to
// engines together.
func (c *Config) BufferBytes() int { return c.memoryShare() }

// Limits returns the limits of open requests and of the bytes of their statements.
func (c *Config) Limits() gateway.Limits {
	return gateway.Limits{
		MaxOpen:           min(c.Settings.MaxOpen, c.memoryShare()/requestBytes),
		MaxStatementBytes: c.memoryShare(),
	}
}

// HeapLimit returns the soft limit of the heap, in bytes: two thirds of the memory. The rest is for stacks, the program
// and the kernel.
func (c *Config) HeapLimit() int64 { return int64(c.MemoryMB) << 20 * 2 / 3 }
