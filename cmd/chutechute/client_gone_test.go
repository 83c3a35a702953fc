package main

import (
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// asleep stops the front end while f runs, so that all that f does comes in one turn.
func asleep(r *testharness.Harness, f func()) {
	r.Signal(syscall.SIGSTOP)
	stopped := func() bool {
		state, err := r.ProcessState()
		return err == nil && state == 'T'
	}
	require.Eventually(r.T, stopped, testharness.WaitTimeout, time.Millisecond)
	f()
	r.Signal(syscall.SIGCONT)
}

// settled waits until the front end has taken the news of as many clients' ends.
func settled(r *testharness.Harness, left int) {
	require.Eventually(r.T, func() bool { return r.Counter("connections ended by their clients") == left }, testharness.WaitTimeout, 5*time.Millisecond)
}

// Nothing begins for a client whose end has come in, however much it sent before: of a burst longer than one turn's share the rest
// was taken in later turns, and what the first turn took had begun by then.
func TestNothingBeginsForAClientThatHasLeft(t *testing.T) {
	for name, leave := range map[string]func(c net.Conn){
		"closed":      func(c net.Conn) { c.Close() },
		"reset":       func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
		"half-closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
			old, other := r.NewClient(), r.NewClient()
			require.True(t, old.Healthy() && other.Healthy())
			asleep(r, func() {
				fresh := r.NewClient() // it is accepted with its end behind its requests
				for i, c := range []*testharness.Client{old, fresh} {
					for n := range 100 {
						c.SendLookup(1000*i+n, "5000")
					}
					leave(c.Conn)
				}
				other.SendLookup(5000, "5000")
			})
			assert.Equal(t, "answer", other.ReadReply().Kind)
			settled(r, 2)
			posts := r.Requests("POST", "/")
			require.Len(t, posts, 1)
			assert.Equal(t, testharness.RequestID(5000), posts[0].Header.Get("Request-Id"))
		})
	}
}

// The end of a client is seen though nothing is read from it, as it leaves its answers unread: its running load is given up, and
// what waited behind that in the key's line never begins.
func TestEndOfAClientThatIsNotReadFrom(t *testing.T) {
	big := strings.Repeat(testharness.ResultRow, 900) // in rows of an answer's most
	var pages []string
	for range 7 {
		pages = append(pages, big)
	}
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		load := testharness.RequestID(1)
		switch {
		case c.Method == "DELETE":
			w.WriteHeader(204)
		case c.Header.Get("Request-Id") == load || strings.Contains(c.Path, load):
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
		default:
			testharness.SucceedAfterPolls(0, pages...)(r, w, c)
		}
	})
	c := r.NewClient()
	require.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(4<<10))
	c.SendLoad(1, "20000")
	c.SendLoad(2, "20000")
	r.WaitForRequests(1, "GET", "/v1/store/"+testharness.RequestID(1))
	for n := 10; ; n++ { // until its answers stand in the front end's own buffer, and no more is read from it
		for i := range 20 {
			if c.TrySendRequest("SELECT * FROM s_1.t", "call", testharness.RequestID(100*n+i), "op", "lookup", "ttl", "5000", "org", "t", "work", "1.0") != nil {
				break
			}
		}
		before := len(r.Requests("POST", "/"))
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, c.Conn.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		if len(r.Requests("POST", "/")) == before {
			break
		}
		require.Less(t, n, 400)
	}
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	begun := time.Now()
	r.WaitForRequests(1, "DELETE", "/v1/store/"+testharness.RequestID(1))
	assert.Less(t, time.Since(begun), 2*time.Second)
	assert.True(t, r.NewClient().Healthy())
	time.Sleep(100 * time.Millisecond)
	for _, p := range r.Requests("POST", "/") {
		assert.NotEqual(t, testharness.RequestID(2), p.Header.Get("Request-Id"), "the key's next began for a client that had left")
	}
}

// A cancel that comes with its request in one turn keeps it from beginning, and it names the connection's own request, whatever
// number or id another client uses.
func TestCancelInTheSameTurn(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(1, testharness.ResultRow))
	a, b := r.NewClient(), r.NewClient()
	require.True(t, a.Healthy() && b.Healthy())
	asleep(r, func() {
		seq := a.SendLookup(1, "5000")
		b.SendLookup(2, "5000")
		require.Equal(t, seq, b.LastSeq, "both have the same number")
		a.SendMessage(4, "cancel", []byte{8, 0, 1, 0, 0, 0, byte(seq)})
	})
	assert.Equal(t, "answer", b.ReadReply().Kind)
	assert.True(t, a.Healthy(), "the next message is the answer to health")
	posts := r.Requests("POST", "/")
	require.Len(t, posts, 1)
	assert.Equal(t, testharness.RequestID(2), posts[0].Header.Get("Request-Id"))
}

// Half a message, or one that can't be read, ends what its client has said: what was taken before is still answered.
func TestAnswersBeforeBadInput(t *testing.T) {
	for name, junk := range map[string]string{"garbled": "\x00\x00\x00\x0cabcdefghijkl", "half": "\x00\x00\x01\x00\x80\x01"} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 1, testharness.SucceedAfterPolls(60, testharness.ResultRow)) // three seconds
			c := r.NewClient()
			load2(c, 1)
			_, err := c.Conn.Write([]byte(junk))
			require.NoError(t, err)
			assert.Equal(t, "answer", c.ReadReply().Kind)
			_, err = c.Conn.Read(make([]byte, 1))
			assert.Error(t, err, "and then it is closed")
			assert.Empty(t, r.Requests("DELETE", "/"))
		})
	}
}
