package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A front end that dies is Suspect and then Dead everywhere within 5 s; one that restarts is Alive at once, and its
// earlier process has certainly ended.
func TestDeathAndRestartOfAFrontEnd(t *testing.T) {
	r := fleet(t, 2, 12)
	r.run(8 * second)
	c := r.client("f003")
	before := c.cfg.Incarnation
	r.halt(c)
	r.run(3500 * ms)
	for _, o := range r.clients {
		if o != c {
			e, _ := o.View().Lookup("f003")
			require.Equal(t, Suspect, e.State, o.cfg.Name)
			require.False(t, o.View().PresumedDead(before))
			require.False(t, o.View().Alive(before))
		}
	}
	r.run(1500 * ms)
	for _, o := range r.clients {
		if o != c {
			require.True(t, o.View().PresumedDead(before), o.cfg.Name)
			require.False(t, o.View().Superseded(before), "silence alone is not certain")
		}
	}
	r.restart(c)
	r.run(2 * second)
	r.requireAgreement()
	for _, o := range r.clients {
		if o != c {
			require.True(t, o.View().Superseded(before), o.cfg.Name)
			require.True(t, o.View().Alive(c.cfg.Incarnation))
		}
	}
}

// A front end that crashes and restarts a few times a minute is reported in time each time: its death in 5 s, its
// restart in 3 s.
func TestRepeatedCrashesAreReportedInTime(t *testing.T) {
	r := fleet(t, 2, 12)
	r.run(8 * second)
	c := r.client("f003")
	everyone := func(check func(v *View) bool, what string) {
		t.Helper()
		for _, s := range r.servers {
			require.True(t, check(s.View()), "%s at %s", what, s.cfg.Name)
		}
		for _, o := range r.clients {
			require.True(t, o == c || check(o.View()), "%s at %s", what, o.cfg.Name)
		}
	}
	for i := range 3 {
		before := c.cfg.Incarnation
		r.halt(c)
		r.run(5 * second)
		everyone(func(v *View) bool { return v.PresumedDead(before) }, fmt.Sprint("death ", i))
		r.restart(c)
		r.run(3 * second)
		everyone(func(v *View) bool { return v.Alive(c.cfg.Incarnation) }, fmt.Sprint("start ", i))
		r.run(2 * second)
	}
	r.requireAgreement()
}

// Front ends whose home dies are seen alive all the time, as they have another lease; their view continues from the
// second slot without a snapshot; and they spread over all control members instead of all going to one.
func TestDeadHomeIsReplacedWithoutSnapshots(t *testing.T) {
	r := fleet(t, 3, 60)
	r.run(10 * second)
	r.requireAgreement()
	home := r.names["m00"]
	var moved []*rigClient
	for _, c := range r.clients {
		if c.Home() == "m00" {
			moved = append(moved, c)
		}
	}
	require.Greater(t, len(moved), 4)
	snapshots := 0
	for _, c := range r.clients {
		snapshots -= c.Counters.Snapshots
	}
	dead := 0
	r.check = func() {
		for _, s := range r.servers[1:] {
			for _, c := range r.clients {
				if !s.View().Alive(c.cfg.Incarnation) {
					dead++
				}
			}
		}
	}
	r.stop(home)
	r.run(10 * second)
	r.requireAgreement()
	assert.Zero(t, dead, "a front end that was not seen alive")
	for _, c := range r.clients {
		snapshots += c.Counters.Snapshots
		if slices.Contains(moved, c) {
			assert.Equal(t, 2, c.Counters.HomeChanges, "its first, and one")
		}
	}
	assert.Zero(t, snapshots, "the view is resumed by its digest")
	to := map[string]int{}
	for _, c := range moved {
		require.Len(t, c.Targets(r.now), 2)
		for _, name := range c.Targets(r.now) {
			to[name]++
		}
		require.NotContains(t, c.Targets(r.now), "m01", "the zone's other one is spared")
	}
	assert.Len(t, to, 4, "spread over all of the other zones")

	r.check = func() {}
	requireReturn(t, r, home, moved)
}

// requireReturn starts a home again and checks that its front ends return to it, spread over time.
func requireReturn(t *testing.T, r *rig, home *rigServer, moved []*rigClient) {
	t.Helper()
	r.start(home)
	r.run(8 * second)
	for _, c := range moved {
		require.NotContains(t, c.Targets(r.now), "m00", "only once it is back for a while")
	}
	r.run(failbackDelay + failbackJitter + 10*second)
	r.requireAgreement()
	for _, c := range moved {
		require.Equal(t, "m00", c.Home(), c.cfg.Name)
		require.Len(t, c.Targets(r.now), 2)
	}
}

