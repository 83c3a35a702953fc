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

// Where the system has no descriptor left, those who wait to connect wait without costing turns of the loop, and get in once one is
// free. The one that waits kept the loop from resting.
func TestNoDescriptorIsWaitedForAtRest(t *testing.T) {
	r := start(t, 0, nil) // requests are held, as there is no engine: their clients can't be done without
	journal, _ := r.AcceptDiscovery()
	defer journal.Close()
	r.LimitDescriptors(2)
	var all []*testharness.Client
	for waits := false; !waits; {
		n := len(all) + 1
		require.Less(t, n, 50)
		c := r.NewClient()
		c.SendRequest("INSERT INTO s_1.t", "call", testharness.RequestID(n), "op", "load", "ttl", "20000", "dedupe", fmt.Sprint(n), "work", "10.0")
		for tries := 0; r.Counter("requests taken") < n && !waits; tries++ {
			waits = tries > 20 && strings.Contains(r.Log.String(), "msg=accept")
			time.Sleep(5 * time.Millisecond)
		}
		all = append(all, c)
	}
	begun, before := time.Now(), strings.Count(r.Log.String(), "msg=accept")
	time.Sleep(500 * time.Millisecond)
	tries := strings.Count(r.Log.String(), "msg=accept") - before
	assert.Positive(t, tries, "the last one waits still")
	assert.Less(t, tries, 2+int(time.Since(begun)/(20*time.Millisecond)), "one a tick")
	taken := r.Counter("requests taken")
	all[0].Conn.Close()
	require.Eventually(t, func() bool { return r.Counter("requests taken") == taken+1 }, testharness.WaitTimeout, time.Millisecond)
}

// A client that takes the last descriptor and says nothing yet keeps its place: nobody waits behind it. It was closed unread where
// its first bytes came after its connection had been accepted.
func TestLastDescriptorServesWhoTookIt(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	journal, _ := r.AcceptDiscovery()
	defer journal.Close()
	r.LimitDescriptors(1)
	c := r.NewClient()
	require.Eventually(t, func() bool { return r.Counter("connections from clients") == 1 }, testharness.WaitTimeout, time.Millisecond)
	c.SendRequest("SELECT * FROM s_1.t", "call", testharness.RequestID(1), "op", "lookup", "ttl", "5000", "work", "1.0")
	require.Eventually(t, func() bool { return r.Counter("requests taken") == 1 }, testharness.WaitTimeout, time.Millisecond)
	assert.Zero(t, r.Counter("connections ended by their clients"))
}

// Clients that rest, say half of something or nothing fill their share while discovery is down; the watch is made again, engines
// get their connections and new clients their turn all the same.
func TestPlacesWhileDiscoveryIsDown(t *testing.T) {
	r := start(t, 3, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) { r.SocketLimit = 64 })
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
	back, last := r.AcceptDiscovery()
	assert.EqualValues(t, 41, last)
	_, err := back.Write(testharness.DiscoveryFrame(42, 2, r.Engines[0].DiscoveryRecord(1)))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.Counter("frames from the journal") == 1 }, testharness.WaitTimeout, 5*time.Millisecond)
	for n := range 20 {
		c := r.NewClient()
		c.SendRequest(fmt.Sprintf("SELECT * FROM s_%d.t", n), "call", testharness.RequestID(n), "op", "lookup", "ttl", "5000", "work", "1.0")
		require.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.LessOrEqual(t, r.DescriptorCount(), 64)
	for _, p := range r.Requests("POST", "/") {
		assert.NotEqual(t, r.Engines[0].Name, p.Engine, "it drains")
	}
}

