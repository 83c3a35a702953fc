package rest

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

const (
	maxPages      = 64
	maxResultSize = 48000 // bytes of all pages, set by the protocol
	columns       = 3     // of each row
)

// Start holds the values that the POST sends to the engine to start a query. ID, class, statement and idempotency key
// are those of the client's request.
type Start struct {
	ID, Class, IdempotencyKey string
	Statement                 []byte
	Timeout                   monotime.Micros
	GrantMB                   float64 // memory for the query; 0: the engine chooses
	Priority                  int     // negative: not sent
}

// state is the call that is next or in flight.
type state int

const (
	starting         state = iota // POST of the statement
	polling                       // GET of page 0: a long poll for the end of the query
	fetchingPages                 // GET of a further page
	canceling                     // DELETE
	checkingHealth                // GET of the load report
	changingPriority              // PUT of the new priority
)

// Query is the sequence of calls of one attempt on an engine: start, polls, then the pages of the result, or a cancel.
// Its caller writes Call to a connection and passes the response to HandleResponse, until that reports the end. After a
// broken connection it calls Resume, and may write Call to another connection.
type Query struct {
	start          Start
	host           string
	state          state
	page           int // the next page of the result, from 0
	pages          int
	rows           []byte
	load           *scheduler.LoadReport
	enginePriority int // the priority last sent to the engine
	progress       *Progress
	cost           Cost
}

// Progress is an engine's progress report on a running query. What Value means depends on Kind; see
// scheduler.ProgressKind.
type Progress struct {
	Kind  scheduler.ProgressKind
	Value float64
}

// Cost is what a query used, as reported by its engine. A value that is missing or malformed is 0.
type Cost struct {
	Work     monotime.Micros
	MemoryMB float64
}

// NewQuery returns a query for the engine at the address host.
func NewQuery(host string, start Start) *Query {
	return &Query{start: start, host: host, enginePriority: start.Priority}
}

// NewHealthCheck returns a health check of the engine at the address host: a single call for its load report.
func NewHealthCheck(host string) *Query { return &Query{host: host, state: checkingHealth} }

// ErrStaleResponse reports that the response to a DELETE or a PUT is a late duplicate of the response to an earlier
// call. It does not show whether the DELETE or PUT has arrived.
var ErrStaleResponse = errors.New("rest: response to an earlier call")

// StartPending reports whether the POST that starts the query has no response yet.
func (q *Query) StartPending() bool { return q.state == starting }

// Polling reports whether the query is polled for its end.
func (q *Query) Polling() bool { return q.state == polling }

// Canceling reports whether the query is being canceled.
func (q *Query) Canceling() bool { return q.state == canceling }

// Resume prepares a query whose last call got no valid response for another connection. The call is sent again, except
// for a POST, which must not be repeated: a poll takes its place, and gets the result if the query has run.
func (q *Query) Resume() {
	if q.state == starting || q.state == changingPriority {
		q.state = polling
	}
}

// SetPriority sets the priority at which the engine is to run the query. It is sent between two polls, as a call on
// another connection could overtake the start.
func (q *Query) SetPriority(priority int) { q.start.Priority = priority }

// Progress returns the progress report in the last response; nil without one.
func (q *Query) Progress() *Progress { return q.progress }

// Cost returns what the query used, once HandleResponse has reported its success.
func (q *Query) Cost() Cost { return q.cost }

// Cancel cancels the query: its next call is the DELETE.
func (q *Query) Cancel() { q.state = canceling }

// Rows returns the result, once HandleResponse has reported the query's success.
func (q *Query) Rows() []byte { return q.rows }

// Load returns the latest load report in a response; nil without one.
func (q *Query) Load() *scheduler.LoadReport { return q.load }

