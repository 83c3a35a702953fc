package main

import (
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
