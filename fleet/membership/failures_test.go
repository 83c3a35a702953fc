package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A front end that dies is shown everywhere as Suspect and, within 5 s, as Dead. Within 2 s of its restart it is Alive
// again, and its earlier process is known to be superseded.
func TestDeathAndRestartOfAFrontEnd(t *testing.T) {
	f := newThreeZoneFleet(t, 2, 12)
	f.run(8 * second)
	c := f.client("f003")
	before := c.cfg.Incarnation
	f.stopClient(c)
	f.run(3500 * ms)
	for _, o := range f.clients {
		if o != c {
			e, _ := o.View().Lookup("f003")
			require.Equal(t, Suspect, e.State, o.cfg.Name)
			require.False(t, o.View().PresumedDead(before))
			require.False(t, o.View().Alive(before))
		}
	}
	f.run(1500 * ms)
	for _, o := range f.clients {
		if o != c {
			require.True(t, o.View().PresumedDead(before), o.cfg.Name)
			require.False(t, o.View().Superseded(before), "silence does not prove that the process has ended")
		}
	}
	f.restartClient(c)
	f.run(2 * second)
	f.requireAgreement()
	for _, o := range f.clients {
		if o != c {
			require.True(t, o.View().Superseded(before), o.cfg.Name)
			require.True(t, o.View().Alive(c.cfg.Incarnation))
		}
	}
}

// Three crashes and restarts of a front end within half a minute are not delayed by the rate limit of changes: each
// death is shown within 5 s, each restart within 3 s.
func TestRepeatedCrashesAreReportedInTime(t *testing.T) {
	f := newThreeZoneFleet(t, 2, 12)
	f.run(8 * second)
	c := f.client("f003")
	requireAtAll := func(check func(v *View) bool, description string) {
		t.Helper()
		for _, s := range f.servers {
			require.True(t, check(s.View()), "%s at %s", description, s.cfg.Name)
		}
		for _, o := range f.clients {
			require.True(t, o == c || check(o.View()), "%s at %s", description, o.cfg.Name)
		}
	}
	for i := range 3 {
		before := c.cfg.Incarnation
		f.stopClient(c)
		f.run(5 * second)
		requireAtAll(func(v *View) bool { return v.PresumedDead(before) }, fmt.Sprint("death ", i))
		f.restartClient(c)
		f.run(3 * second)
		requireAtAll(func(v *View) bool { return v.Alive(c.cfg.Incarnation) }, fmt.Sprint("start ", i))
		f.run(2 * second)
	}
	f.requireAgreement()
}

// When a home dies, its front ends stay Alive since they have a second lease. They take the view from the second slot
// without a snapshot, and find replacements among all control members of the other zones rather than at a single one.
func TestDeadHomeIsReplacedWithoutSnapshots(t *testing.T) {
	f := newThreeZoneFleet(t, 3, 60)
	f.run(10 * second)
	f.requireAgreement()
	home := f.serversByName["m00"]
	var moved []*testClient
	for _, c := range f.clients {
		if c.Home() == "m00" {
			moved = append(moved, c)
		}
	}
	require.Greater(t, len(moved), 4)
	snapshots := 0
	for _, c := range f.clients {
		snapshots -= c.Counters.Snapshots
	}
	notAlive := 0
	f.check = func() {
		for _, s := range f.servers[1:] {
			for _, c := range f.clients {
				if !s.View().Alive(c.cfg.Incarnation) {
					notAlive++
				}
			}
		}
	}
	f.stopServer(home)
	f.run(10 * second)
	f.requireAgreement()
	assert.Zero(t, notAlive, "times that a front end was not shown as Alive")
	for _, c := range f.clients {
		snapshots += c.Counters.Snapshots
		if slices.Contains(moved, c) {
			assert.Equal(t, 2, c.Counters.HomeChanges, "its first home, and one change")
		}
	}
	assert.Zero(t, snapshots, "the view is resumed from its digest, without a snapshot")
	targetCounts := map[string]int{}
	for _, c := range moved {
		require.Len(t, c.Targets(f.now), 2)
		for _, name := range c.Targets(f.now) {
			targetCounts[name]++
		}
		require.NotContains(t, c.Targets(f.now), "m01", "the zone's other control member is no replacement")
	}
	assert.Len(t, targetCounts, 4, "all control members of the other zones are used")

	f.check = func() {}
	requireFailback(t, f, home, moved)
}

