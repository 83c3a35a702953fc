package membership

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

func smallShape() scale.Shape {
	return scale.Shape{FrontEnds: 12, Controls: 3, Zones: 3, Seconds: 10, Seed: 1}
}

// Events come by time, and those of one time in the order in which they were set.
func TestEventQueueOrdersByTimeThenSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.Int64Range(0, 20), 1, 200).Draw(t, "times")
		var q eventQueue
		for i, at := range times {
			q.push(event{at: at, sequence: uint64(i)})
			if rapid.Bool().Draw(t, "pop") {
				first := q.pop()
				for i := range q {
					require.True(t, first.before(&q[i]))
				}
			}
		}
		var last event
		for len(q) > 0 {
			next := q.pop()
			require.True(t, last.before(&next) || last.sequence == 0 && last.at == 0)
			last = next
		}
	})
}

// A heartbeat reads as it was written.
func TestControlHeartbeatRoundTrip(t *testing.T) {
	s := newSimulation(smallShape())
	h := controlHeartbeat{incarnation: 7, leaving: true, tableVersions: []byte("v")}
	set := startProcess(s, s.controlMembers[0]).control.monitor
	require.True(t, set.Observe(5*monotime.Second, "control-02", 9, 0, false, nil))
	set.Tick(6 * monotime.Second)
	h.reports = set.Reports()
	got, err := decodeControlHeartbeat(h.encode())
	require.NoError(t, err)
	assert.Equal(t, h, got)
}

func startProcess(s *simulation, p *member) *process {
	p.start()
	return p.process
}

// A false death, a past process that is seen again, and how long a change takes are seen by the truth.
func TestGroundTruthFindsWrongViews(t *testing.T) {
	s := newSimulation(smallShape())
	truth := s.groundTruth
	truth.startMeasuring()
	for _, p := range s.members[:5] {
		p.start()
	}
	sees := func(by, about int, order int, state membership.State) {
		truth.observe(s.members[by].process, s.members[about], newObservation(order, state))
	}
	sees(0, 4, 1, membership.Alive)
	s.now = 100 * monotime.Millisecond
	sees(1, 4, 1, membership.Alive)
	assert.Empty(t, truth.propagated, "a control member and an attached front end don't know yet")
	s.now = 250 * monotime.Millisecond
	sees(2, 4, 1, membership.Suspect)
	sees(3, 4, 1, membership.Alive)
	require.Len(t, truth.propagated, 1)
	assert.Equal(t, 250*monotime.Millisecond, truth.propagated[0].lastKnownAt-truth.propagated[0].detectedAt)
	assert.Zero(t, truth.falseDeaths.count)

	sees(1, 4, 1, membership.Dead)
	assert.Equal(t, 1, truth.falseDeaths.count)
	s.network.partitionedRegions[newUnorderedPair(0, 1)] = true
	sees(1, 4, 1, membership.Dead)
	assert.Equal(t, 2, truth.falseDeaths.count, "others still hear it")
	s.members[4].isolated = true
	sees(1, 4, 1, membership.Dead)
	assert.Equal(t, 2, truth.falseDeaths.count, "nobody can hear it")

	s.members[4].isolated = false
	s.members[4].crash(processCrash)
	s.members[4].start()
	sees(0, 4, 2, membership.Alive)
	assert.Zero(t, truth.resurrections.count)
	sees(0, 4, 1, membership.Alive)
	assert.Equal(t, 1, truth.resurrections.count)
	s.members[4].crash(processCrash)
	s.members[4].start()
	sees(2, 4, 3, membership.Alive)
	sees(2, 4, 2, membership.Alive)
	assert.Equal(t, 1, truth.resurrections.count)
	assert.Equal(t, 1, truth.outOfOrder.count, "it had never seen the second")
	sees(0, 4, 3, membership.Alive)
	assert.True(t, agrees(s.members[4], truth.observations[0][4]))
	assert.False(t, agrees(s.members[4], truth.observations[1][4]), "it sees the first process")
	assert.Contains(t, truth.describeDisagreements(), "control-01 sees control-02: not at all")
}

