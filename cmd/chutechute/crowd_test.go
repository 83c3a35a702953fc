package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chutechute/internal/testharness"
)

// crowdClients is the number of clients in a crowd: as many as one front end admits with 1,024 descriptors, but for
// those of the test itself.
const crowdClients = 320

// crowdForms are what each client of a crowd does on its connection, by name.
var crowdForms = map[string]func(c *testharness.Client, number int, stopped *atomic.Bool){
	"stop half way": func(c *testharness.Client, _ int, _ *atomic.Bool) {
		message := floodRequest(0, strings.Repeat("x", 250<<10), "op", "lookup", "ttl", "9000")
		_, _ = c.Conn.Write(message[:200<<10])
	},
	"write slowly": func(c *testharness.Client, _ int, stopped *atomic.Bool) {
		message := floodRequest(0, strings.Repeat("x", 250<<10), "op", "lookup", "ttl", "9000")
		for sent := 0; sent < len(message) && !stopped.Load(); sent += 4 << 10 {
			if _, err := c.Conn.Write(message[sent:min(len(message), sent+4<<10)]); err != nil {
				return
			}
			time.Sleep(25 * time.Millisecond)
		}
	},
	"open requests with many fields": func(c *testharness.Client, number int, _ *atomic.Bool) {
		for n := range 32 {
			var fields []string
			for i := range 120 {
				fields = append(fields, fmt.Sprint(i), "v")
			}
			fields = append(fields, "op", "lookup", "ttl", "9000", "work", "9")
			_, _ = c.Conn.Write(floodRequest(number*32+n, "SELECT 1", fields...))
		}
	},
	"half a request with many fields": func(c *testharness.Client, _ int, _ *atomic.Bool) {
		arguments := []byte{13, 0, 1, 11, 11, 0, 0, 0, 255}
		for range 20_000 {
			arguments = append(arguments, 0, 0, 0, 1, 'a', 0, 0, 0, 1, 'b')
		}
		message := floodMessage(0, "call", arguments...)
		_, _ = c.Conn.Write(message[:len(message)-100])
	},
	"open requests with long keys": func(c *testharness.Client, number int, _ *atomic.Bool) {
		for n := range 32 {
			_, _ = c.Conn.Write(floodRequest(number*32+n, "SELECT 1", "op", "lookup", "ttl", "9000", "work", "9",
				"row", strings.Repeat("k", 60_000)))
		}
	},
	"open requests with long tokens": func(c *testharness.Client, number int, _ *atomic.Bool) {
		for n := range 32 {
			_, _ = c.Conn.Write(floodRequest(number*32+n, "SELECT 1", "op", "lookup", "ttl", "9000", "work", "9",
				"token", strings.Repeat("k", 60_000)))
		}
	},
	"open requests with large statements": func(c *testharness.Client, number int, _ *atomic.Bool) {
		for n := range 32 {
			_, _ = c.Conn.Write(floodRequest(number*32+n, "SELECT "+strings.Repeat("x", 60_000), "op", "lookup", "ttl", "9000",
				"work", "9"))
		}
	},
	"responses unread": func(c *testharness.Client, number int, stopped *atomic.Bool) {
		for n := 0; n < 4000 && !stopped.Load(); n++ {
			if _, err := c.Conn.Write(floodMessage(n, "health")); err != nil {
				return
			}
		}
	},
}

// playCrowd starts the front end with a memory limit, lets a crowd of clients behave in the given way, and checks the
// peak of the front end's memory.
func playCrowd(
	t *testing.T, memoryLimitMB int, overTLS bool, behave func(*testharness.Client, int, *atomic.Bool),
) {
	options := []func(*testharness.Harness){func(r *testharness.Harness) {
		r.MemoryLimitMB, r.SocketLimit = memoryLimitMB, 1024
	}}
	fixture := newTLSFixture(t, "none", "")
	config, _ := fixture.clientConfig("", fixture.ca)
	if overTLS {
		options = append(options, fixture.useInstallation)
	}
	r := start(t, 2, testharness.SucceedAfterPolls(200, testharness.ResultRow), options...)
	var stopped atomic.Bool
	defer stopped.Store(true)
	for number := range crowdClients {
		var c *testharness.Client
		if overTLS {
			c = fixture.connect(r, config)
			if !c.Healthy() { // a client may not send much before the front end has ended the handshake
				continue
			}
		} else {
			c = r.NewClient()
		}
		go behave(c, number, &stopped)
	}
	time.Sleep(2500 * time.Millisecond)
	t.Logf("peak %d of %d MB", r.PeakMemoryMB(), memoryLimitMB)
	if peak := r.PeakMemoryMB(); peak >= memoryLimitMB {
		t.Errorf("the front end took %d MB, over its limit of %d", peak, memoryLimitMB)
	}
	select {
	case <-r.Exited:
		t.Error("the front end has ended")
	default:
	}
}

// Guards against a process that passes its memory limit while hundreds of clients write slowly, stop half way through a
// request, or keep requests open with many or long fields.
func TestCrowdKeepsToTheMemoryLimit(t *testing.T) {
	for name, behave := range crowdForms {
		t.Run(name, func(t *testing.T) { playCrowd(t, 32, false, behave) })
	}
	t.Run("large limit", func(t *testing.T) { playCrowd(t, 192, false, crowdForms["open requests with long keys"]) })
}

// Guards against the same over TLS, whose connections have buffers of their own.
func TestCrowdOverTLSKeepsToTheMemoryLimit(t *testing.T) {
	for _, name := range []string{"stop half way", "write slowly", "open requests with many fields"} {
		t.Run(name, func(t *testing.T) { playCrowd(t, 32, true, crowdForms[name]) })
	}
}

// Guards against the same over TLS with open requests of 60 KB each, where the buffers of TLS come on top.
func TestLongRequestsOverTLSKeepToTheMemoryLimit(t *testing.T) {
	for _, name := range []string{
		"open requests with long keys", "open requests with long tokens", "open requests with large statements",
	} {
		t.Run(name, func(t *testing.T) { playCrowd(t, 32, true, crowdForms[name]) })
	}
}
