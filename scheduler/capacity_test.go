package scheduler

import (
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
	"chutechute/internal/procstat"
	"chutechute/internal/scale"
)

// The size of the fleet that users specify, and the traffic at each front end.
const (
	fleetFrontEnds = 2700
	fleetEngines   = 34000
	fleetZones     = 23
	queryInterval  = monotime.Second / 1000 // 1,000 queries a second at each front end
	queryDuration  = monotime.Second / 50
	tableGroups    = 97
)

// newLargeScheduler returns a scheduler that knows the given number of engines. The ratio of front ends to engines is
// that of the users' fleet.
func newLargeScheduler(t *testing.T, engines int) *Scheduler {
	cfg := testConfig()
	cfg.FrontEnds, cfg.Zone = max(1, engines*fleetFrontEnds/fleetEngines), "z0"
	sched, err := New(cfg, 7)
	require.NoError(t, err)
	update := EndpointUpdate{Kind: UpdateComplete}
	for i := range engines {
		endpoint := Endpoint{Engine: fmt.Sprintf("s-%08x", i), Kind: "k", Zone: fmt.Sprint("z", i%fleetZones)}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	sched.Step(0, []Event{update})
	return sched
}

// simulateQueries sends the scheduler count queries, one every queryInterval and each served after queryDuration, and
// the sweep timers that are due in between. It returns the time at the end and the number of attempts.
func simulateQueries(t *testing.T, sched *Scheduler, now monotime.Micros, first, count int) (monotime.Micros, int) {
	type running struct {
		attempt StartAttempt
		endsAt  monotime.Micros
	}
	var inFlight []running
	sent, sweepAt := 0, monotime.Micros(0)
	perform := func(actions []Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case StartAttempt:
				sent++
				inFlight = append(inFlight, running{action, now + queryDuration})
			case SetTimer:
				sweepAt = action.At
			}
		}
	}
	finish := func(a StartAttempt) {
		perform(sched.Step(now, []Event{newOutcome(a.ID, 0, a.Engine, Succeeded, queryDuration)}))
	}
	for i := range count {
		now += queryInterval
		if sweepAt > 0 && now >= sweepAt {
			sweepAt = 0
			perform(sched.Step(now, []Event{Timer{Token: "sweep"}}))
		}
		for len(inFlight) > 0 && inFlight[0].endsAt <= now {
			done := inFlight[0]
			inFlight = inFlight[1:]
			finish(done.attempt)
		}
		request := newRequest(uint64(first+i), 0, now)
		request.TableGroup = (first + i) % tableGroups
		perform(sched.Step(now, []Event{request}))
	}
	for _, r := range inFlight {
		now = r.endsAt
		finish(r.attempt)
	}
	return now, sent
}

// Measures the processor time of a query and its outcome, and the memory of the scheduler, by the number of engines. It
// runs for a long time.
func TestCapacityOfDecisions(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measurement, run by make scale-full")
	}
	result := procstat.NewResult("decisions",
		"One query, its outcome and its part of the 20 ms sweeps, 1,000 queries a second, each of 20 ms; "+
			"front ends in the users' ratio to engines, 23 zones, 97 table groups; "+
			"processor time of the process; two runs a size.")
	for range 2 {
		for _, engines := range []int{8, 64, 256, 1024, 2048, 8192, 34000} {
			before := procstat.HeapInUse()
			sched := newLargeScheduler(t, engines)
			began := procstat.OwnProcessorTime()
			now, _ := simulateQueries(t, sched, monotime.Second, 0, tableGroups) // each builds its hash order
			first := float64((procstat.OwnProcessorTime() - began).Nanoseconds()) / 1000 / tableGroups
			count := max(200, min(20_000, 4_000_000/engines))
			began = procstat.OwnProcessorTime()
			now, sent := simulateQueries(t, sched, now, 1000, count)
			each := float64((procstat.OwnProcessorTime() - began).Nanoseconds()) / 1000 / float64(count)
			heap := procstat.HeapInUse() - before
			runtime.KeepAlive(sched)
			t.Logf("%5d engines: %8.1f us, the first of a table group %8.1f us, %9.0f bytes of heap, %d of %d sent in %d s",
				engines, each, first, heap, sent, count, now/monotime.Second)
			require.Greater(t, sent, count*9/10, "too few queries were sent for the figures to be valid")
			result.Points = append(result.Points, scale.Point{Axis: "engines", X: float64(engines),
				Figures: map[string]float64{"query us": each, "first query of a group us": first, "heap bytes": heap}})
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}
