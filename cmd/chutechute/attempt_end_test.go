package main

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// retryBound is when an attempt of a dead process must have ended: the abandon timeout of 2.35 s, 1 s for a last
// DELETE, and a margin.
const retryBound = 4 * time.Second

// The abandon timeout of 2 s is counted from the engine's response to the last poll, however late that is, as the
// engine counts it from then.
func TestAbandonTimeoutCountsFromTheLastResponse(t *testing.T) {
	var gets atomic.Int32
	var answered atomic.Int64
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE":
			testharness.RespondRaw(w, "", false) // no response
		case c.Method == "GET" && gets.Add(1) == 2:
			time.Sleep(900 * time.Millisecond) // the engine is unresponsive
			answered.Store(time.Now().UnixNano())
			w.WriteHeader(202)
		default:
			time.Sleep(250 * time.Millisecond)
			w.WriteHeader(202)
		}
	}, func(r *testharness.Harness) { r.Args = []string{"serve", "--log-level", "debug"} })
	c := r.NewClient()
	c.SendLookup(1, "700")
	assert.NotEqual(t, "answer", c.ReadReply().Kind)
	r.WaitForLog("attempt ended")
	require.NotZero(t, answered.Load(), "ended before the response")
	assert.GreaterOrEqual(t, time.Now().UnixNano()-answered.Load(), int64(2*time.Second))
}

// Guards against a load that is sent before the previous one of its order key has ended. A query that completed while
// nobody polled it counts as running until its end is reported or a DELETE arrives. That it had not been polled for 2 s
// was once taken for its end.
func TestNextLoadWaitsForTheResponseToADelete(t *testing.T) {
	var deletes atomic.Int32
	var deletedAt atomic.Int64
	r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE" && deletes.Add(1) <= 4: // for longer than the abandon timeout
			testharness.RespondRaw(w, "", false)
		case c.Method == "DELETE":
			deletedAt.CompareAndSwap(0, time.Now().UnixNano())
			w.WriteHeader(204)
		case c.Header.Get("Request-Id") == testharness.RequestID(2):
			testharness.RespondResult(w, testharness.ResultRow)
		default:
			time.Sleep(250 * time.Millisecond)
			w.WriteHeader(202)
		}
	}, setLongLoadTimeouts)
	requireDeleteBetweenLoads(r, "700", &deletedAt)
}

// Guards against a load that is sent while the previous one of its order key runs on. Bytes that follow an earlier
// response were once taken for a malformed response to the DELETE, which the engine had thus received; it may not have
// read it, and the connection is reset.
func TestBytesBeforeTheResponseToADeleteProveNothing(t *testing.T) {
	var deletedAt atomic.Int64
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE":
			deletedAt.CompareAndSwap(0, time.Now().UnixNano())
			w.WriteHeader(204)
		case c.Header.Get("Request-Id") == testharness.RequestID(2):
			testharness.RespondResult(w, testharness.ResultRow)
		default:
			time.Sleep(250 * time.Millisecond)
			testharness.RespondRawTwice(w, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", 20*time.Millisecond, "noise\n")
		}
	}, setLongLoadTimeouts)
	requireDeleteBetweenLoads(r, "200", &deletedAt) // the deadline passes while the start has no response
}

// requireDeleteBetweenLoads sends a load with a client timeout that passes, and another one of its order key. It
// requires that an engine receives the second only after the time deletedAt, when a DELETE was responded to.
func requireDeleteBetweenLoads(r *testharness.Harness, clientTimeoutMS string, deletedAt *atomic.Int64) {
	r.T.Helper()
	c := r.NewClient()
	c.SendLoad(1, clientTimeoutMS)
	assert.NotEqual(r.T, "answer", c.ReadReply().Kind)
	c.SendLoad(2, "60000")
	require.Equal(r.T, "answer", c.ReadReply().Kind)
	posts := r.Requests("POST", "/")
	require.Len(r.T, posts, 2)
	require.NotZero(r.T, deletedAt.Load(), "sent without a response to any DELETE")
	assert.Greater(r.T, posts[1].ReceivedAt.UnixNano(), deletedAt.Load())
}

