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
	"time"
)

// Event is one thing that a client or an engine of a fleet saw, with its true time.
type Event struct {
	At     time.Time
	What   string // asked, answered (Detail: answer, shed, fault or lost), began, repeat, ended, gave up, deleted
	Front  string // that a client asked
	Engine string
	Call   string
	Once   string
	Key    string
	Detail string
	Body   string
}

func (e Event) String() string {
	return fmt.Sprintf("%s %-9s front=%s engine=%s call=%s once=%s key=%s %s %.40q", e.At.Format("05.000000"), e.What, e.Front,
		e.Engine, e.Call, e.Once, e.Key, e.Detail, e.Body)
}

// Record is what was seen, in the order of its true times.
type Record struct {
	mu   sync.Mutex
	list []Event
}

// Add notes an event as of now.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Now()
	r.list = append(r.list, e)
}

// Events is all so far.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.list...)
}

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
	record *Record
	seen   *Seen
	server *httptest.Server

	mu   sync.Mutex
	runs map[string]*run
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
func NewWorker(name string, record *Record, seen *Seen) *Worker {
	w := &Worker{Name: name, record: record, seen: seen, runs: map[string]*run{}}
	w.server = httptest.NewServer(http.HandlerFunc(w.serve))
	w.Addr = w.server.Listener.Addr().(*net.TCPAddr)
	return w
}

// Close ends the engine and all it runs.
func (w *Worker) Close() {
	w.server.CloseClientConnections()
	w.server.Close()
}

var millis = regexp.MustCompile(`ms=(\d+)`)

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
	w.mu.Unlock()
	if req.Method == "DELETE" {
		if r != nil {
			w.end(r, "deleted", false)
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
			w.record.Add(Event{What: "repeat", Engine: w.Name, Call: call, Once: once})
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
	w.mu.Lock()
	w.runs[call] = r
	w.record.Add(Event{What: "began", Engine: w.Name, Call: call, Once: once, Body: statement})
	w.mu.Unlock()
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
			w.end(r, "ended", true)
			return
		case <-look.C:
			w.mu.Lock()
			idle := r.asking == 0 && time.Since(r.asked) >= unasked
			w.mu.Unlock()
			if idle {
				w.end(r, "gave up", false)
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
	w.record.Add(Event{What: how, Engine: w.Name, Call: r.call, Once: r.once})
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
