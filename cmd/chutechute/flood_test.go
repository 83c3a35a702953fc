package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// floodForms are floods of one client, by name: the message with a number. The numbers of all messages differ.
var floodForms = map[string]func(n int) []byte{
	"unknown methods": func(n int) []byte { return floodMessage(n, fmt.Sprintf("method-%d", n)) },
	"unknown classes": func(n int) []byte {
		return floodRequest(n, "SELECT 1", "op", fmt.Sprintf("class-%d", n), "ttl", "1000")
	},
	"unknown tenants": func(n int) []byte {
		return floodRequest(n, "SELECT 1", "op", "lookup", "org", fmt.Sprintf("tenant-%d", n), "ttl", "1000")
	},
	"bad figures": func(n int) []byte {
		return floodRequest(n, "SELECT 1", "op", "lookup", "ttl", fmt.Sprintf("x%d", n))
	},
	"table groups":    func(n int) []byte { return floodRequest(n, floodStatement(n), "op", "lookup", "ttl", "1000") },
	"no time left":    func(n int) []byte { return floodRequest(n, floodStatement(n), "op", "lookup", "ttl", "1") },
	"unknown cancels": func(n int) []byte { return cancelMessage(n % 100) },
	"health":          func(n int) []byte { return floodMessage(n, "health") },
	"new shapes": func(n int) []byte {
		return floodRequest(n, fmt.Sprintf("SELECT a%d FROM s_1.t%d", n, n), "op", "lookup", "ttl", "1000")
	},
	"order keys": func(n int) []byte {
		key := fmt.Sprint("key-", n)
		return floodRequest(n, "INSERT INTO s_1.t", "op", "load", "dedupe", key, "row", key, "ttl", "1000")
	},
	"same id again": func(n int) []byte {
		return floodRequest(n, "SELECT 1", "op", "lookup", "ttl", "1000", "call", testharness.RequestID(999_999))
	},
	"many fields": func(n int) []byte {
		fields := []string{"op", "lookup", "ttl", "1000"}
		for i := range 120 {
			fields = append(fields, fmt.Sprint(n, "-", i), "")
		}
		return floodRequest(n, "SELECT 1", fields...)
	},
}

// floodStatement returns a statement with a table group of its own.
func floodStatement(n int) string { return fmt.Sprintf("SELECT * FROM s_%d.t", n) }

// floodMessage returns a call of a method with encoded arguments.
func floodMessage(n int, method string, arguments ...byte) []byte {
	return testharness.EncodeMessage(1, int32(n+1), method, arguments)
}

// floodRequest returns a request. A field call that is given replaces the request's own ID.
func floodRequest(n int, statement string, fields ...string) []byte {
	if !strings.Contains(strings.Join(fields, " "), "call") {
		fields = append(fields, "call", testharness.RequestID(n+1_000_000))
	}
	return floodMessage(n, "call", testharness.RequestArguments(statement, fields...)...)
}

// flood sends the messages of a form over one connection at full speed until stopped is set, and reads all responses.
// It returns the number of messages sent.
func flood(r *testharness.Harness, message func(n int) []byte, stopped *atomic.Bool) (sent int) {
	c := r.NewClient()
	_ = c.Conn.SetDeadline(time.Now().Add(time.Minute))
	go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
	const batch = 64
	for !stopped.Load() {
		var messages bytes.Buffer
		for range batch {
			messages.Write(message(sent))
			sent++
		}
		if _, err := c.Conn.Write(messages.Bytes()); err != nil {
			c = r.NewClient()
			go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
		}
	}
	return sent
}

// Guards against one client that sends small or unsound requests on one connection at full speed: the other clients
// must get their answers in time, and memory must not grow with the number or the names of its requests.
func TestFloodOfSmallRequests(t *testing.T) {
	const memoryLimitMB, longestWait = 48, time.Second
	duration := 1500 * time.Millisecond
	if os.Getenv("CHUTECHUTE_LONG") != "" {
		duration = 15 * time.Second
	}
	for name, message := range floodForms {
		t.Run(name, func(t *testing.T) {
			r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow),
				func(r *testharness.Harness) { r.MemoryLimitMB = memoryLimitMB })
			other := r.NewClient()
			require.True(t, other.Healthy())
			var stopped atomic.Bool
			sent := make(chan int)
			go func() { sent <- flood(r, message, &stopped) }()
			longest, residentHalfway := time.Duration(0), 0
			started := time.Now()
			for n := 0; time.Since(started) < duration; n++ {
				before := time.Now()
				other.SendLookup(n, "2000")
				assert.Equal(t, "answer", other.ReadReply().Kind)
				longest = max(longest, time.Since(before))
				time.Sleep(20 * time.Millisecond)
				if residentHalfway == 0 && time.Since(started) > duration/2 {
					residentHalfway = r.ResidentMemoryMB()
				}
			}
			resident := r.ResidentMemoryMB()
			stopped.Store(true)
			t.Logf("%d sent; longest wait of another client %v; %d MB halfway, %d MB at the end, peak %d of %d MB", <-sent,
				longest.Round(time.Millisecond), residentHalfway, resident, r.PeakMemoryMB(), memoryLimitMB)
			assert.Less(t, longest, longestWait)
			assert.Less(t, r.PeakMemoryMB(), memoryLimitMB)
		})
	}
}