// Guards against a load that is sent while a draining engine, which refuses new connections, runs the previous one of
// its order key or holds its end unpolled. A reset of the engine's only connection, and later the 2 s without a poll,
// were once taken for that end. Only the engine's removal shows it.
func TestResetByADrainingEngineDoesNotEndTheQuery(t *testing.T) {
	var resetAt atomic.Int64
	r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "POST" && resetAt.Load() != 0:
			testharness.RespondResult(w, testharness.ResultRow)
		case c.Method == "GET" && resetAt.Load() == 0:
			for _, e := range r.Engines {
				if e.Name == c.Engine {
					e.Server.Listener.Close()
				}
			}
			resetAt.Store(time.Now().UnixNano())
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(202)
		}
	}, setLongLoadTimeouts)
	discoveryConn, _ := r.AcceptDiscovery()
	c := r.NewClient()
	c.SendLoad(1, "60000")
	r.WaitForRequests(1, "GET", "/v1/store/"+testharness.RequestID(1))
	c.SendLoad(2, "60000")
	for waited := time.Duration(0); waited < retryBound; waited += time.Second {
		time.Sleep(time.Second)
		_, err := discoveryConn.Write(testharness.DiscoveryFrame(41, 0)) // nothing new
		require.NoError(t, err)
	}
	require.Len(t, r.Requests("POST", "/"), 1, "sent while the first load may still run")
	draining := busiestEngine(r, r.Requests("POST", "/"))
	_, err := discoveryConn.Write(testharness.DiscoveryFrame(42, 2, draining.DiscoveryRecord(2)))
	require.NoError(t, err)
	c.ReadReply()
	assert.Len(t, r.WaitForRequests(2, "POST", "/"), 2)
}

// Guards against queries that run on two engines at once. The network resets all connections to an engine that takes
// no new ones, as it drains or is at its connection limit, and the engine runs its queries on. Two resets and a refusal
// were once taken for the end of its process, and its idempotent queries were sent elsewhere at once.
func TestResetsAndARefusalDoNotEndAQuery(t *testing.T) {
	var resetAt atomic.Int64
	var connections testharness.ConnectionSet
	track := func(r *testharness.Harness) { r.OnConnState = connections.Track }
	r := start(t, 2, runUntil(&resetAt), setLongTimeouts, track)
	c := r.NewClient()
	for n := range 8 {
		c.SendLookup(n, "60000")
	}
	busy := busiestEngine(r, r.WaitForRequests(8, "POST", "/"))
	r.WaitForRequests(8, "GET", "/v1/store/")
	busy.Server.Listener.Close()
	require.Greater(t, connections.Reset(busy.Addr), 1)
	resetAt.Store(time.Now().UnixNano())
	for range 8 {
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	retries := r.Requests("POST", "/")[8:]
	require.NotEmpty(t, retries, "the queries of the engine were never sent again")
	for _, retry := range retries {
		assert.GreaterOrEqual(t, retry.ReceivedAt.UnixNano()-resetAt.Load(), int64(2*time.Second))
	}
}

// runUntil returns a handler that responds that a query is still running until the time at is set, and then with a
// result.
func runUntil(at *atomic.Int64) testharness.EngineHandler {
	return func(_ *testharness.Harness, w http.ResponseWriter, _ testharness.EngineRequest) {
		if at.Load() != 0 {
			testharness.RespondResult(w, testharness.ResultRow)
			return
		}
		time.Sleep(250 * time.Millisecond)
		w.WriteHeader(202)
	}
}

// busiestEngine returns the engine that received most of the requests.
func busiestEngine(r *testharness.Harness, requests []testharness.EngineRequest) *testharness.StubEngine {
	counts := map[string]int{}
	for _, request := range requests {
		counts[request.Engine]++
	}
	return slices.MaxFunc(r.Engines, func(a, b *testharness.StubEngine) int {
		return cmp.Compare(counts[a.Name], counts[b.Name])
	})
}

// An engine process that dies closes all its connections at once and refuses new ones, which a draining engine whose
// connections the network resets does too. Its queries, idempotent or not, are retried elsewhere after the abandon
// timeout, and not much later.
func TestQueriesOfADeadProcessAreRetried(t *testing.T) {
	for _, op := range []string{"lookup", "load"} {
		var diedAt atomic.Int64
		r := start(t, 2, runUntil(&diedAt), setLongTimeouts)
		c := r.NewClient()
		for n := range 8 {
			c.SendRequest("SELECT 1 FROM s_1.t", "call", testharness.RequestID(n), "op", op, "ttl", "60000",
				"dedupe", testharness.RequestID(n), "work", "3000.0")
		}
		dead := busiestEngine(r, r.WaitForRequests(8, "POST", "/"))
		diedAt.Store(time.Now().UnixNano())
		dead.Server.Listener.Close()
		dead.Server.CloseClientConnections()
		for range 8 {
			require.Equal(t, "answer", c.ReadReply().Kind)
		}
		posts := r.Requests("POST", "/")
		require.Greater(t, len(posts), 8)
		delay := time.Duration(posts[8].ReceivedAt.UnixNano() - diedAt.Load())
		assert.GreaterOrEqual(t, delay, 2*time.Second, "%s retried while it may still run", op)
		assert.Less(t, delay, retryBound, "%s not retried in time", op)
		assert.Less(t, r.Counter("connections to engines"), 250, "waiting queries dial again and again without a pause")
	}
}

// A new process at the address of one that died responds that it doesn't know the old one's queries. That doesn't prove
// that they have ended, so the next load of the order key still waits for the abandon timeout.
func TestNewProcessAtAnOldAddress(t *testing.T) {
	var diedAt atomic.Int64
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case diedAt.Load() == 0:
			time.Sleep(50 * time.Millisecond)
			w.WriteHeader(202)
		case c.Method == "DELETE":
			w.WriteHeader(204)
		case c.Method == "GET":
			w.WriteHeader(500)
		default:
			testharness.RespondResult(w, testharness.ResultRow)
		}
	}, setLongLoadTimeouts, func(r *testharness.Harness) { r.Args = []string{"serve", "--log-level", "debug"} })
	c := r.NewClient()
	c.SendLoad(1, "60000")
	c.SendLoad(2, "60000")
	r.WaitForRequests(1, "GET", "/v1/store/"+testharness.RequestID(1))
	diedAt.Store(time.Now().UnixNano())
	r.Engines[0].Server.Listener.Close()
	r.Engines[0].Server.CloseClientConnections()
	r.WaitForLog("refused=true")
	require.NoError(t, r.RestartEngine(r.Engines[0]))
	for range 2 {
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.GreaterOrEqual(t, r.Requests("POST", "/")[1].ReceivedAt.UnixNano()-diedAt.Load(), int64(2*time.Second))
	assert.NotEmpty(t, r.Requests("GET", "/v1/store/"+testharness.RequestID(1)))
}

