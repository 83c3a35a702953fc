package main

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// loadsOnRecord is how many loads the copy of the record at a front end holds; -1 where it does not answer.
func loadsOnRecord(n *testharness.FrontEnd) float64 {
	if s := n.RawStatus(); s != nil {
		return s["loads"].(float64)
	}
	return -1
}

// told checks that a load's outcome is found through all front ends of a fleet, the same bytes.
func told(t *testing.T, f *testharness.Fleet, try testharness.LoadAttempt, body string) {
	t.Helper()
	for _, n := range f.FrontEnds {
		assert.Equal(t, body, insist(t, f, n, try).Rows(), "%s through %s", try.IdempotencyKey, n.Name)
	}
}

// A fleet of three control members and three attached front ends, one of each in each zone; no faults. Keyed loads are taken by
// attached ones, and one is repeated at once through all six. What must show: one run of each, the same bytes through any front
// end, and the same key with another statement is refused.
func TestKeyedLoadThroughAnAttachedFrontEnd(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting, testharness.WithAttachedFrontEnds("a", "b", "c"))
	f.WaitForLeader(3)
	f.WaitUntilConverged()
	for i, n := range f.AttachedFrontEnds() {
		try := load(fmt.Sprintf("once-%d", i), "k", 30)
		told(t, f, try, insist(t, f, n, try).Rows())
	}
	var all sync.WaitGroup
	bodies := make([]string, len(f.FrontEnds))
	for i, n := range f.FrontEnds {
		all.Go(func() {
			if p := f.SendLoad(n, load("at-once", "k", 300)); p.Kind == history.Succeeded {
				bodies[i] = p.Rows()
			}
		})
	}
	all.Wait()
	for _, b := range bodies {
		assert.NotEmpty(t, b)
		assert.Equal(t, bodies[0], b)
	}
	assert.Len(t, history.Executions(f.History.Events()), 1+len(f.AttachedFrontEnds()))
	n := f.AttachedFrontEnds()[1]
	assert.Equal(t, history.Rejected, f.SendLoad(n, load("at-once", "k", 301)).Kind)
	n.WaitForLog(`reused with another statement.*idempotency_key=at-once`)
	f.CheckHistory()
}

// crossing is where what an attached front end asks its home, or is answered, is held up while the home is killed.
type crossing struct {
	name   string
	stall  func(way *testharness.FaultProxy, stall bool)
	caught func(f *testharness.Fleet, way *testharness.FaultProxy, before float64) bool
}

func crossings() []crossing {
	return []crossing{
		{"the question was not heard", func(way *testharness.FaultProxy, stall bool) { way.SetStalled(stall) },
			func(_ *testharness.Fleet, way *testharness.FaultProxy, _ float64) bool {
				return way.PendingFrames() > 0
			}},
		{"the answer was not heard", func(way *testharness.FaultProxy, stall bool) { way.ToDialer.SetStalled(stall) },
			func(f *testharness.Fleet, way *testharness.FaultProxy, before float64) bool {
				return way.ToDialer.PendingFrames() > 0 && loadsOnRecord(f.WaitForLeader(3)) > before
			}},
	}
}

// The same fleet. Faults: the control member that an attached front end asks through is killed while the question for a load is
// on its way there, and again while the answer is on its way back; then the leader is killed while a load of an attached one
// runs. What must show: each load is served and runs once, and its outcome is the same bytes through any front end.
func TestControlMemberLostInMidLoad(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting, testharness.WithAttachedFrontEnds("a", "b", "c"))
	for i, c := range crossings() {
		leader := f.WaitForLeader(3)
		f.WaitUntilConverged()
		n, home := followerOf(f, leader)
		f.LogStep("crossing: %s; %s asks through %s", c.name, n.Name, home.Name)
		way, before := f.Proxy(n, home), loadsOnRecord(leader)
		c.stall(way, true)
		try := load(fmt.Sprintf("crossing-%d", i), "k", 30)
		var first sync.WaitGroup
		first.Go(func() { f.SendLoad(n, try) })
		f.WaitFor(c.name, func() bool { return c.caught(f, way, before) })
		home.Kill(false)
		c.stall(way, false)
		first.Wait()
		home.Start()
		f.WaitForLeader(3)
		told(t, f, try, insist(t, f, n, try).Rows())
	}
	leader := f.WaitForLeader(3)
	f.WaitUntilConverged()
	n, _ := followerOf(f, leader)
	try := load("leader", "k", 1500)
	var first sync.WaitGroup
	first.Go(func() { f.SendLoad(n, try) })
	f.WaitForEvent(func(e history.Event) bool {
		return e.Kind == history.ExecutionStarted && e.IdempotencyKey == try.IdempotencyKey
	})
	leader.Kill(false)
	first.Wait()
	leader.Start()
	f.WaitForLeader(3)
	told(t, f, try, insist(t, f, n, try).Rows())
	assert.Len(t, history.Executions(f.History.Events()), 1+len(crossings()))
	f.CheckHistory()
}

// followerOf is an attached front end, whose home is not the leader if there is such a one, and its home.
func followerOf(f *testharness.Fleet, leader *testharness.FrontEnd) (n, home *testharness.FrontEnd) {
	for _, n = range f.AttachedFrontEnds() {
		if home = n.WaitForHome(); home != leader {
			break
		}
	}
	return n, home
}
