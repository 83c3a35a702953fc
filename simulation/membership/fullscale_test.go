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

// The size of a full fleet.
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
	maxRestGrowth          = 1.2 // ratio of the rate without faults at full size to that with 300 attached front ends
)

// maxMeteredSeconds is the longest measured part in which processor time is measured.
const maxMeteredSeconds = 180

// skipUnlessLong skips a test of full size unless CHUTECHUTE_LONG is set.
func skipUnlessLong(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("takes minutes per scenario and 4 GB of memory; set CHUTECHUTE_LONG=1 to run it; " +
			"make scale-full and make scale-hours run nine of them with chutechute-scale")
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

// TestScenariosFull simulates all scenarios at full size, and logs for each objective whether it is met.
// CHUTECHUTE_RESULTS sets a folder for the results, CHUTECHUTE_SECONDS the duration of the measured part, and
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
	t.Logf("objective %s: %s", result, fmt.Sprintf(format, args...))
}

// logObjectives logs for each objective whether an outcome meets it.
func logObjectives(t *testing.T, scenario membership.Scenario, o *membership.Outcome) {
	if scenario.Name == "rest" {
		logObjective(t, o.MeanRate <= maxRestRate,
			"%.0f B/s without faults, in and out; limit %d", o.MeanRate, maxRestRate)
	}
	logObjective(t, o.PeakRate <= maxPeakRate,
		"%.0f B/s over the busiest 10 s (%s); limit %d", o.PeakRate, o.PeakFrontEnd, maxPeakRate)
	logDelayObjectives(t, o)
	if scenario.Name == "lossy" {
		logObjective(t, o.FalseDeaths == 0, "%d false deaths", o.FalseDeaths)
	}
	for _, burst := range o.Bursts {
		logBurstObjective(t, burst.Trigger, "accepts", burst.Accepts)
		logBurstObjective(t, burst.Trigger, "snapshots", burst.Snapshots)
	}
}

// logDelayObjectives logs the objectives for propagation delays and detection times.
func logDelayObjectives(t *testing.T, o *membership.Outcome) {
	if s := o.Result.Spread; s != nil {
		met := s.P99MS <= float64(maxPropagationDelayP99/monotime.Millisecond) &&
			s.MaxMS <= float64(maxPropagationDelay/monotime.Millisecond) && s.Unreached == 0
		logObjective(t, met,
			"%d changes, propagation median %.0f ms, p99 %.0f ms, maximum %.0f ms; %d not known to all",
			s.Count, s.MedianMS, s.P99MS, s.MaxMS, s.Unreached)
	}
	if count := len(o.DetectionTimes); count > 0 {
		late := countAbove(o.DetectionTimes, maxDetectionTime)
		longest := o.DetectionTimes[count-1] / monotime.Millisecond
		logObjective(t, late == 0,
			"%d deaths, detected after %d ms at most; %d after more than 5 s", count, longest, late)
	}
}

// logBurstObjective logs whether a burst is distributed evenly over the control members.
func logBurstObjective(t *testing.T, trigger, what string, d membership.Distribution) {
	if d.Total < minComparableMean*d.Running {
		t.Logf("too few to compare: %s: %s %+v", trigger, what, d)
		return
	}
	logObjective(t, d.Ratio() <= maxBurstRatio,
		"%s: %s %+v, maximum %.1f times the mean", trigger, what, d, d.Ratio())
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

// Without faults, the traffic of each attached front end at full size is at most maxRestGrowth times that in a fleet
// with 300 attached front ends.
func TestRestTrafficGrowthIsBounded(t *testing.T) {
	skipUnlessLong(t)
	rest := func(attached int) float64 {
		o, err := membership.Simulate(fullFleet(attached, "rest"))
		require.NoError(t, err)
		require.NoError(t, o.Err())
		return o.MeanRate
	}
	few, many := rest(300), rest(fullAttached)
	t.Logf("%.1f B/s with 300 attached front ends, %.1f with %d: ratio %.3f", few, many, fullAttached, many/few)
	assert.LessOrEqual(t, many, maxRestGrowth*few)
}
