package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// A front end that has been Dead for retentionTime is removed from its home's table and from all views, and may attach
// again.
func TestEndedFrontEndsAreRemovedAndMayReturn(t *testing.T) {
	r := newThreeServers(t)
	r.servers["m0"].LinkOpened(r.now, r.link("f", 7))
	r.run(retentionTime - second)
	r.requireState("f", 7, Dead)
	r.run(8 * second)
	for _, c := range threeControls {
		s := r.servers[c.Name]
		_, ok := s.View().Lookup("f")
		require.False(t, ok, c.Name)
		require.True(t, s.View().PresumedDead(7), c.Name)
		require.Len(t, s.names, 3, c.Name)
	}
	require.Empty(t, r.servers["m0"].leases)
	require.Empty(t, r.servers["m0"].leasesByName)
	require.Empty(t, r.servers["m0"].ownTable.entries)
	r.servers["m0"].LinkOpened(r.now, r.link("f", 7))
	r.run(200 * ms)
	r.requireState("f", 7, Alive)
	require.False(t, r.servers["m1"].View().PresumedDead(7))
}

// However often a control member restarts, the others retain a bounded number of its tables.
func TestTablesOfARestartingHomeAreBounded(t *testing.T) {
	r := newThreeServers(t)
	for i := range uint64(20) {
		r.startProcess("m0", 2000+i)
		r.run(100 * ms)
		r.servers["m0"].LinkOpened(r.now, r.link(fmt.Sprintf("f%02d", i), 100+i))
		r.run(300 * ms)
	}
	s := r.servers["m1"]
	require.LessOrEqual(t, len(s.membersByName["m0"].tables), maxTablesPerHome+1)
	require.LessOrEqual(t, s.View().Len(), 3+maxTablesPerHome+1)
	require.True(t, s.View().Alive(119))
}

// Answers to pulls are rate limited for each control member and table.
func TestPullAnswersAreRateLimited(t *testing.T) {
	r := newThreeServers(t)
	s := r.servers["m0"]
	s.LinkOpened(r.now, r.link("f", 7))
	r.run(100 * ms)
	p := pullMessage{home: "m0", epoch: 1000, full: true}
	for range 100 {
		require.NoError(t, s.ReceiveFromControl(r.now, "m1", 1001, TablePull, p.encode()))
	}
	require.Len(t, s.TakeMessages(), 3)
	require.NoError(t, s.ReceiveFromControl(r.now, "m2", 1002, TablePull, p.encode()))
	require.Len(t, s.TakeMessages(), 1, "another control member is not delayed")
}

// The bytes of snapshots that are sent to one name are rate limited over all its processes, and its last process gets a
// snapshot in the end.
func TestSnapshotBytesOfANameAreLimited(t *testing.T) {
	p := newServerAndClient(t, 2000)
	before := p.server.Counters
	subscribe := func(incarnation uint64) {
		l := Link{From: "odd", Zone: "za", Incarnation: incarnation, ChallengedAt: p.now}
		h := heartbeat{name: "odd", sentAt: p.now, subscribe: true, resume: true}
		require.NoError(t, p.server.Receive(p.now, l, Heartbeat, h.encode()))
	}
	const processes, interval = 40, 200 * ms
	for i := range uint64(processes) {
		subscribe(5000 + i)
		p.run(interval)
	}
	size := len(p.server.snapshotMessage())
	bound := int(snapshotRateLimit.bytesPerSecond*(snapshotRateLimit.burstWindow+processes*interval)/second) + size
	require.Greater(t, processes*size, 2*bound, "without the limit the bound would be exceeded")
	require.LessOrEqual(t, p.server.Counters.SnapshotBytes-before.SnapshotBytes, bound)
	before = p.server.Counters
	for seconds := 0; p.server.Counters.Snapshots == before.Snapshots; seconds++ {
		require.Less(t, seconds, 10)
		subscribe(5000 + processes - 1)
		p.run(second)
	}
}

// Snapshots of a small view are sent to every process of a name without delay.
func TestSmallSnapshotsAreNotDelayed(t *testing.T) {
	p := newServerAndClient(t, 5)
	before := p.server.Counters.Snapshots
	for i := range uint64(20) {
		l := Link{From: "odd", Zone: "za", Incarnation: 5000 + i, ChallengedAt: p.now}
		h := heartbeat{name: "odd", sentAt: p.now, subscribe: true, resume: true}
		require.NoError(t, p.server.Receive(p.now, l, Heartbeat, h.encode()))
		p.run(200 * ms)
	}
	require.Equal(t, 20, p.server.Counters.Snapshots-before)
}

