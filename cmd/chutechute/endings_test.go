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

// setLongTimeouts does for all classes what setLongLoadTimeouts does for loads.
func setLongTimeouts(r *testharness.Harness) {
	for _, class := range r.Settings["classes"].([]any) {
		class := class.(map[string]any)
		class["on_time"], class["give_up"] = 8, 60
	}
}

// setLongLoadTimeouts lets loads stay queued for longer than any of these tests takes, so that none is shed while it
// waits for an attempt of an earlier load to end.
func setLongLoadTimeouts(r *testharness.Harness) {
	load := r.Settings["classes"].([]any)[1].(map[string]any)
	load["on_time"], load["give_up"] = 8, 60
}

// A DELETE whose connection is not established in time is sent again, on another connection if there is one. It was
// once dropped: the next load of the order key was then started when the abandon timeout was assumed to have passed, a
// moment before the engine had abandoned the query.
func TestDeleteIsRetriedAfterALateConnection(t *testing.T) {
	var listener *testharness.BlockableListener
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
	}, setLongLoadTimeouts, func(r *testharness.Harness) { listener = r.MakeBlockable(r.Engines[0]) })
	c := r.NewClient()
	c.SendLoad(1, "1000")
	c.SendLoad(2, "60000")
	r.WaitForRequests(2, "GET", "/v1/store/"+testharness.RequestID(1))
	listener.Block()
	assert.NotEqual(t, "answer", c.ReadReply().Kind)
	deleted := r.WaitForRequests(1, "DELETE", "/v1/store/"+testharness.RequestID(1))
	listener.Unblock()
	assert.Equal(t, "answer", c.ReadReply().Kind)
	posts := r.Requests("POST", "/")
	require.Len(t, posts, 2)
	assert.Greater(t, posts[1].ReceivedAt, deleted[0].ReceivedAt)
}

// startWithRunningLoad starts a front end and sends it a load, which the engine keeps running until release is set.
func startWithRunningLoad(t *testing.T) (r *testharness.Harness, c *testharness.Client, release *atomic.Bool) {
	release = &atomic.Bool{}
	r = start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		if load := testharness.RequestID(1); !release.Load() &&
			(c.Header.Get("Request-Id") == load || strings.Contains(c.Path, load)) {
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
			return
		}
		testharness.RespondResult(w, testharness.ResultRow)
	})
	c = r.NewClient()
	sendUnorderedLoad(c, 1)
	r.WaitForRequests(1, "POST", "/")
	return r, c, release
}

