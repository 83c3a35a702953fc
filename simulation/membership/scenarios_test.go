package membership_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	fleetmembership "chutechute/fleet/membership"
	"chutechute/internal/golden"
	"chutechute/internal/scale"
	"chutechute/simulation/membership"
)

// Objectives of runs at any size.
const (
	maxRestRate   = 1000  // bytes per second, in and out of an attached front end without faults
	maxPeakRate   = 11000 // the same over the busiest ten seconds of any attached front end
	maxBurstRatio = 3     // of the busiest control member to the mean
	// minComparableMean is the mean count per control member below which the highest count is too random to check.
	minComparableMean = 4
	// maxObservedFlaps is for a member that flaps 80 times in four minutes: twenty changes without delay, then one
	// every 10 s, and a few afterwards.
	maxObservedFlaps = 50
)

// smallFleet returns the options of a fleet that is small enough for CI.
func smallFleet(faults string, seconds float64, seed uint64) membership.Options {
	return membership.Options{
		FrontEnds: 65,
		Controls:  5,
		Zones:     3,
		Seconds:   seconds,
		Seed:      seed,
		Faults:    faults,
	}
}

// smallSeconds sets shorter durations for the long scenarios.
var smallSeconds = map[string]float64{"rest": 30, "regions": 90, "split": 90, "lossy": 120}

// environmentNumber returns a number from an environment variable, or a default.
func environmentNumber(name string, defaultValue uint64) uint64 {
	if v, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return v
	}
	return defaultValue
}

// In every scenario all views converge, no process is observed again after a later one, and no running and reachable
// member is observed as dead unless the scenario allows it. CHUTECHUTE_HISTORIES sets the number of seeds,
// CHUTECHUTE_SEED the first seed.
func TestScenariosSmall(t *testing.T) {
	first := environmentNumber("CHUTECHUTE_SEED", 1)
	for _, scenario := range membership.Scenarios() {
		for seed := first; seed < first+environmentNumber("CHUTECHUTE_HISTORIES", 1); seed++ {
			name := fmt.Sprintf("%s/%d", scenario.Name, seed)
			t.Run(name, func(t *testing.T) { simulateSmall(t, scenario, seed) })
		}
	}
}

// digest returns a hash of all figures of an outcome, without their names.
func digest(o *membership.Outcome) string {
	h := sha256.New()
	fmt.Fprintln(h, o.FalseDeaths, o.Resurrections, o.OutOfOrder, len(o.Disagreements), o.ConvergenceTime,
		o.DetectionTimes, o.PropagationDelays,
		o.MeanRate, o.PeakRate, o.MaxObservedFlaps, o.FullQueues)
	for _, b := range o.Bursts {
		fmt.Fprintln(h, b.Accepts, b.Snapshots)
	}
	for _, r := range o.Result.Roles {
		fmt.Fprintln(h, r.Members, r.MessagesIn, r.MessagesOut, r.BytesIn, r.BytesOut, r.FramingIn, r.FramingOut,
			r.Connections)
	}
	for _, p := range o.Result.Points {
		fmt.Fprintln(h, p.X, slices.Sorted(maps.Values(p.Figures)))
	}
	return fmt.Sprintf("%x", h.Sum(nil))
}

// simulateSmall simulates a scenario at small size, and checks its outcome and for seed 1 its digest.
func simulateSmall(t *testing.T, scenario membership.Scenario, seed uint64) {
	o, err := membership.Simulate(smallFleet(scenario.Name, smallSeconds[scenario.Name], seed))
	require.NoError(t, err)
	require.NoError(t, o.Err())
	if seed == 1 {
		golden.Entry(t, "testdata/scenarios.txt", scenario.Name, digest(o))
	}
	assert.LessOrEqual(t, o.PeakRate, float64(maxPeakRate), "%s", o.PeakFrontEnd)
	if s := o.Result.Spread; s != nil {
		assert.Zero(t, s.Unreached)
	}
	for _, b := range o.Bursts {
		if b.Accepts.Total >= minComparableMean*b.Accepts.Running {
			assert.LessOrEqual(t, b.Accepts.Ratio(), float64(maxBurstRatio), "%+v", b)
		}
	}
	switch scenario.Name {
	case "rest", "lossy":
		assert.LessOrEqual(t, o.MeanRate, float64(maxRestRate))
	case "flap":
		assert.LessOrEqual(t, o.MaxObservedFlaps, maxObservedFlaps)
	case "slow":
		assert.Positive(t, o.FullQueues)
	case "trickle":
		assert.Positive(t, o.FullQueues)
	}
	// A message may be rejected, and its link closed, only if repairs of a view are lost or not read in time.
	harsh := scenario.Name == "trickle" || scenario.Name == "chaos"
	for err := range o.RejectedMessages {
		assert.True(t, harsh && strings.HasPrefix(err, fleetmembership.ErrDigestMismatch.Error()), err)
	}
}

// The same seed gives the same figures, and another seed gives different ones.
func TestSameSeedGivesSameFigures(t *testing.T) {
	figures := func(seed uint64) string {
		r, err := membership.Run(smallFleet("restarts", 20, seed))
		require.NoError(t, err)
		text, err := json.Marshal(r)
		require.NoError(t, err)
		return string(text)
	}
	first := figures(7)
	assert.Equal(t, first, figures(7))
	assert.NotEqual(t, first, figures(8))
}

// A script in the format of package scale is accepted, and each of its faults is injected. Invalid scripts and flags
// return typed errors.
func TestScriptOfFaultsIsInjected(t *testing.T) {
	const script = "1s kill control 1 for 8s; 2s restart 10% over 2s; " +
		"3s stop attached 3 for 10s; 14s cut zone b; 24s heal"
	o, err := membership.Simulate(smallFleet(script, 30, 3))
	require.NoError(t, err)
	require.NoError(t, o.Err())
	assert.Len(t, o.Bursts, 4)
	var invalidScript *scale.ScriptError
	_, err = membership.Run(smallFleet("1s kill control 9", 30, 3))
	assert.ErrorAs(t, err, &invalidScript)
	_, err = membership.Run(smallFleet("1s burn", 30, 3))
	assert.ErrorAs(t, err, &invalidScript)
	var invalidFlag *scale.FlagError
	_, err = membership.Run(smallFleet("", -1, 3))
	assert.ErrorAs(t, err, &invalidFlag)
}
