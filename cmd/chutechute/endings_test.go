package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// patient has loads be held for longer than any test waits: the wait for an attempt's end is no jam that they lapse in.
func patient(r *testharness.Harness) {
	load := r.Settings["classes"].([]any)[1].(map[string]any)
	load["on_time"], load["give_up"] = 8, 60
}

// A DELETE whose connection does not come up in time is tried for again, over one that is left too. It was left undelivered, and
// the next of the key started when the engine was held to have given the query up by itself, a moment before it had.
func TestDeleteOutlivesALateConnection(t *testing.T) {
	var door *testharness.BlockableListener
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE":
			w.WriteHeader(204)
		case c.Header.Get("Request-Id") == testharness.RequestID(2):
			testharness.RespondResult(w, testharness.ResultRow)
		default:
			time.Sleep(250 * time.Millisecond)
			w.WriteHeader(202)
		}
	}, patient, func(r *testharness.Harness) { door = r.MakeBlockable(r.Engines[0]) })
	c := r.NewClient()
	c.SendLoad(1, "1000")
	c.SendLoad(2, "60000")
	r.WaitForRequests(2, "GET", "/v1/store/"+testharness.RequestID(1))
	door.Block()
	assert.NotEqual(t, "answer", c.ReadReply().Kind)
	deleted := r.WaitForRequests(1, "DELETE", "/v1/store/"+testharness.RequestID(1))
	door.Unblock()
	assert.Equal(t, "answer", c.ReadReply().Kind)
	posts := r.Requests("POST", "/")
	require.Len(t, posts, 2)
	assert.Greater(t, posts[1].ReceivedAt, deleted[0].ReceivedAt)
}

// A query counts as asked after until its engine has answered the last question, however late that is: the engine counts its 2 s
// from then.
func TestUnaskedCountsFromTheLastAnswer(t *testing.T) {
	var gets atomic.Int32
	var answered atomic.Int64
	r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "DELETE":
			testharness.RespondRaw(w, "", false) // it never arrives
		case c.Header.Get("Request-Id") == testharness.RequestID(2):
			testharness.RespondResult(w, testharness.ResultRow)
		case c.Method == "GET" && strings.Contains(c.Path, testharness.RequestID(1)) && gets.Add(1) == 2:
			time.Sleep(900 * time.Millisecond) // it stands still
			answered.Store(time.Now().UnixNano())
			w.WriteHeader(202)
		default:
			time.Sleep(250 * time.Millisecond)
			w.WriteHeader(202)
		}
	}, patient)
	c := r.NewClient()
	c.SendLoad(1, "700")
	assert.NotEqual(t, "answer", c.ReadReply().Kind)
	c.SendLoad(2, "60000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	posts := r.Requests("POST", "/")
	require.Len(t, posts, 2)
	assert.GreaterOrEqual(t, posts[1].ReceivedAt.UnixNano()-answered.Load(), int64(2*time.Second))
}

// held starts a front end whose engine keeps load 1 running until released, and has it planned to end.
func held(t *testing.T) (r *testharness.Harness, c *testharness.Client, release *atomic.Bool) {
	release = &atomic.Bool{}
	r = start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		if load := testharness.RequestID(1); !release.Load() && (c.Header.Get("Request-Id") == load || strings.Contains(c.Path, load)) {
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
			return
		}
		testharness.RespondResult(w, testharness.ResultRow)
	})
	c = r.NewClient()
	load2(c, 1)
	r.WaitForRequests(1, "POST", "/")
	return r, c, release
}

// As the front end ends, a connection that rests is ended while others are still answered. What crosses that end is read off and
// never sent on, so that its client may send it again; a reset would have told it nothing.
func TestRestingConnectionsEndFirst(t *testing.T) {
	r, c, release := held(t)
	resting := r.NewClient()
	require.True(t, resting.Healthy())
	r.Signal(syscall.SIGTERM)
	r.Signal(syscall.SIGTERM)
	_, err := resting.TryReadReply()
	require.ErrorIs(t, err, io.EOF)
	require.NotContains(t, r.Log.String(), "phase=stopped")
	for n := range 3 {
		require.NoError(t, resting.TrySendRequest("INSERT INTO s_1.t", "call", testharness.RequestID(10+n), "op", "load", "ttl", "9000", "dedupe", "x", "work", "1.0"))
		time.Sleep(20 * time.Millisecond)
	}
	release.Store(true)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	_, err = c.TryReadReply()
	assert.ErrorIs(t, err, io.EOF)
	assert.NoError(t, <-r.Exited)
	assert.Len(t, r.Requests("POST", "/"), 1)
	assert.Contains(t, r.Log.String(), "requests taken                                1\n")
}

