package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// The ground truth finds false deaths and processes that are observed after later ones, and measures propagation
// delays.
func TestGroundTruthFindsWrongViews(t *testing.T) {
	s := newSimulation(smallShape())
	groundTruth := s.groundTruth
	groundTruth.startMeasuring()
	for _, m := range s.members[:5] {
		m.start()
	}
	observe := func(observer, subject int, generation int, state membership.State) {
		groundTruth.observe(s.members[observer].process, s.members[subject], newObservation(generation, state))
	}
	observe(0, 4, 1, membership.Alive)
	s.now = 100 * monotime.Millisecond
	observe(1, 4, 1, membership.Alive)
	assert.Empty(t, groundTruth.propagated, "one control member and one attached front end do not know yet")
	s.now = 250 * monotime.Millisecond
	observe(2, 4, 1, membership.Suspect)
	observe(3, 4, 1, membership.Alive)
	require.Len(t, groundTruth.propagated, 1)
	c := groundTruth.propagated[0]
	assert.Equal(t, 250*monotime.Millisecond, c.lastKnownAt-c.detectedAt)
	assert.Zero(t, groundTruth.falseDeaths.count)

	observe(1, 4, 1, membership.Dead)
	assert.Equal(t, 1, groundTruth.falseDeaths.count)
	s.network.partitionedRegions[newUnorderedPair(0, 1)] = true
	observe(1, 4, 1, membership.Dead)
	assert.Equal(t, 2, groundTruth.falseDeaths.count, "others can still receive from it")
	s.members[4].isolated = true
	observe(1, 4, 1, membership.Dead)
	assert.Equal(t, 2, groundTruth.falseDeaths.count, "no member can receive from it")

	s.members[4].isolated = false
	s.members[4].crash(processCrash)
	s.members[4].start()
	observe(0, 4, 2, membership.Alive)
	assert.Zero(t, groundTruth.resurrections.count)
	observe(0, 4, 1, membership.Alive)
	assert.Equal(t, 1, groundTruth.resurrections.count)
	s.members[4].crash(processCrash)
	s.members[4].start()
	observe(2, 4, 3, membership.Alive)
	observe(2, 4, 2, membership.Alive)
	assert.Equal(t, 1, groundTruth.resurrections.count)
	assert.Equal(t, 1, groundTruth.outOfOrder.count, "it had not observed the second process before")
	observe(0, 4, 3, membership.Alive)
	assert.True(t, agrees(s.members[4], groundTruth.observations[0][4]))
	assert.False(t, agrees(s.members[4], groundTruth.observations[1][4]), "it observes the first process")
	assert.Contains(t, groundTruth.describeDisagreements(), "control-01 sees control-02: not at all")
}

// A death that no member observes before the next process starts is not a change to wait for.
func TestUnobservedDeathIsSupersededByRestart(t *testing.T) {
	s := newSimulation(smallShape())
	s.groundTruth.startMeasuring()
	s.members[0].start()
	s.members[1].start()
	s.members[1].crash(processCrash)
	s.members[1].start()
	s.groundTruth.observe(s.members[0].process, s.members[1], newObservation(2, membership.Alive))
	require.Len(t, s.groundTruth.propagated, 1)
	assert.Equal(t, changeStarted, s.groundTruth.propagated[0].kind)
	assert.Equal(t, 2, s.groundTruth.propagated[0].generation)
	assert.Zero(t, s.groundTruth.unreached())
}

// A process that ends is no longer awaited by open changes, and its end does not extend their propagation delays.
func TestPropagationDelayIgnoresEndedProcesses(t *testing.T) {
	s := newSimulation(smallShape())
	s.groundTruth.startMeasuring()
	for _, m := range s.members[:4] {
		m.start()
	}
	s.now = 10 * monotime.Millisecond
	s.groundTruth.observe(s.members[0].process, s.members[1], newObservation(1, membership.Alive))
	s.now = 20 * monotime.Millisecond
	s.groundTruth.observe(s.members[2].process, s.members[1], newObservation(1, membership.Alive))
	s.now = 30 * monotime.Millisecond
	s.members[3].crash(processCrash)
	require.Len(t, s.groundTruth.propagated, 1)
	c := s.groundTruth.propagated[0]
	assert.Equal(t, 10*monotime.Millisecond, c.lastKnownAt-c.detectedAt)
}