// A death that nobody saw before the next process was seen is no change to wait for.
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

// What ends while it is waited for is not waited for any more, and its end is not when the change was known.
func TestPropagationDelayIgnoresEndedProcesses(t *testing.T) {
	s := newSimulation(smallShape())
	s.groundTruth.startMeasuring()
	for _, p := range s.members[:4] {
		p.start()
	}
	s.now = 10 * monotime.Millisecond
	s.groundTruth.observe(s.members[0].process, s.members[1], newObservation(1, membership.Alive))
	s.now = 20 * monotime.Millisecond
	s.groundTruth.observe(s.members[2].process, s.members[1], newObservation(1, membership.Alive))
	s.now = 30 * monotime.Millisecond
	s.members[3].crash(processCrash)
	require.Len(t, s.groundTruth.propagated, 1)
	assert.Equal(t, 10*monotime.Millisecond, s.groundTruth.propagated[0].lastKnownAt-s.groundTruth.propagated[0].detectedAt)
}

// The first second counts from the first accept after the mark, over those that ran then.
func TestBurstCountsFirstSecondAfterTrigger(t *testing.T) {
	s := newSimulation(smallShape())
	for _, p := range s.controlMembers {
		p.startsAndEnds = []monotime.Micros{0}
	}
	s.controlMembers[2].startsAndEnds = []monotime.Micros{0, 4 * monotime.Second}
	s.controlMembers[0].burstTimes.accepts = []monotime.Micros{monotime.Second, 5 * monotime.Second, 6 * monotime.Second, 7 * monotime.Second}
	s.controlMembers[1].burstTimes.accepts = []monotime.Micros{5500 * monotime.Millisecond, 5600 * monotime.Millisecond, 5700 * monotime.Millisecond}
	s.now = 10 * monotime.Second
	s.triggers = []trigger{{"lost", 4 * monotime.Second}}
	list := s.bursts()
	require.Len(t, list, 1)
	assert.Equal(t, Load{Total: 4, Running: 2, Mean: 2, Most: 3}, list[0].Accepts)
	assert.InDelta(t, 1.5, list[0].Accepts.Ratio(), 1e-9)
	assert.Zero(t, list[0].Snapshots.Total)
}

// The account counts frames as package transport makes them, and hellos as framing.
func TestTrafficCountsFramesAndHandshakes(t *testing.T) {
	var f memberTraffic
	f.countReceived(kindView, 100)
	f.countReceived(kindView, 65<<10)
	f.countReceived(kindHello, handshakeSizes.hello)
	assert.Equal(t, trafficCount{2, 100 + 65<<10, 30}, f.received[kindView])
	assert.Equal(t, trafficCount{1, 0, int64(handshakeSizes.hello)}, f.received[kindHello])
	assert.Equal(t, 10, frameHeaderSize)
	assert.Greater(t, handshakeSizes.hello, 100)
}

// newOpenLink is a link between the first control member and the first attached front end, both of which run, and do nothing by
// themselves.
func newOpenLink(s *simulation) *link {
	front, control := startProcess(s, s.attachedFrontEnds[0]), startProcess(s, s.controlMembers[0])
	s.events = nil
	l := &link{sim: s, frontEnd: front, target: control.member, control: control, open: [2]bool{true, true}}
	front.frontEnd.links = append(front.frontEnd.links, l)
	control.control.openLinks = append(control.control.openLinks, l)
	control.control.linkByIncarnation[front.incarnation] = l
	return l
}

// A slow reader's queue is bounded: past it what waits is dropped, and the sender is told. Others wait for nothing.
func TestSlowReaderQueueIsBounded(t *testing.T) {
	s := newSimulation(smallShape())
	l := newOpenLink(s)
	s.attachedFrontEnds[0].readRate = 1000
	got := 0
	const size = 50 << 10
	for range 6 {
		assert.True(t, l.send(controlSide, kindView, size, func() { got++ }))
	}
	assert.False(t, l.send(controlSide, kindView, size, func() { got++ }))
	assert.True(t, l.send(controlSide, kindView, 10, func() { got++ }))
	require.NoError(t, s.advance(80*monotime.Second))
	assert.Equal(t, 2, got, "the one under way, and the one after the queue was dropped")
}

