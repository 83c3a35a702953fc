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

// A time-out is not the end of an attempt: the next is sent only once the DELETE is known to have arrived.
func TestResendsOnlyAfterTheDelete(t *testing.T) {
	var deleted atomic.Int64
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE":
			time.Sleep(300 * time.Millisecond)
			deleted.CompareAndSwap(0, time.Now().UnixNano())
			w.WriteHeader(204)
		case deleted.Load() != 0 && c.Method == "POST":
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
	assert.Greater(t, posts[1].ReceivedAt.UnixNano(), deleted.Load())
}

// At its deadline a request is answered though its attempt is still out, and the next of its key waits
// until that has been given up.
func TestDeadlineAnswersWhileTheKeyWaits(t *testing.T) {
	var deleted atomic.Int64
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE":
			time.Sleep(400 * time.Millisecond)
			deleted.Store(time.Now().UnixNano())
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
	assert.GreaterOrEqual(t, time.Since(sent), 600*time.Millisecond, "given up early") // less what counts as held back
	assert.Zero(t, deleted.Load(), "the answer waited for the engine")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Greater(t, r.Requests("POST", "/")[1].ReceivedAt.UnixNano(), deleted.Load())
}

// An engine that says nothing is left alone until it has given up by itself, and the answer is in time.
func TestSilentEngine(t *testing.T) {
	silence, err := net.Listen("tcp4", "127.0.0.1:0") // accepts and never reads
	require.NoError(t, err)
	defer silence.Close()
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) { r.Engines[0].Addr = silence.Addr().(*net.TCPAddr) })
	c := r.NewClient()
	c.SendLookup(1, "1500")
	assert.Equal(t, "shed", c.ReadReply().Kind)
	r.Signal(syscall.SIGUSR1)
	r.WaitForLog("answers refused                               1")
}

// An engine that refuses all at once looks idle. It is tried now and then, not with every query: those
// used up their attempts on it while the others had room.
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
	begun := time.Now()
	for i := range 200 {
		c.SendLookup(i, "5000")
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	tries := 0
	for _, p := range r.Requests("POST", "/") {
		if p.Engine == "s-00000001" {
			tries++
		}
	}
	assert.Less(t, tries, 10+int(time.Since(begun)/(20*time.Millisecond)))
}

// No connection owns a query: one that has started is asked after on another connection, not started again.
func TestBrokenPollGoesOn(t *testing.T) {
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

// A spoilt answer is not passed on, nor does it cost the query: its engine has run it and gives its answer
// again. What comes beside a good answer does not spoil it.
func TestSpoiltAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		end    bool
		asked  int // how often the answer is asked for again
	}{
		"noise":            {"\x00\xff\x17 noise", false, 1},
		"no status":        {"HTTP/1.1 2x0 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\n" + testharness.ResultRow, false, 1},
		"head without end": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Noise: 0123456789\r\n", 1000), false, 1},
		"no length":        {"HTTP/1.1 200 OK\r\nX-Batches: 1\r\n\r\n" + testharness.ResultRow, false, 1},
		"3 GB":             {"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 3000000000\r\n\r\n" + testharness.ResultRow, false, 1},
		"length too long":  {"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 9\r\n\r\n" + testharness.ResultRow, false, 1},
		"length too short": {"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 4\r\n\r\n" + testharness.ResultRow, false, 1},
		"noise for rows":   {"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\n!!!!!!", false, 1},
		"no pages":         {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" + testharness.ResultRow, false, 1},
		"cut off":          {whole[:len(whole)-2], true, 1},
		"ended":            {"", true, 1},
		"never comes":      {"", false, 1},
		"interim answers":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, false, 0},
		"second copy":      {whole + whole, false, 0},
		"noise after":      {whole + "\x00\xff\x17 noise", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, got testharness.EngineRequest) {
				if got.Method == "POST" {
					testharness.RespondRaw(w, c.answer, c.end)
					return
				}
				testharness.RespondResult(w, testharness.ResultRow)
			})
			client := r.NewClient()
			load2(client, 1)
			p := client.ReadReply()
			require.Equal(t, "answer", p.Kind)
			assert.Equal(t, testharness.ResultRow, p.Rows())
			assert.Len(t, r.Requests("POST", "/"), 1)
			assert.Len(t, r.Requests("GET", "/v1/store/"+testharness.RequestID(1)+"/0"), c.asked)
			assert.Empty(t, r.Requests("DELETE", "/"))
		})
	}
}

// A start may still be read after the engine has said that it knows nothing of it, where it was met with silence, where its
// connection was ended (by a machine that was away and is back), or where something else came in place of its answer (a late
// copy of another). Taken for its end, each had a second copy sent while the first was out.
func TestDoubtfulStartIsNotSentAgainEarly(t *testing.T) {
	stray := "HTTP/1.1 200 OK\r\nX-Batch: 3\r\nContent-Length: 6\r\n\r\n" + testharness.ResultRow
	for name, first := range map[string]struct {
		answer string
		end    bool
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
					testharness.RespondRaw(w, first.answer, first.end)
				default:
					testharness.RespondResult(w, testharness.ResultRow)
				}
			})
			c := r.NewClient()
			load2(c, 1)
			assert.Equal(t, "answer", c.ReadReply().Kind)
			p := r.Requests("POST", "/")
			require.Len(t, p, 2)
			assert.GreaterOrEqual(t, p[1].ReceivedAt.Sub(p[0].ReceivedAt), 2*time.Second)
			assert.Len(t, r.Requests("GET", "/"), 1)
			require.Len(t, r.Requests("DELETE", "/"), 1, "what came late is not ended")
			assert.Less(t, r.Requests("DELETE", "/")[0].ReceivedAt, p[1].ReceivedAt)
		})
	}
}

// A DELETE that is met with silence may not have arrived: it is sent again on another connection, and the next
// attempt waits for its answer. Waiting for the engine to give up by itself let attempts overlap.
func TestSilentDeleteIsSentAgain(t *testing.T) {
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

// An engine that drains refuses new connections and runs on: a query that has lost its connection is asked after
// on one that is left. Taken for gone, its key's next query was sent beside it.
func TestDrainingEngineRefusesConnections(t *testing.T) {
	var asked atomic.Int32
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "GET" && strings.Contains(c.Path, testharness.RequestID(2)) && asked.Add(1) == 1:
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
	load2(c, 1) // keeps a connection
	r.WaitForRequests(1, "GET", "/v1/store/"+testharness.RequestID(1))
	c.SendLoad(2, "9000")
	p := c.ReadReply()
	require.Equal(t, "answer", p.Kind)
	assert.Equal(t, testharness.ResultRow, p.Rows())
	assert.Len(t, r.Requests("POST", "/"), 2)
}

// Where an engine goes on to answer others, a silent connection is not waited for as if it stood still.
func TestSilentConnectionOfALiveEngine(t *testing.T) {
	for range 5 { // a slow machine may miss the second
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
		load2(c, 2)
		load2(c, 1)
		require.Equal(t, "answer", c.ReadReply().Kind)
		post, asked := r.Requests("POST", "/"), r.WaitForRequests(1, "GET", "/v1/store/"+testharness.RequestID(1))
		if asked[0].ReceivedAt.Sub(post[1].ReceivedAt) < 900*time.Millisecond {
			return
		}
	}
	t.Error("the silence was waited for")
}

// A connection that is reset before it has carried anything costs neither the query nor its engine.
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
		load2(c, i)
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.Len(t, r.Requests("POST", "/"), 5)
	assert.NotContains(t, r.Log.String(), "ejected")
}