// Changes from the log are rate limited too.
func TestCatchUpsAreRateLimited(t *testing.T) {
	p := newServerAndClient(t, 3)
	sequence, digest := p.server.sequence, p.server.View().Digest()
	p.sendHeartbeatOf(9, 9)
	p.run(100 * ms)
	l := Link{From: "odd", Zone: "za", Incarnation: 3, ChallengedAt: p.now}
	before := p.server.Counters.CatchUps
	for range 100 {
		h := heartbeat{name: "odd", subscribe: true, resume: true, epoch: 1, sequence: sequence, digest: digest}
		require.NoError(t, p.server.Receive(p.now, l, Heartbeat, h.encode()))
	}
	require.Equal(t, 8, p.server.Counters.CatchUps-before)
}

// The table entry of a name lists the last maxReportedSuperseded of its superseded processes; the other control members
// remember all that it has listed.
func TestTableEntryReportsTheLastSupersededProcesses(t *testing.T) {
	r := newThreeServers(t)
	for i := range uint64(10) {
		r.now += 20 * second // long enough for the rate limit of changes
		for _, c := range threeControls {
			r.servers[c.Name].now = r.now
		}
		r.servers["m0"].LinkOpened(r.now, r.link("f", 100+i))
		r.run(100 * ms)
	}
	require.Empty(t, r.errors)
	r.requireState("f", 109, Alive)
	require.Len(t, r.servers["m0"].ownTable.entries["f"].supersededIncarnations, maxReportedSuperseded)
	for i := range uint64(9) {
		require.True(t, r.servers["m1"].View().Superseded(100+i))
	}
}

// A process may have maxLinksPerProcess links; a further one closes the oldest.
func TestLinksOfAProcessAreBounded(t *testing.T) {
	p := newServerAndClient(t, 0)
	closed := 0
	for i := range 10 {
		l := p.link
		l.ChallengedAt += monotime.Micros(i + 1)
		p.server.LinkOpened(p.now, l)
		closed += len(p.server.TakeLinksToClose())
	}
	require.Equal(t, 11-maxLinksPerProcess, closed)
	require.Len(t, p.server.leasesByName["f"].links, maxLinksPerProcess)
}

// The messages that wait to be taken are bounded.
func TestQueuedMessagesAreBounded(t *testing.T) {
	p := newServerAndClient(t, 0)
	for range maxQueuedMessages + 10 {
		require.NoError(t, p.server.Receive(p.now, p.link, Heartbeat, (&heartbeat{name: "f"}).encode()))
	}
	require.Len(t, p.server.TakeMessages(), maxQueuedMessages)
}

// Two processes of one name are shown in the right order as soon as a message improves the estimate of the clocks'
// offset, without any change of their table entries.
func TestProcessOrderFollowsTheClockEstimates(t *testing.T) {
	r := newThreeServers(t)
	s := NewServer(Config{Name: "m2", Zone: "zc", Incarnation: 1002, ControlMembers: threeControls})
	s.Tick(r.now, r.membersSeenBy("m2"))
	push := func(home string, epoch, incarnation uint64, sentAt, challengedAt monotime.Micros) {
		entries := []tableEntry{{name: "f", zone: "za", incarnation: incarnation, challengedAt: challengedAt}}
		m := tableMessage{tableVersion: tableVersion{home, epoch, 1, 0}, sentAt: sentAt, entries: entries}
		m.digest = m.entries[0].digest()
		require.NoError(t, s.ReceiveFromControl(r.now, home, epoch, TableUpdate, m.encode()))
	}
	// The message about the earlier process took 10 s, so that its challenge seems to be the later one.
	push("m0", 1000, 9, r.now-10*second, r.now-10*second-100*ms)
	push("m1", 1001, 5, r.now, r.now-second)
	s.Tick(r.now+50*ms, nil)
	e, _ := s.View().Lookup("f")
	require.Equal(t, uint64(9), e.Incarnation)
	require.NoError(t, s.ReceiveVersions(r.now+60*ms, "m0", 1000, encodeVersions(r.now+59*ms, nil)))
	s.Tick(r.now+100*ms, nil)
	e, _ = s.View().Lookup("f")
	require.Equal(t, uint64(5), e.Incarnation)
}

// While both slots are empty, the first to be filled does not take the preferred control member of the other.
func TestEmptySlotLeavesTheOtherItsPreferredMember(t *testing.T) {
	controls := []ControlMember{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z2"}, {Name: "c", Zone: "z2"}}
	for i := range 50 {
		c := NewClient(Config{Name: fmt.Sprint("f", i), Zone: "z1", Incarnation: 7, ControlMembers: controls})
		c.Tick(0)
		secondPreferred := c.slots[1].preferred
		firstPreferred := c.slots[0].preferred
		firstPreferred.backoffUntil = 1 << 60
		c.slots[0].fillAt, c.slots[1].fillAt = 1, 2
		c.Tick(1)
		assert.NotEqual(t, secondPreferred, c.slots[0].current)
		c.Tick(2)
		assert.Equal(t, secondPreferred, c.slots[1].current)
	}
}
