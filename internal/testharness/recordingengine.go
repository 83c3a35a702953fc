package testharness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chutechute/internal/history"
)

const (
	abandonTimeout      = 2 * time.Second // after which an engine ends a query that is not polled
	abandonPollInterval = 20 * time.Millisecond
	deduplicationWindow = 25 * time.Second // in which an engine drops a repeat of an idempotency key
	longPollTimeout     = 250 * time.Millisecond
)

// RecordingEngine is a stub engine that keeps the guarantees of real engines and records its executions in the history.
// Each query runs for the time that its statement gives ("ms=300"), unless it is deleted or is not polled for
// abandonTimeout. A row of its result consists of the call ID, the idempotency key and the engine's name; it is
// repeated up to the size that the statement gives ("kb=64"). All engines of a fleet share one table of idempotency
// keys.
type RecordingEngine struct {
	Name         string
	Addr         *net.TCPAddr
	record       *history.Recorder
	deduplicator *keyDeduplicator
	server       *httptest.Server

	// FailQueries makes each query fail when it starts.
	FailQueries atomic.Bool

	mu        sync.Mutex
	queries   map[string]*query      // by call ID
	pollTimes map[string][]time.Time // by call ID
}

// keyDeduplicator is the table of the idempotency keys that the engines of a fleet have started, and when.
type keyDeduplicator struct {
	mu   sync.Mutex
	keys map[string]time.Time
}

// admit reports whether a key may start, and records its start. A repeat within the window may not start.
func (d *keyDeduplicator) admit(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, known := d.keys[key]
	if known && time.Since(last) < deduplicationWindow {
		return false
	}
	d.keys[key] = time.Now()
	return true
}

type queryState int

const (
	queryRunning queryState = iota
	querySucceeded
	queryFailed
)

// query is one query of a RecordingEngine. Its mutable fields are guarded by the engine's mutex.
type query struct {
	call, idempotencyKey string
	result               string
	lastPolled           time.Time
	pollers              int // number of requests that wait for its end
	state                queryState
	ended                chan struct{} // closed once it is no longer running
}

// newRecordingEngine starts an engine that records to the given history and shares the deduplicator with the other
// engines of its fleet.
func newRecordingEngine(name string, record *history.Recorder, deduplicator *keyDeduplicator) *RecordingEngine {
	e := &RecordingEngine{Name: name, record: record, deduplicator: deduplicator,
		queries: map[string]*query{}, pollTimes: map[string][]time.Time{}}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	e.Addr = e.server.Listener.Addr().(*net.TCPAddr)
	return e
}

// FailRunning ends all running queries as failed.
func (e *RecordingEngine) FailRunning() {
	e.mu.Lock()
	var running []*query
	for _, q := range e.queries {
		running = append(running, q)
	}
	e.mu.Unlock()
	for _, q := range running {
		e.end(q, history.ExecutionFinished, queryFailed)
	}
}

// Close closes the engine's server and all of its connections.
func (e *RecordingEngine) Close() { closeServer(e.server) }

// FirstPollAfter returns the time of the first poll after since of the query of a call; ok is false if there is none.
func (e *RecordingEngine) FirstPollAfter(call string, since time.Time) (at time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.pollTimes[call] {
		if at.After(since) {
			return at, true
		}
	}
	return at, false
}

// serve handles one request: POST starts a query, GET polls it, and DELETE ends it. Short paths are health checks.
func (e *RecordingEngine) serve(out http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the request was not received completely
	}
	if request.Method == http.MethodPost {
		e.start(out, request, string(body))
		return
	}
	parts := strings.Split(request.URL.Path, "/")
	if len(parts) < 4 {
		out.WriteHeader(http.StatusOK)
		return
	}
	q := e.lookUp(parts[3], request.Method)
	switch {
	case request.Method == http.MethodDelete:
		if q != nil {
			e.end(q, history.ExecutionCanceled, queryFailed)
		}
		out.WriteHeader(http.StatusNoContent)
	case q == nil:
		out.WriteHeader(http.StatusInternalServerError)
	default:
		e.respond(out, q)
	}
}