// Call returns the next call, as the bytes to write.
func (q *Query) Call() []byte {
	path := "/v1/store/" + q.start.ID
	if q.state == polling && q.enginePriority != q.start.Priority {
		q.state = changingPriority
	}
	switch q.state {
	case changingPriority:
		body := strconv.Itoa(q.start.Priority)
		return fmt.Appendf(nil, "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
			path, q.host, len(body), body)
	case polling:
		return q.get(path + "/0")
	case fetchingPages:
		return q.get(path + "/" + strconv.Itoa(q.page))
	case canceling:
		return fmt.Appendf(nil, "DELETE %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, q.host)
	case checkingHealth:
		return q.get("/busy")
	}
	s := q.start
	b := fmt.Appendf(nil, "POST /v1/store HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKind: %s\r\nTimeout-Ms: %d\r\n",
		q.host, s.ID, s.Class, max(1, s.Timeout/1000))
	if s.IdempotencyKey != "" {
		b = fmt.Appendf(b, "Once-Key: %s\r\n", s.IdempotencyKey)
	}
	if s.GrantMB > 0 {
		b = fmt.Appendf(b, "X-Reserve: %s\r\n", strconv.FormatFloat(s.GrantMB, 'f', -1, 64))
	}
	if s.Priority >= 0 {
		b = fmt.Appendf(b, "X-Weight-Class: %d\r\n", s.Priority)
	}
	q.enginePriority = s.Priority
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(s.Statement))
	return append(b, s.Statement...)
}

// get returns a GET call.
func (q *Query) get(path string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, q.host)
}

// HandleResponse processes the response to the last call. If the query has ended, result is its result; otherwise the
// next Call has to be sent at once. After an error the call counts as one without a response. A status that engines do
// not use for the call is an error: it proves nothing about the query.
func (q *Query) HandleResponse(r Response) (result scheduler.Result, ended bool, err error) {
	if r.Load != "" {
		q.load = parseLoadReport(r.Load)
	}
	q.progress = nil
	switch {
	case q.state == changingPriority && (r.Status == 200 || r.Status == 202): // the PUT may not have arrived
		return 0, false, ErrStaleResponse
	case q.state == changingPriority: // whatever the status: if the query itself has failed, the next poll reports it
		q.state, q.enginePriority = polling, q.start.Priority
		return 0, false, nil
	case q.state == canceling && r.Status != 204 && r.Status != 500:
		return 0, false, ErrStaleResponse
	case q.state == canceling:
		return scheduler.Canceled, true, nil
	case q.state == checkingHealth && r.Status == 200:
		return scheduler.Succeeded, true, nil
	case q.state == checkingHealth:
		return scheduler.Errored, true, nil
	case r.NeverRan && r.Status == 504:
		return scheduler.NotSent, true, nil
	case r.NeverRan && r.Status == 503:
		return scheduler.Rejected, true, nil
	case r.Status == 202 && q.state != fetchingPages:
		q.state, q.progress = polling, r.Progress
		return 0, false, nil
	case r.Status == 500:
		return scheduler.Errored, true, nil
	case r.Status != 200:
		return 0, false, fmt.Errorf("%w: status %d", ErrMalformedResponse, r.Status)
	}
	pages := q.pages
	if q.state != fetchingPages {
		pages = r.Pages
	}
	switch {
	case max(0, r.Page) != q.page:
		return 0, false, fmt.Errorf("%w: got page %d, expected page %d", ErrMalformedResponse, r.Page, q.page)
	case pages < 1 || pages > maxPages || len(q.rows)+len(r.Body) > maxResultSize:
		return 0, false, fmt.Errorf("%w: %d pages, %d bytes of rows", ErrMalformedResponse, pages, len(q.rows)+len(r.Body))
	case !hasValidRows(r.Body):
		return 0, false, fmt.Errorf("%w: page %d has malformed rows", ErrMalformedResponse, q.page)
	}
	if q.state != fetchingPages {
		q.cost = r.Cost
	}
	q.pages, q.state = pages, fetchingPages
	q.rows = append(q.rows, r.Body...)
	q.page++
	return scheduler.Succeeded, q.page >= q.pages, nil
}

// hasValidRows reports whether a page is a sequence of complete rows: lines of UTF-8 with tab-separated columns.
func hasValidRows(page []byte) bool {
	tabs := 0
	for _, c := range page {
		switch c {
		case '\t':
			tabs++
		case '\n':
			if tabs != columns-1 {
				return false
			}
			tabs = 0
		}
	}
	return len(page) == 0 || page[len(page)-1] == '\n' && utf8.Valid(page)
}

// parseLoadReport parses a Load-Report header. A value that is missing or malformed is -1.
func parseLoadReport(text string) *scheduler.LoadReport {
	load := &scheduler.LoadReport{Utilization: -1, Queue: -1, Memory: -1, Disk: -1}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			continue
		}
		switch strings.TrimSpace(name) {
		case "util":
			load.Utilization = x
		case "queue":
			load.Queue = x
		case "x0":
			load.Memory = x
		case "x1":
			load.Disk = x
		}
	}
	return load
}
