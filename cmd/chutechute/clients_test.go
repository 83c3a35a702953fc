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

// streams_per_conn is about engines: a client may have 32 requests open whatever it says.
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

// Engines use the descriptors that clients leave, but clients who come later are still taken in and the
// queries whose connections they cost go on.
func TestClientsTakeDescriptorsBack(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(5, testharness.ResultRow), func(r *testharness.Harness) { r.SocketLimit = 64 })
	a, b := r.NewClient(), r.NewClient()
	for i := range 30 {
		load2(a, i)
		load2(b, 100+i)
	}
	r.WaitForRequests(10, "POST", "/")
	for range 18 {
		assert.True(t, r.NewClient().Healthy())
	}
	assert.Eventually(t, func() bool {
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.Cmd.Process.Pid))
		return err == nil && len(fds) <= 64
	}, testharness.WaitTimeout, time.Millisecond)
	for range 30 {
		assert.Equal(t, "answer", a.ReadReply().Kind)
		assert.Equal(t, "answer", b.ReadReply().Kind)
	}
	assert.Len(t, r.Requests("POST", "/"), 60)
}

// Malformed input costs its sender the connection, or an exception where the frame is whole, and nobody else.
func TestMalformedInput(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	for _, junk := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x0cabcdefghijkl", "\xff\xff\xff\xff", "\x00\x00\x00\x00"} {
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

// Who says nothing, or half of something, is closed within 3 s; who has had an answer may stay for good.
func TestSilentClients(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	usual, nothing, half, later := r.NewClient(), r.NewClient(), r.NewClient(), r.NewClient()
	require.True(t, usual.Healthy() && later.Healthy())
	for _, c := range []*testharness.Client{half, later} {
		_, err := c.Conn.Write([]byte{0, 0, 1, 0, 0x80, 1})
		require.NoError(t, err)
	}
	begun := time.Now()
	for _, c := range []*testharness.Client{nothing, half, later} {
		_, err := c.Conn.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
	assert.Greater(t, time.Since(begun), time.Second, "time to send is left")
	time.Sleep(2 * time.Second)
	assert.True(t, usual.Healthy())
	r.Signal(syscall.SIGUSR1)
	r.WaitForLog("connections closed for half a message or none 3")
}

// Who says only what nobody answers is closed as one who says nothing; who waits for an answer is not.
func TestClientsWithoutAWordAreClosed(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(70, testharness.ResultRow)) // three and a half seconds
	idle, waits := r.NewClient(), r.NewClient()
	load2(waits, 1)
	go func() {
		for n := range 40 {
			if idle.TrySendMessage(4, "cancel", []byte{8, 0, 1, 0, 0, 0, byte(n)}) != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	_, err := idle.Conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, "answer", waits.ReadReply().Kind)
}

// Those who say nothing give way to newcomers, before any who have been answered.
func TestSilentClientsGiveWay(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) { r.SocketLimit = 64 }) // 29 clients
	var usual []*testharness.Client
	for range 10 {
		c := r.NewClient()
		require.True(t, c.Healthy())
		usual = append(usual, c)
	}
	for range 60 {
		r.NewClient()
	}
	assert.True(t, r.NewClient().Healthy())
	for _, c := range usual {
		assert.True(t, c.Healthy())
	}
}

// A newcomer whose request is on its way keeps its place; who has been idle longest gives way. Closed in between,
// the request counted as taken, and later ones of its key broke the order.
func TestNewcomersKeepTheirPlace(t *testing.T) {
	for {
		r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) { r.SocketLimit = 64 }) // 29 clients
		for range 28 {
			require.True(t, r.NewClient().Healthy())
		}
		begun := time.Now()
		fresh := r.NewClient()
		require.True(t, r.NewClient().Healthy())
		if time.Since(begun) > 500*time.Millisecond {
			continue // it is no newcomer any more
		}
		fresh.SendLookup(1, "5000")
		assert.Equal(t, "answer", fresh.ReadReply().Kind)
		return
	}
}

// What a client was answered before its connection had to end still reaches it, though it goes on sending.
func TestAnswersOutliveTheClose(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	c := r.NewClient()
	c.SendMessage(1, "nonsense")
	_, err := c.Conn.Write(bytes.Repeat([]byte("junk"), 150_000))
	require.NoError(t, err)
	assert.Equal(t, "exception", c.ReadReply().Kind)
	_, err = c.Conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// A client that sends thousands of messages at once does not hold up the others: only so many are taken in a turn.
func TestBusyClientTakesTurns(t *testing.T) {
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
	p := r.Requests("POST", "/")
	require.Len(t, p, 2)
	assert.Equal(t, testharness.RequestID(2), p[0].Header.Get("Request-Id"))
	assert.Greater(t, p[1].ReceivedAt.Sub(p[0].ReceivedAt), 20*time.Millisecond, "the busy one is not a hundred turns behind")
}

// The memory of all clients together is bounded, not that of each: many half messages do not end the program.
func TestMemoryOfAllClients(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) { r.MemoryLimitMB = 32 })
	half := append([]byte{0, 3, 0xff, 0, 0x80, 1, 0, 1}, make([]byte, 200_000)...)
	for range 200 {
		_, _ = r.NewClient().Conn.Write(half) // it may be closed meanwhile
	}
	c := r.NewClient()
	c.SendLookup(1, "5000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Less(t, r.PeakMemoryMB(), 32)
}

// An answered request leaves nothing behind, whatever time its client gave it.
func TestAnsweredRequestsAreLetGo(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) { r.MemoryLimitMB = 32 })
	c := r.NewClient()
	require.NoError(t, c.Conn.SetDeadline(time.Now().Add(2*time.Minute))) // of all 8,000, where other clients have theirs for a few
	for i := range 8000 {
		c.SendRequest("INSERT INTO s_1.t", "call", testharness.RequestID(i), "op", "load", "ttl", "3600000", "dedupe", fmt.Sprint(i),
			"row", strings.Repeat(testharness.RequestID(i), 200))
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.Less(t, r.PeakMemoryMB(), 24)
}
