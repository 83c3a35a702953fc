// Package rest implements the protocol of the engines: HTTP/1.1 calls that start, poll and cancel a query and fetch the
// pages of its result. It encodes calls and parses responses, and does no input or output itself.
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
	versionPrefix = "HTTP/1." // of each status line

	maxHead = 16 << 10
	maxBody = 6000 // bytes of one page, set by the protocol
	// MaxResponse is the maximum size of a response in bytes.
	MaxResponse = maxHead + maxBody
)

// ErrMalformedResponse reports a response that violates the protocol. The connection has to be closed.
var ErrMalformedResponse = errors.New("rest: malformed response")

// Response is a complete response of an engine.
type Response struct {
	Status           int
	NeverRan         bool      // Never-Ran: the query has not run and will not
	Pages            int       // X-Batches: number of pages of the result; 0 if missing
	Page             int       // X-Batch: which page the body holds; -1 if missing
	Load             string    // Load-Report
	Progress         *Progress // Outcome and X-Num; nil if missing or malformed
	Cost             Cost      // X-Spent and X-Wanted; 0 if missing or malformed
	MalformedHeaders int       // malformed progress reports and costs
	Close            bool      // the engine closes the connection after this response
	Body             []byte    // valid until the buffer is written to
}

// NextResponse removes the next response from the input buffer. ok is false while it is incomplete. Interim responses
// (1xx) before it are skipped.
func NextResponse(in *ring.Buffer) (r Response, ok bool, err error) {
	data, length, end := in.Bytes(), 0, 0
	for {
		end = bytes.Index(data, []byte("\r\n\r\n"))
		if end > maxHead || end < 0 && len(data) > maxHead {
			return r, false, fmt.Errorf("%w: head too long", ErrMalformedResponse)
		}
		if end < 0 {
			// Bytes that can't be the beginning of a status line are an error at once.
			if n := min(len(data), len(versionPrefix)); string(data[:n]) != versionPrefix[:n] {
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
	size := end + 4 + length
	if len(data) < size {
		return r, false, nil
	}
	r.Body = data[end+4 : size]
	in.Discard(size)
	return r, true, nil
}

// parseHead parses the status line and the headers. length is the size of the body that follows.
func parseHead(head string) (r Response, length int, err error) {
	line, rest, _ := strings.Cut(head, "\r\n")
	r.Page, length = -1, -1
	var kind, number string
	if !strings.HasPrefix(line, versionPrefix) || len(line) < 12 || line[8] != ' ' {
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
			r.Cost.Work = monotime.Micros(r.parseCost(value, maxCost) * 1000)
		case "x-wanted":
			r.Cost.MemoryMB = r.parseCost(value, maxCost)
		}
		if err != nil {
			return r, 0, fmt.Errorf("%w: %s %.40q", ErrMalformedResponse, name, value)
		}
	}
	r.parseProgress(kind, number)
	if r.Status < 200 || r.Status == 204 || r.Status == 304 {
		length = 0
	}
	if length < 0 {
		return r, 0, fmt.Errorf("%w: no Content-Length", ErrMalformedResponse)
	}
	return r, length, nil
}

// maxCost is the highest valid cost, in milliseconds of work and in megabytes of memory.
const maxCost = 1e9

// parseCost parses a number from 0 to limit. A malformed one is counted and returned as 0, like a missing one.
func (r *Response) parseCost(text string, limit float64) float64 {
	x, err := decimal.Parse(text, limit)
	if err != nil {
		r.MalformedHeaders++
	}
	return x
}

// progressKinds lists the kinds of progress reports by their names in the protocol, with the highest valid value.
var progressKinds = map[string]struct {
	kind  scheduler.ProgressKind
	limit float64
}{"p": {scheduler.ProgressFraction, 1}, "s": {scheduler.ProgressSpill, maxCost}, "w": {scheduler.ProgressWaiting, 2}}

// parseProgress parses a progress report, which only a response with status 202 has. A malformed one is counted and
// ignored; the response stays valid.
func (r *Response) parseProgress(kind, number string) {
	if kind == "" && number == "" || r.Status != 202 {
		return
	}
	k, ok := progressKinds[kind]
	x, err := decimal.Parse(number, k.limit)
	if !ok || err != nil || k.kind == scheduler.ProgressWaiting && x != 1 && x != 2 {
		r.MalformedHeaders++
		return
	}
	r.Progress = &Progress{k.kind, x}
}
