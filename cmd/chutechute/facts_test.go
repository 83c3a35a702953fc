package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/standin"
)

// Priorities go to engines where the settings say that they are heeded, with the start and for what runs; a memory grant never goes
// where the engine alone sets it. Where the settings say nothing of all this, none of it is on the wire, and notes say nothing.
func TestPrioritiesAndNotesBySettings(t *testing.T) {
	for _, on := range []bool{false, true} {
		r := start(t, 1, func(r *standin.Rig, w http.ResponseWriter, c standin.Call) {
			switch {
			case c.Method == "PUT" || c.Method == "DELETE":
				w.WriteHeader(204)
			case time.Since(r.Got("POST", "/")[0].At) > 900*time.Millisecond:
				w.Header().Set("X-Spent", "no number")
				standin.Serve(w, standin.Row)
			default:
				time.Sleep(50 * time.Millisecond)
				w.Header().Set("Outcome", "p")
				w.Header().Set("X-Num", "0.5")
				w.WriteHeader(202)
			}
		}, func(r *standin.Rig) {
			d := r.Settings["domain"].(map[string]any)
			d["lanes_count"], d["grants"], d["tells_cost"] = on, false, on
			if on {
				d["note_period"] = 0.05
			}
		})
		c := r.Client()
		// Its aim passes while it runs: from then on it may wait.
		c.Ask("SELECT * FROM s_1.t", "call", standin.ID(1), "op", "lookup", "ttl", "5000", "org", "t", "work", "100.0", "mb", "8")
		assert.Equal(t, "answer", c.Read().What)
		post, put := r.Got("POST", "/")[0], r.Got("PUT", "/")
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
		assert.Equal(t, "/v1/store/"+standin.ID(1), put[0].Path)
		assert.Positive(t, r.Counter("notes and costs that can't be"))
	}
}