// What has come on a resting connection before it is ended is served whole, however late the front end reads it; so is a request
// of someone who had connected, but was not accepted yet, when the listener is closed.
func TestWhatHasComeBeforeTheEndIsServed(t *testing.T) {
	r, c, release := held(t)
	resting := r.NewClient()
	require.True(t, resting.Healthy())
	var late *testharness.Client
	asleep(r, func() {
		r.Signal(syscall.SIGTERM)
		late = r.NewClient()
		late.SendLookup(2, "5000")
		load2(resting, 3)
		time.Sleep(700 * time.Millisecond) // the phases of the end are all due when it wakes
	})
	assert.Equal(t, "answer", late.ReadReply().Kind)
	assert.Equal(t, "answer", resting.ReadReply().Kind)
	for _, other := range []*testharness.Client{late, resting} {
		_, err := other.TryReadReply()
		assert.ErrorIs(t, err, io.EOF)
	}
	release.Store(true)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.NoError(t, <-r.Exited)
}

// Who connects in the last moment before the listener is closed is served too; closed on them unread, they were reset.
func TestListenQueueIsServedBeforeItCloses(t *testing.T) {
	text, err := os.ReadFile("../../internal/server/server.go")
	require.NoError(t, err)
	const closing = "if phase < gateway.Closing && now >= gateway.Closing {"
	require.Contains(t, string(text), closing)
	require.NotContains(t, string(text), `"time"`, "the variant brings the import")
	slow := strings.Replace(string(text), closing, closing+"\ntime.Sleep(400*time.Millisecond)\n", 1)
	slow = strings.Replace(slow, "import (", "import (\n\"time\"", 1)
	r := testharness.Start(t, testharness.Variant(t, "internal/server/server.go", slow), 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	r.Signal(syscall.SIGTERM)
	r.WaitForLog("phase=closing")
	c := r.NewClient()
	c.SendLookup(1, "5000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.NoError(t, <-r.Exited)
}

// What comes on a connection after its answer is another request's at best: a second copy some milliseconds late was given to the
// next request as its rows, and half a line stood before the next answer.
func TestNothingLateReachesAnotherRequest(t *testing.T) {
	for name, more := range map[string]string{"second copy": whole, "half a line": whole[:20], "no news": "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"} {
		for _, pause := range []time.Duration{0, 150 * time.Millisecond} {
			r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
				if c.Header.Get("Request-Id") == testharness.RequestID(1) {
					testharness.RespondRawTwice(w, whole, 5*time.Millisecond, more)
					return
				}
				testharness.RespondResult(w, "own\trow\tonly\n")
			})
			c := r.NewClient()
			load2(c, 1)
			assert.Equal(t, testharness.ResultRow, c.ReadReply().Rows())
			time.Sleep(pause)
			load2(c, 2)
			p := c.ReadReply()
			require.Equal(t, "answer", p.Kind, name)
			assert.Equal(t, "own\trow\tonly\n", p.Rows(), name)
			assert.Len(t, r.Requests("POST", "/"), 2, name)
			assert.Empty(t, r.Requests("GET", "/"), name)
		}
	}
}

// A copy of "no news" passes for the answer to the next question of the same query, and that one's answer is still to come when the
// query has ended: the connection rests for longer, so that it does not become another query's.
func TestNoNewsTwiceStaysWithItsQuery(t *testing.T) {
	var gets atomic.Int32
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Header.Get("Request-Id") == testharness.RequestID(2):
			testharness.RespondResult(w, "own\trow\tonly\n")
		case c.Method == "POST":
			conn, in, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			go func() { // one answer more than questions, from here on
				say := func(s string) { _, _ = io.WriteString(conn, s) }
				question := func() { _, _ = http.ReadRequest(in.Reader) }
				const none = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
				say(none)
				question()
				say(none) // the copy, or as good as one
				question()
				gets.Add(1)
				say(whole)
				time.Sleep(120 * time.Millisecond)
				say(whole)
			}()
		}
	})
	c := r.NewClient()
	load2(c, 1)
	assert.Equal(t, testharness.ResultRow, c.ReadReply().Rows())
	time.Sleep(80 * time.Millisecond)
	load2(c, 2)
	p := c.ReadReply()
	require.Equal(t, "answer", p.Kind)
	assert.Equal(t, "own\trow\tonly\n", p.Rows())
	assert.EqualValues(t, 1, gets.Load())
}

