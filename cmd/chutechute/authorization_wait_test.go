package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
	"chutechute/scheduler"
)

// maxStartAfterDrain is the time after which an engine that drains or is removed gets no new work: 0.5 s by the rule,
// and 50 ms that each limit grows by on sockets.
const maxStartAfterDrain = 550 * time.Millisecond

// The failure: loads that wait for an authorization, because the leader of the replicated log is lost, are sent to an
// engine that has begun to drain, or was removed, long before. None may be lost or run twice; with half of the engines
// gone, some may be rejected.
func TestNoLoadIsSentToAnEngineThatDrainedWhileItWaited(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		lose  func(f *testharness.Fleet, leader *testharness.FrontEnd, rest []*testharness.FrontEnd)
		state scheduler.EngineState
	}{
		"leader killed, engine drains": {
			func(_ *testharness.Fleet, leader *testharness.FrontEnd, _ []*testharness.FrontEnd) {
				leader.Kill(false)
			},
			scheduler.Draining,
		},
		"leader killed, engine removed": {
			func(_ *testharness.Fleet, leader *testharness.FrontEnd, _ []*testharness.FrontEnd) {
				leader.Kill(false)
			},
			scheduler.Removed,
		},
		"leader stopped, engine drains": {
			func(_ *testharness.Fleet, leader *testharness.FrontEnd, _ []*testharness.FrontEnd) { leader.Pause() },
			scheduler.Draining,
		},
		"leader cut off, engine drains": {
			func(f *testharness.Fleet, leader *testharness.FrontEnd, rest []*testharness.FrontEnd) {
				f.SetPartition(true, []*testharness.FrontEnd{leader}, rest)
			},
			scheduler.Draining,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := testharness.NewFleet(t, program, 3, func(f *testharness.Fleet) {
				f.FleetSettings["tick_ms"] = 100 // an election takes longer than the rule allows
			})
			leader, rest := chooseCut(f, true)
			var clients sync.WaitGroup
			for i := range 200 {
				load := newLoad(fmt.Sprintf("once-%d", i), "", 400)
				load.ClientTimeout = 20 * time.Second
				clients.Go(func() {
					kind := f.SendLoad(rest[0], load).Kind
					assert.Contains(t, []string{history.Succeeded, history.Rejected}, kind, load.IdempotencyKey)
				})
			}
			f.WaitForEvent(func(e history.Event) bool { return e.Kind == history.ExecutionStarted })
			time.Sleep(200 * time.Millisecond)
			test.lose(f, leader, rest)
			time.Sleep(300 * time.Millisecond)
			engine, drainedAt := f.Engines[0], f.History.Now()
			f.PublishState(engine, test.state)
			clients.Wait()
			late, runs := 0, map[string]int{}
			for _, execution := range history.Executions(f.History.Events()) {
				after := time.Duration(execution.Start.At-drainedAt) * time.Microsecond
				if execution.Start.Engine == engine.Name && after > maxStartAfterDrain {
					late++
				}
				runs[execution.Start.IdempotencyKey]++
				assert.Equal(t, 1, runs[execution.Start.IdempotencyKey], execution.Start.IdempotencyKey)
			}
			assert.Zero(t, late, "loads that were sent to %s too late", engine.Name)
			f.CheckHistory()
		})
	}
}