// Nothing of one request is used for another, whatever is recycled meanwhile: numbers of sequence, connections, descriptors, and
// settings by a reload, those that can't be used too.
func TestNothingOfAnotherRequest(t *testing.T) {
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
		var all []*testharness.Client
		for k := range clients {
			c := r.NewClient()
			n := round*clients + k
			op, once := "lookup", ""
			if n%3 == 0 {
				op, once = "load", fmt.Sprintf("once-%d", n)
			}
			tenant := []string{"t", "u"}[n%2]
			c.SendRequest(fmt.Sprintf("SELECT %d FROM s_%d.t", n, n%5), "call", testharness.RequestID(n), "op", op, "ttl", "9000", "org", tenant, "dedupe", once,
				"row", once, "work", "1.0")
			if n%7 == 0 {
				c.Conn.Close()
				continue
			}
			all = append(all, c)
		}
		if round%10 == 0 {
			r.NodeConfig["journal"] = []any{7, r.DiscoveryListener.Addr().String()}[round/10%2]
			r.WriteNodeConfig()
			r.Signal(syscall.SIGHUP)
		}
		for _, c := range all {
			p := c.ReadReply()
			require.Equal(t, "answer", p.Kind)
			part := strings.Split(strings.TrimSuffix(p.Rows(), "\n"), "\t")
			var n int
			_, err := fmt.Sscanf(part[0], "%x", &n)
			require.NoError(t, err)
			require.Equal(t, round, n/clients)
			want := "lookup/"
			if n%3 == 0 {
				want = fmt.Sprintf("load/once-%d", n)
			}
			require.Equal(t, want, part[1])
			require.Equal(t, fmt.Sprintf("SELECT %d FROM s_%d.t", n, n%5), part[2])
			c.Conn.Close()
		}
	}
	seen := map[string]bool{}
	for _, p := range r.Requests("POST", "/") {
		assert.False(t, seen[p.Header.Get("Request-Id")], "sent twice")
		seen[p.Header.Get("Request-Id")] = true
	}
}

// Loads run at an engine that drains: it takes no new connections, and goes on with what is asked after. Clients without end come
// for the descriptors that are left. The connection by which a load was asked after was closed for one of them; none could be made
// again, and the key's next began while the engine still had the load (herd+crowd+brink of the second deployment, seed 347353815773).
func TestConnectionsToADrainingEngineAreKept(t *testing.T) {
	const engines, loads, lookups, newcomers = 12, 16, 50, 200
	released := make(chan struct{})
	var mu sync.Mutex
	closed := map[string]int{} // connections that ended, by the engine's address
	var cut atomic.Int32       // questions about loads whose connection was closed before they were answered
	r := start(t, engines, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		select {
		case <-released:
			testharness.RespondResult(w, testharness.ResultRow)
		case <-c.Done:
			if path := strings.Split(c.Path, "/"); c.Method == "GET" && path[3] < testharness.RequestID(100) {
				cut.Add(1)
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
		client.SendRequest(fmt.Sprintf("INSERT INTO s_%d.t", n), "call", testharness.RequestID(1+n), "op", "load", "ttl", "60000", "dedupe", fmt.Sprint(n),
			"row", fmt.Sprint(n), "work", "10.0")
	}
	at := map[string][]string{} // loads by their engines
	drains := r.Engines[0]
	for _, p := range r.WaitForRequests(loads, "POST", "/") {
		at[p.Engine] = append(at[p.Engine], p.Header.Get("Request-Id"))
	}
	for _, e := range r.Engines {
		if len(at[e.Name]) > len(at[drains.Name]) {
			drains = e
		}
	}
	require.Greater(t, len(at[drains.Name]), 1)
	require.NoError(t, drains.Server.Listener.Close())
	many := [2]*testharness.Client{r.NewClient(), r.NewClient()}
	for n := range lookups {
		many[n%2].SendRequest(fmt.Sprintf("SELECT * FROM s_%d.t", n), "call", testharness.RequestID(100+n), "op", "lookup", "ttl", "60000", "work", "1.0")
	}
	require.Eventually(t, func() bool { return len(r.Requests("GET", "/")) > 10*lookups }, testharness.WaitTimeout, 5*time.Millisecond)
	for range newcomers {
		c := r.NewClient()
		_, err := c.Conn.Write([]byte{0, 0, 1, 0, 0x80, 1})
		if err == nil {
			defer c.Conn.Close()
		}
	}
	for _, load := range at[drains.Name] {
		asked := func() int { return len(r.Requests("GET", "/v1/store/"+load)) }
		before := asked()
		require.Eventually(t, func() bool { return asked() > before+20 }, testharness.WaitTimeout, 5*time.Millisecond, "load %s is asked after no more", load)
	}
	mu.Lock()
	assert.Zero(t, closed[drains.Addr.String()], "connections to the engine that drains were closed")
	mu.Unlock()
	assert.Zero(t, cut.Load(), "connections were closed under questions about loads")
	assert.LessOrEqual(t, r.DescriptorCount(), 64)
	close(released)
	for range loads {
		assert.Equal(t, "answer", client.ReadReply().Kind)
	}
	assert.Len(t, r.Requests("POST", "/"), loads+lookups, "nothing was sent twice")
}