// An engine that drains refuses new connections and runs on. That the only one left was reset says nothing of its process: taken
// for gone, it had the next of the key started beside what ran there.
func TestResetByADrainingEngineIsNoEnd(t *testing.T) {
	var cut atomic.Int64
	r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "POST" && cut.Load() != 0:
			testharness.RespondResult(w, testharness.ResultRow)
		case c.Method == "GET" && cut.Load() == 0:
			for _, e := range r.Engines {
				if e.Name == c.Engine {
					e.Server.Listener.Close()
				}
			}
			cut.Store(time.Now().UnixNano())
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(202)
		}
	}, patient)
	c := r.NewClient()
	c.SendLoad(1, "60000")
	r.WaitForRequests(1, "GET", "/v1/store/"+testharness.RequestID(1))
	c.SendLoad(2, "60000")
	for range 2 {
		c.ReadReply()
	}
	posts := r.Requests("POST", "/")
	require.GreaterOrEqual(t, len(posts), 2)
	assert.GreaterOrEqual(t, posts[1].ReceivedAt.UnixNano()-cut.Load(), int64(2*time.Second))
}

// A process that dies ends all its connections in one moment and refuses new ones: what ran there and may run twice is sent elsewhere
// at once, and what may not, or has others wait in order, after the 2 s for which an engine goes on unasked.
func TestDeadProcessIsNotWaitedFor(t *testing.T) {
	for _, op := range []string{"lookup", "load"} {
		var died atomic.Int64
		r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
			if died.Load() != 0 {
				testharness.RespondResult(w, testharness.ResultRow)
				return
			}
			time.Sleep(250 * time.Millisecond)
			w.WriteHeader(202)
		}, patient)
		c := r.NewClient()
		for n := range 8 {
			c.SendRequest("SELECT 1 FROM s_1.t", "call", testharness.RequestID(n), "op", op, "ttl", "60000", "dedupe", testharness.RequestID(n), "work", "1.0")
		}
		var first []testharness.EngineRequest
		require.Eventually(t, func() bool { first = r.Requests("POST", "/"); return len(first) == 8 }, testharness.WaitTimeout, time.Millisecond)
		dead := r.Engines[0]
		if first[0].Engine != dead.Name {
			dead = r.Engines[1]
		}
		died.Store(time.Now().UnixNano())
		dead.Server.Listener.Close()
		dead.Server.CloseClientConnections()
		for range 8 {
			require.Equal(t, "answer", c.ReadReply().Kind)
		}
		posts := r.Requests("POST", "/")
		require.Greater(t, len(posts), 8)
		waited := posts[8].ReceivedAt.UnixNano() - died.Load()
		if op == "lookup" {
			assert.Less(t, waited, int64(2*time.Second), "sooner than by waiting for it unasked")
		} else {
			assert.GreaterOrEqual(t, waited, int64(2*time.Second))
		}
		assert.Less(t, r.Counter("connections to engines"), 250, "those that wait for each other's dial in turn without a pause")
	}
}

// Another process at the address of one that died knows nothing of what ran there: its word on that is no end for a key's next.
func TestNewProcessAtAnOldAddress(t *testing.T) {
	var died atomic.Int64
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case died.Load() == 0:
			time.Sleep(50 * time.Millisecond)
			w.WriteHeader(202)
		case c.Method == "DELETE":
			w.WriteHeader(204)
		case c.Method == "GET":
			w.WriteHeader(500)
		default:
			testharness.RespondResult(w, testharness.ResultRow)
		}
	}, patient, func(r *testharness.Harness) { r.Args = []string{"serve", "--log-level", "debug"} })
	c := r.NewClient()
	c.SendLoad(1, "60000")
	c.SendLoad(2, "60000")
	r.WaitForRequests(1, "GET", "/v1/store/"+testharness.RequestID(1))
	died.Store(time.Now().UnixNano())
	r.Engines[0].Server.Listener.Close()
	r.Engines[0].Server.CloseClientConnections()
	r.WaitForLog("refused=true")
	require.NoError(t, r.RestartEngine(r.Engines[0]))
	for range 2 {
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.GreaterOrEqual(t, r.Requests("POST", "/")[1].ReceivedAt.UnixNano()-died.Load(), int64(2*time.Second))
	assert.NotEmpty(t, r.Requests("GET", "/v1/store/"+testharness.RequestID(1)))
}

