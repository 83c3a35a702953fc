package rest

import (
	"testing"

	"chutechute/internal/ring"
	"chutechute/scheduler"
)

// Arbitrary bytes from an engine, split anywhere, give valid responses or an error, and a query never stores more than
// the maximum size of a result.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Batches: 2\r\nContent-Length: 6\r\n\r\na\tb\tc\n"+
		"HTTP/1.1 200 OK\r\nX-Batch: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n"), 7)
	f.Add([]byte("HTTP/1.1 202 Accepted\r\nOutcome: p\r\nX-Num: 0.5\r\nContent-Length: 0\r\n\r\n"+
		"HTTP/1.1 503 x\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n"), 1)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 x\r\nContent-Length: 3000000000\r\n\r\n"), 50)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		in := ring.New(MaxResponse, &ring.Budget{Max: MaxResponse})
		q := NewQuery("h", Start{ID: "1", Class: "c", Statement: []byte("x"), Priority: 1})
		q.Call()
		piece = max(1, piece)
		for len(data) > 0 {
			n := min(piece, len(data))
			if _, err := in.Write(data[:n]); err != nil {
				return
			}
			data = data[n:]
			for {
				before := in.Len()
				r, ok, err := NextResponse(in)
				if err != nil {
					return
				}
				if !ok {
					break
				}
				if in.Len() >= before {
					t.Fatal("response consumed no bytes")
				}
				result, ended, err := q.HandleResponse(r)
				if len(q.Rows()) > maxResultSize {
					t.Fatalf("%d bytes of rows", len(q.Rows()))
				}
				if err != nil {
					q.Resume()
				}
				if ended && result == scheduler.Succeeded && !hasValidRows(q.Rows()) {
					t.Fatalf("malformed rows: %q", q.Rows())
				}
				if ended {
					return
				}
				q.SetPriority(len(data) % 4)
				q.Call()
			}
		}
	})
}
