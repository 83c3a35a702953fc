package main

import (
	"fmt"
	"net"
	"net/http"
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

// Where the process has no descriptor left, clients in the backlog wait without the event loop spinning, and are
// accepted once a descriptor is free. A waiting client once kept the loop busy.
func TestWaitingForADescriptorDoesNotBusyLoop(t *testing.T) {
	r := start(t, 0, nil) // without an engine requests stay queued, so that their clients' connections are not closed
	discoveryConn, _ := r.AcceptDiscovery()
	defer discoveryConn.Close()
	r.LimitDescriptors(2)
	var clients []*testharness.Client
	for waiting := false; !waiting; {
		n := len(clients) + 1
		require.Less(t, n, 50)
		c := r.NewClient()
		c.SendRequest("INSERT INTO s_1.t", "call", testharness.RequestID(n), "op", "load", "ttl", "20000",
			"dedupe", fmt.Sprint(n), "work", "10.0")
		for tries := 0; r.Counter("requests taken") < n && !waiting; tries++ {
			waiting = tries > 20 && strings.Contains(r.Log.String(), `msg="accepting a client connection failed"`)
			time.Sleep(5 * time.Millisecond)
		}
		clients = append(clients, c)
	}
	started, before := time.Now(), strings.Count(r.Log.String(), `msg="accepting a client connection failed"`)
	time.Sleep(500 * time.Millisecond)
	tries := strings.Count(r.Log.String(), `msg="accepting a client connection failed"`) - before
	assert.Positive(t, tries, "the last client still waits")
	assert.Less(t, tries, 2+int(time.Since(started)/(20*time.Millisecond)), "one attempt per tick")
	received := r.Counter("requests taken")
	clients[0].Conn.Close()
	require.Eventually(t, func() bool { return r.Counter("requests taken") == received+1 },
		testharness.WaitTimeout, time.Millisecond)
}

// A client on the last free descriptor that has not sent anything yet keeps its connection as long as no other client
// waits. It was once closed if its first bytes arrived after its connection had been accepted.
func TestClientOnTheLastDescriptorIsServed(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	discoveryConn, _ := r.AcceptDiscovery()
	defer discoveryConn.Close()
	r.LimitDescriptors(1)
	c := r.NewClient()
	require.Eventually(t, func() bool { return r.Counter("connections from clients") == 1 },
		testharness.WaitTimeout, time.Millisecond)
	c.SendRequest("SELECT * FROM s_1.t", "call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "work", "1.0")
	require.Eventually(t, func() bool { return r.Counter("requests taken") == 1 },
		testharness.WaitTimeout, time.Millisecond)
	assert.Zero(t, r.Counter("connections ended by their clients"))
}

// While discovery is down, clients that are idle, have sent half a message or nothing use up the clients' descriptors.
// The discovery watch, connections to engines and new clients still get descriptors.
func TestDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	r := start(t, 3, testharness.SucceedAfterPolls(0, testharness.ResultRow),
		func(r *testharness.Harness) { r.SocketLimit = 64 })
	conn, _ := r.AcceptDiscovery()
	conn.Close()
	addr := r.DiscoveryListener.Addr().String()
	r.DiscoveryListener.Close()
	r.WaitForLog("connection refused")
	for n := range 90 {
		c := r.NewClient()
		switch n % 3 {
		case 0:
			require.True(t, c.Healthy())
		case 1:
			_, err := c.Conn.Write([]byte{0, 0, 1, 0, 0x80, 1})
			require.NoError(t, err)
		}
	}
	require.NoError(t, r.ListenDiscovery(addr))
	watch, last := r.AcceptDiscovery()
	assert.EqualValues(t, 41, last)
	_, err := watch.Write(testharness.DiscoveryFrame(42, 2, r.Engines[0].DiscoveryRecord(1)))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.Counter("frames from the journal") == 1 },
		testharness.WaitTimeout, 5*time.Millisecond)
	for n := range 20 {
		c := r.NewClient()
		c.SendRequest(fmt.Sprintf("SELECT * FROM s_%d.t", n), "call", testharness.RequestID(n), "op", "lookup",
			"ttl", "5000", "work", "1.0")
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.LessOrEqual(t, r.DescriptorCount(), 64)
	for _, p := range r.Requests("POST", "/") {
		assert.NotEqual(t, r.Engines[0].Name, p.Engine, "the engine is draining")
	}
}