// A control member that is cut off from all its front ends, and not from the rest, suspects itself: those that have no
// other lease are Suspect, not Dead, and have the time to attach elsewhere.
func TestHomeThatIsCutOffSuspectsItself(t *testing.T) {
	r := newRig(t, 4, "za", "zb", "zc")
	for i := range 12 {
		r.attach(fmt.Sprintf("f%03d", i), []string{"za", "zb", "zc"}[i%3])
	}
	r.run(8 * second)
	r.requireAgreement()
	// Both control members of the front ends of za are cut off from them at once.
	cut := map[string]bool{}
	for _, c := range r.clients {
		if c.cfg.Zone == "za" {
			cut[c.cfg.Name] = true
		}
	}
	r.cut = func(from, to string) bool { return cut[from] || cut[to] }
	r.check = func() {
		for _, s := range r.servers {
			for _, c := range r.clients {
				require.False(t, s.View().PresumedDead(c.cfg.Incarnation), "%s at %s after %d ms", c.cfg.Name, s.cfg.Name, r.now/ms)
			}
		}
	}
	r.run(4500 * ms)
	r.cut = func(from, to string) bool { return (cut[from] || cut[to]) && (from == "m00" || to == "m00") }
	r.run(12 * second)
	require.NotZero(t, r.names["m00"].Counters.SelfSuspicions)
	r.check = func() {}
	r.cut = func(_, _ string) bool { return false }
	r.run(60 * second)
	r.requireAgreement()
}

// One or two front ends that die are no reason for self-suspicion; and self-suspicion ends.
func TestSelfSuspicionEnds(t *testing.T) {
	r := newRig(t, 5, "za", "zb")
	for i := range 10 {
		r.attach(fmt.Sprintf("f%03d", i), "za")
	}
	r.run(6 * second)
	r.halt(r.clients[0])
	r.run(5 * second)
	require.True(t, r.servers[0].View().PresumedDead(r.clients[0].cfg.Incarnation))
	for _, c := range r.clients[1:8] {
		r.halt(c)
	}
	r.run(6 * second)
	for _, c := range r.clients[1:8] {
		require.False(t, r.servers[0].View().PresumedDead(c.cfg.Incarnation), "the home suspects itself")
	}
	r.run(selfSuspicionTimeout)
	for _, c := range r.clients[1:8] {
		require.True(t, r.servers[0].View().PresumedDead(c.cfg.Incarnation), "the self-suspicion has ended")
	}
	require.Equal(t, 1, r.servers[0].Counters.SelfSuspicions)
}

// The table entries of a dead home expire: they are Suspect at first, and Dead after a further timeout, unless another
// home has them.
func TestEvidenceOfAnAbsentHomeExpires(t *testing.T) {
	r := newRig(t, 6, "za", "zb", "zc")
	c := r.attach("f000", "za")
	r.run(5 * second)
	r.requireAgreement()
	home := r.names[c.Home()]
	other := r.servers[slices.IndexFunc(r.servers, func(s *rigServer) bool { return s.leasesByName["f000"] == nil })]
	for _, s := range r.servers {
		if s != other {
			r.stop(s)
		}
	}
	r.halt(c)
	r.run(second)
	e, _ := other.View().Lookup("f000")
	require.Equal(t, Suspect, e.State, "the evidence of %s", home.cfg.Name)
	r.run(absentHomeTimeout - 2*second)
	e, _ = other.View().Lookup("f000")
	require.Equal(t, Suspect, e.State)
	r.run(2 * second)
	e, _ = other.View().Lookup("f000")
	require.Equal(t, Dead, e.State)
}

// If a zone is lost with its control members, the other homes' reports that its front ends are Dead count more than
// the last reports of the lost homes.
func TestFrontEndsOfALostZoneAreReportedDead(t *testing.T) {
	r := newRig(t, 11, "za", "za", "zb", "zc")
	for i := range 6 { // too few for self-suspicion
		r.attach(fmt.Sprintf("f%03d", i), []string{"za", "zb"}[i%2])
	}
	r.run(8 * second)
	r.requireAgreement()
	r.stop(r.servers[0])
	r.stop(r.servers[1])
	for _, c := range r.clients {
		if c.cfg.Zone == "za" {
			r.halt(c)
		}
	}
	r.run(5 * second)
	for _, s := range r.servers[2:] {
		for _, c := range r.clients {
			require.Equal(t, c.cfg.Zone == "za", s.View().PresumedDead(c.cfg.Incarnation), "%s at %s", c.cfg.Name, s.cfg.Name)
		}
	}
}

// A lease that ended before the later homes were lost proves nothing: that front end may be moving.
func TestLeaseEndedBeforeTheHomeWasLostProvesNothing(t *testing.T) {
	r := newRig(t, 12, "za", "zb", "zc")
	c := r.attach("f000", "za")
	r.run(8 * second)
	first := r.names[c.Targets(r.now)[1]]
	r.cut = func(from, to string) bool { return from == "f000" && to == first.cfg.Name }
	r.run(20 * second)
	require.Equal(t, Dead, first.leasesByName["f000"].state)
	require.True(t, first.View().Alive(c.cfg.Incarnation))
	r.cut = func(from, to string) bool { return from == "f000" || to == "f000" }
	for _, s := range r.servers {
		if s != first {
			r.stop(s)
		}
	}
	r.run(7 * second)
	e, _ := first.View().Lookup("f000")
	require.Equal(t, Suspect, e.State)
	r.run(absentHomeTimeout)
	require.True(t, first.View().PresumedDead(c.cfg.Incarnation))
}