// During a graceful shutdown idle connections are closed while requests on others are still running. Requests that
// arrive on a closed connection are read and discarded: the client sees the end of the connection and may send them
// again, where a reset would leave open whether they ran.
func TestShutdownClosesIdleConnectionsFirst(t *testing.T) {
	r, c, release := startWithRunningLoad(t)
	idle := r.NewClient()
	require.True(t, idle.Healthy())
	r.Signal(syscall.SIGTERM)
	r.Signal(syscall.SIGTERM)
	_, err := idle.TryReadReply()
	require.ErrorIs(t, err, io.EOF)
	require.NotContains(t, r.Log.String(), "phase=stopped")
	for n := range 3 {
		require.NoError(t, idle.TrySendRequest("INSERT INTO s_1.t", "call", testharness.RequestID(10+n), "op", "load",
			"ttl", "9000", "dedupe", "x", "work", "1.0"))
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

// A request that arrived on an idle connection before the shutdown closes it is served, however late the front end
// reads it. So is the request of a client whose connection is in the backlog when the listener is closed.
func TestShutdownServesRequestsAlreadySent(t *testing.T) {
	r, c, release := startWithRunningLoad(t)
	idle := r.NewClient()
	require.True(t, idle.Healthy())
	var late *testharness.Client
	whileStopped(r, func() {
		r.Signal(syscall.SIGTERM)
		late = r.NewClient()
		late.SendLookup(2, "5000")
		sendUnorderedLoad(idle, 3)
		time.Sleep(700 * time.Millisecond) // all phases of the shutdown are due when the process continues
	})
	assert.Equal(t, "answer", late.ReadReply().Kind)
	assert.Equal(t, "answer", idle.ReadReply().Kind)
	for _, other := range []*testharness.Client{late, idle} {
		_, err := other.TryReadReply()
		assert.ErrorIs(t, err, io.EOF)
	}
	release.Store(true)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.NoError(t, <-r.Exited)
}

// A client that connects just before the shutdown closes the listener is served. Its connection was once reset, as the
// listener was closed with connections in its backlog.
func TestShutdownServesTheListenBacklog(t *testing.T) {
	text, err := os.ReadFile("../../internal/server/server.go")
	require.NoError(t, err)
	const closing = "if phase < gateway.Closing && now >= gateway.Closing {"
	require.Contains(t, string(text), closing)
	require.NotContains(t, string(text), `"time"`, "the variant adds the import")
	variant := strings.Replace(string(text), closing, closing+"\ntime.Sleep(400*time.Millisecond)\n", 1)
	variant = strings.Replace(variant, "import (", "import (\n\"time\"", 1)
	r := testharness.Start(t, testharness.BuildVariant(t, "internal/server/server.go", variant), 1,
		testharness.SucceedAfterPolls(0, testharness.ResultRow))
	r.Signal(syscall.SIGTERM)
	r.WaitForLog("phase=closing")
	c := r.NewClient()
	c.SendLookup(1, "5000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.NoError(t, <-r.Exited)
}

// Bytes that an engine sends after a response are not taken for the response to the next request on the connection. A
// duplicate that was some milliseconds late was once taken for the next request's result, and an incomplete line was
// put before the next response.
func TestLateBytesDoNotReachAnotherRequest(t *testing.T) {
	for name, lateBytes := range map[string]string{"second copy": completeResponse, "half a line": completeResponse[:20],
		"no news": "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"} {
		for _, pause := range []time.Duration{0, 150 * time.Millisecond} {
			r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
				if c.Header.Get("Request-Id") == testharness.RequestID(1) {
					testharness.RespondRawTwice(w, completeResponse, 5*time.Millisecond, lateBytes)
					return
				}
				testharness.RespondResult(w, "own\trow\tonly\n")
			})
			c := r.NewClient()
			sendUnorderedLoad(c, 1)
			assert.Equal(t, testharness.ResultRow, c.ReadReply().Rows())
			time.Sleep(pause)
			sendUnorderedLoad(c, 2)
			p := c.ReadReply()
			require.Equal(t, "answer", p.Kind, name)
			assert.Equal(t, "own\trow\tonly\n", p.Rows(), name)
			assert.Len(t, r.Requests("POST", "/"), 2, name)
			assert.Empty(t, r.Requests("GET", "/"), name)
		}
	}
}

// A duplicate of a 202 response is taken for the response to the next poll of the same query, so that one response is
// still to come when the query has ended. The connection stays unused for longer, so that this response is not taken
// for another query's.
func TestDuplicateStillRunningResponseStaysWithItsQuery(t *testing.T) {
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
			go func() { // sends one response more than it reads requests
				respond := func(s string) { _, _ = io.WriteString(conn, s) }
				readPoll := func() { _, _ = http.ReadRequest(in.Reader) }
				const stillRunning = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
				respond(stillRunning)
				readPoll()
				respond(stillRunning) // the duplicate
				readPoll()
				gets.Add(1)
				respond(completeResponse)
				time.Sleep(120 * time.Millisecond)
				respond(completeResponse)
			}()
		}
	})
	c := r.NewClient()
	sendUnorderedLoad(c, 1)
	assert.Equal(t, testharness.ResultRow, c.ReadReply().Rows())
	time.Sleep(80 * time.Millisecond)
	sendUnorderedLoad(c, 2)
	p := c.ReadReply()
	require.Equal(t, "answer", p.Kind)
	assert.Equal(t, "own\trow\tonly\n", p.Rows())
	assert.EqualValues(t, 1, gets.Load())
}