// No data of one request gets into another, although sequence numbers, connections and descriptors are reused, and
// valid and invalid configurations are reloaded meanwhile.
func TestRequestsAreIsolated(t *testing.T) {
	r := start(t, 3, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		if c.Method != "POST" {
			w.WriteHeader(204)
			return
		}
		h := c.Header
		testharness.RespondResult(w, h.Get("Request-Id")+"\t"+h.Get("Kind")+"/"+h.Get("Once-Key")+"\t"+c.Body+"\n")
	}, func(r *testharness.Harness) {
		r.Settings["tenants"] = []any{map[string]any{"name": "t", "quota_per_s": 1000, "share": 0.5},
			map[string]any{"name": "u", "quota_per_s": 1000, "share": 0.5}}
	})
	const clients, rounds = 4, 60
	for round := range rounds {
		var open []*testharness.Client
		for k := range clients {
			c := r.NewClient()
			n := round*clients + k
			op, key := "lookup", ""
			if n%3 == 0 {
				op, key = "load", fmt.Sprintf("once-%d", n)
			}
			tenant := []string{"t", "u"}[n%2]
			c.SendRequest(fmt.Sprintf("SELECT %d FROM s_%d.t", n, n%5), "call", testharness.RequestID(n), "op", op,
				"ttl", "9000", "org", tenant, "dedupe", key,
				"row", key, "work", "1.0")
			if n%7 == 0 {
				c.Conn.Close()
				continue
			}
			open = append(open, c)
		}
		if round%10 == 0 {
			r.NodeConfig["journal"] = []any{7, r.DiscoveryListener.Addr().String()}[round/10%2]
			r.WriteNodeConfig()
			r.Signal(syscall.SIGHUP)
		}
		for _, c := range open {
			p := c.ReadReply()
			require.Equal(t, "answer", p.Kind)
			fields := strings.Split(strings.TrimSuffix(p.Rows(), "\n"), "\t")
			var n int
			_, err := fmt.Sscanf(fields[0], "%x", &n)
			require.NoError(t, err)
			require.Equal(t, round, n/clients)
			want := "lookup/"
			if n%3 == 0 {
				want = fmt.Sprintf("load/once-%d", n)
			}
			require.Equal(t, want, fields[1])
			require.Equal(t, fmt.Sprintf("SELECT %d FROM s_%d.t", n, n%5), fields[2])
			c.Conn.Close()
		}
	}
	seen := map[string]bool{}
	for _, p := range r.Requests("POST", "/") {
		assert.False(t, seen[p.Header.Get("Request-Id")], "sent twice")
		seen[p.Header.Get("Request-Id")] = true
	}
}

// Loads run on a draining engine, which refuses new connections and keeps running what is polled. Meanwhile many
// clients connect and need the remaining descriptors. The connection on which a load was polled was once closed for one
// of them; no other could be established, and the next load of the order key was started while the engine still ran the
// first (scenario herd+crowd+brink of the second deployment, seed 347353815773).
func TestConnectionsToADrainingEngineAreKept(t *testing.T) {
	const engines, loads, lookups, newcomers = 12, 16, 50, 200
	released := make(chan struct{})
	var mu sync.Mutex
	closed := map[string]int{}        // closed connections by their engine's address
	var interruptedPolls atomic.Int32 // polls of loads whose connection was closed before the response
	r := start(t, engines, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		select {
		case <-released:
			testharness.RespondResult(w, testharness.ResultRow)
		case <-c.Done:
			if path := strings.Split(c.Path, "/"); c.Method == "GET" && path[3] < testharness.RequestID(100) {
				interruptedPolls.Add(1)
			}
		case <-time.After(50 * time.Millisecond):
			w.WriteHeader(202)
		}
	}, func(r *testharness.Harness) {
		r.SocketLimit = 64
		r.OnConnState = func(conn net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				mu.Lock()
				defer mu.Unlock()
				closed[conn.LocalAddr().String()]++
			}
		}
	})
	client := r.NewClient()
	for n := range loads {
		client.SendRequest(fmt.Sprintf("INSERT INTO s_%d.t", n), "call", testharness.RequestID(1+n), "op", "load",
			"ttl", "60000", "dedupe", fmt.Sprint(n),
			"row", fmt.Sprint(n), "work", "10.0")
	}
	loadsByEngine := map[string][]string{} // request ids of the loads
	draining := r.Engines[0]
	for _, p := range r.WaitForRequests(loads, "POST", "/") {
		loadsByEngine[p.Engine] = append(loadsByEngine[p.Engine], p.Header.Get("Request-Id"))
	}
	for _, e := range r.Engines {
		if len(loadsByEngine[e.Name]) > len(loadsByEngine[draining.Name]) {
			draining = e
		}
	}
	require.Greater(t, len(loadsByEngine[draining.Name]), 1)
	require.NoError(t, draining.Server.Listener.Close())
	lookupClients := [2]*testharness.Client{r.NewClient(), r.NewClient()}
	for n := range lookups {
		lookupClients[n%2].SendRequest(fmt.Sprintf("SELECT * FROM s_%d.t", n), "call", testharness.RequestID(100+n),
			"op", "lookup", "ttl", "60000", "work", "1.0")
	}
	require.Eventually(t, func() bool { return len(r.Requests("GET", "/")) > 10*lookups },
		testharness.WaitTimeout, 5*time.Millisecond)
	for range newcomers {
		c := r.NewClient()
		_, err := c.Conn.Write([]byte{0, 0, 1, 0, 0x80, 1})
		if err == nil {
			defer c.Conn.Close()
		}
	}
	for _, load := range loadsByEngine[draining.Name] {
		polls := func() int { return len(r.Requests("GET", "/v1/store/"+load)) }
		before := polls()
		require.Eventually(t, func() bool { return polls() > before+20 },
			testharness.WaitTimeout, 5*time.Millisecond, "load %s is no longer polled", load)
	}
	mu.Lock()
	assert.Zero(t, closed[draining.Addr.String()], "connections to the draining engine were closed")
	mu.Unlock()
	assert.Zero(t, interruptedPolls.Load(), "connections were closed during polls of loads")
	assert.LessOrEqual(t, r.DescriptorCount(), 64)
	close(released)
	for range loads {
		assert.Equal(t, "answer", client.ReadReply().Kind)
	}
	assert.Len(t, r.Requests("POST", "/"), loads+lookups, "nothing was sent twice")
}
