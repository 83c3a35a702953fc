package testharness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// EngineHandler handles one request to a stub engine. It is called by several goroutines at once.
type EngineHandler func(h *Harness, w http.ResponseWriter, request EngineRequest)

// ResultRow is one row of a result, and the whole result in most tests.
const ResultRow = "x\ty\tz\n"

// RespondResult responds with a result of one page.
func RespondResult(w http.ResponseWriter, page string) {
	w.Header().Set("X-Batches", "1")
	w.Header().Set("Content-Length", strconv.Itoa(len(page))) // engines send no chunks
	fmt.Fprint(w, page)
}

// RespondRaw responds with bytes of the test's own, head included, and closes the connection where closeConn is set.
func RespondRaw(w http.ResponseWriter, response string, closeConn bool) {
	conn := hijack(w)
	_, _ = io.WriteString(conn, response)
	if closeConn {
		conn.Close()
	}
}

// RespondRawTwice responds with bytes of the test's own, head included, and writes more of them after a delay. The
// connection stays open.
func RespondRawTwice(w http.ResponseWriter, response string, delay time.Duration, more string) {
	conn := hijack(w)
	_, _ = io.WriteString(conn, response)
	time.AfterFunc(delay, func() { _, _ = io.WriteString(conn, more) })
}

// hijack takes the connection over from the HTTP server. Connections here are HTTP/1.1, which can always be taken over.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return conn
}

// runningResponseDelay is how long an engine takes to respond that a query is still running.
const runningResponseDelay = 50 * time.Millisecond

// SucceedAfterPolls returns a handler under which each query is running for so many responses (to its start and
// polls), and has ended with one page for each of the rows after them. DELETE succeeds and changes nothing.
func SucceedAfterPolls(runningResponses int, rows ...string) EngineHandler {
	requests := map[string]int{} // of each query; guarded by the harness's lock
	return func(h *Harness, w http.ResponseWriter, request EngineRequest) {
		if request.Method == http.MethodDelete {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		query, page := request.Header.Get("Request-Id"), 0
		if request.Method != http.MethodPost {
			parts := strings.Split(request.Path, "/")
			query = parts[3]
			fmt.Sscan(parts[4], &page)
		}
		h.mu.Lock()
		requests[query]++
		count := requests[query]
		h.mu.Unlock()
		if page == 0 && count <= runningResponses {
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

// DelayedStart returns a handler that responds at once with one row; only the start of the request with the given
// id waits until released has a value or is closed.
func DelayedStart(id string, released <-chan bool) EngineHandler {
	return func(h *Harness, w http.ResponseWriter, request EngineRequest) {
		if request.Method == http.MethodPost && request.Header.Get("Request-Id") == id {
			<-released
		}
		RespondResult(w, ResultRow)
	}
}
