package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// connectTo connects a new client to a front end of a fleet.
func connectTo(t *testing.T, n *testharness.FrontEnd) *testharness.Client {
	conn, err := net.Dial("tcp4", n.ClientAddr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &testharness.Client{T: t, Conn: conn}
}

// Guards against further attempts of a registered load whose client has gone: when the running attempt failed later,
// the load was sent to an engine again, up to four times.
func TestNoFurtherAttemptOfALoadWhoseClientHasGone(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3)
	f.WaitForLeader(3)
	for name, leave := range map[string]func(c *testharness.Client){
		"canceled": func(c *testharness.Client) { _, _ = c.Conn.Write(cancelMessage(int(c.LastSeq))) },
		"closed":   func(c *testharness.Client) { c.Conn.Close() },
		"reset":    func(c *testharness.Client) { _ = c.Conn.(*net.TCPConn).SetLinger(0); c.Conn.Close() },
	} {
		for i, n := range f.FrontEnds {
			c, call := connectTo(t, n), f.NewRequestID()
			c.SendRequest("INSERT INTO s_1.t -- ms=5000", "call", call, "op", "load", "ttl", "20000",
				"dedupe", fmt.Sprint(name, i), "row", name, "work", "10.0")
			isStart := func(e history.Event) bool {
				return e.CallID == call && (e.Kind == history.ExecutionStarted || e.Kind == history.DuplicateDropped)
			}
			f.WaitForEvent(isStart)
			leave(c)
			time.Sleep(200 * time.Millisecond)
			for _, engine := range f.Engines {
				engine.FailRunning()
			}
			time.Sleep(1500 * time.Millisecond)
			starts := slices.DeleteFunc(f.History.Events(), func(e history.Event) bool { return !isStart(e) })
			assert.Len(t, starts, 1, "%s, %s: %v", name, n.Name, starts)
		}
	}
}

// Guards against two executions of one id at the same time: the id comes again, on another connection, after its client
// has left and while its first execution may still run.
func TestIDThatComesAgainAfterItsClientHasLeft(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 1)
	f.WaitForLeader(1)
	n := f.FrontEnds[0]
	for name, leave := range map[string]func(c *testharness.Client){
		"canceled": func(c *testharness.Client) { _, _ = c.Conn.Write(cancelMessage(int(c.LastSeq))) },
		"closed":   func(c *testharness.Client) { c.Conn.Close() },
	} {
		for _, class := range []string{"lookup", "load"} {
			call := f.NewRequestID()
			send := func(c *testharness.Client) {
				fields := []string{"call", call, "op", class, "ttl", "5000", "work", "10.0"}
				if class == "load" {
					fields = append(fields, "dedupe", name, "row", name)
				}
				c.SendRequest("SELECT * FROM s_1.t -- ms=700", fields...)
			}
			first := connectTo(t, n)
			send(first)
			isStart := func(e history.Event) bool { return e.CallID == call && e.Kind == history.ExecutionStarted }
			f.WaitForEvent(isStart)
			leave(first)
			for range 40 {
				again := connectTo(t, n)
				send(again)
				time.Sleep(20 * time.Millisecond)
				again.Conn.Close()
			}
			time.Sleep(time.Second)
			running := 0
			for _, e := range f.History.Events() {
				switch {
				case isStart(e):
					running++
					assert.Equal(t, 1, running, "%s %s: two executions at the same time", class, name)
				case e.CallID == call && e.Kind != history.RequestSent && e.Kind != history.DuplicateDropped:
					running--
				}
			}
		}
	}
}

// Guards against attempts for a client that closed its connection with more unread than the front end reads at once: on
// a new connection the front end started the first requests before it had read up to the close.
func TestNoRequestStartsForAClientThatLeftMuchUnread(t *testing.T) {
	for name, form := range map[string]struct {
		existing bool // the connection has been used before
		requests int
		size     int // bytes of each statement
		costly   bool
		flooded  bool // other clients send costly statements meanwhile
		stopped  bool
	}{
		"new connection, small requests":      {requests: 4000, size: 20, stopped: true},
		"new connection, large requests":      {requests: 30, size: 60_000, stopped: true},
		"existing connection, small requests": {existing: true, requests: 8000, size: 20, stopped: true},
		"existing connection, large requests": {existing: true, requests: 30, size: 60_000, stopped: true},
		"running front end, small requests":   {existing: true, requests: 8000, size: 20},
		"running front end, large requests":   {existing: true, requests: 60, size: 60_000},
		"running front end, costly requests":  {existing: true, requests: 100, costly: true},
		"beside others' costly requests":      {existing: true, requests: 100, size: 60_000, flooded: true},
		"costly, beside others":               {existing: true, requests: 100, costly: true, flooded: true},
		"small, beside others":                {existing: true, requests: 8000, size: 20, flooded: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
			c := r.NewClient()
			if form.existing {
				require.True(t, c.Healthy())
			}
			left := time.Time{}
			send := func() {
				if !form.existing {
					c = r.NewClient()
				}
				require.NoError(t, c.Conn.(*net.TCPConn).SetWriteBuffer(8<<20))
				statement := "SELECT * FROM s_1.t --" + strings.Repeat("x", form.size)
				require.NoError(t, c.Conn.SetWriteDeadline(time.Now().Add(time.Second)))
				for n := range form.requests {
					if form.costly {
						statement = costlyStatement(n)
					}
					if c.TrySendRequest(statement, "call", testharness.RequestID(n), "op", "lookup", "ttl", "5000",
						"org", "t", "work", "10.0") != nil {
						break // the system holds no more
					}
				}
				c.Conn.Close()
				left = time.Now()
			}
			if form.flooded {
				floodWithCostlyStatements(r.NewClient, 0, 16, 12)
				time.Sleep(100 * time.Millisecond)
			}
			if form.stopped {
				whileStopped(r, send)
				left = time.Now()
			} else {
				send()
			}
			time.Sleep(time.Second)
			if form.flooded {
				time.Sleep(2 * time.Second)
			}
			late, last := 0, time.Duration(0)
			posts := slices.DeleteFunc(r.Requests("POST", "/"), func(post testharness.EngineRequest) bool {
				return post.Header.Get("Request-Id") >= testharness.RequestID(form.requests) // of the others
			})
			for _, post := range posts {
				after := post.ReceivedAt.Sub(left)
				last = max(last, after)
				if after > goneGrace {
					late++
				}
			}
			t.Logf("%d of %d requests started, %d late, the last %v after the close", len(posts), form.requests, late, last)
			assert.Zero(t, late)
		})
	}
}
