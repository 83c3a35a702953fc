package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"
)

// Call is one call that an engine got.
type Call struct {
	Engine, Method, Path string
	Header               http.Header
	Body                 string
	At                   time.Time
	Gone                 <-chan struct{} // closed once its connection has ended, or it is answered
}

// Engine plays an engine on a loopback socket; its answers are the test's.
type Engine struct {
	Name   string
	Addr   *net.TCPAddr
	Server *httptest.Server
}

// Answer is what an engine does with a call.
type Answer func(r *Rig, w http.ResponseWriter, c Call)

// Row is a result's row, and all of most results here.
const Row = "x\ty\tz\n"

// Serve answers with a result of one page.
func Serve(w http.ResponseWriter, page string) {
	w.Header().Set("X-Batches", "1")
	w.Header().Set("Content-Length", strconv.Itoa(len(page))) // engines send no chunks
	fmt.Fprint(w, page)
}

// Raw answers with bytes of the test's own, and ends the connection or keeps it open.
func Raw(w http.ResponseWriter, answer string, end bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, answer)
	if end {
		conn.Close()
	}
}

// Twice answers with bytes of the test's own, and with others a while later; the connection stays open.
func Twice(w http.ResponseWriter, answer string, later time.Duration, more string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, answer)
	time.AfterFunc(later, func() { _, _ = io.WriteString(conn, more) })
}

// Store is an engine that keeps each query running until it has been asked so many times, then serves rows.
func Store(asks int, rows ...string) Answer {
	asked := map[string]int{}
	return func(r *Rig, w http.ResponseWriter, c Call) {
		name := c.Header.Get("Request-Id")
		page := 0
		if c.Method != "POST" {
			part := strings.Split(c.Path, "/")
			name = part[3]
			if c.Method == "DELETE" {
				w.WriteHeader(204)
				return
			}
			fmt.Sscan(part[4], &page)
		}
		r.Mu.Lock()
		asked[name]++
		n := asked[name]
		r.Mu.Unlock()
		if page == 0 && n <= asks {
			time.Sleep(50 * time.Millisecond)
			w.WriteHeader(202)
			return
		}
		if page > 0 {
			w.Header().Set("X-Batch", fmt.Sprint(page))
		} else {
			w.Header().Set("X-Batches", fmt.Sprint(len(rows)))
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(rows[page]))) // longer ones would come in chunks, which no engine sends
		io.WriteString(w, rows[page])
	}
}

// Held serves at once, but for the start of one request, which waits until released.
func Held(id string, released <-chan bool) Answer {
	return func(_ *Rig, w http.ResponseWriter, c Call) {
		if c.Method == "POST" && c.Header.Get("Request-Id") == id {
			<-released
		}
		Serve(w, Row)
	}
}
