// Package rest speaks to engines: HTTP/1.1 calls that start a query, ask for its news, fetch its pages
// and give it up. It is fed bytes and knows no socket.
package rest

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"chutechute/internal/decimal"
	"chutechute/internal/monotime"
	"chutechute/internal/ring"
	"chutechute/scheduler"
)

const (
	protocol = "HTTP/1." // what each status line begins with

	maxHead = 16 << 10
	maxBody = 6000 // of one page, by the protocol
	// MaxResponse bounds what one answer may take up.
	MaxResponse = maxHead + maxBody
)

// ErrMalformedResponse says that the stream holds no answer of ours, or a spoilt one: the connection has to end.
var ErrMalformedResponse = errors.New("rest: unreadable answer")

// Response is one whole answer of an engine.
type Response struct {
	Status           int
	NeverRan         bool
	Pages            int       // X-Batches, 0 without
	Page             int       // X-Batch, -1 without
	Load             string    // Load-Report
	Note             *Progress // Outcome and X-Num, where they make one
	Cost             Cost      // X-Spent and X-Wanted, as far as they can be
	MalformedHeaders int       // notes and costs that can't be
	Close            bool      // the engine closes the connection after it
	Body             []byte    // valid until the buffer is fed again
}

// NextResponse takes the next whole answer from what has come; ok is false until there is one. Interim answers
// (1xx) that come before it are passed over.
func NextResponse(in *ring.Buffer) (r Response, ok bool, err error) {
	data, length, end := in.Bytes(), 0, 0
	for {
		end = bytes.Index(data, []byte("\r\n\r\n"))
		if end > maxHead || end < 0 && len(data) > maxHead {
			return r, false, fmt.Errorf("%w: head too long", ErrMalformedResponse)
		}
		if end < 0 {
			// What can't become a status line is not waited for.
			if n := min(len(data), len(protocol)); string(data[:n]) != protocol[:n] {
				return r, false, fmt.Errorf("%w: status line %.40q", ErrMalformedResponse, data)
			}
			return r, false, nil
		}
		if r, length, err = parseHead(string(data[:end])); err != nil {
			return r, false, err
		}
		if r.Status >= 200 {
			break
		}
		in.Discard(end + 4)
		data = in.Bytes()
	}
	whole := end + 4 + length
	if len(data) < whole {
		return r, false, nil
	}
	r.Body = data[end+4 : whole]
	in.Discard(whole)
	return r, true, nil
}

func parseHead(head string) (r Response, length int, err error) {
	line, rest, _ := strings.Cut(head, "\r\n")
	r.Page, length = -1, -1
	var kind, number string
	if !strings.HasPrefix(line, protocol) || len(line) < 12 || line[8] != ' ' {
		return r, 0, fmt.Errorf("%w: status line %.40q", ErrMalformedResponse, line)
	}
	if r.Status, err = strconv.Atoi(line[9:12]); err != nil || r.Status < 100 || r.Status == 101 {
		return r, 0, fmt.Errorf("%w: status line %.40q", ErrMalformedResponse, line)
	}
	r.Close = line[7] == '0'
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return r, 0, fmt.Errorf("%w: header %.40q", ErrMalformedResponse, line)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > maxBody || length >= 0 && n != length {
				return r, 0, fmt.Errorf("%w: Content-Length %.40q", ErrMalformedResponse, value)
			}
			length = n
		case "transfer-encoding":
			return r, 0, fmt.Errorf("%w: Transfer-Encoding %.40q", ErrMalformedResponse, value)
		case "connection":
			r.Close = strings.EqualFold(value, "close")
		case "never-ran":
			r.NeverRan = value == "1"
		case "x-batches":
			r.Pages, err = strconv.Atoi(value)
		case "x-batch":
			r.Page, err = strconv.Atoi(value)
		case "load-report":
			r.Load = value
		case "outcome":
			kind = value
		case "x-num":
			number = value
		case "x-spent":
			r.Cost.Work = monotime.Micros(r.figure(value, mostSpent) * 1000)
		case "x-wanted":
			r.Cost.MemoryMB = r.figure(value, mostSpent)
		}
		if err != nil {
			return r, 0, fmt.Errorf("%w: %s %.40q", ErrMalformedResponse, name, value)
		}
	}
	r.note(kind, number)
	if r.Status < 200 || r.Status == 204 || r.Status == 304 {
		length = 0
	}
	if length < 0 {
		return r, 0, fmt.Errorf("%w: no Content-Length", ErrMalformedResponse)
	}
	return r, length, nil
}

// mostSpent bounds what a query may be said to have taken, in milliseconds and in MB.
const mostSpent = 1e9

// figure reads a number from 0 to most; what is none counts as odd and as not said.
func (r *Response) figure(text string, most float64) float64 {
	x, err := decimal.Parse(text, most)
	if err != nil {
		r.MalformedHeaders++
	}
	return x
}

var noteKinds = map[string]struct {
	kind scheduler.ProgressKind
	most float64
}{"p": {scheduler.ProgressFraction, 1}, "s": {scheduler.ProgressSpill, mostSpent}, "w": {scheduler.ProgressWaiting, 2}}

// note reads a note, which comes with 202 only. One that can't be is as good as none: the answer is usable all the same.
func (r *Response) note(kind, number string) {
	if kind == "" && number == "" || r.Status != 202 {
		return
	}
	k, ok := noteKinds[kind]
	x, err := decimal.Parse(number, k.most)
	if !ok || err != nil || k.kind == scheduler.ProgressWaiting && x != 1 && x != 2 {
		r.MalformedHeaders++
		return
	}
	r.Note = &Progress{k.kind, x}
}
