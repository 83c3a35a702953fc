package rest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/ring"
	"chutechute/scheduler"
)

// handle has a query process one response.
func handle(t *testing.T, q *Query, response string) (r Response, result scheduler.Result, ended bool, err error) {
	t.Helper()
	in := ring.New(MaxResponse, &ring.Budget{Max: MaxResponse})
	_, err = in.Write([]byte(response))
	require.NoError(t, err)
	r, ok, err := NextResponse(in)
	require.NoError(t, err)
	require.True(t, ok)
	result, ended, err = q.HandleResponse(r)
	return r, result, ended, err
}

// newStartedQuery returns a query whose POST has been sent.
func newStartedQuery() *Query {
	q := NewQuery("h", Start{ID: "1", Class: "c", Statement: []byte("x"), Priority: 2})
	q.Call()
	return q
}

// stillRunning is the response to a poll of a query that has not ended; withHeaders replaces its %.
const stillRunning = "HTTP/1.1 202 Accepted\r\n%Content-Length: 0\r\n\r\n"

// withHeaders inserts headers into a response.
func withHeaders(response, headers string) string { return strings.Replace(response, "%", headers, 1) }

// A valid progress report is parsed. A malformed one is counted and ignored, and its response stays valid.
func TestProgressReports(t *testing.T) {
	for headers, want := range map[string]*Progress{
		"":                                      nil,
		"Outcome: p\r\nX-Num: 0.25\r\n":         {scheduler.ProgressFraction, 0.25},
		"Outcome: s\r\nX-Num: 96\r\n":           {scheduler.ProgressSpill, 96},
		"Outcome: w\r\nX-Num: 1\r\n":            {scheduler.ProgressWaiting, 1},
		"X-Num: 2\r\nOutcome: w\r\n":            {scheduler.ProgressWaiting, 2},
		"Outcome: w\r\nX-Num: 3\r\n":            nil,
		"Outcome: w\r\nX-Num: 1.5\r\n":          nil,
		"Outcome: p\r\nX-Num: 1.01\r\n":         nil,
		"Outcome: p\r\nX-Num: -0.1\r\n":         nil,
		"Outcome: p\r\nX-Num: NaN\r\n":          nil,
		"Outcome: p\r\nX-Num: Inf\r\n":          nil,
		"Outcome: p\r\nX-Num: much\r\n":         nil,
		"Outcome: p\r\n":                        nil,
		"X-Num: 0.5\r\n":                        nil,
		"Outcome: z\r\nX-Num: 0.5\r\n":          nil,
		"Outcome: s\r\nX-Num: 1e300\r\n":        nil,
		"Outcome: progress\r\nX-Num: 0.5\r\n":   nil,
		"Outcome: p\r\nX-Num: 0x1p-1_0\r\n":     nil,
		"Outcome: p, s\r\nX-Num: 0.5, 96\r\n":   nil,
		"Outcome: p\r\nX-Num: 0.5; q=1\r\n":     nil,
		"Outcome: w\r\nX-Num: 1\r\nX-Num: \r\n": nil,
	} {
		q := newStartedQuery()
		r, _, ended, err := handle(t, q, withHeaders(stillRunning, headers))
		require.NoError(t, err, headers)
		assert.False(t, ended)
		assert.True(t, q.Polling())
		assert.Equal(t, want, q.Progress(), headers)
		assert.Equal(t, headers != "" && want == nil, r.MalformedHeaders == 1, headers)
	}
	// The response that ends a query has no progress report, and a report does not carry over to the next response.
	q := newStartedQuery()
	_, _, _, err := handle(t, q, withHeaders(stillRunning, "Outcome: p\r\nX-Num: 0.25\r\n"))
	require.NoError(t, err)
	_, result, ended, err := handle(t, q,
		"HTTP/1.1 200 OK\r\nX-Batches: 1\r\nOutcome: p\r\nX-Num: 0.5\r\nContent-Length: 6\r\n\r\na\tb\tc\n")
	require.NoError(t, err)
	assert.True(t, ended)
	assert.Equal(t, scheduler.Succeeded, result)
	assert.Nil(t, q.Progress())
}

// The cost of a query is parsed from the response that ends it. A malformed value is counted and ignored, and the query
// has succeeded all the same.
func TestCosts(t *testing.T) {
	for headers, want := range map[string]Cost{
		"":                                   {},
		"X-Spent: 820.5\r\nX-Wanted: 96\r\n": {820_500, 96},
		"X-Spent: much\r\nX-Wanted: 96\r\n":  {0, 96},
		"X-Spent: -1\r\n":                    {},
		"X-Spent: NaN\r\n":                   {},
		"X-Spent: 1e300\r\nX-Wanted: Infinity\r\n": {},
	} {
		q := newStartedQuery()
		r, result, ended, err := handle(t, q,
			withHeaders("HTTP/1.1 200 OK\r\nX-Batches: 1\r\n%Content-Length: 6\r\n\r\na\tb\tc\n", headers))
		require.NoError(t, err, headers)
		assert.True(t, ended)
		assert.Equal(t, scheduler.Succeeded, result, headers)
		assert.Equal(t, "a\tb\tc\n", string(q.Rows()))
		assert.Equal(t, want, q.Cost(), headers)
		assert.LessOrEqual(t, r.MalformedHeaders, 2)
	}
}

// The POST carries the priority. A changed one is sent once, between two polls, and never before the response to the
// POST, which it could overtake. A late copy of the response to a poll does not confirm it.
func TestPriorityChanges(t *testing.T) {
	q := NewQuery("h", Start{ID: "1", Class: "c", Statement: []byte("x"), Priority: 2})
	assert.Contains(t, string(q.Call()), "\r\nX-Weight-Class: 2\r\n")
	q.SetPriority(0)
	assert.True(t, q.StartPending())
	_, _, _, err := handle(t, q, withHeaders(stillRunning, ""))
	require.NoError(t, err)
	put := string(q.Call())
	assert.True(t, strings.HasPrefix(put, "PUT /v1/store/1 HTTP/1.1\r\n") &&
		strings.HasSuffix(put, "\r\nContent-Length: 1\r\n\r\n0"), put)
	_, _, _, err = handle(t, q, withHeaders(stillRunning, ""))
	assert.ErrorIs(t, err, ErrStaleResponse)
	q.Resume()
	assert.Equal(t, put, string(q.Call()), "sent again, on another connection")
	_, _, ended, err := handle(t, q, "HTTP/1.1 204 No Content\r\n\r\n")
	require.NoError(t, err)
	assert.False(t, ended)
	assert.True(t, strings.HasPrefix(string(q.Call()), "GET /v1/store/1/0 "))
	_, _, _, err = handle(t, q, withHeaders(stillRunning, ""))
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(q.Call()), "GET "), "a confirmed priority is not sent again")
	q.SetPriority(3)
	q.Cancel()
	assert.True(t, strings.HasPrefix(string(q.Call()), "DELETE "), "no priority is sent while canceling")
	q = NewQuery("h", Start{ID: "1", Class: "c", Statement: []byte("x"), Priority: -1})
	assert.NotContains(t, string(q.Call()), "Weight")
	assert.NotContains(t, string(q.Call()), "Reserve")
}