// What comes for a process that stands still waits in its system up to a bound, then at the sender; a link that takes nothing for
// long is closed.
func TestPausedReaderQueuesThenClosesLink(t *testing.T) {
	s := newSimulation(smallShape())
	l := newOpenLink(s)
	got := 0
	s.attachedFrontEnds[0].pause()
	for range 4 {
		s.scheduleAfter(0, func() { l.send(controlSide, kindView, 60<<10, func() { got++ }) })
		require.NoError(t, s.advance(100*monotime.Millisecond))
	}
	assert.Zero(t, got)
	assert.Len(t, l.streams[controlSide].queued, 1)
	s.attachedFrontEnds[0].resume()
	require.NoError(t, s.advance(100*monotime.Millisecond))
	assert.Equal(t, 4, got)

	s.attachedFrontEnds[0].pause()
	for range 5 {
		l.send(controlSide, kindView, 60<<10, func() {})
		require.NoError(t, s.advance(100*monotime.Millisecond))
	}
	require.NoError(t, s.advance(linkStallTimeout+monotime.Second))
	assert.False(t, l.open[controlSide])
}

// A process's end is seen at once at the other side of its links, a machine's after a silence.
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

// Cuts sever what they say and nothing else, and a heal ends them all.
func TestPartitionsAffectOnlyTheirMembers(t *testing.T) {
	s := newSimulation(scale.Shape{FrontEnds: 60, Controls: 20, Zones: 10, Seed: 1})
	n := &s.network
	inRegion := func(region int) *member {
		return filterMembers(s.attachedFrontEnds, func(m *member) bool { return m.region == region })[0]
	}
	n.partitionedRegions[newUnorderedPair(0, 1)] = true
	assert.True(t, n.partitioned(inRegion(1), inRegion(0)))
	assert.False(t, n.partitioned(inRegion(1), inRegion(2)))
	assert.True(t, n.indirectlyReachable(inRegion(1), inRegion(0)), "by way of others")
	s.controlMembers[3].isolatedFromAttached = true
	assert.True(t, n.partitioned(s.controlMembers[3], inRegion(4)))
	assert.False(t, n.partitioned(s.controlMembers[3], s.controlMembers[4]))
	n.partitionSide = func(p *member) bool { return p.region < 2 }
	assert.True(t, n.partitioned(inRegion(1), inRegion(5)))
	assert.False(t, n.indirectlyReachable(inRegion(1), inRegion(5)))
	n.partitionedMembers[newUnorderedPair(s.controlMembers[5].index, s.attachedFrontEnds[7].index)] = true
	assert.True(t, n.partitioned(s.attachedFrontEnds[7], s.controlMembers[5]))
	n.healPartitions()
	for _, p := range s.members {
		for _, o := range s.members {
			assert.False(t, n.partitioned(p, o))
		}
	}
}

// Messages of one connection arrive in their order, unless the network is told otherwise.
func TestStreamOrderUnlessReordering(t *testing.T) {
	play := func(reorder bool) (got []int) {
		s := newSimulation(smallShape())
		s.network.maxExtraDelay, s.network.reorder = 300*monotime.Millisecond, reorder
		var w stream
		for i := range 20 {
			s.transmit(&w, s.members[0], s.members[1], kindView, 1, func() { got = append(got, i) })
		}
		require.NoError(t, s.advance(monotime.Second))
		require.Len(t, got, 20)
		return got
	}
	assert.True(t, slices.IsSorted(play(false)))
	assert.False(t, slices.IsSorted(play(true)))
}

// A clock's time and the true one convert into each other.
func TestClockConversionRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		s := newSimulation(smallShape())
		s.random = rng
		q := startProcess(s, s.attachedFrontEnds[0])
		s.now = rng.Int64N(3600 * monotime.Second)
		again := q.simulationTime(q.localTime())
		assert.InDelta(t, s.now, again, 3)
	}
}
