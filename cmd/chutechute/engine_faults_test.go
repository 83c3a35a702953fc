package main

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// An attempt that has timed out may still be running: the retry is sent only once its DELETE has been answered.
func TestRetryWaitsForTheDelete(t *testing.T) {
	var deletedAt atomic.Int64
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE":
			time.Sleep(300 * time.Millisecond)
			deletedAt.CompareAndSwap(0, time.Now().UnixNano())
			w.WriteHeader(204)
		case deletedAt.Load() != 0 && c.Method == "POST":
			testharness.RespondResult(w, testharness.ResultRow)
		default:
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
		}
	})
	c := r.NewClient()
	c.SendLookup(1, "5000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	posts := r.Requests("POST", "/")
	require.Len(t, posts, 2)
	assert.Greater(t, posts[1].ReceivedAt.UnixNano(), deletedAt.Load())
}

// At its deadline a request is answered although its attempt is still running, and the next load of its order key waits
// until that attempt's DELETE has been answered.
func TestDeadlineAnswersWhileTheKeyWaits(t *testing.T) {
	var deletedAt atomic.Int64
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE":
			time.Sleep(400 * time.Millisecond)
			deletedAt.Store(time.Now().UnixNano())
			w.WriteHeader(204)
		case c.Header.Get("Request-Id") == testharness.RequestID(2):
			testharness.RespondResult(w, testharness.ResultRow)
		default:
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
		}
	})
	c := r.NewClient()
	sent := time.Now()
	first := c.SendLoad(1, "1000")
	time.Sleep(60 * time.Millisecond)
	c.SendLoad(2, "9000")
	p := c.ReadReply()
	assert.Equal(t, first, p.Seq)
	assert.Equal(t, "shed", p.Kind)
	assert.Contains(t, p.Payload, "pushback")
	// The client timeout less the time that counts as queued.
	assert.GreaterOrEqual(t, time.Since(sent), 600*time.Millisecond, "shed too early")
	assert.Zero(t, deletedAt.Load(), "the response waited for the engine")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Greater(t, r.Requests("POST", "/")[1].ReceivedAt.UnixNano(), deletedAt.Load())
}

// A request whose engine accepts connections but never responds is answered before its client's timeout.
func TestSilentEngine(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // the kernel accepts connections, and nobody reads from them
	require.NoError(t, err)
	defer silent.Close()
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow),
		func(r *testharness.Harness) { r.Engines[0].Addr = silent.Addr().(*net.TCPAddr) })
	c := r.NewClient()
	c.SendLookup(1, "1500")
	assert.Equal(t, "shed", c.ReadReply().Kind)
	r.Signal(syscall.SIGUSR1)
	r.WaitForLog("answers refused                               1")
}

// An engine that rejects every query at once looks idle. It gets a query only now and then: queries once used up their
// attempts on it while other engines had capacity.
func TestFullEngineIsNotFlooded(t *testing.T) {
	r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		if c.Engine == "s-00000001" {
			w.Header().Set("Never-Ran", "1")
			w.WriteHeader(503)
			return
		}
		testharness.RespondResult(w, testharness.ResultRow)
	})
	c := r.NewClient()
	started := time.Now()
	for i := range 200 {
		c.SendLookup(i, "5000")
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	attempts := 0
	for _, p := range r.Requests("POST", "/") {
		if p.Engine == "s-00000001" {
			attempts++
		}
	}
	assert.Less(t, attempts, 10+int(time.Since(started)/(20*time.Millisecond)))
}

// A query is not bound to a connection: one whose connection breaks during a poll is polled on another, not started
// again.
func TestPollContinuesOnAnotherConnection(t *testing.T) {
	var gets atomic.Int32
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "POST":
			w.WriteHeader(202)
		case gets.Add(1) == 1:
			panic(http.ErrAbortHandler)
		default:
			testharness.RespondResult(w, testharness.ResultRow)
		}
	})
	c := r.NewClient()
	c.SendLookup(1, "5000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Len(t, r.Requests("POST", "/"), 1)
}

