package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// How a query ends.
const (
	EndServed   = "served"
	EndNeverRan = "never ran" // its time ran out in the line for memory
	EndError    = "error"
)

// Plan says what an engine does with a query.
type Plan struct {
	Run   time.Duration
	End   string
	Pages []string // none: one page of one row with the request's id
}

// Start is one query that an engine was sent.
type Start struct {
	Engine, ID, Class, Key, Statement string
	At                                time.Time
}

// query is a query that an engine knows.
type query struct {
	Start
	plan    Plan
	polled  time.Time
	pollers int
	ended   chan struct{}
	end     string // "" while it runs
}

// Engine is a sound engine: it answers within 250 ms, runs a query until it ends, is deleted or has not been asked for
// in 2 s, and gives its end again.
type Engine struct {
	Name, Addr, Zone string
	run              *Run
	plan             func(Start) Plan
	server           *http.Server
	listener         net.Listener

	mu      sync.Mutex
	conns   map[net.Conn]bool
	queries map[string]*query
	starts  []Start
}

// NewEngine starts an engine. The plan is made for each query as it comes.
func (r *Run) NewEngine(number int, plan func(Start) Plan) *Engine {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	r.need(err)
	e := &Engine{Name: fmt.Sprintf("s-%08x", number), Addr: listener.Addr().String(), Zone: "room-a", run: r, plan: plan,
		queries: map[string]*query{}, listener: listener, conns: map[net.Conn]bool{}}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.track}
	go func() { _ = e.server.Serve(listener) }()
	return e
}

func (e *Engine) track(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.conns, conn)
	} else {
		e.conns[conn] = true
	}
}

// StopAccepting closes the engine's listener, as an engine that drains. Open connections and queries go on.
func (e *Engine) StopAccepting() {
	e.run.Log("engine %s takes no new connections", e.Name)
	_ = e.listener.Close()
}

// ResetConnections resets all open connections, as the network between would. Queries go on.
func (e *Engine) ResetConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.run.Log("the %d connections of engine %s are reset", len(e.conns), e.Name)
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// Out returns how long a query that the engine was sent has been out since then; ok is false if it has ended, was
// deleted or has not been asked for in 2 s.
func (e *Engine) Out(id string) (out bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.queries[id]
	return q != nil && q.end == "" && (q.pollers > 0 || time.Since(q.polled) < 2*time.Second)
}

// Starts returns the queries that the engine was sent, in their order.
func (e *Engine) Starts() []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Start(nil), e.starts...)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the call has not come whole
	}
	parts := strings.Split(r.URL.Path, "/")
	if r.Method == http.MethodPost {
		e.start(w, r, string(body))
		return
	}
	if len(parts) < 4 {
		w.Header().Set("Load-Report", "util:0.1;queue:0;x0:0.1;x1:0.1")
		w.WriteHeader(http.StatusOK)
		return
	}
	e.mu.Lock()
	q := e.queries[parts[3]]
	e.mu.Unlock()
	page := 0
	if len(parts) > 4 {
		page, _ = strconv.Atoi(parts[4])
	}
	switch {
	case r.Method == http.MethodDelete:
		if q != nil {
			e.finish(q, "deleted")
		}
		w.WriteHeader(http.StatusNoContent)
	case q == nil:
		w.WriteHeader(http.StatusInternalServerError)
	case page > 0 && page < len(q.plan.Pages):
		w.Header().Set("X-Batch", strconv.Itoa(page))
		w.Header().Set("Content-Length", strconv.Itoa(len(q.plan.Pages[page])))
		_, _ = io.WriteString(w, q.plan.Pages[page])
	case page > 0:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		e.answer(w, q)
	}
}

func (e *Engine) start(w http.ResponseWriter, r *http.Request, statement string) {
	s := Start{e.Name, r.Header.Get("Request-Id"), r.Header.Get("Kind"), r.Header.Get("Once-Key"), statement, time.Now()}
	q := &query{Start: s, plan: e.plan(s), polled: s.At, ended: make(chan struct{})}
	e.mu.Lock()
	e.queries[s.ID] = q
	e.starts = append(e.starts, s)
	e.mu.Unlock()
	e.run.Log("engine %s is sent %s (%s, key %q): %s", e.Name, s.ID, s.Class, s.Key, statement)
	go e.runQuery(q)
	e.answer(w, q)
}

func (e *Engine) runQuery(q *query) {
	over := time.After(q.plan.Run)
	for {
		select {
		case <-q.ended:
			return
		case <-over:
			e.finish(q, q.plan.End)
			return
		case <-time.After(20 * time.Millisecond):
			e.mu.Lock()
			unasked := q.pollers == 0 && time.Since(q.polled) >= 2*time.Second
			e.mu.Unlock()
			if unasked {
				e.finish(q, "not asked for in 2 s")
			}
		}
	}
}

// finish ends a query, unless it has ended.
func (e *Engine) finish(q *query, end string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.end == "" {
		q.end = end
		close(q.ended)
		e.run.Log("engine %s ends %s: %s", e.Name, q.ID, end)
	}
}

// answer waits up to 250 ms for the end of the query and writes the news of it.
func (e *Engine) answer(w http.ResponseWriter, q *query) {
	e.mu.Lock()
	q.pollers++
	e.mu.Unlock()
	select {
	case <-q.ended:
	case <-time.After(250 * time.Millisecond):
	}
	e.mu.Lock()
	q.pollers--
	q.polled = time.Now()
	end := q.end
	e.mu.Unlock()
	switch end {
	case "":
		w.WriteHeader(http.StatusAccepted)
	case EndServed:
		pages := q.plan.Pages
		if len(pages) == 0 {
			pages = []string{q.ID + "\t" + e.Name + "\tok\n"}
		}
		w.Header().Set("X-Batches", strconv.Itoa(len(pages)))
		w.Header().Set("Content-Length", strconv.Itoa(len(pages[0])))
		_, _ = io.WriteString(w, pages[0])
	case EndNeverRan:
		w.Header().Set("Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}
