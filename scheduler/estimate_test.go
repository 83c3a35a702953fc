package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// Guards against an overload that goes undetected because no attempt in it succeeds: timeouts count as measurements.
func TestTimeoutRaisesTheExecutionTimeEstimate(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)})
	c := sched.classes[0]
	c.meanLatency = 0.1 * float64(monotime.Second)
	before := c.meanLatency
	sched.Step(5*monotime.Second, []Event{newOutcome(1, 0, "a", TimedOut, 4*monotime.Second)})
	if c.meanLatency <= before {
		t.Fatalf("mean latency went from %.0f to %.0f, want a rise", before, c.meanLatency)
	}
}

// Guards against an estimated execution time that stays inflated after an overload because no attempt measures it.
func TestInflatedEstimateDecaysWithoutMeasurements(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	sched.Step(0, []Event{newRequest(1, 0, 0)})
	sched.Step(1, []Event{newOutcome(1, 0, "a", Succeeded, 100_000)})
	c := sched.classes[0]
	c.bestRatio, c.meanLatency = 0.1*float64(monotime.Second), 100*float64(monotime.Second)
	for now := monotime.Second; now < 20*monotime.Second; now += sweepInterval {
		sched.Step(now, []Event{Timer{Token: "sweep"}})
	}
	if c.meanLatency > float64(monotime.Second) {
		t.Fatalf("mean latency stays at %.0f", c.meanLatency)
	}
}

// The timeout factor, from which on an attempt counts as slow, follows the usual error of the class's estimates: it is
// small where estimates are good.
func TestTimeoutFactorFollowsTheEstimateError(t *testing.T) {
	timeoutFactor := func(err monotime.Micros) float64 {
		sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
		now := monotime.Second
		for id := range uint64(100) {
			now += monotime.Second
			r := newRequest(id, 0, now)
			r.EstimatedWork = 100_000
			sched.Step(now, []Event{r})
			took := 100_000 - err + 2*err*monotime.Micros(id%2)
			sched.Step(now+took, []Event{newOutcome(id, 0, "a", Succeeded, took)})
		}
		return sched.classes[0].timeoutFactor()
	}
	if good, poor := timeoutFactor(5_000), timeoutFactor(70_000); good > 2 || poor < 3 {
		t.Fatalf("timeout factor %.1f with good estimates, %.1f with poor ones", good, poor)
	}
}

// A LatencyMeasurement follows a served attempt if the request asks for one. Its slowdown is the class's ratio of
// latency to estimate over the best such ratio.
func TestLatencyMeasurementIsSentOnRequest(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	measure := func(id uint64, took monotime.Micros, requested bool) (list []LatencyMeasurement) {
		now := monotime.Second * monotime.Micros(id)
		r := newRequest(id, 0, now)
		r.EstimatedWork, r.MeasureLatency = monotime.Second/10, requested
		sched.Step(now, []Event{r})
		for _, a := range sched.Step(now+took, []Event{newOutcome(id, 0, "a", Succeeded, took)}) {
			if m, ok := a.(LatencyMeasurement); ok {
				list = append(list, m)
			}
		}
		return list
	}
	if got := measure(1, monotime.Second/10, false); len(got) != 0 {
		t.Errorf("not requested: %v", got)
	}
	for id := uint64(2); id < 40; id++ {
		measure(id, monotime.Second/10, true)
	}
	got := measure(40, monotime.Second/10, true)
	if len(got) != 1 || got[0].Slowdown > 1.2 || got[0].Elapsed != monotime.Second/10 {
		t.Errorf("without load: %v", got)
	}
	for id := uint64(41); id < 100; id++ {
		measure(id, monotime.Second/2, true)
	}
	if got := measure(100, monotime.Second/2, true); len(got) != 1 || got[0].Slowdown < 2 {
		t.Errorf("under load: %v", got)
	}
}

// Guards against mistaking the correction of estimates that were too high for load: where estimates are this front
// end's own, the best ratio has a lower bound.
func TestCorrectedOwnEstimatesAreNotTakenForPressure(t *testing.T) {
	for _, own := range []bool{false, true} {
		sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
		for id := uint64(1); id < 200; id++ {
			now := monotime.Second * monotime.Micros(id)
			r := newRequest(id, 0, now)
			r.OwnEstimate, r.EstimatedWork = own, 2*monotime.Second
			if id > 30 {
				r.EstimatedWork = monotime.Second / 10
			}
			sched.Step(now, []Event{r})
			sched.Step(now+monotime.Second/10, []Event{newOutcome(id, 0, "a", Succeeded, monotime.Second/10)})
		}
		if best := sched.classes[0].bestRatio; math.IsInf(best, 0) || sched.underPressure() == own {
			t.Errorf("own estimates %v: pressure %v with best ratio %v", own, sched.underPressure(), best)
		}
	}
}

// The work that engines report corrects the estimates of its class only. Without reports the estimates stay as they
// are, and the correction is bounded.
func TestReportedWorkCorrectsEstimates(t *testing.T) {
	for name, c := range map[string]struct {
		reported float64 // times the estimate
		from, to float64
	}{
		"not reported": {0, 1, 1},
		"as estimated": {1, 0.99, 1.01},
		"twice":        {2, 1.8, 2.01},
		"half":         {0.5, 0.49, 0.6},
		"nonsense":     {1e6, maxWorkBias, maxWorkBias},
	} {
		sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
		for n := range uint64(100) {
			now := monotime.Second * monotime.Micros(n+1)
			r := newRequest(n, 0, now)
			r.EstimatedWork = monotime.Second / 5
			s := startedAttempts(sched.Step(now, []Event{r}))
			require.Len(t, s, 1, name)
			o := newOutcome(n, 0, s[0].Engine, Succeeded, monotime.Second/5)
			o.WorkUsed = monotime.Micros(c.reported * float64(r.EstimatedWork))
			sched.Step(now+monotime.Second/5, []Event{o})
		}
		q := &query{Request: Request{EstimatedWork: monotime.Second}, class: sched.classes[0]}
		assert.GreaterOrEqual(t, q.expectedWork(), c.from*float64(monotime.Second), name)
		assert.LessOrEqual(t, q.expectedWork(), c.to*float64(monotime.Second), name)
		q.class = sched.classes[1]
		assert.EqualValues(t, monotime.Second, q.expectedWork(), name)
	}
}
