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

// whileStopped stops the front end while f runs, so that it receives all that f sends in one turn of its event loop.
func whileStopped(r *testharness.Harness, f func()) {
	r.Signal(syscall.SIGSTOP)
	stopped := func() bool {
		state, err := r.ProcessState()
		return err == nil && state == 'T'
	}
	require.Eventually(r.T, stopped, testharness.WaitTimeout, time.Millisecond)
	f()
	r.Signal(syscall.SIGCONT)
}

// waitForClientDisconnects waits until the front end has counted the given number of connections closed by clients.
func waitForClientDisconnects(r *testharness.Harness, count int) {
	require.Eventually(r.T, func() bool { return r.Counter("connections ended by their clients") == count },
		testharness.WaitTimeout, 5*time.Millisecond)
}

// No request is started for a client that has disconnected, however many it sent before. A burst of more requests than
// one turn takes in was once spread over several turns, and those of the first were started before the disconnect was
// seen.
func TestNoRequestStartsForADisconnectedClient(t *testing.T) {
	for name, disconnect := range map[string]func(c net.Conn){
		"closed":      func(c net.Conn) { c.Close() },
		"reset":       func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
		"half-closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
			existing, other := r.NewClient(), r.NewClient()
			require.True(t, existing.Healthy() && other.Healthy())
			whileStopped(r, func() {
				fresh := r.NewClient() // accepted with its requests and its disconnect already received
				for i, c := range []*testharness.Client{existing, fresh} {
					for n := range 100 {
						c.SendLookup(1000*i+n, "5000")
					}
					disconnect(c.Conn)
				}
				other.SendLookup(5000, "5000")
			})
			assert.Equal(t, "answer", other.ReadReply().Kind)
			waitForClientDisconnects(r, 2)
			posts := r.Requests("POST", "/")
			require.Len(t, posts, 1)
			assert.Equal(t, testharness.RequestID(5000), posts[0].Header.Get("Request-Id"))
		})
	}
}

// The disconnect of a client is seen although the front end has stopped reading from it because it doesn't read its
// responses. Its running load is ended, and the load queued behind that for the same order key is never started.
func TestDisconnectOfAClientThatIsNotRead(t *testing.T) {
	page := strings.Repeat(testharness.ResultRow, 900) // one page, close to the maximum size
	var pages []string
	for range 7 {
		pages = append(pages, page)
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
	for n := 10; ; n++ { // until responses fill the front end's buffer, and it stops reading from the client
		for i := range 20 {
			if c.TrySendRequest("SELECT * FROM s_1.t", "call", testharness.RequestID(100*n+i), "op", "lookup", "ttl", "5000",
				"org", "t", "work", "1.0") != nil {
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
	disconnected := time.Now()
	r.WaitForRequests(1, "DELETE", "/v1/store/"+testharness.RequestID(1))
	assert.Less(t, time.Since(disconnected), 2*time.Second)
	assert.True(t, r.NewClient().Healthy())
	time.Sleep(100 * time.Millisecond)
	for _, p := range r.Requests("POST", "/") {
		assert.NotEqual(t, testharness.RequestID(2), p.Header.Get("Request-Id"),
			"the next load of the order key was started for a disconnected client")
	}
}

// A cancel that is received in the same turn as its request keeps the request from being started. It applies to the
// request of its own connection, even if another client uses the same sequence number.
func TestCancelInTheSameTurn(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(1, testharness.ResultRow))
	a, b := r.NewClient(), r.NewClient()
	require.True(t, a.Healthy() && b.Healthy())
	whileStopped(r, func() {
		seq := a.SendLookup(1, "5000")
		b.SendLookup(2, "5000")
		require.Equal(t, seq, b.LastSeq, "both have the same sequence number")
		a.SendMessage(4, "cancel", []byte{8, 0, 1, 0, 0, 0, byte(seq)})
	})
	assert.Equal(t, "answer", b.ReadReply().Kind)
	assert.True(t, a.Healthy(), "the next message is the response to health")
	posts := r.Requests("POST", "/")
	require.Len(t, posts, 1)
	assert.Equal(t, testharness.RequestID(2), posts[0].Header.Get("Request-Id"))
}

// An incomplete or malformed message ends its client's input, but the requests received before it are still answered.
func TestRequestsBeforeMalformedInputAreAnswered(t *testing.T) {
	for name, junk := range map[string]string{"garbled": "\x00\x00\x00\x0cabcdefghijkl",
		"half": "\x00\x00\x01\x00\x80\x01"} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 1, testharness.SucceedAfterPolls(60, testharness.ResultRow)) // three seconds
			c := r.NewClient()
			sendUnorderedLoad(c, 1)
			_, err := c.Conn.Write([]byte(junk))
			require.NoError(t, err)
			assert.Equal(t, "answer", c.ReadReply().Kind)
			_, err = c.Conn.Read(make([]byte, 1))
			assert.Error(t, err, "the connection is closed after the response")
			assert.Empty(t, r.Requests("DELETE", "/"))
		})
	}
}
