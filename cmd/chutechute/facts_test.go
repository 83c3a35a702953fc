package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// Where the settings enable priorities, a query's priority is sent to its engine with the start, and again when it
// changes while the query runs; where they enable progress reports, these are counted. Without these settings no
// priority is sent and progress reports are ignored. A memory grant is sent in neither case, as grants is false.
func TestPrioritiesAndProgressReportsBySettings(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
			switch {
			case c.Method == "PUT" || c.Method == "DELETE":
				w.WriteHeader(204)
			case time.Since(r.Requests("POST", "/")[0].ReceivedAt) > 900*time.Millisecond:
				w.Header().Set("X-Spent", "no number")
				testharness.RespondResult(w, testharness.ResultRow)
			default:
				time.Sleep(50 * time.Millisecond)
				w.Header().Set("Outcome", "p")
				w.Header().Set("X-Num", "0.5")
				w.WriteHeader(202)
			}
		}, func(r *testharness.Harness) {
			domain := r.Settings["domain"].(map[string]any)
			domain["lanes_count"], domain["grants"], domain["tells_cost"] = enabled, false, enabled
			if enabled {
				domain["note_period"] = 0.05
			}
		})
		c := r.NewClient()
		// Its latency objective passes while it runs, which lowers its priority to 0.
		c.SendRequest("SELECT * FROM s_1.t", "call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "org", "t",
			"work", "100.0", "mb", "8")
		assert.Equal(t, "answer", c.ReadReply().Kind)
		post, put := r.Requests("POST", "/")[0], r.Requests("PUT", "/")
		assert.NotContains(t, post.Header, "X-Reserve")
		assert.Equal(t, enabled, r.Counter("notes on running attempts") > 0)
		if !enabled {
			assert.NotContains(t, post.Header, "X-Weight-Class")
			assert.Empty(t, put)
			continue
		}
		assert.Equal(t, "3", post.Header.Get("X-Weight-Class"))
		require.Len(t, put, 1)
		assert.Equal(t, "0", strings.TrimSpace(put[0].Body))
		assert.Equal(t, "/v1/store/"+testharness.RequestID(1), put[0].Path)
		assert.Positive(t, r.Counter("notes and costs that can't be"))
	}
}

// Once one attempt of a hedged request has succeeded, the other one is canceled with a DELETE, and the client gets one
// response.
func TestLosingHedgedAttemptIsCanceled(t *testing.T) {
	r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		posts := r.Requests("POST", "/")
		slow := len(posts) > 10 && c.Engine == posts[10].Engine
		switch {
		case c.Method == "DELETE":
			w.WriteHeader(204)
		case slow && (c.Method == "GET" || c.Header.Get("Request-Id") == testharness.RequestID(10)):
			time.Sleep(50 * time.Millisecond)
			w.WriteHeader(202)
		default:
			testharness.RespondResult(w, testharness.ResultRow)
		}
	}, func(r *testharness.Harness) { r.Settings["limits"].(map[string]any)["may_duplicate"] = true })
	c := r.NewClient()
	for n := range 10 { // typical queries take no time, so that a slow one is hedged
		c.SendLookup(n, "9000")
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	c.SendLookup(10, "9000")
	p := c.ReadReply()
	assert.Equal(t, "answer", p.Kind)
	assert.Equal(t, testharness.ResultRow, p.Rows())
	posts := r.Requests("POST", "/")
	require.Len(t, posts, 12)
	assert.NotEqual(t, posts[10].Engine, posts[11].Engine)
	deleted := r.WaitForRequests(1, "DELETE", "/v1/store/"+testharness.RequestID(10))
	assert.Equal(t, posts[10].Engine, deleted[0].Engine)
	assert.True(t, c.Healthy(), "the next message is the response to health")
	assert.Eventually(t, func() bool { return r.Counter("attempts given up for clients") == 1 },
		testharness.WaitTimeout, time.Millisecond)
}