// requireFailback starts a home again, and checks that its front ends return to it after failbackDelay and a jitter,
// and not earlier.
func requireFailback(t *testing.T, f *testFleet, home *testServer, moved []*testClient) {
	t.Helper()
	f.startServer(home)
	f.run(8 * second)
	for _, c := range moved {
		require.NotContains(t, c.Targets(f.now), "m00", "clients return only after failbackDelay")
	}
	f.run(failbackDelay + failbackJitter + 10*second)
	f.requireAgreement()
	for _, c := range moved {
		require.Equal(t, "m00", c.Home(), c.cfg.Name)
		require.Len(t, c.Targets(f.now), 2)
	}
}

// A control member that is partitioned from all its front ends, but not from the other control members, suspects
// itself. Front ends without another lease then become Suspect instead of Dead, and have time to attach elsewhere.
func TestHomeThatIsCutOffSuspectsItself(t *testing.T) {
	f := newTestFleet(t, 4, "za", "zb", "zc")
	for i := range 12 {
		f.attach(fmt.Sprintf("f%03d", i), []string{"za", "zb", "zc"}[i%3])
	}
	f.run(8 * second)
	f.requireAgreement()
	// The front ends of za lose both of their control members at once.
	isolated := map[string]bool{}
	for _, c := range f.clients {
		if c.cfg.Zone == "za" {
			isolated[c.cfg.Name] = true
		}
	}
	f.partitioned = func(from, to string) bool { return isolated[from] || isolated[to] }
	f.check = func() {
		for _, s := range f.servers {
			for _, c := range f.clients {
				require.False(t, s.View().PresumedDead(c.cfg.Incarnation), "%s at %s after %d ms", c.cfg.Name, s.cfg.Name, f.now/ms)
			}
		}
	}
	f.run(4500 * ms)
	f.partitioned = func(from, to string) bool {
		return (isolated[from] || isolated[to]) && (from == "m00" || to == "m00")
	}
	f.run(12 * second)
	require.NotZero(t, f.serversByName["m00"].Counters.SelfSuspicions)
	f.check = func() {}
	f.partitioned = func(_, _ string) bool { return false }
	f.run(60 * second)
	f.requireAgreement()
}

// The death of one of ten front ends does not make their home suspect itself. That of seven more does, and the
// self-suspicion ends after selfSuspicionTimeout.
func TestSelfSuspicionEnds(t *testing.T) {
	f := newTestFleet(t, 5, "za", "zb")
	for i := range 10 {
		f.attach(fmt.Sprintf("f%03d", i), "za")
	}
	f.run(6 * second)
	f.stopClient(f.clients[0])
	f.run(5 * second)
	require.True(t, f.servers[0].View().PresumedDead(f.clients[0].cfg.Incarnation))
	for _, c := range f.clients[1:8] {
		f.stopClient(c)
	}
	f.run(6 * second)
	for _, c := range f.clients[1:8] {
		require.False(t, f.servers[0].View().PresumedDead(c.cfg.Incarnation), "the home suspects itself")
	}
	f.run(selfSuspicionTimeout)
	for _, c := range f.clients[1:8] {
		require.True(t, f.servers[0].View().PresumedDead(c.cfg.Incarnation), "the self-suspicion has ended")
	}
	require.Equal(t, 1, f.servers[0].Counters.SelfSuspicions)
}

