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
	maxPages = 64
	maxRows  = 48000 // of one result, by the protocol
	columns  = 3     // of each row
)

// Start is what an engine is told of a query; id, class, statement and once-key are the client's own.
type Start struct {
	ID, Class, IdempotencyKey string
	Statement                 []byte
	Timeout                   monotime.Micros
	GrantMB                   float64 // 0: the engine chooses
	Priority                  int     // negative: none is told
}

type state int

const (
	posting state = iota
	polling
	paging
	dropping
	probing
	renicing
)

// Query is one attempt's way through an engine's calls: it is started, asked after and fetched page by
// page, or given up. Whoever drives it writes Call, feeds Take with the answer, and goes on while Take
// says so; after a broken connection, Resume's Call may be written on another.
type Query struct {
	start Start
	host  string
	state state
	page  int
	pages int
	rows  []byte
	load  *scheduler.LoadReport
	told  int // the priority that the engine knows
	note  *Progress
	cost  Cost
}

// Progress is an engine's word on a running query: how far it is (the share done), that it spills (megabytes missing), or what it waits
// for (1 for memory, 2 for a load).
type Progress struct {
	Kind  scheduler.ProgressKind
	Value float64
}

// Cost is what an engine says that a query took; what it does not say, or says so that it can't be, is 0.
type Cost struct {
	Work     monotime.Micros
	MemoryMB float64
}

// NewQuery begins a query at the engine with that address.
func NewQuery(host string, start Start) *Query {
	return &Query{start: start, host: host, told: start.Priority}
}

// NewHealthCheck is a question for an engine's load.
func NewHealthCheck(host string) *Query { return &Query{host: host, state: probing} }

// ErrStaleResponse says that an answer to a DELETE is none: a copy of an earlier answer, which has come late, says nothing of whether
// the DELETE has arrived.
var ErrStaleResponse = errors.New("rest: an answer to an earlier call")

// StartPending says whether the start has not been answered yet.
func (q *Query) StartPending() bool { return q.state == posting }

// Polling says whether the query is known to run and its end is awaited.
func (q *Query) Polling() bool { return q.state == polling }

// Canceling says whether the query is being given up.
func (q *Query) Canceling() bool { return q.state == dropping }

// Resume turns a query whose last call has no readable answer to one that may be asked again. A POST may not:
// the query's news is asked for instead, which holds the answer if it has run.
func (q *Query) Resume() {
	if q.state == posting || q.state == renicing {
		q.state = polling
	}
}

// SetPriority has the engine run the query at another priority. It is told between two questions: a call of its own could overtake the
// start.
func (q *Query) SetPriority(priority int) { q.start.Priority = priority }

// Progress is the engine's word that came with the last answer, if there was one.
func (q *Query) Progress() *Progress { return q.note }

// Cost is what the engine says that the query took, once Take has said Done.
func (q *Query) Cost() Cost { return q.cost }

// Cancel turns the query to giving up: its next call is the DELETE.
func (q *Query) Cancel() { q.state = dropping }

// Rows is the result once Take has said Done.
func (q *Query) Rows() []byte { return q.rows }

// Load is the last load report that came with an answer; nil without.
func (q *Query) Load() *scheduler.LoadReport { return q.load }

// Call is the next call in full.
func (q *Query) Call() []byte {
	path := "/v1/store/" + q.start.ID
	if q.state == polling && q.told != q.start.Priority {
		q.state = renicing
	}
	switch q.state {
	case renicing:
		body := strconv.Itoa(q.start.Priority)
		return fmt.Appendf(nil, "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", path, q.host, len(body), body)
	case polling:
		return q.get(path + "/0")
	case paging:
		return q.get(path + "/" + strconv.Itoa(q.page))
	case dropping:
		return fmt.Appendf(nil, "DELETE %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, q.host)
	case probing:
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
	q.told = s.Priority
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(s.Statement))
	return append(b, s.Statement...)
}

func (q *Query) get(path string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, q.host)
}

// HandleResponse feeds the answer to the last call. Where the query has ended, result tells how; else Call is to
// follow at once. An error says that the answer is spoilt: the call has no readable answer.
func (q *Query) HandleResponse(r Response) (result scheduler.Result, ended bool, err error) {
	if r.Load != "" {
		q.load = readLoad(r.Load)
	}
	q.note = nil
	switch {
	case q.state == renicing && (r.Status == 200 || r.Status == 202): // says nothing of whether the PUT has arrived
		return 0, false, ErrStaleResponse
	case q.state == renicing: // what is wrong with the query itself its news will tell
		q.state, q.told = polling, q.start.Priority
		return 0, false, nil
	case q.state == dropping && (r.Status == 200 || r.Status == 202):
		return 0, false, ErrStaleResponse
	case q.state == dropping:
		return scheduler.Canceled, true, nil
	case q.state == probing && r.Status == 200:
		return scheduler.Succeeded, true, nil
	case q.state == probing:
		return scheduler.Errored, true, nil
	case r.NeverRan && r.Status == 504:
		return scheduler.NotSent, true, nil
	case r.NeverRan && r.Status == 503:
		return scheduler.Rejected, true, nil
	case r.Status == 202 && q.state != paging:
		q.state, q.note = polling, r.Note
		return 0, false, nil
	case r.Status != 200:
		return scheduler.Errored, true, nil
	}
	pages := q.pages
	if q.state != paging {
		pages = r.Pages
	}
	switch {
	case max(0, r.Page) != q.page:
		return 0, false, fmt.Errorf("%w: page %d for page %d", ErrMalformedResponse, r.Page, q.page)
	case pages < 1 || pages > maxPages || len(q.rows)+len(r.Body) > maxRows:
		return 0, false, fmt.Errorf("%w: %d pages, %d bytes", ErrMalformedResponse, pages, len(q.rows)+len(r.Body))
	case !wholeRows(r.Body):
		return 0, false, fmt.Errorf("%w: page %d does not hold whole rows", ErrMalformedResponse, q.page)
	}
	if q.state != paging {
		q.cost = r.Cost
	}
	q.pages, q.state = pages, paging
	q.rows = append(q.rows, r.Body...)
	q.page++
	return scheduler.Succeeded, q.page >= q.pages, nil
}

// wholeRows says whether a page holds rows of the protocol's form, to the end of the last.
func wholeRows(page []byte) bool {
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

// readLoad reads a load report; what it does not name is negative.
func readLoad(text string) *scheduler.LoadReport {
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