// lookUp returns the query of a call, or nil if it is unknown. If the method is GET, it records the time of the poll.
func (e *RecordingEngine) lookUp(call, method string) *query {
	e.mu.Lock()
	defer e.mu.Unlock()
	if method == http.MethodGet {
		e.pollTimes[call] = append(e.pollTimes[call], time.Now())
	}
	return e.queries[call]
}

// start starts the query of a statement, unless its idempotency key is a repeat, and responds.
func (e *RecordingEngine) start(out http.ResponseWriter, request *http.Request, statement string) {
	call, key := request.Header.Get("Request-Id"), request.Header.Get("Once-Key")
	if key != "" && !e.deduplicator.admit(key) {
		e.record.Add(history.Event{Kind: history.DuplicateDropped, Engine: e.Name, CallID: call, IdempotencyKey: key})
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	q := &query{call: call, idempotencyKey: key, result: e.result(call, key, statement), lastPolled: time.Now(),
		ended: make(chan struct{})}
	e.mu.Lock()
	e.queries[call] = q
	e.record.Add(history.Event{
		Kind: history.ExecutionStarted, Engine: e.Name, CallID: call, IdempotencyKey: key, Body: statement,
	})
	e.mu.Unlock()
	if e.FailQueries.Load() {
		e.end(q, history.ExecutionFinished, queryFailed)
	}
	runTime := time.Duration(statementNumber(statement, statementRunTime)) * time.Millisecond
	go e.run(q, runTime)
	e.respond(out, q)
}

// Parameters of a query, which tests write into comments of its statement.
var (
	statementRunTime    = regexp.MustCompile(`ms=(\d+)`)
	statementResultSize = regexp.MustCompile(`kb=(\d+)`)
)

// statementNumber returns the number that the first group of the pattern matches in a statement; 0 if the pattern
// doesn't match.
func statementNumber(statement string, pattern *regexp.Regexp) int {
	match := pattern.FindStringSubmatch(statement)
	if match == nil {
		return 0
	}
	number, _ := strconv.Atoi(match[1])
	return number
}

// result returns the result of a query: a row that is repeated up to the size that the statement gives.
func (e *RecordingEngine) result(call, key, statement string) string {
	row := fmt.Sprintf("%s\t%s\t%s\n", call, key, e.Name)
	size := statementNumber(statement, statementResultSize) * 1024
	return row + strings.Repeat(row, size/len(row))
}

// run ends a query when its run time has passed, or when it is abandoned.
func (e *RecordingEngine) run(q *query, runTime time.Duration) {
	finished := time.After(runTime)
	ticker := time.NewTicker(abandonPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-q.ended:
			return
		case <-finished:
			e.end(q, history.ExecutionFinished, querySucceeded)
			return
		case <-ticker.C:
			if e.abandoned(q) {
				e.end(q, history.ExecutionAbandoned, queryFailed)
				return
			}
		}
	}
}

// abandoned reports whether a query has not been polled for abandonTimeout.
func (e *RecordingEngine) abandoned(q *query) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return q.pollers == 0 && time.Since(q.lastPolled) >= abandonTimeout
}

// end ends a query with the given state and records an event of the given kind, unless the query has ended before.
func (e *RecordingEngine) end(q *query, eventKind string, state queryState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.state != queryRunning {
		return
	}
	q.state = state
	close(q.ended)
	e.record.Add(history.Event{Kind: eventKind, Engine: e.Name, CallID: q.call, IdempotencyKey: q.idempotencyKey})
}

// respond waits up to longPollTimeout for the end of a query, and responds with its state.
func (e *RecordingEngine) respond(out http.ResponseWriter, q *query) {
	switch e.waitEnd(q) {
	case queryRunning:
		out.WriteHeader(http.StatusAccepted)
	case querySucceeded:
		RespondResult(out, q.result)
	case queryFailed:
		out.WriteHeader(http.StatusInternalServerError)
	}
}

// waitEnd waits up to longPollTimeout for the end of a query, and returns its state.
func (e *RecordingEngine) waitEnd(q *query) queryState {
	e.mu.Lock()
	q.pollers++
	e.mu.Unlock()
	select {
	case <-q.ended:
	case <-time.After(longPollTimeout):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	q.pollers--
	q.lastPolled = time.Now()
	return q.state
}