// A malformed response is not passed to the client and doesn't fail the query: the engine has run it and is polled for
// the result again. Interim responses before a valid response, and bytes after it, do no harm.
func TestMalformedEngineResponses(t *testing.T) {
	for name, c := range map[string]struct {
		response  string
		closeConn bool
		polls     int // how often the result is polled for again
	}{
		"noise":                    {"\x00\xff\x17 noise", false, 1},
		"status of a DELETE":       {"HTTP/1.1 204 No Content\r\n\r\n", false, 1},
		"status that engines lack": {"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", false, 1},
		"no status": {
			"HTTP/1.1 2x0 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\n" + testharness.ResultRow, false, 1,
		},
		"head without end": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Noise: 0123456789\r\n", 1000), false, 1},
		"no length":        {"HTTP/1.1 200 OK\r\nX-Batches: 1\r\n\r\n" + testharness.ResultRow, false, 1},
		"3 GB": {
			"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 3000000000\r\n\r\n" + testharness.ResultRow, false, 1,
		},
		"length too long": {
			"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 9\r\n\r\n" + testharness.ResultRow, false, 1,
		},
		"length too short": {
			"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 4\r\n\r\n" + testharness.ResultRow, false, 1,
		},
		"noise for rows": {"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\n!!!!!!", false, 1},
		"no pages":       {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" + testharness.ResultRow, false, 1},
		"cut off":        {completeResponse[:len(completeResponse)-2], true, 1},
		"ended":          {"", true, 1},
		"never comes":    {"", false, 1},
		"interim answers": {
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + completeResponse, false, 0,
		},
		"second copy": {completeResponse + completeResponse, false, 0},
		"noise after": {completeResponse + "\x00\xff\x17 noise", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, got testharness.EngineRequest) {
				if got.Method == "POST" {
					testharness.RespondRaw(w, c.response, c.closeConn)
					return
				}
				testharness.RespondResult(w, testharness.ResultRow)
			})
			client := r.NewClient()
			sendUnorderedLoad(client, 1)
			p := client.ReadReply()
			require.Equal(t, "answer", p.Kind)
			assert.Equal(t, testharness.ResultRow, p.Rows())
			assert.Len(t, r.Requests("POST", "/"), 1)
			assert.Len(t, r.Requests("GET", "/v1/store/"+testharness.RequestID(1)+"/0"), c.polls)
			assert.Empty(t, r.Requests("DELETE", "/"))
		})
	}
}

// An engine that responds to a poll that it doesn't know the query may still read the start later, if it did not
// respond to the start, closed its connection (as a machine does that was unreachable for a while), or sent another
// response (a late duplicate) instead. Each of these was once taken for the end of the attempt, and a second one was
// sent while the first could still run.
func TestUnknownStartIsNotRetriedEarly(t *testing.T) {
	stray := "HTTP/1.1 200 OK\r\nX-Batch: 3\r\nContent-Length: 6\r\n\r\n" + testharness.ResultRow
	for name, first := range map[string]struct {
		response  string
		closeConn bool
	}{"unread": {"", false}, "severed": {"", true}, "spoilt": {stray, true}} {
		t.Run(name, func(t *testing.T) {
			var posts atomic.Int32
			r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
				switch {
				case c.Method == "GET":
					w.WriteHeader(500)
				case c.Method == "DELETE":
					w.WriteHeader(204)
				case posts.Add(1) == 1:
					testharness.RespondRaw(w, first.response, first.closeConn)
				default:
					testharness.RespondResult(w, testharness.ResultRow)
				}
			})
			c := r.NewClient()
			sendUnorderedLoad(c, 1)
			assert.Equal(t, "answer", c.ReadReply().Kind)
			starts := r.Requests("POST", "/")
			require.Len(t, starts, 2)
			assert.GreaterOrEqual(t, starts[1].ReceivedAt.Sub(starts[0].ReceivedAt), 2*time.Second)
			assert.Len(t, r.Requests("GET", "/"), 1)
			require.Len(t, r.Requests("DELETE", "/"), 1, "no DELETE for a start that arrives late")
			assert.Less(t, r.Requests("DELETE", "/")[0].ReceivedAt, starts[1].ReceivedAt)
		})
	}
}

