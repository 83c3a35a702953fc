package budget_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chutechute/internal/monotime"
)

// Under random faults, no more than the total is spent and all replicas reach the same state. Once all faults have
// ended, most of the total is in use again.
func TestSumNeverExceedsTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		lease := monotime.Micros(rapid.SampledFrom([]int{300, 1000, 2000}).Draw(t, "lease")) * millisecond
		s, violations := runWithFaults(seed, lease, drawFaults(t), mutations{})
		require.Empty(t, violations)
		s.network.maxDelay = millisecond
		s.run(s.now + 10*millisecond)
		for _, r := range s.replicas {
			r.apply()
			require.Equal(t, s.replicas[0].authority.AppendSnapshot(nil), r.authority.AppendSnapshot(nil),
				"replicas differ")
		}
		if len(s.sets) == 1 && s.totalDemand() > 80 {
			require.Greater(t, s.shareInUse(s.newestSet.Lookup("rate"), 4*second), 0.7,
				"share of the rate in use at the end; queries arrive at random")
		}
	})
}

// Found by TestSumNeverExceedsTheWhole: a lease holder resumed from a pause after the authority had released what it
// had in use. It still counted that as in use, and was granted as much again.
func TestLeaseHolderBackAfterItsWorkWasReleased(t *testing.T) {
	_, violations := runWithFaults(0, 300*millisecond, []fault{
		{faultReplicasLost, 0, 0, 20 * millisecond},
		{faultRestart, 1, 4 * millisecond, 45 * millisecond},
		{faultStragglers, 3, 328 * millisecond, 89 * millisecond},
		{faultReplicasLost, 6, 0, 447 * millisecond},
		{faultPauseRepeated, 9, 6934 * millisecond, 6946 * millisecond},
		{faultRestart, 7, 1883 * millisecond, 4848 * millisecond},
	}, mutations{})
	require.Empty(t, violations)
}

// Each mutation leads to a violation of a total that the checks detect.
func TestChecksDetectMutations(t *testing.T) {
	for name, m := range map[string]mutations{
		"a lease counted from the response":                     {leaseFromResponse: true},
		"work released when its lease expires":                  {releasesAtExpiry: true},
		"a division that ignores static allocations":            {ignoresStatic: true},
		"an authority that trusts its clock after a pause":      {trustsClock: true},
		"tokens that come with an allocation that grows":        {grantsTokens: true},
		"a grant confirmed before it is in force":               {appliesGrantsLate: true},
		"a lease holder that denies its lease":                  {reportsNoLease: true},
		"a lease holder that hides what it has in use":          {reportsNoUse: true},
		"a new authority that does not wait for an earlier one": {opensImmediately: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				faults := randomFaults(seed)
				lease := []monotime.Micros{300 * millisecond, 1000 * millisecond, 2000 * millisecond}[seed%3]
				if m.leaseFromResponse {
					faults, lease = slowResponsesThenPartitions(), 3*second
				}
				if _, violations := runWithFaults(seed, lease, faults, m); len(violations) > 0 {
					t.Logf("detected with seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Error("no violation was detected")
		})
	}
}

// slowResponsesThenPartitions returns faults that delay the responses to some front ends and then partition these front
// ends. Other faults do not reveal a lease that is counted from the response.
func slowResponsesThenPartitions() (faults []fault) {
	for i := range 3 {
		faults = append(faults,
			fault{faultDelay, maxFrontEnds + i, 6 * second, 2800 * millisecond},
			fault{faultPartition, i, 8 * second, 7 * second})
	}
	return faults
}
