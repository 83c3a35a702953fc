package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// costlyStatement returns a statement of 62 KB that takes some 10 ms to read. Those of different numbers have different
// shapes.
func costlyStatement(n int) string {
	nested := strings.Repeat("(", 90) + "1" + strings.Repeat(")", 90) + "+"
	return fmt.Sprintf("SELECT a%d+", n) + strings.Repeat(nested, 340) + "1"
}

// floodWithCostlyStatements sends costly statements over several connections, on each all at once, and reads no
// responses. It returns at once.
func floodWithCostlyStatements(connect func() *testharness.Client, round, connections, perConnection int) {
	for i := range connections {
		c := connect()
		go func() {
			for n := range perConnection {
				number := 1_000_000 + (round*connections+i)*perConnection + n
				if c.TrySendRequest(costlyStatement(number), "call", testharness.RequestID(number), "op", "lookup",
					"ttl", "100", "work", "1.0") != nil {
					return
				}
			}
		}()
	}
}

// startOrder returns those of the given numbers of loads that were started, in the order of their starts.
func startOrder(r *testharness.Harness, numbers ...int) (order []int) {
	for _, post := range r.Requests("POST", "/") {
		for _, n := range numbers {
			if post.Header.Get("Request-Id") == testharness.RequestID(n) {
				order = append(order, n)
			}
		}
	}
	return order
}

// Guards against loads of one key that change places: the one sent 70 ms later was submitted first where both arrived
// in one long turn, on a connection that had become readable before the other.
func TestOrderOfAKeyBesideCostlyStatements(t *testing.T) {
	const rounds = 4
	backlog := func(c *testharness.Client, round int) { // with a backlog, the first load waits longer in its queue
		for n := range 6 {
			number := 2_000_000 + round*10 + n
			c.SendRequest(costlyStatement(number), "call", testharness.RequestID(number), "op", "lookup", "ttl", "100",
				"work", "1.0")
		}
	}
	for name, form := range map[string]struct {
		tls         bool
		beforeFirst func(c *testharness.Client, round int)
	}{
		"plain":        {},
		"with backlog": {beforeFirst: backlog},
		"TLS":          {tls: true},
	} {
		t.Run(name, func(t *testing.T) {
			var options []func(*testharness.Harness)
			fixture := newTLSFixture(t, "none", "")
			if form.tls {
				options = append(options, fixture.useInstallation)
			}
			r := start(t, 2, testharness.SucceedAfterPolls(1, testharness.ResultRow), options...)
			connect := r.NewClient
			if form.tls {
				config, _ := fixture.clientConfig("", fixture.ca)
				connect = func() *testharness.Client {
					c := fixture.connect(r, config)
					require.True(t, c.Healthy()) // a client may not send much before the front end has ended the handshake
					return c
				}
			}
			first, second := connect(), connect()
			require.True(t, first.Healthy() && second.Healthy())
			for round := range rounds {
				floodWithCostlyStatements(connect, round, 8, 12)
				time.Sleep(100 * time.Millisecond)
				if form.beforeFirst != nil {
					form.beforeFirst(first, round)
				}
				second.SendLookup(100*round+10, "5000")
				time.Sleep(20 * time.Millisecond)
				first.SendLoad(100*round+1, "20000")
				second.SendLookup(100*round+11, "5000")
				time.Sleep(70 * time.Millisecond)
				second.SendLoad(100*round+2, "20000")
				r.WaitForRequests(1, "POST", "/")
				require.Eventually(t, func() bool { return len(startOrder(r, 100*round+1, 100*round+2)) == 2 },
					testharness.WaitTimeout, 5*time.Millisecond)
				assert.Equal(t, []int{100*round + 1, 100*round + 2}, startOrder(r, 100*round+1, 100*round+2))
			}
			t.Logf("longest turn: %d us", r.Counter("longest turn of the loop in microseconds"))
		})
	}
}

