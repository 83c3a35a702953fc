package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	longPoll    = 250 * time.Millisecond
	abandon     = 2 * time.Second
	dedupeAfter = 25 * time.Second
)

// run is one execution that an engine was asked for.
type run struct {
	engine, id, kind, key, statement string
	at                               time.Time // when the start arrived
	began                            bool      // it was not turned away
	canceled                         bool
}

// query is the state of an execution.
type query struct {
	run     *run
	ended   chan struct{}
	status  int // once ended
	asked   time.Time
	pollers int
}

// engine is a stand-in for a query engine. A query runs for the time that its statement names (ms=300) and ends well,
// unless the statement names it as one that fails on this engine (fails=s-00000001) after that time.
type engine struct {
	w        *world
	uid      string
	addr     *net.TCPAddr
	bootMS   int64
	fleet    *engines
	server   *http.Server
	mu       sync.Mutex
	queries  map[string]*query
	draining bool
}

// engines are all engines of a site; they know each other's idempotency keys.
type engines struct {
	mu   sync.Mutex
	list []*engine
	runs []*run
	keys map[string]time.Time
}

// startEngines starts the engines of a site, on one free port each.
func startEngines(w *world, count int) *engines {
	all := &engines{keys: map[string]time.Time{}}
	for i := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		check(err, "engine")
		e := &engine{w: w, uid: fmt.Sprintf("s-%08x", i+1), addr: listener.Addr().(*net.TCPAddr), fleet: all,
			queries: map[string]*query{}}
		e.server = &http.Server{Handler: e}
		go func() { _ = e.server.Serve(listener) }()
		w.atEnd(func() { _ = e.server.Close() })
		all.list = append(all.list, e)
	}
	return all
}

// all returns the executions that the engines were asked for so far.
func (es *engines) all() []run {
	es.mu.Lock()
	defer es.mu.Unlock()
	var list []run
	for _, r := range es.runs {
		list = append(list, *r)
	}
	return list
}

// of returns the executions of a request.
func (es *engines) of(id string) (list []run) {
	for _, r := range es.all() {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}

// drain lets an engine turn new work away, as one that drains does.
func (e *engine) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

func (e *engine) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	if in.Method == http.MethodPost {
		e.post(out, in, string(body), arrived)
		return
	}
	parts := strings.Split(in.URL.Path, "/")
	if len(parts) < 4 { // a probe
		out.Header().Set("Load-Report", "util:0.3;queue:0;x0:0.2;x1:0.2")
		out.WriteHeader(http.StatusOK)
		return
	}
	e.mu.Lock()
	q := e.queries[parts[3]]
	e.mu.Unlock()
	switch {
	case in.Method == http.MethodDelete:
		if q != nil {
			e.end(q, http.StatusInternalServerError, "given up")
		}
		out.WriteHeader(http.StatusNoContent)
	case q == nil:
		out.WriteHeader(http.StatusInternalServerError)
	default:
		e.answer(out, q)
	}
}

// post starts a query.
func (e *engine) post(out http.ResponseWriter, in *http.Request, statement string, arrived time.Time) {
	r := &run{engine: e.uid, id: in.Header.Get("Request-Id"), kind: in.Header.Get("Kind"),
		key: in.Header.Get("Once-Key"), statement: statement, at: arrived}
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	e.fleet.mu.Lock()
	last, known := e.fleet.keys[r.key]
	repeat := r.key != "" && known && time.Since(last) < dedupeAfter
	r.began = !draining && !repeat
	if r.began && r.key != "" {
		e.fleet.keys[r.key] = arrived
	}
	e.fleet.runs = append(e.fleet.runs, r)
	e.fleet.mu.Unlock()
	e.w.log("engine %s: POST id=%s kind=%s key=%s began=%v %.60q", e.uid, r.id, r.kind, r.key, r.began, statement)
	switch {
	case draining:
		out.Header().Set("Never-Ran", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case repeat:
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	q := &query{run: r, ended: make(chan struct{}), asked: time.Now()}
	e.mu.Lock()
	e.queries[r.id] = q
	e.mu.Unlock()
	go e.play(q)
	e.answer(out, q)
}

var (
	runTime = regexp.MustCompile(`ms=(\d+)`)
	failing = regexp.MustCompile(`fails=(\S+)`)
)

// play ends a query when its time has passed or nobody has asked for it.
func (e *engine) play(q *query) {
	wait, status := 50*time.Millisecond, http.StatusOK
	if m := runTime.FindStringSubmatch(q.run.statement); m != nil {
		n, _ := strconv.Atoi(m[1])
		wait = time.Duration(n) * time.Millisecond
	}
	if m := failing.FindStringSubmatch(q.run.statement); m != nil && (m[1] == e.uid || m[1] == "first" && e.isFirst(q.run)) {
		status = http.StatusInternalServerError
	}
	done := time.After(wait)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-q.ended:
			return
		case <-done:
			e.end(q, status, "over")
			return
		case <-tick.C:
			e.mu.Lock()
			forgotten := q.pollers == 0 && time.Since(q.asked) >= abandon
			e.mu.Unlock()
			if forgotten {
				e.end(q, http.StatusInternalServerError, "nobody asked")
				return
			}
		}
	}
}

// isFirst reports whether an execution is the first of its request.
func (e *engine) isFirst(r *run) bool {
	list := e.fleet.of(r.id)
	return len(list) > 0 && list[0].engine == r.engine
}

func (e *engine) end(q *query, status int, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.status == 0 {
		q.status = status
		close(q.ended)
		e.w.log("engine %s: id=%s ended with %d, %s", e.uid, q.run.id, status, why)
	}
}

// answer answers with the end of a query, or after the long poll with 202.
func (e *engine) answer(out http.ResponseWriter, q *query) {
	e.mu.Lock()
	q.pollers++
	e.mu.Unlock()
	select {
	case <-q.ended:
	case <-time.After(longPoll):
	}
	e.mu.Lock()
	q.pollers--
	q.asked = time.Now()
	status := q.status
	e.mu.Unlock()
	switch status {
	case 0:
		out.WriteHeader(http.StatusAccepted)
	case http.StatusOK:
		page := fmt.Sprintf("%s\t%s\t%s\n", q.run.id, q.run.kind, e.uid)
		out.Header().Set("X-Batches", "1")
		out.Header().Set("Content-Length", strconv.Itoa(len(page)))
		_, _ = io.WriteString(out, page)
	default:
		out.WriteHeader(status)
	}
}