// A DELETE without a response may not have arrived: it is sent again on another connection, and the next attempt waits
// for the response. Attempts once overlapped when the front end waited for the abandon timeout instead.
func TestUnansweredDeleteIsSentAgain(t *testing.T) {
	var deletes atomic.Int32
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE" && deletes.Add(1) == 1:
			testharness.RespondRaw(w, "", false)
		case c.Method == "DELETE":
			w.WriteHeader(204)
		case deletes.Load() > 1:
			testharness.RespondResult(w, testharness.ResultRow)
		default:
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
		}
	})
	c := r.NewClient()
	c.SendLookup(1, "9000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Len(t, r.Requests("POST", "/"), 2)
	assert.Len(t, r.Requests("DELETE", "/"), 2)
}

// A draining engine refuses new connections and keeps running its queries: a query that has lost its connection is
// polled on one that is left. It was once taken for ended, and the next load of its order key was sent while it still
// ran.
func TestDrainingEngineRefusesConnections(t *testing.T) {
	var polls atomic.Int32
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "GET" && strings.Contains(c.Path, testharness.RequestID(2)) && polls.Add(1) == 1:
			r.Engines[0].Server.Listener.Close()
			testharness.RespondRaw(w, "", false)
		case c.Method == "GET" && strings.Contains(c.Path, testharness.RequestID(2)):
			testharness.RespondResult(w, testharness.ResultRow)
		default:
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
		}
	})
	c := r.NewClient()
	sendUnorderedLoad(c, 1) // keeps a connection open
	r.WaitForRequests(1, "GET", "/v1/store/"+testharness.RequestID(1))
	c.SendLoad(2, "9000")
	p := c.ReadReply()
	require.Equal(t, "answer", p.Kind)
	assert.Equal(t, testharness.ResultRow, p.Rows())
	assert.Len(t, r.Requests("POST", "/"), 2)
}

// While an engine responds on other connections, a query on one without responses is polled elsewhere without waiting
// for as long as for an unresponsive engine.
func TestSilentConnectionOfALiveEngine(t *testing.T) {
	for range 5 { // a slow machine may not make it within the second
		r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
			if c.Method == "POST" && c.Header.Get("Request-Id") == testharness.RequestID(1) {
				testharness.RespondRaw(w, "", false)
				return
			}
			if strings.Contains(c.Path, testharness.RequestID(1)) {
				testharness.RespondResult(w, testharness.ResultRow)
				return
			}
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
		})
		c := r.NewClient()
		sendUnorderedLoad(c, 2)
		sendUnorderedLoad(c, 1)
		require.Equal(t, "answer", c.ReadReply().Kind)
		posts, polls := r.Requests("POST", "/"), r.WaitForRequests(1, "GET", "/v1/store/"+testharness.RequestID(1))
		if polls[0].ReceivedAt.Sub(posts[1].ReceivedAt) < 900*time.Millisecond {
			return
		}
	}
	t.Error("the query was polled only once its connection had timed out")
}

// A connection that is reset while it is new or idle neither fails a query nor counts against the engine.
func TestResetOfNewAndIdleConnections(t *testing.T) {
	var conns atomic.Int32
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) {
		r.OnConnState = func(conn net.Conn, state http.ConnState) {
			if state == http.StateNew && conns.Add(1) <= 2 || state == http.StateIdle {
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
		}
	})
	c := r.NewClient()
	for i := range 5 {
		sendUnorderedLoad(c, i)
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.Len(t, r.Requests("POST", "/"), 5)
	assert.NotContains(t, r.Log.String(), "ejected")
}
