package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// A client may have 32 requests open on its connection, whatever the setting streams_per_conn, which applies to
// engines.
func TestClientsMayHave32Open(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(4, testharness.ResultRow))
	c := r.NewClient()
	seen := map[int32]bool{}
	for i := range 32 {
		c.SendLookup(i, "5000")
	}
	for range 32 {
		p := c.ReadReply()
		assert.Equal(t, "answer", p.Kind)
		seen[p.Seq] = true
	}
	assert.Len(t, seen, 32)
}

// Connections to engines may use the descriptors that clients leave free, but new clients still get descriptors, and
// the queries whose connections are closed for them go on.
func TestClientsReclaimDescriptorsFromEngines(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(5, testharness.ResultRow),
		func(r *testharness.Harness) { r.SocketLimit = 64 })
	a, b := r.NewClient(), r.NewClient()
	for i := range 30 {
		sendUnorderedLoad(a, i)
		sendUnorderedLoad(b, 100+i)
	}
	r.WaitForRequests(10, "POST", "/")
	for range 18 {
		assert.True(t, r.NewClient().Healthy())
	}
	assert.Eventually(t, func() bool {
		descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.Cmd.Process.Pid))
		return err == nil && len(descriptors) <= 64
	}, testharness.WaitTimeout, time.Millisecond)
	for range 30 {
		assert.Equal(t, "answer", a.ReadReply().Kind)
		assert.Equal(t, "answer", b.ReadReply().Kind)
	}
	assert.Len(t, r.Requests("POST", "/"), 60)
}

