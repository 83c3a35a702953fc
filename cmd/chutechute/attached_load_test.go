package main

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// replicatedLoads returns how many loads the replica of a front end holds, or -1 if the front end does not answer.
func replicatedLoads(n *testharness.FrontEnd) float64 {
	if s := n.RawStatus(); s != nil {
		return s["loads"].(float64)
	}
	return -1
}

// assertSameOutcome checks that every front end of a fleet returns the same rows for a load.
func assertSameOutcome(t *testing.T, f *testharness.Fleet, load testharness.LoadRequest, wantRows string) {
	t.Helper()
	for _, n := range f.FrontEnds {
		assert.Equal(t, wantRows, sendUntilServed(t, f, n, load).Rows(), "%s through %s", load.IdempotencyKey, n.Name)
	}
}

// A keyed load that comes in through an attached front end must run exactly once, like one through a control member.
// The fleet has three control members and three attached front ends, one of each per zone, and no faults. Loads are
// sent through attached front ends, and one load is sent through all six front ends concurrently. Each runs once,
// every front end returns the same rows, and the same key with another statement is rejected.
func TestKeyedLoadThroughAnAttachedFrontEnd(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage, testharness.WithAttachedFrontEnds("a", "b", "c"))
	f.WaitForLeader(3)
	f.WaitUntilConverged()
	for i, n := range f.AttachedFrontEnds() {
		load := newLoad(fmt.Sprintf("once-%d", i), "k", 30)
		assertSameOutcome(t, f, load, sendUntilServed(t, f, n, load).Rows())
	}
	var clients sync.WaitGroup
	rows := make([]string, len(f.FrontEnds))
	for i, n := range f.FrontEnds {
		clients.Go(func() {
			if reply := f.SendLoad(n, newLoad("at-once", "k", 300)); reply.Kind == history.Succeeded {
				rows[i] = reply.Rows()
			}
		})
	}
	clients.Wait()
	for _, got := range rows {
		assert.NotEmpty(t, got)
		assert.Equal(t, rows[0], got)
	}
	assert.Len(t, history.Executions(f.History.Events()), 1+len(f.AttachedFrontEnds()))
	n := f.AttachedFrontEnds()[1]
	assert.Equal(t, history.Rejected, f.SendLoad(n, newLoad("at-once", "k", 301)).Kind)
	n.WaitForLog(`reused with another statement.*idempotency_key=at-once`)
	f.CheckHistory()
}

// stallPoint is the message between an attached front end and its home that is stalled while the home is killed.
type stallPoint struct {
	name       string
	setStalled func(proxy *testharness.FaultProxy, stall bool)
	reached    func(f *testharness.Fleet, proxy *testharness.FaultProxy, loadsBefore float64) bool
}

func stallPoints() []stallPoint {
	return []stallPoint{
		{"the registration has not reached the home",
			func(proxy *testharness.FaultProxy, stall bool) { proxy.SetStalled(stall) },
			func(_ *testharness.Fleet, proxy *testharness.FaultProxy, _ float64) bool {
				return proxy.PendingFrames() > 0
			}},
		{"the response has not reached the attached front end",
			func(proxy *testharness.FaultProxy, stall bool) { proxy.ToDialer.SetStalled(stall) },
			func(f *testharness.Fleet, proxy *testharness.FaultProxy, loadsBefore float64) bool {
				return proxy.ToDialer.PendingFrames() > 0 && replicatedLoads(f.WaitForLeader(3)) > loadsBefore
			}},
	}
}

// A load must neither be lost nor run twice if its attached front end loses a control member. In the fleet of
// TestKeyedLoadThroughAnAttachedFrontEnd, the home is killed while the registration of a load is on its way there,
// and again while the response is on its way back. Then the leader is killed while a load of an attached front end
// runs. Each load is served and runs once, and every front end returns the same rows.
func TestControlMemberLostDuringLoad(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage, testharness.WithAttachedFrontEnds("a", "b", "c"))
	for i, point := range stallPoints() {
		leader := f.WaitForLeader(3)
		f.WaitUntilConverged()
		n, home := attachedToFollower(f, leader)
		f.LogStep("stall point: %s; %s registers through %s", point.name, n.Name, home.Name)
		proxy, loadsBefore := f.Proxy(n, home), replicatedLoads(leader)
		point.setStalled(proxy, true)
		load := newLoad(fmt.Sprintf("crossing-%d", i), "k", 30)
		var first sync.WaitGroup
		first.Go(func() { f.SendLoad(n, load) })
		f.WaitFor(point.name, func() bool { return point.reached(f, proxy, loadsBefore) })
		home.Kill(false)
		point.setStalled(proxy, false)
		first.Wait()
		home.Start()
		f.WaitForLeader(3)
		assertSameOutcome(t, f, load, sendUntilServed(t, f, n, load).Rows())
	}
	leader := f.WaitForLeader(3)
	f.WaitUntilConverged()
	n, _ := attachedToFollower(f, leader)
	load := newLoad("leader", "k", 1500)
	var first sync.WaitGroup
	first.Go(func() { f.SendLoad(n, load) })
	f.WaitForEvent(func(e history.Event) bool {
		return e.Kind == history.ExecutionStarted && e.IdempotencyKey == load.IdempotencyKey
	})
	leader.Kill(false)
	first.Wait()
	leader.Start()
	f.WaitForLeader(3)
	assertSameOutcome(t, f, load, sendUntilServed(t, f, n, load).Rows())
	assert.Len(t, history.Executions(f.History.Events()), 1+len(stallPoints()))
	f.CheckHistory()
}

// attachedToFollower returns an attached front end and its home. The home is not the leader, unless the leader is
// the home of all attached front ends.
func attachedToFollower(f *testharness.Fleet, leader *testharness.FrontEnd) (n, home *testharness.FrontEnd) {
	for _, n = range f.AttachedFrontEnds() {
		if home = n.WaitForHome(); home != leader {
			break
		}
	}
	return n, home
}