// executions records which engines run a query, by the rules of engines: from the arrival of its start until it is
// deleted or has not been polled for 2 s.
type executions struct {
	mu       sync.Mutex
	polledAt map[string]time.Time // when each engine that runs the query last received a call for it
	overlaps int                  // starts that arrived while another engine ran the query
}

// observe records a call, and reports whether its engine runs the query.
func (e *executions) observe(c testharness.EngineRequest) (running bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, running = e.polledAt[c.Engine]
	switch {
	case c.Method == "DELETE":
		delete(e.polledAt, c.Engine)
		return running
	case c.Method == "GET" && !running:
		return false
	}
	for engine, at := range e.polledAt {
		if c.Method == "POST" && engine != c.Engine && time.Since(at) < 2*time.Second {
			e.overlaps++
		}
	}
	e.polledAt[c.Engine] = time.Now()
	return true
}

// hangingListener is the listener of a process that hangs until it is released: the system establishes connections and
// receives calls, all of which the process reads once it continues.
type hangingListener struct {
	net.Listener
	accepted atomic.Int32
	released chan struct{}
}

func (l *hangingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.accepted.Add(1)
	<-l.released
	return conn, err
}

// Guards against a query that runs on two engines at once. An engine that hangs may still read a start that it was sent
// long ago. That it had not responded for some seconds was once taken for the end of the attempt, the query was sent to
// another engine, and the first engine began it when it continued.
func TestStartUnreadByAHungEngineMayStillRun(t *testing.T) {
	query := executions{polledAt: map[string]time.Time{}}
	var listeners []*hangingListener
	r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		running := query.observe(c)
		switch {
		case c.Method == "DELETE":
			w.WriteHeader(204)
		case !running:
			w.WriteHeader(500)
		default:
			time.Sleep(250 * time.Millisecond)
			w.WriteHeader(202)
		}
	}, setLongTimeouts, func(r *testharness.Harness) {
		for _, e := range r.Engines {
			l := &hangingListener{Listener: e.Server.Listener, released: make(chan struct{})}
			e.Server.Listener = l
			listeners = append(listeners, l)
		}
	})
	r.NewClient().SendLookup(1, "60000")
	isHung := func(l *hangingListener) bool { return l.accepted.Load() > 0 }
	require.Eventually(t, func() bool { return slices.ContainsFunc(listeners, isHung) }, testharness.WaitTimeout,
		time.Millisecond)
	hung := slices.IndexFunc(listeners, isHung)
	close(listeners[1-hung].released)
	time.Sleep(6 * time.Second) // the abandon timeout, a second for a last DELETE, and more
	close(listeners[hung].released)
	r.WaitForRequests(1, "DELETE", "/")
	time.Sleep(time.Second)
	query.mu.Lock()
	defer query.mu.Unlock()
	assert.Zero(t, query.overlaps, "the start arrived while another engine ran the query")
}
