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

// Priorities go to engines where the settings say that they are heeded, with the start and for what runs; a memory grant never goes
// where the engine alone sets it. Where the settings say nothing of all this, none of it is on the wire, and notes say nothing.
func TestPrioritiesAndNotesBySettings(t *testing.T) {
	for _, on := range []bool{false, true} {
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
			d := r.Settings["domain"].(map[string]any)
			d["lanes_count"], d["grants"], d["tells_cost"] = on, false, on
			if on {
				d["note_period"] = 0.05
			}
		})
		c := r.NewClient()
		// Its aim passes while it runs: from then on it may wait.
		c.SendRequest("SELECT * FROM s_1.t", "call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "org", "t", "work", "100.0", "mb", "8")
		assert.Equal(t, "answer", c.ReadReply().Kind)
		post, put := r.Requests("POST", "/")[0], r.Requests("PUT", "/")
		assert.NotContains(t, post.Header, "X-Reserve")
		assert.Equal(t, on, r.Counter("notes on running attempts") > 0)
		if !on {
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

// The loser of two copies is given up once the other has served: one answer, and nothing of it runs on.
func TestLoserOfTwoCopiesIsGivenUp(t *testing.T) {
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
	for n := range 10 { // a usual one takes no time
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
	assert.True(t, c.Healthy(), "the next message is the answer to health")
	assert.Eventually(t, func() bool { return r.Counter("attempts given up for clients") == 1 }, testharness.WaitTimeout, time.Millisecond)
}