// A connection that comes up after its time carries nothing, and one that comes up in time carries nothing to an engine of which the
// list has told meanwhile that it drains.
func TestLateConnectionsCarryNothing(t *testing.T) {
	for name, drain := range map[string]bool{"late": false, "in time, but it drains": true} {
		t.Run(name, func(t *testing.T) {
			var doors []*testharness.BlockableListener
			r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) {
				for _, e := range r.Engines {
					doors = append(doors, r.MakeBlockable(e))
				}
				if drain {
					r.Settings["limits"].(map[string]any)["dial_timeout"] = 8
				}
			})
			journal, _ := r.AcceptDiscovery()
			for _, d := range doors {
				d.Block()
			}
			c := r.NewClient()
			load2(c, 1)
			require.Eventually(t, func() bool { return r.Counter("connections to engines") > 0 }, testharness.WaitTimeout, time.Millisecond)
			if drain {
				_, err := journal.Write(testharness.DiscoveryFrame(42, 2, r.Engines[0].DiscoveryRecord(1), r.Engines[1].DiscoveryRecord(1)))
				require.NoError(t, err)
				require.Eventually(t, func() bool { return r.Counter("attempts never run") > 0 }, testharness.WaitTimeout, time.Millisecond)
			} else {
				require.Eventually(t, func() bool { return r.Counter("attempts without a connection") > 0 }, testharness.WaitTimeout, time.Millisecond)
				c.Conn.Close()
				settled(r, 1)
			}
			for _, d := range doors {
				d.Unblock()
			}
			time.Sleep(1200 * time.Millisecond) // the system tries for a connection again after a second
			assert.Empty(t, r.Requests("POST", "/"))
		})
	}
}

// Stopped under load, the front end loses nothing: each request that a client has sent is answered, or its connection ended without
// a reset and nothing of it was sent on, so that it may go again.
func TestStoppedUnderLoad(t *testing.T) {
	r := start(t, 3, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		time.Sleep(time.Duration(len(c.Body)%7) * 10 * time.Millisecond)
		testharness.RespondResult(w, testharness.ResultRow)
	})
	const clients = 24
	var mu sync.Mutex
	var answered int
	open := map[string]error{} // requests that got no answer, and how their connection ended
	var all sync.WaitGroup
	for k := range clients {
		c := r.NewClient()
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; ; n++ {
				id := testharness.RequestID(1000*k + n)
				err := c.TrySendRequest("SELECT * FROM s_1.t"+strings.Repeat(" ", (k+n)%7), "call", id, "op", "lookup", "ttl", "5000", "org", "t", "work", "1.0")
				if err == nil {
					_, err = c.TryReadReply()
				}
				mu.Lock()
				if err != nil {
					open[id] = err
					mu.Unlock()
					return
				}
				answered++
				mu.Unlock()
				if k%2 == 0 { // half of them rest now and then
					time.Sleep(time.Duration(n%5) * 10 * time.Millisecond)
				}
			}
		}()
	}
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return answered > 500 }, testharness.WaitTimeout, time.Millisecond)
	r.Signal(syscall.SIGTERM)
	assert.NoError(t, <-r.Exited)
	all.Wait()
	assert.Len(t, open, clients, "each connection ends under a request at last")
	for _, p := range r.Requests("POST", "/") {
		assert.NotContains(t, open, p.Header.Get("Request-Id"), "it was sent on and not answered")
	}
	for id, err := range open {
		assert.NotErrorIs(t, err, syscall.ECONNRESET, id)
	}
}

// A front end that starts is ready at once, whatever else fails: no journal service, engines that let nobody in, clients that crowd.
func TestReadyWhateverElseFails(t *testing.T) {
	for range 5 {
		r := start(t, 3, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) {
			for _, e := range r.Engines {
				r.MakeBlockable(e).Block()
			}
			r.DiscoveryListener.Close()
		})
		for range 200 {
			r.NewClient().SendLookup(1, "5000")
		}
		begun := time.Now()
		require.True(t, r.NewClient().Healthy())
		t.Log("served after", r.StartupTime, "healthy after", time.Since(begun))
		assert.Less(t, r.StartupTime+time.Since(begun), 10*time.Second, "by the operators' terms")
	}
}

// What the README has a new operator do: the example's configuration is usable as it stands, and its settings serve.
func TestExampleOfTheReadme(t *testing.T) {
	const example = "../../deploy/example.json"
	cmd := exec.Command(program, "config", "check")
	cmd.Env = []string{"NODE_CONFIG=" + example}
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", out)
	text, err := os.ReadFile(example)
	require.NoError(t, err)
	var config struct{ Settings map[string]any }
	require.NoError(t, json.Unmarshal(text, &config))
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) { r.Settings = config.Settings })
	c := r.NewClient()
	c.SendRequest("SELECT * FROM s_1.t", "call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "org", "desk", "work", "10.0")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	r.Signal(syscall.SIGTERM)
	_, err = c.TryReadReply()
	assert.ErrorIs(t, err, io.EOF)
	assert.NoError(t, <-r.Exited)
}
