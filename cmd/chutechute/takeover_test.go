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

// The owner of a running load is lost with its disk, soon after the start, later, and shortly before the engine is done; nobody repeats.
// Another asks after the query within the 2 s for which it runs unasked, so that its work is not lost: it ends by itself, runs once, and
// whoever asks later is told its rows. The next of its key follows at once.
func TestRunningLoadIsTakenOver(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting)
	f.WaitForLeader(3)
	kept := 0
	const kills = 6
	for i := range kills {
		owner, other := f.FrontEnds[i%3], f.FrontEnds[(i+1)%3]
		try := load(fmt.Sprintf("once-%d", i), "k", 3500)
		var first sync.WaitGroup
		first.Go(func() { f.SendLoad(owner, try) })
		f.WaitForEvent(func(e history.Event) bool {
			return e.Kind == history.ExecutionStarted && e.IdempotencyKey == try.IdempotencyKey
		})
		time.Sleep([]time.Duration{50, 500, 1900}[i%3] * time.Millisecond)
		owner.Kill(true)
		over := f.WaitForEvent(func(e history.Event) bool {
			return e.IdempotencyKey == try.IdempotencyKey && (e.Kind == history.ExecutionFinished || e.Kind == history.ExecutionAbandoned || e.Kind == history.ExecutionCanceled)
		})
		if over.Kind == history.ExecutionFinished {
			kept++
			assert.NotEmpty(t, insist(t, f, other, try).Rows())
		} else {
			t.Logf("load %d: %s", i, over)
		}
		first.Wait()
		owner.Start()
		f.WaitForLeader(3)
	}
	assert.GreaterOrEqual(t, kept, kills-1, "of %d were kept alive", kills)
	assert.Len(t, history.Executions(f.History.Events()), kills)
	f.CheckHistory()
}

// The owner is only cut off from the others, not from its engine and its client, and goes on asking: nobody starts the load a second
// time, and all hear one outcome. Stopped and continued, it starts nothing that was decided before.
func TestOwnerCutOffOrStopped(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting)
	for i, span := range []time.Duration{1, 3, 0} {
		leader := f.WaitForLeader(3)
		owner, other := f.FrontEnds[(leader.Index+1)%3], f.FrontEnds[(leader.Index+2)%3]
		try := load(fmt.Sprintf("once-%d", i), "k", 4000)
		var all sync.WaitGroup
		all.Go(func() { f.SendLoad(owner, try) })
		f.WaitForEvent(func(e history.Event) bool {
			return e.Kind == history.ExecutionStarted && e.IdempotencyKey == try.IdempotencyKey
		})
		next := load(fmt.Sprintf("next-%d", i), "k", 50)
		all.Go(func() { f.SendLoad(owner, next) })
		all.Go(func() { f.SendLoad(other, try) })
		if span > 0 {
			owner.Pause()
			time.Sleep(span * time.Second)
			owner.Resume()
		} else {
			f.SetPartition(true, []*testharness.FrontEnd{owner}, []*testharness.FrontEnd{leader, other})
			time.Sleep(5 * time.Second)
			f.SetPartition(false, []*testharness.FrontEnd{owner}, []*testharness.FrontEnd{leader, other})
		}
		assert.NotEmpty(t, insist(t, f, other, try).Rows())
		insist(t, f, owner, next)
		all.Wait()
	}
	f.CheckHistory()
}

// A front end ends as planned while a load runs for longer than it may stay: the load is handed on, runs once, and its rows are told to
// who asks. Then all are restarted one after another, under loads of several keys: each is served, and none runs twice.
func TestPlannedExitHandsOn(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting)
	f.WaitForLeader(3)
	owner, other := f.FrontEnds[0], f.FrontEnds[1]
	try := load("long", "k", 6000)
	var all sync.WaitGroup
	all.Go(func() { f.SendLoad(owner, try) })
	f.WaitForEvent(func(e history.Event) bool { return e.Kind == history.ExecutionStarted })
	owner.Terminate()
	assert.NotEmpty(t, insist(t, f, other, try).Rows())
	owner.Start()
	all.Wait()
	assert.Len(t, history.Executions(f.History.Events()), 1)
	for i := range 24 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			try := load(fmt.Sprintf("once-%d", i), fmt.Sprintf("key-%d", i%4), 200)
			for k := range 40 { // a client that repeats through whoever answers
				if p := f.SendLoad(f.FrontEnds[(i+k)%3], try); p.Kind == history.Succeeded {
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
	all.Wait()
	f.CheckHistory()
}

// How soon a successor asks, and how much work is saved; long.
func TestTakeoverFigures(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("long")
	}
	for _, fronts := range []int{3, 5, 9} {
		f := testharness.NewFleet(t, program, fronts, lasting)
		f.WaitForLeader(3)
		gaps := map[bool][]int{} // whether the owner led the record too
		kept, kills := 0, 20
		for i := range kills {
			leader := f.WaitForLeader(3)
			owner := f.FrontEnds[(leader.Index+i%4%fronts)%fronts] // one in four leads
			try := load(fmt.Sprintf("once-%d", i), fmt.Sprintf("k-%d", i), 3000)
			var first sync.WaitGroup
			first.Go(func() { f.SendLoad(owner, try) })
			began := f.WaitForEvent(func(e history.Event) bool {
				return e.Kind == history.ExecutionStarted && e.IdempotencyKey == try.IdempotencyKey
			})
			time.Sleep(time.Duration(100+i*37%400) * time.Millisecond)
			killed := time.Now()
			owner.Kill(true)
			over := f.WaitForEvent(func(e history.Event) bool {
				return e.IdempotencyKey == try.IdempotencyKey && (e.Kind == history.ExecutionFinished || e.Kind == history.ExecutionAbandoned || e.Kind == history.ExecutionCanceled)
			})
			if over.Kind == history.ExecutionFinished {
				kept++
			}
			for _, w := range f.Engines {
				if w.Name == began.Engine {
					if at, ok := w.FirstPollAfter(began.CallID, killed.Add(300*time.Millisecond)); ok {
						gaps[owner == leader] = append(gaps[owner == leader], int(at.Sub(killed).Milliseconds()))
					}
				}
			}
			first.Wait()
			owner.Start()
			f.WaitForLeader(3)
		}
		t.Logf("%d front ends: %d of %d running loads were kept alive", fronts, kept, kills)
		for leads, list := range gaps {
			slices.Sort(list)
			t.Logf("  owner led the record %v: first question after the loss at the median %d ms, at most %d ms, of %d", leads,
				list[len(list)/2], list[len(list)-1], len(list))
		}
		f.CheckHistory()
	}
}
