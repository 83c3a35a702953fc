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

// The size that the users name, as one front end sees it.
const (
	usersFrontEnds = 2700
	usersEngines   = 34000
	usersZones     = 23
	betweenQueries = monotime.Second / 1000 // 1,000 statements a second at each front end
	queryTakes     = monotime.Second / 50
	tableGroups    = 97
)

// largeSite is a dispatcher that knows so many engines, among as many front ends as the users have for these.
func largeSite(t *testing.T, engines int) *Scheduler {
	cfg := testConfig()
	cfg.Gateways, cfg.Zone = max(1, engines*usersFrontEnds/usersEngines), "z0"
	d, err := New(cfg, 7)
	require.NoError(t, err)
	list := EndpointUpdate{Kind: UpdateComplete}
	for i := range engines {
		list.Entries = append(list.Entries, Endpoint{Engine: fmt.Sprintf("s-%08x", i), Kind: "k", Zone: fmt.Sprint("z", i%usersZones)})
	}
	d.Step(0, []Event{list})
	return d
}

// atPace plays so many queries at a front end's pace, each done 20 ms later, and the sweeps that fall due between them.
func atPace(t *testing.T, d *Scheduler, now monotime.Micros, first, count int) (monotime.Micros, int) {
	type running struct {
		send StartAttempt
		over monotime.Micros
	}
	var out []running
	sent, sweepAt := 0, monotime.Micros(0)
	take := func(actions []Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case StartAttempt:
				sent++
				out = append(out, running{action, now + queryTakes})
			case SetTimer:
				sweepAt = action.At
			}
		}
	}
	for i := range count {
		now += betweenQueries
		if sweepAt > 0 && now >= sweepAt {
			sweepAt = 0
			take(d.Step(now, []Event{Timer{Token: "sweep"}}))
		}
		for len(out) > 0 && out[0].over <= now {
			done := out[0]
			out = out[1:]
			take(d.Step(now, []Event{outcome(done.send.ID, 0, done.send.Engine, Succeeded, queryTakes)}))
		}
		query := ask(uint64(first+i), 0, now)
		query.Group = (first + i) % tableGroups
		take(d.Step(now, []Event{query}))
	}
	for _, r := range out {
		now = r.over
		take(d.Step(now, []Event{outcome(r.send.ID, 0, r.send.Engine, Succeeded, queryTakes)}))
	}
	return now, sent
}

// What a query and its outcome cost by the engines that the list names, and what the dispatcher holds; long.
func TestCapacityOfDecisions(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
	result := procstat.NewResult("decisions", "One query, its outcome and its part of the 20 ms sweeps, 1,000 queries a second, each of 20 ms; "+
		"front ends in the users' ratio to engines, 23 zones, 97 table groups; processor time of the process; two runs a size.")
	for range 2 {
		for _, engines := range []int{8, 64, 256, 1024, 2048, 8192, 34000} {
			before := procstat.HeapInUse()
			d := largeSite(t, engines)
			began := procstat.OwnProcessorTime()
			now, _ := atPace(t, d, monotime.Second, 0, tableGroups) // each finds its engines
			first := float64((procstat.OwnProcessorTime() - began).Nanoseconds()) / 1000 / tableGroups
			count := max(200, min(20_000, 4_000_000/engines))
			began = procstat.OwnProcessorTime()
			now, sent := atPace(t, d, now, 1000, count)
			each := float64((procstat.OwnProcessorTime() - began).Nanoseconds()) / 1000 / float64(count)
			heap := procstat.HeapInUse() - before
			runtime.KeepAlive(d)
			t.Logf("%5d engines: %8.1f us, the first of a table group %8.1f us, %9.0f bytes of heap, %d of %d sent in %d s", engines, each,
				first, heap, sent, count, now/monotime.Second)
			require.Greater(t, sent, count*9/10, "so few were sent that it measures something else")
			result.Points = append(result.Points, scale.Point{Axis: "engines", X: float64(engines),
				Figures: map[string]float64{"query us": each, "first query of a group us": first, "heap bytes": heap}})
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}
