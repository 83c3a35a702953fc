package standin

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
	unasked = 2 * time.Second  // after which an engine gives a query up
	window  = 25 * time.Second // in which an engine drops repeats of a key
	news    = 250 * time.Millisecond
)

// Worker is an engine that keeps its promises and notes what it does: each query runs for as long as its statement says
// ("ms=300"), until it is deleted, or until nobody has asked for it for 2 s. Its rows name the run. All engines of a fleet
// share what keys they have seen.
type Worker struct {
	Name   string
	Addr   *net.TCPAddr
	record *history.Record
	seen   *Seen
	server *httptest.Server

	// Fails has each query end at its beginning, as on an engine that is broken.
	Fails atomic.Bool

	mu   sync.Mutex
	runs map[string]*run
	asks map[string][]time.Time // when each query was asked after
}

// AskedAfter is when a query was first asked after since a time.
func (w *Worker) AskedAfter(call string, since time.Time) (at time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.asks[call] {
		if at.After(since) {
			return at, true
		}
	}
	return at, false
}

// Seen is the keys that the engines of a fleet have run lately.
type Seen struct {
	mu   sync.Mutex
	keys map[string]time.Time
}

type run struct {
	call, once string
	asked      time.Time
	asking     int // calls that wait for its news
	over       bool
	good       bool
	rows       string
	changed    chan struct{} // closed at its end
	stop       chan struct{} // closed by a DELETE
}

// NewWorker begins an engine.
func NewWorker(name string, record *history.Record, seen *Seen) *Worker {
	w := &Worker{Name: name, record: record, seen: seen, runs: map[string]*run{}, asks: map[string][]time.Time{}}
	w.server = httptest.NewServer(http.HandlerFunc(w.serve))
	w.Addr = w.server.Listener.Addr().(*net.TCPAddr)
	return w
}

// Close ends the engine and all it runs.
func (w *Worker) Close() {
	w.server.CloseClientConnections()
	w.server.Close()
}

var (
	millis = regexp.MustCompile(`ms=(\d+)`)
	sized  = regexp.MustCompile(`kb=(\d+)`) // of its rows
)

func (w *Worker) serve(out http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the start never came whole
	}
	if req.Method == "POST" {
		w.start(out, req, string(body))
		return
	}
	part := strings.Split(req.URL.Path, "/")
	if len(part) < 4 {
		out.WriteHeader(200)
		return
	}
	w.mu.Lock()
	r := w.runs[part[3]]
	if req.Method == "GET" {
		w.asks[part[3]] = append(w.asks[part[3]], time.Now())
	}
	w.mu.Unlock()
	if req.Method == "DELETE" {
		if r != nil {
			w.end(r, history.Deleted, false)
		}
		out.WriteHeader(204)
		return
	}
	if r == nil {
		out.WriteHeader(500)
		return
	}
	w.answer(out, r)
}

func (w *Worker) start(out http.ResponseWriter, req *http.Request, statement string) {
	call, once := req.Header.Get("Request-Id"), req.Header.Get("Once-Key")
	if once != "" {
		w.seen.mu.Lock()
		last, known := w.seen.keys[once]
		repeat := known && time.Since(last) < window
		if !repeat {
			w.seen.keys[once] = time.Now()
		}
		w.seen.mu.Unlock()
		if repeat {
			w.record.Add(history.Event{What: history.Repeat, Engine: w.Name, Call: call, Once: once})
			out.WriteHeader(500)
			return
		}
	}
	ms := 0
	if m := millis.FindStringSubmatch(statement); m != nil {
		ms, _ = strconv.Atoi(m[1])
	}
	r := &run{call: call, once: once, asked: time.Now(), rows: fmt.Sprintf("%s\t%s\t%s\n", call, once, w.Name),
		changed: make(chan struct{}), stop: make(chan struct{})}
	if m := sized.FindStringSubmatch(statement); m != nil {
		kb, _ := strconv.Atoi(m[1])
		r.rows += strings.Repeat(r.rows, kb*1024/len(r.rows))
	}
	w.mu.Lock()
	w.runs[call] = r
	w.record.Add(history.Event{What: history.Began, Engine: w.Name, Call: call, Once: once, Body: statement})
	w.mu.Unlock()
	if w.Fails.Load() {
		w.end(r, history.Ended, false)
	}
	go w.run(r, time.Duration(ms)*time.Millisecond)
	w.answer(out, r)
}

// run sees to a query's end: its work is done, or nobody asks any more.
func (w *Worker) run(r *run, work time.Duration) {
	finished := time.After(work)
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-finished:
			w.end(r, history.Ended, true)
			return
		case <-look.C:
			w.mu.Lock()
			idle := r.asking == 0 && time.Since(r.asked) >= unasked
			w.mu.Unlock()
			if idle {
				w.end(r, history.Unasked, false)
				return
			}
		}
	}
}

func (w *Worker) end(r *run, how string, good bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.over {
		return
	}
	r.over, r.good = true, good
	close(r.changed)
	close(r.stop)
	w.record.Add(history.Event{What: how, Engine: w.Name, Call: r.call, Once: r.once})
}

func (w *Worker) answer(out http.ResponseWriter, r *run) {
	w.mu.Lock()
	r.asking++
	w.mu.Unlock()
	select {
	case <-r.changed:
	case <-time.After(news):
	}
	w.mu.Lock()
	r.asking--
	r.asked = time.Now()
	over, good := r.over, r.good
	w.mu.Unlock()
	switch {
	case !over:
		out.WriteHeader(202)
	case good:
		Serve(out, r.rows)
	default:
		out.WriteHeader(500)
	}
}
