package membership_test

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
	"chutechute/internal/scale"
	"chutechute/simulation/membership"
)

// Full size.
const (
	fullAttached = 2700
	fullControls = 53
	fullZones    = 23
)

// Objectives at full size.
const (
	maxPropagationDelay    = 3 * monotime.Second
	maxPropagationDelayP99 = 1 * monotime.Second
	maxDetectionTime       = 5 * monotime.Second
	maxRestGrowth          = 1.2 // of the rate without faults, from 300 attached front ends to full size
)

// maxMeteredSeconds is the longest measured part in which processor time is measured.
const maxMeteredSeconds = 180

// skipUnlessLong skips tests of full size unless they are asked for.
func skipUnlessLong(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("takes minutes a scenario and 4 GB: CHUTECHUTE_LONG=1; " +
			"make scale-full and make scale-hours play nine of them by the tool")
	}
}

// fullFleet is a fleet with a number of attached front ends, and the control members of full size.
func fullFleet(attached int, faults string) membership.Options {
	return membership.Options{
		FrontEnds: attached + fullControls,
		Controls:  fullControls,
		Zones:     fullZones,
		Seed:      1,
		Faults:    faults,
	}
}

// TestScenariosFull simulates all scenarios at full size, and logs of each objective whether it is met.
// CHUTECHUTE_RESULTS names a folder for the results, CHUTECHUTE_SECONDS sets another duration of the measured part, and
// CHUTECHUTE_SEED the seed.
func TestScenariosFull(t *testing.T) {
	skipUnlessLong(t)
	for _, scenario := range membership.Scenarios() {
		t.Run(scenario.Name, func(t *testing.T) { simulateFull(t, scenario) })
	}
}

// simulateFull simulates a scenario at full size, and checks its outcome.
func simulateFull(t *testing.T, scenario membership.Scenario) {
	startedAt := time.Now()
	options := fullFleet(fullAttached, scenario.Name)
	options.MeasureCPU = scenario.Seconds <= maxMeteredSeconds
	options.Seconds = float64(environmentNumber("CHUTECHUTE_SECONDS", 0))
	options.Seed = environmentNumber("CHUTECHUTE_SEED", options.Seed)
	options.Progress = func(progress string) { t.Logf("%6.1f s: %s", time.Since(startedAt).Seconds(), progress) }
	o, err := membership.Simulate(options)
	require.NoError(t, err)
	t.Logf("took %.0f s", time.Since(startedAt).Seconds())
	if folder := os.Getenv("CHUTECHUTE_RESULTS"); folder != "" {
		require.NoError(t, scale.Write(fmt.Sprintf("%s/virtual-%s.json", folder, scenario.Name), o.Result))
	}
	text, err := json.MarshalIndent(o.Result, "", "  ")
	require.NoError(t, err)
	t.Logf("%s", text)
	assert.NoError(t, o.Err())
	assert.Empty(t, o.RejectedMessages)
	logObjectives(t, scenario, o)
}

// logObjective logs whether an objective is met.
func logObjective(t *testing.T, met bool, format string, args ...any) {
	result := "missed"
	if met {
		result = "met"
	}
	t.Logf("aim %s: %s", result, fmt.Sprintf(format, args...))
}

// logObjectives logs of each objective whether an outcome meets it.
func logObjectives(t *testing.T, scenario membership.Scenario, o *membership.Outcome) {
	if scenario.Name == "rest" {
		logObjective(t, o.MeanRate <= maxRestRate, "%.0f B/s at rest in and out, at most %d", o.MeanRate, maxRestRate)
	}
	logObjective(t, o.PeakRate <= maxPeakRate,
		"%.0f B/s over the busiest 10 s (%s), at most %d", o.PeakRate, o.PeakFrontEnd, maxPeakRate)
	logDelayObjectives(t, o)
	if scenario.Name == "lossy" {
		logObjective(t, o.FalseDeaths == 0, "%d false deaths", o.FalseDeaths)
	}
	for _, burst := range o.Bursts {
		logBurstObjective(t, burst.Trigger, "accepts", burst.Accepts)
		logBurstObjective(t, burst.Trigger, "snapshots", burst.Snapshots)
	}
}

// logDelayObjectives logs the objectives of propagation delays and detection times.
func logDelayObjectives(t *testing.T, o *membership.Outcome) {
	if s := o.Result.Spread; s != nil {
		met := s.P99MS <= float64(maxPropagationDelayP99/monotime.Millisecond) &&
			s.MostMS <= float64(maxPropagationDelay/monotime.Millisecond) && s.Unreached == 0
		logObjective(t, met, "%d changes known to all after %.0f ms median, %.0f ms p99, %.0f ms most; %d unreached",
			s.Count, s.MedianMS, s.P99MS, s.MostMS, s.Unreached)
	}
	if count := len(o.DetectionTimes); count > 0 {
		late := countAbove(o.DetectionTimes, maxDetectionTime)
		longest := o.DetectionTimes[count-1] / monotime.Millisecond
		logObjective(t, late == 0,
			"%d deaths noticed after %d ms at most; %d after more than 5 s", count, longest, late)
	}
}

// logBurstObjective logs whether a burst is spread evenly over the control members.
func logBurstObjective(t *testing.T, trigger, what string, load membership.Load) {
	if load.Total < minComparableMean*load.Running {
		t.Logf("too few to compare: %s: %s %+v", trigger, what, load)
		return
	}
	logObjective(t, load.Ratio() <= maxBurstRatio,
		"%s: %s %+v, most %.1f of the mean", trigger, what, load, load.Ratio())
}

// countAbove returns how many durations are above a limit.
func countAbove(durations []monotime.Micros, limit monotime.Micros) (count int) {
	for _, duration := range durations {
		if duration > limit {
			count++
		}
	}
	return count
}

// Without faults, the traffic of an attached front end at full size is not much more than with 300.
func TestRestTrafficGrowthIsBounded(t *testing.T) {
	skipUnlessLong(t)
	rest := func(attached int) float64 {
		o, err := membership.Simulate(fullFleet(attached, "rest"))
		require.NoError(t, err)
		require.NoError(t, o.Err())
		return o.MeanRate
	}
	few, many := rest(300), rest(fullAttached)
	t.Logf("%.1f B/s at 300, %.1f at %d: %.3f times", few, many, fullAttached, many/few)
	assert.LessOrEqual(t, many, maxRestGrowth*few)
}