// The table entries of an absent home count as Suspect at first, and as Dead after absentHomeTimeout unless another
// home has a lease with the front end.
func TestEvidenceOfAnAbsentHomeExpires(t *testing.T) {
	f := newTestFleet(t, 6, "za", "zb", "zc")
	c := f.attach("f000", "za")
	f.run(5 * second)
	f.requireAgreement()
	home := f.serversByName[c.Home()]
	other := f.servers[slices.IndexFunc(f.servers, func(s *testServer) bool { return s.leasesByName["f000"] == nil })]
	for _, s := range f.servers {
		if s != other {
			f.stopServer(s)
		}
	}
	f.stopClient(c)
	f.run(second)
	e, _ := other.View().Lookup("f000")
	require.Equal(t, Suspect, e.State, "by the table entry of the absent home %s", home.cfg.Name)
	f.run(absentHomeTimeout - 2*second)
	e, _ = other.View().Lookup("f000")
	require.Equal(t, Suspect, e.State)
	f.run(2 * second)
	e, _ = other.View().Lookup("f000")
	require.Equal(t, Dead, e.State)
}

// When a zone is lost with its control members, the reports of the remaining homes that its front ends are Dead count
// more than the last reports of the lost homes, which show them Alive.
func TestFrontEndsOfALostZoneAreReportedDead(t *testing.T) {
	f := newTestFleet(t, 11, "za", "za", "zb", "zc")
	for i := range 6 { // too few for self-suspicion
		f.attach(fmt.Sprintf("f%03d", i), []string{"za", "zb"}[i%2])
	}
	f.run(8 * second)
	f.requireAgreement()
	f.stopServer(f.servers[0])
	f.stopServer(f.servers[1])
	for _, c := range f.clients {
		if c.cfg.Zone == "za" {
			f.stopClient(c)
		}
	}
	f.run(5 * second)
	for _, s := range f.servers[2:] {
		for _, c := range f.clients {
			require.Equal(t, c.cfg.Zone == "za", s.View().PresumedDead(c.cfg.Incarnation), "%s at %s", c.cfg.Name, s.cfg.Name)
		}
	}
}

// A lease that ended before the front end's other homes were lost does not prove that it is Dead: it had moved to one
// of them, and may be moving again.
func TestLeaseEndedBeforeTheHomeWasLostProvesNothing(t *testing.T) {
	f := newTestFleet(t, 12, "za", "zb", "zc")
	c := f.attach("f000", "za")
	f.run(8 * second)
	first := f.serversByName[c.Targets(f.now)[1]]
	f.partitioned = func(from, to string) bool { return from == "f000" && to == first.cfg.Name }
	f.run(20 * second)
	require.Equal(t, Dead, first.leasesByName["f000"].state)
	require.True(t, first.View().Alive(c.cfg.Incarnation))
	f.partitioned = func(from, to string) bool { return from == "f000" || to == "f000" }
	for _, s := range f.servers {
		if s != first {
			f.stopServer(s)
		}
	}
	f.run(7 * second)
	e, _ := first.View().Lookup("f000")
	require.Equal(t, Suspect, e.State)
	f.run(absentHomeTimeout)
	require.True(t, first.View().PresumedDead(c.cfg.Incarnation))
}

// When a home is lost, its front ends have the full timeout before they are Dead, even if their other home has not
// received a heartbeat for some time.
func TestLostHomeGivesTheFullTimeoutBeforeDeath(t *testing.T) {
	f := newTestFleet(t, 13, "za", "zb", "zc")
	c := f.attach("f000", "za")
	f.run(8 * second)
	home, other := f.serversByName[c.Targets(f.now)[0]], f.serversByName[c.Targets(f.now)[1]]
	f.partitioned = func(from, to string) bool { return from == "f000" && to == other.cfg.Name }
	f.run(2 * second)
	f.partitioned = func(from, to string) bool { return from == "f000" || to == "f000" }
	f.stopServer(home)
	f.run(3 * second)
	require.Equal(t, Dead, other.leasesByName["f000"].state)
	e, _ := other.View().Lookup("f000")
	require.Equal(t, Suspect, e.State)
	f.run(1200 * ms)
	require.True(t, other.View().PresumedDead(c.cfg.Incarnation))
}

