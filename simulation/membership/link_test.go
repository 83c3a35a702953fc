package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// newOpenLink returns a link between the first control member and the first attached front end. Both processes run,
// but have no scheduled events.
func newOpenLink(s *simulation) *link {
	frontEnd := startProcess(s, s.attachedFrontEnds[0])
	control := startProcess(s, s.controlMembers[0])
	s.events = nil
	l := &link{sim: s, frontEnd: frontEnd, target: control.member, control: control, open: [2]bool{true, true}}
	frontEnd.frontEnd.links = append(frontEnd.frontEnd.links, l)
	control.control.openLinks = append(control.control.openLinks, l)
	control.control.linkByIncarnation[frontEnd.incarnation] = l
	return l
}

// The queue for a slow reader is bounded: a message beyond the limit drops the whole queue, and send returns false.
func TestSlowReaderQueueIsBounded(t *testing.T) {
	s := newSimulation(smallShape())
	l := newOpenLink(s)
	s.attachedFrontEnds[0].readRate = 1000
	delivered := 0
	const size = 50 << 10
	for range 6 {
		assert.True(t, l.send(controlSide, kindView, size, func() { delivered++ }))
	}
	assert.False(t, l.send(controlSide, kindView, size, func() { delivered++ }))
	assert.True(t, l.send(controlSide, kindView, 10, func() { delivered++ }))
	require.NoError(t, s.advance(80*monotime.Second))
	assert.Equal(t, 2, delivered, "the message already sent, and the one sent after the queue was dropped")
}

// Messages to a paused process wait in the buffer of its operating system up to a limit, then in the sender's queue. A
// link whose queue makes no progress for linkStallTimeout is closed.
func TestPausedReaderQueuesThenClosesLink(t *testing.T) {
	s := newSimulation(smallShape())
	l := newOpenLink(s)
	delivered := 0
	s.attachedFrontEnds[0].pause()
	for range 4 {
		s.scheduleAfter(0, func() { l.send(controlSide, kindView, 60<<10, func() { delivered++ }) })
		require.NoError(t, s.advance(100*monotime.Millisecond))
	}
	assert.Zero(t, delivered)
	assert.Len(t, l.streams[controlSide].queued, 1)
	s.attachedFrontEnds[0].resume()
	require.NoError(t, s.advance(100*monotime.Millisecond))
	assert.Equal(t, 4, delivered)

	s.attachedFrontEnds[0].pause()
	for range 5 {
		l.send(controlSide, kindView, 60<<10, func() {})
		require.NoError(t, s.advance(100*monotime.Millisecond))
	}
	require.NoError(t, s.advance(linkStallTimeout+monotime.Second))
	assert.False(t, l.open[controlSide])
}

// If a process crashes, the other end of its link closes it at once; if a machine crashes, after linkSilenceTimeout.
func TestLinkCloseAfterProcessOrMachineCrash(t *testing.T) {
	for _, scope := range []crashScope{processCrash, machineCrash} {
		s := newSimulation(smallShape())
		l := newOpenLink(s)
		s.controlMembers[0].crash(scope)
		require.NoError(t, s.advance(monotime.Second))
		assert.Equal(t, scope == machineCrash, l.open[frontEndSide])
		require.NoError(t, s.advance(linkSilenceTimeout))
		assert.False(t, l.open[frontEndSide])
	}
}
