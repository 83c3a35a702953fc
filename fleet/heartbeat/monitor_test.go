package heartbeat_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/fleet/heartbeat"
	"chutechute/internal/monotime"
)

const (
	ms           = monotime.Millisecond
	tickInterval = 100 * ms
)

func newMonitor() *heartbeat.Monitor {
	cfg := heartbeat.Config{SuspectAfter: 600 * ms, DeadAfter: 3000 * ms, PauseThreshold: 300 * ms}
	return heartbeat.NewMonitor(cfg, map[string]string{"b": "x", "c": "y"})
}

// run ticks the monitor from one time to another, and calls beforeTick with the time before each tick.
func run(m *heartbeat.Monitor, from, to monotime.Micros, beforeTick func(now monotime.Micros)) {
	for now := from; now <= to; now += tickInterval {
		beforeTick(now)
		m.Tick(now)
	}
}

func noHeartbeats(monotime.Micros) {}

// A peer whose heartbeats only other peers receive is indirectly alive. One whose heartbeats no front end receives is
// suspect and then dead. A single heartbeat makes it alive again.
func TestSilentPeerIsIndirectlyAliveThenSuspectThenDead(t *testing.T) {
	m := newMonitor()
	reported := true
	heartbeatsOfBoth := func(now monotime.Micros) {
		m.Observe(now, "b", 1, 0, false, nil)
		m.Observe(now, "c", 2, 0, false, []heartbeat.Report{{Name: "b", Incarnation: 1}})
	}
	heartbeatsOfC := func(now monotime.Micros) {
		var reports []heartbeat.Report
		if reported {
			reports = append(reports, heartbeat.Report{Name: "b", Incarnation: 1, Age: 50 * ms})
		}
		m.Observe(now, "c", 2, 0, false, reports)
	}
	run(m, 0, 1000*ms, heartbeatsOfBoth)
	assert.Equal(t, heartbeat.Alive, m.Lookup("b").State)
	run(m, 1100*ms, 6000*ms, heartbeatsOfC)
	assert.Equal(t, heartbeat.IndirectlyAlive, m.Lookup("b").State)
	assert.False(t, m.PresumedDead(1))
	reported = false
	run(m, 6100*ms, 7500*ms, heartbeatsOfC)
	assert.Equal(t, heartbeat.Suspect, m.Lookup("b").State)
	run(m, 7600*ms, 10500*ms, heartbeatsOfC)
	assert.Equal(t, heartbeat.Dead, m.Lookup("b").State)
	assert.True(t, m.PresumedDead(1))
	run(m, 10600*ms, 10700*ms, heartbeatsOfBoth)
	assert.Equal(t, heartbeat.Alive, m.Lookup("b").State)
	assert.False(t, m.PresumedDead(1))
}

// This process received no heartbeats while it was paused, which says nothing about its peers.
func TestPauseOfThisProcessSuspectsNobody(t *testing.T) {
	m := newMonitor()
	run(m, 0, 1000*ms, func(now monotime.Micros) { m.Observe(now, "b", 1, 0, false, nil) })
	m.Tick(20_000 * ms)
	assert.Equal(t, heartbeat.Alive, m.Lookup("b").State)
}

// A later process of a name supersedes the earlier one, and late heartbeats of the earlier one are ignored, whichever
// process's heartbeat arrives first.
func TestLaterIncarnationSupersedesTheEarlierOne(t *testing.T) {
	m := newMonitor()
	assert.True(t, m.Observe(100*ms, "b", 1, 50*ms, false, nil))
	assert.True(t, m.Observe(200*ms, "b", 2, 150*ms, false, nil))
	assert.False(t, m.Observe(300*ms, "b", 1, 50*ms, false, nil))
	assert.True(t, m.PresumedDead(1))
	assert.False(t, m.PresumedDead(2))
	m = newMonitor()
	assert.True(t, m.Observe(200*ms, "b", 2, 150*ms, false, nil))
	assert.False(t, m.Observe(300*ms, "b", 1, 50*ms, false, nil), "a late heartbeat of the earlier process")
	assert.Equal(t, uint64(2), m.Lookup("b").Incarnation)
}

// A peer that announced that it is leaving has left once it is silent, without being suspect first.
func TestLeavingPeerHasLeftOnceItIsSilent(t *testing.T) {
	m := newMonitor()
	run(m, 0, 500*ms, func(now monotime.Micros) { m.Observe(now, "b", 1, 0, now > 300*ms, nil) })
	run(m, 600*ms, 1300*ms, noHeartbeats)
	assert.Equal(t, heartbeat.Left, m.Lookup("b").State)
}

// A heartbeat that was buffered while this process was paused is received before the first tick after the pause. Its
// time of receipt must not be shifted by the pause: a peer that is silent from then on becomes suspect and dead after
// the usual time.
func TestHeartbeatRightAfterAPauseIsNotMovedIntoTheFuture(t *testing.T) {
	m := newMonitor()
	run(m, 0, 1000*ms, func(now monotime.Micros) { m.Observe(now, "b", 1, 0, false, nil) })
	const resumed = 11_000 * ms
	m.Observe(resumed, "b", 1, 0, false, nil)
	run(m, resumed, resumed+500*ms, noHeartbeats)
	assert.Equal(t, heartbeat.Alive, m.Lookup("b").State)
	run(m, resumed+600*ms, resumed+700*ms, noHeartbeats)
	assert.Equal(t, heartbeat.Suspect, m.Lookup("b").State)
	run(m, resumed+800*ms, resumed+3000*ms, noHeartbeats)
	assert.Equal(t, heartbeat.Dead, m.Lookup("b").State)
}
