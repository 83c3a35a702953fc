package rest

import (
	"fmt"
	"strconv"
	"strings"

	"chutechute/decide"
)

const (
	maxPages = 64
	maxRows  = 256 << 10
)

// Start is what an engine is told of a query; id, class, statement and once-key are the client's own.
type Start struct {
	ID, Class, Once string
	Statement       []byte
	Wait            decide.Micros
	GrantMB         float64 // 0: the engine chooses
}

type state int

const (
	posting state = iota
	polling
	paging
	dropping
	probing
)

// Query is one attempt's way through an engine's calls: it is started, asked after and fetched page by
// page, or given up. Whoever drives it writes Call, feeds Take with the answer, and goes on while Take
// says so; after a broken connection Call may be written again on another, but never a POST.
type Query struct {
	start Start
	host  string
	state state
	page  int
	pages int
	rows  []byte
	load  *decide.Load
}

// NewQuery begins a query at the engine with that address.
func NewQuery(host string, start Start) *Query { return &Query{start: start, host: host} }

// NewProbe is a question for an engine's load.
func NewProbe(host string) *Query { return &Query{host: host, state: probing} }

// Posting says whether the start has not been answered yet.
func (q *Query) Posting() bool { return q.state == posting }

// Polling says whether the query is known to run and its end is awaited.
func (q *Query) Polling() bool { return q.state == polling }

// Dropping says whether the query is being given up.
func (q *Query) Dropping() bool { return q.state == dropping }

// Drop turns the query to giving up: its next call is the DELETE.
func (q *Query) Drop() { q.state = dropping }

// Rows is the result once Take has said Done.
func (q *Query) Rows() []byte { return q.rows }

// Load is the last load report that came with an answer; nil without.
func (q *Query) Load() *decide.Load { return q.load }

// Call is the next call in full.
func (q *Query) Call() []byte {
	path := "/v1/store/" + q.start.ID
	switch q.state {
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
		q.host, s.ID, s.Class, max(1, s.Wait/1000))
	if s.Once != "" {
		b = fmt.Appendf(b, "Once-Key: %s\r\n", s.Once)
	}
	if s.GrantMB > 0 {
		b = fmt.Appendf(b, "X-Reserve: %s\r\n", strconv.FormatFloat(s.GrantMB, 'f', -1, 64))
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(s.Statement))
	return append(b, s.Statement...)
}

func (q *Query) get(path string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, q.host)
}

// Take feeds the answer to the last call. Where the query has ended, result tells how; else Call is to
// follow at once.
func (q *Query) Take(r Response) (result decide.Result, ended bool) {
	if r.Load != "" {
		q.load = readLoad(r.Load)
	}
	switch {
	case q.state == dropping:
		return decide.Canceled, true
	case q.state == probing:
		if r.Status == 200 {
			return decide.Done, true
		}
		return decide.Errored, true
	case r.NeverRan && r.Status == 504:
		return decide.NotSent, true
	case r.NeverRan:
		return decide.Full, true
	case r.Status == 202 && q.state != paging:
		q.state = polling
		return 0, false
	case r.Status != 200:
		return decide.Errored, true
	}
	if q.state == paging {
		if r.Page != q.page {
			return decide.Errored, true
		}
	} else {
		q.pages, q.state = max(1, r.Pages), paging
	}
	if q.pages > maxPages || len(q.rows)+len(r.Body) > maxRows {
		return decide.Errored, true
	}
	q.rows = append(q.rows, r.Body...)
	q.page++
	return decide.Done, q.page >= q.pages
}

// readLoad reads a load report; what it does not name is negative.
func readLoad(text string) *decide.Load {
	load := &decide.Load{Util: -1, Queue: -1, Memory: -1, Disk: -1}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			continue
		}
		switch strings.TrimSpace(name) {
		case "util":
			load.Util = x
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
