package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer handles one request to a stub engine. It is called by several goroutines at once.
type Answer func(r *Rig, w http.ResponseWriter, c Call)

// Row is one row of a result, and the whole result in most tests.
const Row = "x\ty\tz\n"

// Serve responds with a result of one page.
func Serve(w http.ResponseWriter, page string) {
	w.Header().Set("X-Batches", "1")
	w.Header().Set("Content-Length", strconv.Itoa(len(page))) // engines send no chunks
	fmt.Fprint(w, page)
}

// Raw responds with bytes of the test's own, head included, and closes the connection where end is set.
func Raw(w http.ResponseWriter, answer string, end bool) {
	conn := hijack(w)
	_, _ = io.WriteString(conn, answer)
	if end {
		conn.Close()
	}
}

// Twice responds with bytes of the test's own, head included, and writes more of them after the delay later. The
// connection stays open.
func Twice(w http.ResponseWriter, answer string, later time.Duration, more string) {
	conn := hijack(w)
	_, _ = io.WriteString(conn, answer)
	time.AfterFunc(later, func() { _, _ = io.WriteString(conn, more) })
}

// hijack takes the connection over from the HTTP server. Connections here are HTTP/1.1, which can always be taken over.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return conn
}

// runningResponseDelay is how long the engine of Store takes to respond that a query is still running.
const runningResponseDelay = 50 * time.Millisecond

// Store returns a handler under which each query is running for so many requests (its start and polls), and has ended
// with one page for each of the rows after them. DELETE succeeds and changes nothing.
func Store(asks int, rows ...string) Answer {
	requests := map[string]int{} // of each query; guarded by the harness's lock
	return func(r *Rig, w http.ResponseWriter, c Call) {
		if c.Method == http.MethodDelete {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		query, page := c.Header.Get("Request-Id"), 0
		if c.Method != http.MethodPost {
			parts := strings.Split(c.Path, "/")
			query = parts[3]
			fmt.Sscan(parts[4], &page)
		}
		r.Mu.Lock()
		requests[query]++
		count := requests[query]
		r.Mu.Unlock()
		if page == 0 && count <= asks {
			time.Sleep(runningResponseDelay)
			w.WriteHeader(http.StatusAccepted)
			return
		}
		if page > 0 {
			w.Header().Set("X-Batch", fmt.Sprint(page))
		} else {
			w.Header().Set("X-Batches", fmt.Sprint(len(rows)))
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(rows[page]))) // longer ones would be chunked, which no engine does
		io.WriteString(w, rows[page])
	}
}

// Held returns a handler that responds at once with Row; only the start of the request with the given id waits until
// released has a value or is closed.
func Held(id string, released <-chan bool) Answer {
	return func(_ *Rig, w http.ResponseWriter, c Call) {
		if c.Method == http.MethodPost && c.Header.Get("Request-Id") == id {
			<-released
		}
		Serve(w, Row)
	}
}