// A front end that announced that it leaves stays Alive while its heartbeats arrive, and is Left once it is silent,
// without being Suspect first.
func TestLeavingFrontEndIsNeverSuspected(t *testing.T) {
	f := newThreeZoneFleet(t, 7, 6)
	f.run(6 * second)
	c := f.client("f001")
	c.Leave()
	f.run(3 * second)
	for _, s := range f.servers {
		require.True(t, s.View().Alive(c.cfg.Incarnation))
	}
	f.check = func() {
		for _, s := range f.servers {
			e, _ := s.View().Lookup("f001")
			require.Contains(t, []State{Alive, Left}, e.State)
		}
	}
	f.stopClient(c)
	f.run(4 * second)
	for _, o := range f.clients {
		if o != c {
			e, _ := o.View().Lookup("f001")
			require.Equal(t, Left, e.State, o.cfg.Name)
			require.True(t, o.View().PresumedDead(c.cfg.Incarnation))
		}
	}
}

// A control member that leaves announces it to its front ends, which attach elsewhere before it ends.
func TestFrontEndsMoveFromALeavingControlMember(t *testing.T) {
	f := newThreeZoneFleet(t, 8, 24)
	f.run(8 * second)
	home := f.serversByName["m02"]
	home.Leave()
	f.flushServer(home)
	f.run(3 * second)
	for _, c := range f.clients {
		require.NotContains(t, c.Targets(f.now), "m02")
		require.NotEqual(t, "m02", c.Home())
		require.Len(t, c.Targets(f.now), 2)
	}
	for _, c := range f.clients {
		require.True(t, f.servers[0].View().Alive(c.cfg.Incarnation))
	}
}

// A control member whose process was paused extends its leases by the pause: it received no heartbeats in that time,
// which proves nothing about its front ends.
func TestPausedServerExtendsTheLeases(t *testing.T) {
	f := newTestFleet(t, 9, "za", "zb")
	for i := range 3 { // too few for self-suspicion
		f.attach(fmt.Sprintf("f%03d", i), "za")
	}
	f.run(6 * second)
	s := f.servers[0]
	s.paused = true
	f.run(20 * second)
	for _, c := range f.clients {
		f.stopClient(c)
	}
	f.run(second)
	s.backlog = nil // what arrived during the pause is lost
	s.paused = false
	f.run(2 * second)
	require.Equal(t, 1, s.Counters.Pauses)
	for _, l := range s.leases {
		require.NotEqual(t, Dead, l.state, l.name)
	}
	f.run(5 * second)
	for _, l := range s.leases {
		require.Equal(t, Dead, l.state, l.name)
	}
}

// An attached front end whose process was paused knows by its own clock that its view is old, whatever is in its
// queues. Only the answer to a heartbeat that was sent after the pause makes the view current again.
func TestPausedClientKnowsThatItsViewIsOld(t *testing.T) {
	f := newThreeZoneFleet(t, 10, 6)
	f.run(6 * second)
	f.requireAgreement()
	c := f.clients[0]
	c.paused = true
	f.run(30 * second)
	other := f.clients[1]
	f.restartClient(other)
	f.run(5 * second)
	require.Less(t, 30*second, c.View().Age(f.now))
	// The queued messages are received before anything is sent; none of them makes the view current.
	backlog := c.backlog
	c.backlog = nil
	c.paused = false
	for _, do := range backlog {
		do()
	}
	require.Equal(t, 1, c.Counters.Pauses)
	require.Less(t, 30*second, c.View().Age(f.now))
	f.run(8 * second)
	f.requireAgreement()
	require.Zero(t, c.Counters.LostControlMembers, "the pause does not count as silence of the control members")
}