// On malformed input the sender's connection is closed, or it gets an exception if the frame is complete; other clients
// are not affected.
func TestMalformedInput(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	for _, junk := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x0cabcdefghijkl", "\xff\xff\xff\xff",
		"\x00\x00\x00\x00"} {
		c := r.NewClient()
		_, err := c.Conn.Write([]byte(junk))
		require.NoError(t, err)
		_, err = c.Conn.Read(make([]byte, 1))
		assert.Error(t, err, "%q", junk)
	}
	c := r.NewClient()
	c.SendMessage(1, "nonsense")
	assert.Equal(t, "exception", c.ReadReply().Kind)
	c.SendMessage(1, "call", []byte{13, 0, 1, 11, 11, 0x7f, 0, 0, 0}, []byte{11, 0, 2, 0x7f, 0xff, 0xff, 0xff})
	assert.Equal(t, "exception", c.ReadReply().Kind)
	for _, fields := range [][]string{
		{"op", "lookup", "ttl", "5000"},
		{"call", "a/../b", "op", "lookup", "ttl", "5000"},
		{"call", testharness.RequestID(1), "op", "nothing", "ttl", "5000"},
		{"call", testharness.RequestID(1), "op", "lookup", "ttl", "NaN"},
		{"call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "org", "nobody"},
		{"call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "dedupe", "a\r\nb"},
		{"call", "s_1", "op", "lookup", "ttl", "5000"},
		{"call", testharness.RequestID(1), "op", "load", "ttl", "5000"},
		{"call", testharness.RequestID(1), "op", "lookup", "ttl", "-5"},
		{"call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "work", "much"},
		{"call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "work", "-1.0"},
		{"call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "work", "1e300"},
		{"call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "mb", "0x10"},
		{"call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "mb", "Inf"},
	} {
		c.SendRequest("SELECT 1", fields...)
		assert.Equal(t, "exception", c.ReadReply().Kind, "%q", fields)
	}
	c.SendLookup(1, "5000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Len(t, r.Requests("POST", "/"), 1)
}

// A client that sends nothing or an incomplete message is disconnected within 3 s. One that has been answered may stay
// connected and idle.
func TestSilentClients(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	answered, silent, incomplete, later := r.NewClient(), r.NewClient(), r.NewClient(), r.NewClient()
	require.True(t, answered.Healthy() && later.Healthy())
	for _, c := range []*testharness.Client{incomplete, later} {
		_, err := c.Conn.Write([]byte{0, 0, 1, 0, 0x80, 1})
		require.NoError(t, err)
	}
	started := time.Now()
	for _, c := range []*testharness.Client{silent, incomplete, later} {
		_, err := c.Conn.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
	assert.Greater(t, time.Since(started), time.Second, "clients have some time to send")
	time.Sleep(2 * time.Second)
	assert.True(t, answered.Healthy())
	r.Signal(syscall.SIGUSR1)
	r.WaitForLog("connections closed for half a message or none 3")
}

// A client that sends only messages without a response, such as cancels, is disconnected like one that sends nothing.
// One that waits for a response is not.
func TestClientsThatOnlyCancelAreClosed(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(70, testharness.ResultRow)) // three and a half seconds
	canceling, waiting := r.NewClient(), r.NewClient()
	sendUnorderedLoad(waiting, 1)
	go func() {
		for n := range 40 {
			if canceling.TrySendMessage(4, "cancel", []byte{8, 0, 1, 0, 0, 0, byte(n)}) != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	_, err := canceling.Conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, "answer", waiting.ReadReply().Kind)
}

// When descriptors are short, clients that have sent nothing are closed for new ones, before any that have been
// answered.
func TestSilentClientsAreClosedForNewOnes(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow),
		func(r *testharness.Harness) { r.SocketLimit = 64 }) // 29 clients
	var answered []*testharness.Client
	for range 10 {
		c := r.NewClient()
		require.True(t, c.Healthy())
		answered = append(answered, c)
	}
	for range 60 {
		r.NewClient()
	}
	assert.True(t, r.NewClient().Healthy())
	for _, c := range answered {
		assert.True(t, c.Healthy())
	}
}

// When descriptors are short, the client that has been idle longest is closed, not a new one whose request may be about
// to arrive. A request that arrived at a connection closed that way would count as received, and later ones of its
// order key would overtake it.
func TestNewClientsAreNotClosedForOthers(t *testing.T) {
	for {
		r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow),
			func(r *testharness.Harness) { r.SocketLimit = 64 }) // 29 clients
		for range 28 {
			require.True(t, r.NewClient().Healthy())
		}
		started := time.Now()
		newClient := r.NewClient()
		require.True(t, r.NewClient().Healthy())
		if time.Since(started) > 500*time.Millisecond {
			continue // the machine was too slow: it no longer counts as new
		}
		newClient.SendLookup(1, "5000")
		assert.Equal(t, "answer", newClient.ReadReply().Kind)
		return
	}
}

// A response that precedes the closing of a connection reaches the client even if it keeps sending.
func TestResponsesAreDeliveredBeforeTheClose(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	c := r.NewClient()
	c.SendMessage(1, "nonsense")
	_, err := c.Conn.Write(bytes.Repeat([]byte("junk"), 150_000))
	require.NoError(t, err)
	assert.Equal(t, "exception", c.ReadReply().Kind)
	_, err = c.Conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// A client that sends thousands of messages at once does not delay the others: the messages read from a client per turn
// of the event loop are limited.
func TestBusyClientDoesNotDelayOthers(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	busy, other := r.NewClient(), r.NewClient()
	require.True(t, busy.Healthy() && other.Healthy())
	r.Signal(syscall.SIGSTOP)
	for range 3000 {
		busy.SendMessage(1, "x")
	}
	busy.SendLookup(1, "5000")
	other.SendLookup(2, "5000")
	r.Signal(syscall.SIGCONT)
	assert.Equal(t, "answer", other.ReadReply().Kind)
	for range 3000 {
		assert.Equal(t, "exception", busy.ReadReply().Kind)
	}
	assert.Equal(t, "answer", busy.ReadReply().Kind)
	posts := r.Requests("POST", "/")
	require.Len(t, posts, 2)
	assert.Equal(t, testharness.RequestID(2), posts[0].Header.Get("Request-Id"))
	assert.Greater(t, posts[1].ReceivedAt.Sub(posts[0].ReceivedAt), 20*time.Millisecond,
		"the busy client was not limited in each turn")
}

// The memory for all clients together is limited, not only that for each: many incomplete messages don't exhaust it.
func TestMemoryOfAllClients(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow),
		func(r *testharness.Harness) { r.MemoryLimitMB = 32 })
	incomplete := append([]byte{0, 3, 0xff, 0, 0x80, 1, 0, 1}, make([]byte, 200_000)...)
	for range 200 {
		_, _ = r.NewClient().Conn.Write(incomplete) // the connection may have been closed meanwhile
	}
	c := r.NewClient()
	c.SendLookup(1, "5000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Less(t, r.PeakMemoryMB(), 32)
}

// The memory of an answered request is freed, however long its client's timeout.
func TestAnsweredRequestsAreFreed(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow),
		func(r *testharness.Harness) { r.MemoryLimitMB = 32 })
	c := r.NewClient()
	// For all 8,000 requests; the default deadline is for a few.
	require.NoError(t, c.Conn.SetDeadline(time.Now().Add(2*time.Minute)))
	for i := range 8000 {
		c.SendRequest("INSERT INTO s_1.t", "call", testharness.RequestID(i), "op", "load", "ttl", "3600000",
			"dedupe", fmt.Sprint(i),
			"row", strings.Repeat(testharness.RequestID(i), 200))
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.Less(t, r.PeakMemoryMB(), 24)
}
