package scheduler

import (
	"math"
	"testing"

	"chutechute/internal/monotime"
)

// keyedClassConfig has a keyed class, whose engines drop repeats of a key, beside a safe one.
func keyedClassConfig() Config {
	cfg := testConfig()
	cfg.Classes[1].Effect, cfg.Classes[1].DedupeScope, cfg.Classes[1].DedupeWindow = IdempotentByKey, ScopeAll, 25*monotime.Second
	return cfg
}

// A query that may not run twice is not sent again once it may have run, whatever its class says, and it is failed
// then, not refused. Where it is known not to have run it may go elsewhere, unless it is to go once only.
func TestNonIdempotentAndNoRetryRequests(t *testing.T) {
	for _, c := range []struct {
		name           string
		class          int
		unsafe, single bool
		result         Result
		again          bool
		refused        bool
	}{
		{"safe, reset", 0, false, false, Reset, true, false},
		{"unsafe in a safe class, reset", 0, true, false, Reset, false, false},
		{"unsafe in a safe class, error", 0, true, false, Errored, false, false},
		{"unsafe in a safe class, full", 0, true, false, Rejected, true, false},
		{"keyed, reset", 1, false, false, Reset, true, false},
		{"unsafe in a keyed class, reset", 1, true, false, Reset, false, false},
		{"unsafe in a keyed class, timed out", 1, true, false, TimedOut, false, false},
		{"unsafe in a keyed class, no connection", 1, true, false, NoConnection, true, false},
		{"single, full", 0, true, true, Rejected, false, true},
		{"single, no connection", 1, true, true, NoConnection, false, true},
		{"single, reset", 0, true, true, Reset, false, false},
	} {
		d := newTestScheduler(t, keyedClassConfig(), completeUpdate("a", "b", "c"))
		for id := uint64(100); id < 150; id++ { // prices come down to what queries take
			d.Step(monotime.Second/2, []Event{newRequest(id, c.class, monotime.Second/2)})
			e := d.queries[id].attempts[0].engine.Engine
			d.Step(monotime.Second/2, []Event{newOutcome(id, 0, e, Succeeded, monotime.Second/20)})
		}
		r := newRequest(1, c.class, monotime.Second)
		r.NonIdempotent, r.NoRetry = c.unsafe, c.single
		first := startedAttempts(d.Step(monotime.Second, []Event{r}))
		if len(first) != 1 {
			t.Fatalf("%s: sends %v", c.name, first)
		}
		var again []StartAttempt
		var refused, failed []uint64
		events := []Event{newOutcome(1, 0, first[0].Engine, c.result, monotime.Second/10)}
		for now := monotime.Second + monotime.Second/10; now < 6*monotime.Second; now += sweepInterval {
			actions := d.Step(now, events)
			again, refused = append(again, startedAttempts(actions)...), append(refused, rejectedIDs(actions)...)
			failed = append(failed, failedIDs(actions)...)
			events = []Event{Timer{Token: "sweep"}}
		}
		if got := len(again) > 0; got != c.again {
			t.Errorf("%s: sent again %v, want %v", c.name, got, c.again)
		}
		if !c.again && (len(refused) != map[bool]int{true: 1}[c.refused] || len(refused)+len(failed) != 1) {
			t.Errorf("%s: refused %v, failed %v", c.name, refused, failed)
		}
	}
}

// What is not safe has no time-out of its own: an attempt that can't be called off may run on.
func TestNonIdempotentAttemptsHaveNoTimeout(t *testing.T) {
	cfg := keyedClassConfig()
	cfg.Limits.Cancel = false
	for _, unsafe := range []bool{false, true} {
		d := newTestScheduler(t, cfg, completeUpdate("a"))
		r := newRequest(1, 0, monotime.Second)
		r.NonIdempotent = unsafe
		if s := startedAttempts(d.Step(monotime.Second, []Event{r})); len(s) != 1 || s[0].Timeout > 0 == unsafe {
			t.Errorf("unsafe %v: sends %v", unsafe, s)
		}
	}
}

// A Measure follows a served attempt where it is wanted, and tells of the load by the class's ratio over its best.
func TestLatencyMeasurementIsSentOnRequest(t *testing.T) {
	d := newTestScheduler(t, testConfig(), completeUpdate("a"))
	measure := func(id uint64, took monotime.Micros, wanted bool) (list []LatencyMeasurement) {
		now := monotime.Second * monotime.Micros(id)
		r := newRequest(id, 0, now)
		r.EstimatedWork, r.MeasureLatency = monotime.Second/10, wanted
		d.Step(now, []Event{r})
		for _, a := range d.Step(now+took, []Event{newOutcome(id, 0, "a", Succeeded, took)}) {
			if m, ok := a.(LatencyMeasurement); ok {
				list = append(list, m)
			}
		}
		return list
	}
	if got := measure(1, monotime.Second/10, false); len(got) != 0 {
		t.Errorf("not wanted: %v", got)
	}
	for id := uint64(2); id < 40; id++ {
		measure(id, monotime.Second/10, true)
	}
	if got := measure(40, monotime.Second/10, true); len(got) != 1 || got[0].Slowdown > 1.2 || got[0].Elapsed != monotime.Second/10 {
		t.Errorf("calm: %v", got)
	}
	for id := uint64(41); id < 100; id++ {
		measure(id, monotime.Second/2, true)
	}
	if got := measure(100, monotime.Second/2, true); len(got) != 1 || got[0].Slowdown < 2 {
		t.Errorf("under load: %v", got)
	}
}

// Estimates that were too high and are put right must not look like load: the best ratio has a floor where costs are
// the gateway's own.
func TestCorrectedOwnEstimatesAreNotTakenForPressure(t *testing.T) {
	for _, guessed := range []bool{false, true} {
		d := newTestScheduler(t, testConfig(), completeUpdate("a"))
		for id := uint64(1); id < 200; id++ {
			now := monotime.Second * monotime.Micros(id)
			r := newRequest(id, 0, now)
			r.EstimatedHere, r.EstimatedWork = guessed, 2*monotime.Second
			if id > 30 {
				r.EstimatedWork = monotime.Second / 10
			}
			d.Step(now, []Event{r})
			d.Step(now+monotime.Second/10, []Event{newOutcome(id, 0, "a", Succeeded, monotime.Second/10)})
		}
		if best := d.classes[0].bestRatio; math.IsInf(best, 0) || d.underPressure() == guessed {
			t.Errorf("guessed %v: pressure %v with best %v", guessed, d.underPressure(), best)
		}
	}
}