// Guards against lookups that are answered after their time: all costly statements that had arrived were read before
// anything else, for several seconds.
func TestCostlyStatementsDoNotDelayOthers(t *testing.T) {
	r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	c := r.NewClient()
	require.True(t, c.Healthy())
	floodWithCostlyStatements(r.NewClient, 0, 40, 30)
	longest := time.Duration(0)
	for n := range 30 {
		sent := time.Now()
		c.SendLookup(n, "1000")
		assert.Equal(t, "answer", c.ReadReply().Kind)
		longest = max(longest, time.Since(sent))
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("longest wait of a lookup: %v", longest)
	assert.Less(t, longest, time.Second)
}

// goneGrace is how long after a client has gone an attempt of its requests may still begin.
const goneGrace = 150 * time.Millisecond

// Guards against attempts for clients that have gone, beside costly statements: a cancel or a close was read only after
// all that had arrived before it on other connections.
func TestNoAttemptForGoneClientsBesideCostlyStatements(t *testing.T) {
	for name, leave := range map[string]func(c *testharness.Client){
		"closed": func(c *testharness.Client) { c.Conn.Close() },
		"reset":  func(c *testharness.Client) { _ = c.Conn.(*net.TCPConn).SetLinger(0); c.Conn.Close() },
		"canceled": func(c *testharness.Client) {
			for seq := 2; seq <= int(c.LastSeq); seq++ { // the first message is the call of health
				c.Conn.Write(cancelMessage(seq))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow))
			c := r.NewClient()
			require.True(t, c.Healthy())
			floodWithCostlyStatements(r.NewClient, 0, 16, 12)
			time.Sleep(100 * time.Millisecond)
			for n := range 8 {
				c.SendRequest(costlyStatement(n), "call", testharness.RequestID(n), "op", "lookup", "ttl", "5000", "work", "1.0")
			}
			leave(c)
			left := time.Now()
			time.Sleep(4 * time.Second)
			for _, post := range r.Requests("POST", "/") {
				var n int
				fmt.Sscanf(post.Header.Get("Request-Id"), "%x", &n)
				if n < 8 {
					assert.Less(t, post.ReceivedAt.Sub(left), goneGrace, "request %d", n)
				}
			}
		})
	}
}

// cancelMessage returns the message that cancels the request with a sequence number.
func cancelMessage(seq int) []byte {
	return testharness.EncodeMessage(4, 99, "cancel", []byte{8, 0, 1, 0, 0, 0, byte(seq)})
}

// Guards against sends to a draining engine, and against a shutdown that takes too long, beside costly statements: the
// discovery service and signals were read only after all that had arrived before.
func TestDrainsBesideCostlyStatements(t *testing.T) {
	const drainGrace = 550 * time.Millisecond
	r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, request testharness.EngineRequest) {
		testharness.RespondResult(w, testharness.ResultRow)
	})
	watch, last := r.AcceptDiscovery()
	c := r.NewClient()
	c.SendLookup(1000, "5000")
	require.Equal(t, "answer", c.ReadReply().Kind)
	preferred := r.Requests("POST", "/")[0].Engine // the engine of the lookups' table group
	floodWithCostlyStatements(r.NewClient, 0, 40, 30)
	time.Sleep(100 * time.Millisecond)
	for _, e := range r.Engines {
		if e.Name == preferred {
			_, err := watch.Write(testharness.DiscoveryFrame(last+1, 2, e.DiscoveryRecord(1)))
			require.NoError(t, err)
		}
	}
	drained := time.Now()
	for n := range 40 {
		c.SendLookup(n, "5000")
		time.Sleep(50 * time.Millisecond)
	}
	late := time.Duration(0)
	for _, post := range r.Requests("POST", "/") {
		if post.Engine == preferred {
			late = max(late, post.ReceivedAt.Sub(drained))
		}
	}
	t.Logf("last send to the draining engine after %v", late)
	assert.Less(t, late, drainGrace)
	floodWithCostlyStatements(r.NewClient, 1, 40, 30)
	time.Sleep(50 * time.Millisecond)
	r.Signal(syscall.SIGTERM)
	stopping := time.Now()
	select {
	case <-r.Exited:
	case <-time.After(10 * time.Second):
	}
	t.Logf("stopped after %v", time.Since(stopping))
	assert.Less(t, time.Since(stopping), 3700*time.Millisecond, "the time at which the process may be killed")
}
