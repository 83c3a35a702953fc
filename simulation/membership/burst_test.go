package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// A burst is counted from the first accepted connection after the trigger, over the control members that run at that
// time.
func TestBurstCountsFirstSecondAfterTrigger(t *testing.T) {
	s := newSimulation(smallShape())
	for _, m := range s.controlMembers {
		m.startsAndEnds = []monotime.Micros{0}
	}
	s.controlMembers[2].startsAndEnds = []monotime.Micros{0, 4 * monotime.Second}
	s.controlMembers[0].burstTimes.accepts = []monotime.Micros{
		1 * monotime.Second, 5 * monotime.Second, 6 * monotime.Second, 7 * monotime.Second,
	}
	s.controlMembers[1].burstTimes.accepts = []monotime.Micros{
		5500 * monotime.Millisecond, 5600 * monotime.Millisecond, 5700 * monotime.Millisecond,
	}
	s.now = 10 * monotime.Second
	s.triggers = []trigger{{"lost", 4 * monotime.Second}}
	bursts := s.bursts()
	require.Len(t, bursts, 1)
	assert.Equal(t, Distribution{Total: 4, Running: 2, Mean: 2, Max: 3}, bursts[0].Accepts)
	assert.InDelta(t, 1.5, bursts[0].Accepts.Ratio(), 1e-9)
	assert.Zero(t, bursts[0].Snapshots.Total)
}