// No request is sent on a connection that is established after the dial timeout, or in time to an engine that has been
// reported as draining meanwhile.
func TestLateConnectionsCarryNoRequest(t *testing.T) {
	for name, drain := range map[string]bool{"late": false, "in time, but it drains": true} {
		t.Run(name, func(t *testing.T) {
			var listeners []*testharness.BlockableListener
			r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) {
				for _, e := range r.Engines {
					listeners = append(listeners, r.MakeBlockable(e))
				}
				if drain {
					r.Settings["limits"].(map[string]any)["dial_timeout"] = 8
				}
			})
			discoveryConn, _ := r.AcceptDiscovery()
			for _, l := range listeners {
				l.Block()
			}
			c := r.NewClient()
			sendUnorderedLoad(c, 1)
			require.Eventually(t, func() bool { return r.Counter("connections to engines") > 0 },
				testharness.WaitTimeout, time.Millisecond)
			if drain {
				_, err := discoveryConn.Write(testharness.DiscoveryFrame(42, 2, r.Engines[0].DiscoveryRecord(1),
					r.Engines[1].DiscoveryRecord(1)))
				require.NoError(t, err)
				require.Eventually(t, func() bool { return r.Counter("attempts never run") > 0 },
					testharness.WaitTimeout, time.Millisecond)
			} else {
				require.Eventually(t, func() bool { return r.Counter("attempts without a connection") > 0 },
					testharness.WaitTimeout, time.Millisecond)
				c.Conn.Close()
				waitForClientDisconnects(r, 1)
			}
			for _, l := range listeners {
				l.Unblock()
			}
			time.Sleep(1200 * time.Millisecond) // the kernel retries a connection after a second
			assert.Empty(t, r.Requests("POST", "/"))
		})
	}
}

// A graceful shutdown under load loses no request: each one is answered, or its connection is closed without a reset
// and no engine got the request, so that the client may send it again.
func TestShutdownUnderLoad(t *testing.T) {
	r := start(t, 3, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		time.Sleep(time.Duration(len(c.Body)%7) * 10 * time.Millisecond)
		testharness.RespondResult(w, testharness.ResultRow)
	})
	const clients = 24
	var mu sync.Mutex
	var answered int
	unanswered := map[string]error{} // errors of the connections by their unanswered requests
	var workers sync.WaitGroup
	for k := range clients {
		c := r.NewClient()
		workers.Add(1)
		go func() {
			defer workers.Done()
			for n := 0; ; n++ {
				id := testharness.RequestID(1000*k + n)
				err := c.TrySendRequest("SELECT * FROM s_1.t"+strings.Repeat(" ", (k+n)%7), "call", id, "op", "lookup",
					"ttl", "5000", "org", "t", "work", "1.0")
				if err == nil {
					_, err = c.TryReadReply()
				}
				mu.Lock()
				if err != nil {
					unanswered[id] = err
					mu.Unlock()
					return
				}
				answered++
				mu.Unlock()
				if k%2 == 0 { // half of the clients pause now and then
					time.Sleep(time.Duration(n%5) * 10 * time.Millisecond)
				}
			}
		}()
	}
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return answered > 500 },
		testharness.WaitTimeout, time.Millisecond)
	r.Signal(syscall.SIGTERM)
	assert.NoError(t, <-r.Exited)
	workers.Wait()
	assert.Len(t, unanswered, clients, "each connection ends with one unanswered request")
	for _, p := range r.Requests("POST", "/") {
		assert.NotContains(t, unanswered, p.Header.Get("Request-Id"), "sent to an engine, but not answered")
	}
	for id, err := range unanswered {
		assert.NotErrorIs(t, err, syscall.ECONNRESET, id)
	}
}

// A front end is ready soon after its start even if the discovery service is down, engines accept no connections and
// many clients connect at once.
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
		started := time.Now()
		require.True(t, r.NewClient().Healthy())
		t.Log("served after", r.StartupTime, "healthy after", time.Since(started))
		assert.Less(t, r.StartupTime+time.Since(started), 10*time.Second, "the operators require it")
	}
}

// The example configuration of the README is valid as it is, and a front end serves with its settings.
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
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow),
		func(r *testharness.Harness) { r.Settings = config.Settings })
	c := r.NewClient()
	c.SendRequest("SELECT * FROM s_1.t", "call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "org", "desk",
		"work", "10.0")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	r.Signal(syscall.SIGTERM)
	_, err = c.TryReadReply()
	assert.ErrorIs(t, err, io.EOF)
	assert.NoError(t, <-r.Exited)
}
