package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// Guards against open requests that are lost when the buffers of all clients are full: the connection with the largest
// buffers was closed, although clients with half a request each, and nothing else, had filled them.
func TestHalfRequestsCostNoOpenRequest(t *testing.T) {
	const open, badClients = 8, 120
	half := floodRequest(0, strings.Repeat("x", 250<<10), "op", "lookup", "ttl", "9000")[:120<<10]
	for name, sendLarge := range map[string]bool{
		"while a large request is written": true,
		"while nothing is written":         false,
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 2, testharness.SucceedAfterPolls(40, testharness.ResultRow),
				func(r *testharness.Harness) { r.MemoryLimitMB, r.SocketLimit = 32, 1024 })
			c := r.NewClient()
			for n := range open {
				sendUnorderedLoad(c, n)
			}
			r.WaitForRequests(open, "POST", "/")
			written := make(chan bool)
			go func() {
				defer close(written)
				if !sendLarge {
					return
				}
				large := floodRequest(100, strings.Repeat("y", 200<<10), "op", "lookup", "ttl", "9000")
				for sent := 0; sent < len(large); sent += len(large) / 10 {
					_, _ = c.Conn.Write(large[sent:min(len(large), sent+len(large)/10)])
					time.Sleep(50 * time.Millisecond)
				}
			}()
			time.Sleep(200 * time.Millisecond)
			for range badClients {
				bad := r.NewClient()
				go func() { _, _ = bad.Conn.Write(half) }()
			}
			for range open {
				reply, err := c.TryReadReply()
				require.NoError(t, err, "an open request got no response")
				assert.Equal(t, "answer", reply.Kind)
			}
			<-written
			assert.Positive(t, r.Counter("connections closed for want of storage"), "the buffers were not filled")
		})
	}
}
