package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// A running load must not be lost with its owner. The owner is killed with its disk soon after the start, later, and
// shortly before the engine abandons a query that is not polled; no client repeats the load. Another front end polls
// the query before the abandon timeout of 2 s has passed, so that the load completes; at most one of six loads may be
// lost. Each load runs once, and a later repeat of a completed one gets its rows.
func TestRunningLoadIsTakenOver(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	f.WaitForLeader(3)
	completed := 0
	const kills = 6
	for i := range kills {
		owner, other := f.FrontEnds[i%3], f.FrontEnds[(i+1)%3]
		load := newLoad(fmt.Sprintf("once-%d", i), "k", 3500)
		var first sync.WaitGroup
		first.Go(func() { f.SendLoad(owner, load) })
		f.WaitForEvent(func(e history.Event) bool {
			return e.Kind == history.ExecutionStarted && e.IdempotencyKey == load.IdempotencyKey
		})
		time.Sleep([]time.Duration{50, 500, 1900}[i%3] * time.Millisecond)
		owner.Kill(true)
		end := f.WaitForEvent(func(e history.Event) bool {
			return e.IdempotencyKey == load.IdempotencyKey && (e.Kind == history.ExecutionFinished ||
				e.Kind == history.ExecutionAbandoned || e.Kind == history.ExecutionCanceled)
		})
		if end.Kind == history.ExecutionFinished {
			completed++
			assert.NotEmpty(t, sendUntilServed(t, f, other, load).Rows())
		} else {
			t.Logf("load %d: %s", i, end)
		}
		first.Wait()
		owner.Start()
		f.WaitForLeader(3)
	}
	assert.GreaterOrEqual(t, completed, kills-1, "of %d loads were completed", kills)
	assert.Len(t, history.Executions(f.History.Events()), kills)
	f.CheckHistory()
}

// An owner that is partitioned from the other front ends, but not from its engine and its client, keeps polling: the
// load must not be started a second time, and all clients must get the same outcome. An owner that is paused and
// resumed must not start a load that another front end has taken over or completed meanwhile.
func TestOwnerPartitionedOrPaused(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	for i, span := range []time.Duration{1, 3, 0} {
		leader := f.WaitForLeader(3)
		owner, other := f.FrontEnds[(leader.Index+1)%3], f.FrontEnds[(leader.Index+2)%3]
		load := newLoad(fmt.Sprintf("once-%d", i), "k", 4000)
		var clients sync.WaitGroup
		clients.Go(func() { f.SendLoad(owner, load) })
		f.WaitForEvent(func(e history.Event) bool {
			return e.Kind == history.ExecutionStarted && e.IdempotencyKey == load.IdempotencyKey
		})
		next := newLoad(fmt.Sprintf("next-%d", i), "k", 50)
		clients.Go(func() { f.SendLoad(owner, next) })
		clients.Go(func() { f.SendLoad(other, load) })
		if span > 0 {
			owner.Pause()
			time.Sleep(span * time.Second)
			owner.Resume()
		} else {
			f.SetPartition(true, []*testharness.FrontEnd{owner}, []*testharness.FrontEnd{leader, other})
			time.Sleep(5 * time.Second)
			f.SetPartition(false, []*testharness.FrontEnd{owner}, []*testharness.FrontEnd{leader, other})
		}
		assert.NotEmpty(t, sendUntilServed(t, f, other, load).Rows())
		sendUntilServed(t, f, owner, next)
		clients.Wait()
	}
	f.CheckHistory()
}

// A planned exit must not lose loads. A front end shuts down while a load runs for longer than it may wait: the load
// is transferred, runs once, and a repeat gets its rows. Then all front ends are restarted one after another under
// loads of several order keys: each load is served, and none runs twice.
func TestPlannedExitTransfersLoads(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	f.WaitForLeader(3)
	owner, other := f.FrontEnds[0], f.FrontEnds[1]
	load := newLoad("long", "k", 6000)
	var clients sync.WaitGroup
	clients.Go(func() { f.SendLoad(owner, load) })
	f.WaitForEvent(func(e history.Event) bool { return e.Kind == history.ExecutionStarted })
	owner.Terminate()
	assert.NotEmpty(t, sendUntilServed(t, f, other, load).Rows())
	owner.Start()
	clients.Wait()
	assert.Len(t, history.Executions(f.History.Events()), 1)
	for i := range 24 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			load := newLoad(fmt.Sprintf("once-%d", i), fmt.Sprintf("key-%d", i%4), 200)
			for k := range 40 { // a client that repeats the load through another front end
				if reply := f.SendLoad(f.FrontEnds[(i+k)%3], load); reply.Kind == history.Succeeded {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
			t.Errorf("load %d was not served", i)
		})
	}
	for _, n := range f.FrontEnds {
		n.Terminate()
		n.Start()
		f.WaitForLeader(3)
	}
	clients.Wait()
	f.CheckHistory()
}

// Measures how soon the new owner polls a query, and how many running loads are completed.
func TestTakeoverFigures(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("long")
	}
	for _, frontEnds := range []int{3, 5, 9} {
		f := testharness.NewFleet(t, program, frontEnds, withDurableStorage)
		f.WaitForLeader(3)
		firstPolls := map[bool][]int{} // by whether the owner was the leader of the replicated log
		completed, kills := 0, 20
		for i := range kills {
			leader := f.WaitForLeader(3)
			owner := f.FrontEnds[(leader.Index+i%4%frontEnds)%frontEnds] // one in four is the leader
			load := newLoad(fmt.Sprintf("once-%d", i), fmt.Sprintf("k-%d", i), 3000)
			var first sync.WaitGroup
			first.Go(func() { f.SendLoad(owner, load) })
			started := f.WaitForEvent(func(e history.Event) bool {
				return e.Kind == history.ExecutionStarted && e.IdempotencyKey == load.IdempotencyKey
			})
			time.Sleep(time.Duration(100+i*37%400) * time.Millisecond)
			killedAt := time.Now()
			owner.Kill(true)
			end := f.WaitForEvent(func(e history.Event) bool {
				return e.IdempotencyKey == load.IdempotencyKey && (e.Kind == history.ExecutionFinished ||
					e.Kind == history.ExecutionAbandoned || e.Kind == history.ExecutionCanceled)
			})
			if end.Kind == history.ExecutionFinished {
				completed++
			}
			for _, engine := range f.Engines {
				if engine.Name == started.Engine {
					if at, ok := engine.FirstPollAfter(started.CallID, killedAt.Add(300*time.Millisecond)); ok {
						firstPolls[owner == leader] = append(firstPolls[owner == leader], int(at.Sub(killedAt).Milliseconds()))
					}
				}
			}
			first.Wait()
			owner.Start()
			f.WaitForLeader(3)
		}
		t.Logf("%d front ends: %d of %d running loads were completed", frontEnds, completed, kills)
		for wasLeader, delays := range firstPolls {
			slices.Sort(delays)
			t.Logf("  owner was the leader %v: first poll after the loss at the median %d ms, at most %d ms, of %d", wasLeader,
				delays[len(delays)/2], delays[len(delays)-1], len(delays))
		}
		f.CheckHistory()
	}
}
