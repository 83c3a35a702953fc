package membership

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// A partition blocks messages only across it, and healPartitions ends all partitions.
func TestPartitionsAffectOnlyTheirMembers(t *testing.T) {
	s := newSimulation(scale.Shape{FrontEnds: 60, Controls: 20, Zones: 10, Seed: 1})
	n := &s.network
	inRegion := func(region int) *member {
		return filterMembers(s.attachedFrontEnds, func(m *member) bool { return m.region == region })[0]
	}
	n.partitionedRegions[newUnorderedPair(0, 1)] = true
	assert.True(t, n.partitioned(inRegion(1), inRegion(0)))
	assert.False(t, n.partitioned(inRegion(1), inRegion(2)))
	assert.True(t, n.indirectlyReachable(inRegion(1), inRegion(0)), "through other members")
	s.controlMembers[3].isolatedFromAttached = true
	assert.True(t, n.partitioned(s.controlMembers[3], inRegion(4)))
	assert.False(t, n.partitioned(s.controlMembers[3], s.controlMembers[4]))
	n.partitionSide = func(m *member) bool { return m.region < 2 }
	assert.True(t, n.partitioned(inRegion(1), inRegion(5)))
	assert.False(t, n.indirectlyReachable(inRegion(1), inRegion(5)))
	n.partitionedMembers[newUnorderedPair(s.controlMembers[5].index, s.attachedFrontEnds[7].index)] = true
	assert.True(t, n.partitioned(s.attachedFrontEnds[7], s.controlMembers[5]))
	n.healPartitions()
	for _, from := range s.members {
		for _, to := range s.members {
			assert.False(t, n.partitioned(from, to))
		}
	}
}

// Messages of one stream arrive in order, unless the network reorders messages.
func TestStreamOrderUnlessReordering(t *testing.T) {
	arrivals := func(reorder bool) (got []int) {
		s := newSimulation(smallShape())
		s.network.maxExtraDelay, s.network.reorder = 300*monotime.Millisecond, reorder
		var st stream
		for i := range 20 {
			s.transmit(&st, s.members[0], s.members[1], kindView, 1, func() { got = append(got, i) })
		}
		require.NoError(t, s.advance(monotime.Second))
		require.Len(t, got, 20)
		return got
	}
	assert.True(t, slices.IsSorted(arrivals(false)))
	assert.False(t, slices.IsSorted(arrivals(true)))
}
