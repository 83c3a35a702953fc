package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// Found on budapest's busy days: queries that time out must count, or a jam in which nothing ends goes unseen.
func TestTimeoutRaisesTheExecutionTimeEstimate(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)})
	c := sched.classes[0]
	c.meanLatency = 0.1 * float64(monotime.Second)
	before := c.meanLatency
	sched.Step(5*monotime.Second, []Event{newOutcome(1, 0, "a", TimedOut, 4*monotime.Second)})
	if c.meanLatency <= before {
		t.Fatalf("price went from %.0f to %.0f", before, c.meanLatency)
	}
}

// An ExecTime inflated by a jam, with nothing sent that could measure it, must sink back.
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
		t.Fatalf("price stays at %.0f", c.meanLatency)
	}
}

// Patience with a plan follows how far prices are off: short where estimates are good.
func TestMaxAttemptTimeFollowsTheEstimateError(t *testing.T) {
	patience := func(off monotime.Micros) float64 {
		sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
		now := monotime.Second
		for id := range uint64(100) {
			now += monotime.Second
			r := newRequest(id, 0, now)
			r.EstimatedWork = 100_000
			sched.Step(now, []Event{r})
			took := 100_000 - off + 2*off*monotime.Micros(id%2)
			sched.Step(now+took, []Event{newOutcome(id, 0, "a", Succeeded, took)})
		}
		return sched.classes[0].timeoutFactor()
	}
	if good, rough := patience(5_000), patience(70_000); good > 2 || rough < 3 {
		t.Fatalf("patience %.1f with good prices, %.1f with rough ones", good, rough)
	}
}

// A Measure follows a served attempt where it is wanted, and tells of the load by the class's ratio over its best.
func TestLatencyMeasurementIsSentOnRequest(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	measure := func(id uint64, took monotime.Micros, wanted bool) (list []LatencyMeasurement) {
		now := monotime.Second * monotime.Micros(id)
		r := newRequest(id, 0, now)
		r.EstimatedWork, r.MeasureLatency = monotime.Second/10, wanted
		sched.Step(now, []Event{r})
		for _, a := range sched.Step(now+took, []Event{newOutcome(id, 0, "a", Succeeded, took)}) {
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
		sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
		for id := uint64(1); id < 200; id++ {
			now := monotime.Second * monotime.Micros(id)
			r := newRequest(id, 0, now)
			r.EstimatedHere, r.EstimatedWork = guessed, 2*monotime.Second
			if id > 30 {
				r.EstimatedWork = monotime.Second / 10
			}
			sched.Step(now, []Event{r})
			sched.Step(now+monotime.Second/10, []Event{newOutcome(id, 0, "a", Succeeded, monotime.Second/10)})
		}
		if best := sched.classes[0].bestRatio; math.IsInf(best, 0) || sched.underPressure() == guessed {
			t.Errorf("guessed %v: pressure %v with best %v", guessed, sched.underPressure(), best)
		}
	}
}

// What queries took, as engines tell, puts the told work of their class right, and of that class alone; where they
// don't tell, or nonsense, what is told stands or is bounded.
func TestReportedWorkCorrectsEstimates(t *testing.T) {
	for name, c := range map[string]struct {
		spent    float64 // times what was told
		from, to float64
	}{"untold": {0, 1, 1}, "right": {1, 0.99, 1.01}, "twice": {2, 1.8, 2.01}, "half": {0.5, 0.49, 0.6}, "nonsense": {1e6, maxWorkBias, maxWorkBias}} {
		sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
		for n := range uint64(100) {
			now := monotime.Second * monotime.Micros(n+1)
			r := newRequest(n, 0, now)
			r.EstimatedWork = monotime.Second / 5
			s := startedAttempts(sched.Step(now, []Event{r}))
			require.Len(t, s, 1, name)
			o := newOutcome(n, 0, s[0].Engine, Succeeded, monotime.Second/5)
			o.WorkUsed = monotime.Micros(c.spent * float64(r.EstimatedWork))
			sched.Step(now+monotime.Second/5, []Event{o})
		}
		q := &query{Request: Request{EstimatedWork: monotime.Second}, class: sched.classes[0]}
		assert.GreaterOrEqual(t, q.expectedWork(), c.from*float64(monotime.Second), name)
		assert.LessOrEqual(t, q.expectedWork(), c.to*float64(monotime.Second), name)
		q.class = sched.classes[1]
		assert.EqualValues(t, monotime.Second, q.expectedWork(), name)
	}
}
