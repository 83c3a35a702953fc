package budget_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chutechute/internal/monotime"
)

// Whatever fails, no more than the total is spent, and all replicas have the same state; once all faults have
// ended, the total is in use again.
func TestSumNeverExceedsTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		lease := monotime.Micros(rapid.SampledFrom([]int{300, 1000, 2000}).Draw(t, "lease")) * millisecond
		w, violations := runHistory(seed, lease, drawScript(t), defects{})
		require.Empty(t, violations)
		w.network.maxDelay = millisecond
		w.run(w.now + 10*millisecond)
		for _, r := range w.replicas {
			r.apply()
			require.Equal(t, w.replicas[0].authority.AppendSnapshot(nil), r.authority.AppendSnapshot(nil),
				"replicas differ")
		}
		if len(w.sets) == 1 && w.totalDemand() > 80 {
			require.Greater(t, w.shareInUse(w.newestSet.Lookup("rate"), 4*second), 0.7,
				"of the rate is in use in the end: queries come at random")
		}
	})
}

// Found by TestSumNeverExceedsTheWhole: a lease holder that had been paused came back after what it had in use was
// released, still counted it as in use, and was granted as much again.
func TestLeaseHolderBackAfterItsWorkWasReleased(t *testing.T) {
	_, violations := runHistory(0, 300*millisecond, []fault{
		{faultReplicasLost, 0, 0, 20 * millisecond},
		{faultRestart, 1, 4 * millisecond, 45 * millisecond},
		{faultStragglers, 3, 328 * millisecond, 89 * millisecond},
		{faultReplicasLost, 6, 0, 447 * millisecond},
		{faultPauseToo, 9, 6934 * millisecond, 6946 * millisecond},
		{faultRestart, 7, 1883 * millisecond, 4848 * millisecond},
	}, defects{})
	require.Empty(t, violations)
}

// Each broken variant exceeds a total, and the checks see it.
func TestChecksSeeBrokenVariants(t *testing.T) {
	for name, d := range map[string]defects{
		"a lease counted from the response":                     {leaseFromResponse: true},
		"work released when its lease expires":                  {releasesAtExpiry: true},
		"a division that ignores static allocations":            {ignoresStatic: true},
		"an authority that trusts its clock after a pause":      {trustsClock: true},
		"tokens that come with an allocation that grows":        {grantsTokens: true},
		"a grant confirmed before it is in force":               {appliesGrantsLate: true},
		"a lease holder that denies its lease":                  {deniesLease: true},
		"a lease holder that hides what it has in use":          {hidesUse: true},
		"a new authority that does not wait for an earlier one": {opensAtOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				script := randomFaults(seed)
				lease := []monotime.Micros{300 * millisecond, 1000 * millisecond, 2000 * millisecond}[seed%3]
				if d.leaseFromResponse {
					script, lease = slowResponsesThenPartitions(), 3*second
				}
				if _, violations := runHistory(seed, lease, script, d); len(violations) > 0 {
					t.Logf("seen at seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Error("nothing was seen")
		})
	}
}

// slowResponsesThenPartitions returns a script in which the responses to some front ends are slow, and then they are
// cut off: only that shows a lease that is counted from the response.
func slowResponsesThenPartitions() (script []fault) {
	for i := range 3 {
		script = append(script,
			fault{faultDelay, maxFrontEnds + i, 6 * second, 2800 * millisecond},
			fault{faultPartition, i, 8 * second, 7 * second})
	}
	return script
}
