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

// EngineHandler handles one request to a stub engine. It is called concurrently.
type EngineHandler func(h *Harness, w http.ResponseWriter, request EngineRequest)

// ResultRow is one row of a result. In most tests it is the whole result.
const ResultRow = "x\ty\tz\n"

// RespondResult responds with a result of one page.
func RespondResult(w http.ResponseWriter, page string) {
	w.Header().Set("X-Batches", "1")
	w.Header().Set("Content-Length", strconv.Itoa(len(page))) // engines don't use chunked encoding
	fmt.Fprint(w, page)
}

// RespondRaw writes the response, which includes the status line and headers, as it is, and then closes the connection
// if closeConn is set.
func RespondRaw(w http.ResponseWriter, response string, closeConn bool) {
	conn := hijack(w)
	_, _ = io.WriteString(conn, response)
	if closeConn {
		conn.Close()
	}
}

// RespondRawTwice writes the response, which includes the status line and headers, as it is, and writes more after a
// delay. The connection stays open.
func RespondRawTwice(w http.ResponseWriter, response string, delay time.Duration, more string) {
	conn := hijack(w)
	_, _ = io.WriteString(conn, response)
	time.AfterFunc(delay, func() { _, _ = io.WriteString(conn, more) })
}

// hijack takes over the connection from the HTTP server. It can't fail, as all connections are HTTP/1.1.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return conn
}

// runningResponseDelay is how long an engine takes to respond that a query is still running.
const runningResponseDelay = 50 * time.Millisecond

// SucceedAfterPolls returns a handler that responds to the first runningResponses requests of each query (its start and
// polls) that the query is still running, and to later ones with a result that has one page for each of the rows.
// DELETE succeeds and has no effect.
func SucceedAfterPolls(runningResponses int, rows ...string) EngineHandler {
	requests := map[string]int{} // number of requests of each query; guarded by the harness's mutex
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
		// Without the header a long page would be sent in chunked encoding, which engines don't use.
		w.Header().Set("Content-Length", fmt.Sprint(len(rows[page])))
		io.WriteString(w, rows[page])
	}
}

// DelayedStart returns a handler that responds immediately with one row, except to the start of the request with the
// given id: that response waits until a value is received from released or the channel is closed.
func DelayedStart(id string, released <-chan bool) EngineHandler {
	return func(h *Harness, w http.ResponseWriter, request EngineRequest) {
		if request.Method == http.MethodPost && request.Header.Get("Request-Id") == id {
			<-released
		}
		RespondResult(w, ResultRow)
	}
}
