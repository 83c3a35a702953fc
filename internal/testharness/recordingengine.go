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
	abandonTimeout      = 2 * time.Second // after which an engine ends a query that nobody polls
	abandonPollInterval = 20 * time.Millisecond
	deduplicationWindow = 25 * time.Second // in which an engine rejects the repeat of an idempotency key
	longPollTimeout     = 250 * time.Millisecond
)

// RecordingEngine is an engine that does what engines promise, and records it in the history: each query runs for
// as long as its statement says ("ms=300"), until it is deleted, or until it was not polled for 2 s. Its result
// names the call, the idempotency key and the engine, and is repeated up to the size that the statement says
// ("kb=64"). All engines of a fleet share one table of idempotency keys.
type RecordingEngine struct {
	Name         string
	Addr         *net.TCPAddr
	record       *history.Recorder
	deduplicator *keyDeduplicator
	server       *httptest.Server

	// FailQueries has each query fail as it starts.
	FailQueries atomic.Bool

	mu        sync.Mutex
	queries   map[string]*query      // by call
	pollTimes map[string][]time.Time // by call
}

// keyDeduplicator is the idempotency keys that the engines of a fleet have run, and when.
type keyDeduplicator struct {
	mu   sync.Mutex
	keys map[string]time.Time
}

// admit notes the start of a key, and reports whether it is not a repeat within the window.
func (s *keyDeduplicator) admit(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.keys[key]
	if known && time.Since(last) < deduplicationWindow {
		return false
	}
	s.keys[key] = time.Now()
	return true
}

type queryState int

const (
	queryRunning queryState = iota
	querySucceeded
	queryFailed
)

// query is one query of a recording engine. What changes of it is guarded by the engine's lock.
type query struct {
	call, idempotencyKey string
	result               string
	lastPolled           time.Time
	pollers              int // requests that wait for its end
	state                queryState
	ended                chan struct{} // closed when it is no longer running
}

// newRecordingEngine starts an engine that records into a history, and shares a table of idempotency keys with the
// other engines of its fleet.
func newRecordingEngine(name string, record *history.Recorder, deduplicator *keyDeduplicator) *RecordingEngine {
	e := &RecordingEngine{Name: name, record: record, deduplicator: deduplicator,
		queries: map[string]*query{}, pollTimes: map[string][]time.Time{}}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	e.Addr = e.server.Listener.Addr().(*net.TCPAddr)
	return e
}

// Close ends all connections of the engine and its server.
func (e *RecordingEngine) Close() { closeServer(e.server) }

// FirstPollAfter returns the time of the first poll of a call's query after since; ok is false where there is none.
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

// serve handles one request: POST starts a query, GET polls it, and DELETE ends it. Other paths are of health checks.
func (e *RecordingEngine) serve(out http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the request never came whole
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

// lookUp returns the query of a call, nil where it is unknown, and notes the time of a poll.
func (e *RecordingEngine) lookUp(call, method string) *query {
	e.mu.Lock()
	defer e.mu.Unlock()
	if method == http.MethodGet {
		e.pollTimes[call] = append(e.pollTimes[call], time.Now())
	}
	return e.queries[call]
}

// start starts the query of a statement, unless it repeats an idempotency key, and responds.
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

// What a statement says of its query, as comments.
var (
	statementRunTime    = regexp.MustCompile(`ms=(\d+)`)
	statementResultSize = regexp.MustCompile(`kb=(\d+)`)
)

// statementNumber returns the number in a statement that the pattern's group matches; 0 where it doesn't match.
func statementNumber(statement string, pattern *regexp.Regexp) int {
	match := pattern.FindStringSubmatch(statement)
	if match == nil {
		return 0
	}
	number, _ := strconv.Atoi(match[1])
	return number
}

// result returns the result of a query: a row that is repeated up to the size that the statement says.
func (e *RecordingEngine) result(call, key, statement string) string {
	row := fmt.Sprintf("%s\t%s\t%s\n", call, key, e.Name)
	size := statementNumber(statement, statementResultSize) * 1024
	return row + strings.Repeat(row, size/len(row))
}

// run ends a query when its run time is over, or when it is abandoned.
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

// abandoned reports whether nobody has polled a query for abandonTimeout.
func (e *RecordingEngine) abandoned(q *query) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return q.pollers == 0 && time.Since(q.lastPolled) >= abandonTimeout
}

// end ends a query that is running, and records how.
func (e *RecordingEngine) end(q *query, how string, state queryState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.state != queryRunning {
		return
	}
	q.state = state
	close(q.ended)
	e.record.Add(history.Event{Kind: how, Engine: e.Name, CallID: q.call, IdempotencyKey: q.idempotencyKey})
}

// respond waits for a query's end for longPollTimeout, and responds with its state.
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

// waitEnd waits for a query's end for longPollTimeout, and returns its state.
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