// A front end that its other home has not seen for long has, since its home was lost, as much time as any before it is
// Dead.
func TestLostHomeGivesTheFullTimeoutBeforeDeath(t *testing.T) {
	r := newRig(t, 13, "za", "zb", "zc")
	c := r.attach("f000", "za")
	r.run(8 * second)
	home, other := r.names[c.Targets(r.now)[0]], r.names[c.Targets(r.now)[1]]
	r.cut = func(from, to string) bool { return from == "f000" && to == other.cfg.Name }
	r.run(2 * second)
	r.cut = func(from, to string) bool { return from == "f000" || to == "f000" }
	r.stop(home)
	r.run(3 * second)
	require.Equal(t, Dead, other.leasesByName["f000"].state)
	e, _ := other.View().Lookup("f000")
	require.Equal(t, Suspect, e.State)
	r.run(1200 * ms)
	require.True(t, other.View().PresumedDead(c.cfg.Incarnation))
}

// A front end that leaves is Alive while it is seen, and Left once it is silent, without being Suspect first.
func TestLeavingFrontEndIsNeverSuspected(t *testing.T) {
	r := fleet(t, 7, 6)
	r.run(6 * second)
	c := r.client("f001")
	c.Leave()
	r.run(3 * second)
	for _, s := range r.servers {
		require.True(t, s.View().Alive(c.cfg.Incarnation))
	}
	r.check = func() {
		for _, s := range r.servers {
			e, _ := s.View().Lookup("f001")
			require.Contains(t, []State{Alive, Left}, e.State)
		}
	}
	r.halt(c)
	r.run(4 * second)
	for _, o := range r.clients {
		if o != c {
			e, _ := o.View().Lookup("f001")
			require.Equal(t, Left, e.State, o.cfg.Name)
			require.True(t, o.View().PresumedDead(c.cfg.Incarnation))
		}
	}
}

// A control member that leaves announces it to its front ends, which go elsewhere before it ends.
func TestFrontEndsMoveFromALeavingControlMember(t *testing.T) {
	r := fleet(t, 8, 24)
	r.run(8 * second)
	home := r.names["m02"]
	home.Leave()
	r.flushServer(home)
	r.run(3 * second)
	for _, c := range r.clients {
		require.NotContains(t, c.Targets(r.now), "m02")
		require.NotEqual(t, "m02", c.Home())
		require.Len(t, c.Targets(r.now), 2)
	}
	for _, c := range r.clients {
		require.True(t, r.servers[0].View().Alive(c.cfg.Incarnation))
	}
}

// A control member that was stopped received nothing, which proves nothing about its front ends; the same holds at
// those that saw it stopped.
func TestPausedServerExtendsTheLeases(t *testing.T) {
	r := newRig(t, 9, "za", "zb")
	for i := range 3 { // too few for self-suspicion
		r.attach(fmt.Sprintf("f%03d", i), "za")
	}
	r.run(6 * second)
	s := r.servers[0]
	s.paused = true
	r.run(20 * second)
	for _, c := range r.clients {
		r.halt(c)
	}
	r.run(second)
	s.backlog = nil // what came meanwhile is lost
	s.paused = false
	r.run(2 * second)
	require.Equal(t, 1, s.Counters.Pauses)
	for _, l := range s.leases {
		require.NotEqual(t, Dead, l.state, l.name)
	}
	r.run(5 * second)
	for _, l := range s.leases {
		require.Equal(t, Dead, l.state, l.name)
	}
}

// An attached front end that was stopped knows by its own clock that its view is old, whatever is in its queues, until
// its home has answered a heartbeat that was sent since.
func TestPausedClientKnowsThatItsViewIsOld(t *testing.T) {
	r := fleet(t, 10, 6)
	r.run(6 * second)
	r.requireAgreement()
	c := r.clients[0]
	c.paused = true
	r.run(30 * second)
	other := r.clients[1]
	r.restart(other)
	r.run(5 * second)
	require.Less(t, 30*second, c.View().Age(r.now))
	// What is queued is received before anything is sent: none of it makes the view current.
	list := c.backlog
	c.backlog = nil
	c.paused = false
	for _, do := range list {
		do()
	}
	require.Equal(t, 1, c.Counters.Pauses)
	require.Less(t, 30*second, c.View().Age(r.now))
	r.run(8 * second)
	r.requireAgreement()
	require.Zero(t, c.Counters.LostControlMembers, "its control members were not silent")
}
