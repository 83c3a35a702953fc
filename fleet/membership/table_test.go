package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// threeServers is three control members whose messages the test delivers.
type threeServers struct {
	t             *testing.T
	now           monotime.Micros
	servers       map[string]*Server
	epochs        map[string]uint64                     // the incarnation of each one's process
	drop          func(from, to string, kind Kind) bool // whether to lose a message; kind is 0 for versions
	neverSeen     func(name, by string) bool            // whether by has never seen name
	messageCounts map[Kind]int
	errors        []error
}

var threeControls = []ControlMember{{Name: "m0", Zone: "za"}, {Name: "m1", Zone: "zb"}, {Name: "m2", Zone: "zc"}}

func newThreeServers(t *testing.T) *threeServers {
	r := &threeServers{
		t:             t,
		now:           100 * second,
		servers:       map[string]*Server{},
		epochs:        map[string]uint64{},
		messageCounts: map[Kind]int{},
		drop:          func(string, string, Kind) bool { return false },
		neverSeen:     func(string, string) bool { return false },
	}
	for i, c := range threeControls {
		r.startProcess(c.Name, uint64(1000+i))
	}
	r.run(200 * ms)
	return r
}

func (r *threeServers) startProcess(name string, epoch uint64) {
	r.epochs[name] = epoch
	r.servers[name] = NewServer(Config{Name: name, Incarnation: epoch, ControlMembers: threeControls, MaxEntries: 500})
}

// membersSeenBy returns the other control members as package heartbeat reports them to one of them.
func (r *threeServers) membersSeenBy(by string) (list []ControlMember) {
	for _, c := range threeControls {
		switch {
		case c.Name == by:
		case r.neverSeen(c.Name, by):
			list = append(list, ControlMember{Name: c.Name, Zone: c.Zone, State: Dead})
		default:
			list = append(list, ControlMember{Name: c.Name, Zone: c.Zone, Incarnation: r.epochs[c.Name], State: Alive})
		}
	}
	return list
}

// run advances the time in ticks of 50 ms; all messages between control members arrive at once.
func (r *threeServers) run(span monotime.Micros) {
	for end := r.now + span; r.now < end; {
		r.now += 50 * ms
		for _, c := range threeControls {
			r.servers[c.Name].Tick(r.now, r.membersSeenBy(c.Name))
		}
		r.deliver()
		for _, c := range threeControls {
			versions := r.servers[c.Name].Versions(r.now)
			for _, o := range threeControls {
				if o != c && !r.drop(c.Name, o.Name, 0) {
					r.recordError(r.servers[o.Name].ReceiveVersions(r.now, c.Name, r.epochs[c.Name], versions))
				}
			}
		}
		for range 3 {
			r.deliver()
		}
	}
}

func (r *threeServers) deliver() {
	for _, c := range threeControls {
		for _, m := range r.servers[c.Name].TakeMessages() {
			if m.Incarnation == 0 && !r.drop(c.Name, m.To, m.Kind) {
				r.messageCounts[m.Kind]++
				r.recordError(r.servers[m.To].ReceiveFromControl(r.now, c.Name, r.epochs[c.Name], m.Kind, m.Body))
			}
		}
	}
}

func (r *threeServers) recordError(err error) {
	if err != nil {
		r.errors = append(r.errors, err)
	}
}

// sendHeartbeat sends a heartbeat over a link.
func (r *threeServers) sendHeartbeat(server string, l Link) error {
	h := heartbeat{name: l.From, sentAt: r.now}
	return r.servers[server].Receive(r.now, l, Heartbeat, h.encode())
}

// requireState checks that all control members show a front end with an incarnation and a state.
func (r *threeServers) requireState(name string, incarnation uint64, state State) {
	r.t.Helper()
	for _, c := range threeControls {
		e, ok := r.servers[c.Name].View().Lookup(name)
		require.True(r.t, ok, c.Name)
		require.Equal(r.t, incarnation, e.Incarnation, "%s at %s", name, c.Name)
		require.Equal(r.t, state, e.State, "%s at %s", name, c.Name)
	}
}

func (r *threeServers) link(name string, incarnation uint64) Link {
	return Link{From: name, Zone: "za", Incarnation: incarnation, ChallengedAt: r.now}
}

// Of two processes of one name at one home, the one challenged later supersedes the other, whichever is seen first. The
// links of the superseded one are closed, and its late messages are rejected.
func TestLaterChallengeSupersedesAtOneHome(t *testing.T) {
	r := newThreeServers(t)
	earlier := r.link("f", 9)
	r.run(100 * ms)
	later := r.link("f", 5)
	s := r.servers["m0"]
	s.LinkOpened(r.now, earlier)
	require.NoError(t, r.sendHeartbeat("m0", earlier))
	r.run(100 * ms)
	r.requireState("f", 9, Alive)
	s.LinkOpened(r.now, later)
	assert.Equal(t, []Link{earlier}, s.TakeLinksToClose())
	require.ErrorIs(t, r.sendHeartbeat("m0", earlier), ErrSuperseded)
	r.now += ms
	require.ErrorIs(t, r.sendHeartbeat("m0", r.link("f", 9)), ErrSuperseded, "over a new link too")
	r.run(100 * ms)
	r.requireState("f", 5, Alive)
	for _, c := range threeControls {
		assert.True(t, r.servers[c.Name].View().Superseded(9))
		assert.True(t, r.servers[c.Name].View().PresumedDead(9))
	}
	// It dials again, here and at another home, which knows from m0's table that it is superseded.
	for _, home := range []string{"m0", "m1"} {
		again := r.link("f", 9)
		r.servers[home].LinkOpened(r.now, again)
		assert.Equal(t, []Link{again}, r.servers[home].TakeLinksToClose(), home)
		require.ErrorIs(t, r.sendHeartbeat(home, again), ErrSuperseded, home)
	}
	r.run(100 * ms)
	r.requireState("f", 5, Alive)

	// The later process is seen first.
	earlier = r.link("g", 19)
	r.run(100 * ms)
	later = r.link("g", 15)
	s.LinkOpened(r.now, later)
	s.LinkOpened(r.now, earlier)
	assert.Equal(t, []Link{earlier}, s.TakeLinksToClose())
	r.run(100 * ms)
	r.requireState("g", 15, Alive)
}

// Of two processes of one name at two homes, neither of which has seen both, the one whose reported challenge is later
// supersedes the other, whichever home's table arrives first and whichever incarnation is greater.
func TestLaterChallengeSupersedesAcrossHomes(t *testing.T) {
	for _, firstHome := range []string{"m0", "m1"} {
		for _, laterIncarnation := range []uint64{5, 9} {
			r := newThreeServers(t)
			lastHome := map[string]string{"m0": "m1", "m1": "m0"}[firstHome]
			earlier := Link{From: "f", Zone: "za", Incarnation: 7, ChallengedAt: r.now - 3*ms}
			later := Link{From: "f", Zone: "za", Incarnation: laterIncarnation, ChallengedAt: r.now - ms}
			r.servers["m0"].LinkOpened(r.now, earlier)
			r.servers["m1"].LinkOpened(r.now, later)
			r.drop = func(from, _ string, _ Kind) bool { return from == lastHome }
			r.run(500 * ms)
			r.drop = func(string, string, Kind) bool { return false }
			for range 8 {
				require.NoError(t, r.sendHeartbeat("m0", earlier))
				require.NoError(t, r.sendHeartbeat("m1", later))
				r.run(second)
			}
			r.requireState("f", laterIncarnation, Alive)
			assert.False(t, r.servers["m2"].View().Alive(7))
		}
	}
}

// Of two processes with equal times of challenge, the one with the greater incarnation is the later one at all control
// members.
func TestEqualChallengeTimesAreOrderedByIncarnation(t *testing.T) {
	for _, homes := range [][]string{{"m0", "m1"}, {"m1", "m0"}} {
		r := newThreeServers(t)
		r.servers[homes[0]].LinkOpened(r.now, r.link("f", 7))
		r.servers[homes[1]].LinkOpened(r.now, r.link("f", 5))
		r.run(500 * ms)
		r.requireState("f", 7, Alive)
	}
}

// The times of challenges are estimates, so the order of two processes may be wrong. A process that stays alive while
// the supposedly later one is dead is shown after reinstateDelay.
func TestAliveProcessIsReinstatedOverADeadLaterOne(t *testing.T) {
	r := newThreeServers(t)
	dead := Link{From: "f", Zone: "za", Incarnation: 7, ChallengedAt: r.now}
	alive := Link{From: "f", Zone: "za", Incarnation: 9, ChallengedAt: r.now - second}
	r.servers["m0"].LinkOpened(r.now, dead)
	r.servers["m1"].LinkOpened(r.now, alive)
	for i := range 20 {
		require.NoError(t, r.sendHeartbeat("m1", alive))
		r.run(second)
		if i == 10 {
			r.requireState("f", 7, Dead)
		}
	}
	r.requireState("f", 9, Alive)
}

// A lost table update is detected by the version in the next heartbeat. Its changes are pulled from the log, without a
// snapshot.
func TestLostPushIsPulledFromTheLog(t *testing.T) {
	r := newThreeServers(t)
	for i := range 20 {
		r.servers["m0"].LinkOpened(r.now, r.link(fmt.Sprintf("f%02d", i), uint64(i+1)))
	}
	r.run(200 * ms)
	lost := false
	r.drop = func(_, to string, kind Kind) bool {
		if kind == TableUpdate && to == "m1" && !lost {
			lost = true
			return true
		}
		return false
	}
	r.servers["m0"].LinkOpened(r.now, r.link("g", 99))
	r.run(150 * ms)
	require.True(t, lost)
	r.requireState("g", 99, Alive)
	assert.Equal(t, 1, r.servers["m1"].Counters.Pulls)
	assert.Zero(t, r.servers["m0"].Counters.TableSnapshots)
}

// Changes that do not follow on the table's version are not applied; what is missing is pulled.
func TestGapInTableChangesIsPulled(t *testing.T) {
	r := newThreeServers(t)
	r.drop = func(from, to string, _ Kind) bool { return from == "m0" && to == "m1" }
	r.servers["m0"].LinkOpened(r.now, r.link("f", 7))
	r.run(100 * ms)
	r.drop = func(from, to string, kind Kind) bool { return from == "m0" && to == "m1" && kind == 0 }
	r.servers["m0"].LinkOpened(r.now, r.link("g", 8))
	r.run(100 * ms)
	assert.Equal(t, 1, r.servers["m1"].Counters.Gaps)
	assert.Zero(t, r.servers["m0"].Counters.TableSnapshots)
	r.requireState("f", 7, Alive)
	r.requireState("g", 8, Alive)
}

// Changes of one name are published at a limited rate even if its home reports them without a limit.
func TestFlapsReportedByAHomeAreDamped(t *testing.T) {
	r := newThreeServers(t)
	s := r.servers["m2"]
	changes := s.Counters.Changes
	m := tableMessage{tableVersion: tableVersion{"m0", 1000, 0, 0}}
	for i := range 600 {
		r.now += 100 * ms
		m.sentAt, m.full, m.sequence = r.now, true, uint64(i+1)
		m.entries = []tableEntry{{name: "f", zone: "za", incarnation: 7, state: State(i % 2), challengedAt: r.now}}
		m.digest = m.entries[0].digest()
		require.NoError(t, s.ReceiveFromControl(r.now, "m0", 1000, TableUpdate, m.encode()))
		s.Tick(r.now, nil)
	}
	changes = s.Counters.Changes - changes
	assert.Greater(t, changes, 23)
	assert.LessOrEqual(t, changes, 20+6+1, "in a minute")
	for range 120 {
		r.now += 100 * ms
		s.Tick(r.now, nil)
	}
	e, _ := s.View().Lookup("f")
	require.Equal(t, m.entries[0].state, e.State)
}

// If a partition has lasted for more batches than fit into the log, the table is repaired by one snapshot.
func TestLongPartitionIsRepairedByOneSnapshot(t *testing.T) {
	r := newThreeServers(t)
	r.servers["m0"].LinkOpened(r.now, r.link("f", 50))
	r.run(200 * ms)
	r.drop = func(from, to string, _ Kind) bool { return from == "m0" && to == "m1" }
	for i := range maxLogBatches + 10 {
		r.servers["m0"].LinkOpened(r.now, r.link(fmt.Sprintf("f%03d", i%400), uint64(i+100)))
		r.run(50 * ms)
	}
	r.drop = func(string, string, Kind) bool { return false }
	r.run(500 * ms)
	assert.Equal(t, 1, r.servers["m0"].Counters.TableSnapshots)
	assert.Equal(t, r.servers["m0"].ownTable.version(), r.servers["m1"].membersByName["m0"].tables[0].version())
	assert.LessOrEqual(t, len(r.servers["m0"].ownTable.log.batches), maxLogBatches)
}

// If a partition keeps a home's messages away, its table is pulled from another control member that receives them.
func TestTableIsPulledFromAThirdMember(t *testing.T) {
	r := newThreeServers(t)
	partitioned := func(a, b string) bool { return a == "m0" && b == "m1" || a == "m1" && b == "m0" }
	r.drop = func(from, to string, _ Kind) bool { return partitioned(from, to) }
	r.servers["m0"].LinkOpened(r.now, r.link("f", 7))
	r.run(2 * second)
	_, ok := r.servers["m1"].View().Lookup("f")
	require.False(t, ok, "while m1 sees m0 alive it pulls the table from no other")
	// Package heartbeat now reports that m0 is only indirectly alive.
	for range 30 {
		r.now += 50 * ms
		seen := r.membersSeenBy("m1")
		seen[0].IndirectlyAlive = true
		r.servers["m1"].Tick(r.now, seen)
		require.NoError(t, r.servers["m1"].ReceiveVersions(r.now, "m2", r.epochs["m2"], r.servers["m2"].Versions(r.now)))
		r.deliver()
	}
	e, ok := r.servers["m1"].View().Lookup("f")
	require.True(t, ok)
	require.Equal(t, uint64(7), e.Incarnation)
}

// Messages of an earlier process of a home are dropped and counted, even if another control member sends them.
func TestMessagesOfAnEarlierEpochAreDropped(t *testing.T) {
	r := newThreeServers(t)
	r.servers["m0"].LinkOpened(r.now, r.link("f", 7))
	r.run(200 * ms)
	m := tableMessage{tableVersion: tableVersion{"m0", r.epochs["m0"], 50, 0}, full: true}
	m.entries = []tableEntry{{name: "late", zone: "za", incarnation: 3, challengedAt: r.now}}
	m.digest = m.entries[0].digest()
	oldEpoch := r.epochs["m0"]
	r.startProcess("m0", 2000)
	r.run(200 * ms)
	s := r.servers["m1"]
	require.NoError(t, s.ReceiveFromControl(r.now, "m0", oldEpoch, TableUpdate, m.encode()))
	require.Equal(t, 1, s.Counters.StaleEpochs)
	require.NoError(t, s.ReceiveFromControl(r.now, "m2", r.epochs["m2"], TableUpdate, m.encode()))
	require.Equal(t, 2, s.Counters.StaleEpochs)
	require.NoError(t, s.ReceiveVersions(r.now, "m0", oldEpoch,
		encodeVersions(r.now, []tableVersion{{"m0", oldEpoch, 99, 1}})))
	require.Equal(t, 3, s.Counters.StaleEpochs)
	seen := r.membersSeenBy("m1")
	seen[0].IndirectlyAlive = true
	s.Tick(r.now, seen)
	oldVersion := encodeVersions(r.now, []tableVersion{{"m0", oldEpoch, 99, 1}})
	require.NoError(t, s.ReceiveVersions(r.now, "m2", r.epochs["m2"], oldVersion))
	require.Equal(t, 4, s.Counters.StaleEpochs)
	r.run(200 * ms)
	_, ok := s.View().Lookup("late")
	require.False(t, ok)
	assert.Zero(t, s.Counters.Pulls)
	// The entries of the earlier process's table expire at the control members that have it, and are removed in the end.
	state := func() State {
		e, _ := s.View().Lookup("f")
		return e.State
	}
	require.Equal(t, Suspect, state())
	r.run(absentHomeTimeout)
	require.Equal(t, Dead, state())
	r.run(retentionTime + second)
	_, ok = s.View().Lookup("f")
	require.False(t, ok)
	require.True(t, s.View().PresumedDead(7))
	require.Len(t, s.names, 3, "nothing is retained of the removed front end")
}

// Invalid messages from control members are rejected and counted, and leave the view as it is.
func TestInvalidControlMessagesAreRejected(t *testing.T) {
	r := newThreeServers(t)
	s := r.servers["m1"]
	digest := s.View().Digest()
	entries := func(name string) []tableEntry {
		return []tableEntry{{name: name, zone: "z", incarnation: 3, challengedAt: r.now}}
	}
	table := func(home string, epoch uint64, entries []tableEntry) []byte {
		m := tableMessage{tableVersion: tableVersion{home, epoch, 1, 0}, entries: entries}
		for i := range entries {
			m.digest += entries[i].digest()
		}
		return m.encode()
	}
	tooMany := make([]tableEntry, 501)
	for i := range tooMany {
		tooMany[i] = entries(fmt.Sprintf("f%03d", i))[0]
	}
	pull := pullMessage{home: "mx", epoch: 1}
	for _, c := range []struct {
		name   string
		count  *int
		target error
		from   string
		kind   Kind
		body   []byte
	}{
		{"unknown home", &s.Counters.UnknownHomes, ErrUnknownHome, "m0", TableUpdate, table("mx", 1, entries("f"))},
		{"unknown home", &s.Counters.UnknownHomes, ErrUnknownHome, "m0", TablePull, pull.encode()},
		{"unknown sender", &s.Counters.UnknownHomes, ErrUnknownHome, "mx", TableUpdate, table("m0", 1000, entries("f"))},
		{"the receiver's table", &s.Counters.NameMismatches, ErrNameMismatch, "m0", TableUpdate,
			table("m1", 1001, entries("f"))},
		{"a control member attached", &s.Counters.NameMismatches, ErrNameMismatch, "m0", TableUpdate,
			table("m0", 1000, entries("m2"))},
		{"too many entries", &s.Counters.Oversized, ErrTooManyEntries, "m0", TableUpdate, table("m0", 1000, tooMany)},
		{"entries out of order", &s.Counters.Malformed, ErrMalformed, "m0", TableUpdate,
			table("m0", 1000, append(entries("g"), entries("f")...))},
		{"garbage", &s.Counters.Malformed, ErrMalformed, "m0", TableUpdate, []byte("garbage")},
		{"garbage", &s.Counters.Malformed, ErrMalformed, "m0", TablePull, []byte("garbage")},
	} {
		before := *c.count
		err := s.ReceiveFromControl(r.now, c.from, r.epochs[c.from], c.kind, c.body)
		require.ErrorIs(t, err, c.target, c.name)
		require.Equal(t, before+1, *c.count, c.name)
	}
	unknownHome := encodeVersions(r.now, []tableVersion{{"mx", 1, 1, 1}})
	require.ErrorIs(t, s.ReceiveVersions(r.now, "m0", 1000, unknownHome), ErrUnknownHome)
	require.ErrorIs(t, s.ReceiveVersions(r.now, "m0", 1000, []byte("garbage")), ErrMalformed)
	require.ErrorIs(t, s.ReceiveFromControl(r.now, "m0", 1000, Heartbeat, nil), ErrUnexpectedKind)
	r.run(200 * ms)
	require.Equal(t, digest, s.View().Digest())
}

// A table whose digest differs at the same sequence is replaced by a snapshot, at a limited rate. Changes that would
// not lead to the message's digest are not applied.
func TestTableWithAnotherDigestIsRepaired(t *testing.T) {
	r := newThreeServers(t)
	r.servers["m0"].LinkOpened(r.now, r.link("f", 7))
	r.run(200 * ms)
	s := r.servers["m1"]
	replica := s.membersByName["m0"].tables[0]
	s.applyEntries(replica, []tableEntry{{name: "wrong", zone: "z", incarnation: 3}})
	r.run(200 * ms)
	require.Equal(t, 1, s.Counters.TableDigestRepairs)
	require.Equal(t, r.servers["m0"].ownTable.contentDigest, replica.contentDigest)
	_, ok := s.View().Lookup("wrong")
	require.False(t, ok)

	m := tableMessage{
		tableVersion: tableVersion{"m0", 1000, replica.sequence + 1, 1},
		baseSequence: replica.sequence,
		entries:      []tableEntry{{name: "wrong", incarnation: 3}},
	}
	before := replica.version()
	require.NoError(t, s.ReceiveFromControl(r.now, "m0", 1000, TableUpdate, m.encode()))
	require.Equal(t, before, replica.version())
	m.full = true
	require.ErrorIs(t, s.ReceiveFromControl(r.now, "m0", 1000, TableUpdate, m.encode()), ErrMalformed)
	require.Equal(t, before, replica.version())

	// A table that never agrees is pulled at a limited rate.
	before.digest++
	pulls := s.Counters.Pulls
	for range 600 {
		r.now += 50 * ms
		s.Tick(r.now, r.membersSeenBy("m1"))
		require.NoError(t, s.ReceiveVersions(r.now, "m0", 1000, encodeVersions(r.now, []tableVersion{before})))
	}
	assert.LessOrEqual(t, s.Counters.Pulls-pulls, 8, "in 30 s")
	assert.Greater(t, s.Counters.RateLimited, 500)
}

// No front end may attach under a control member's name, without a name or without an incarnation, nor may more attach
// than a view can have entries.
func TestNamesAndNumberOfAttachedAreChecked(t *testing.T) {
	r := newThreeServers(t)
	s := r.servers["m0"]
	for _, l := range []Link{r.link("m1", 7), r.link("m0", 7), r.link("", 7), r.link("f", 0)} {
		s.LinkOpened(r.now, l)
		require.Equal(t, []Link{l}, s.TakeLinksToClose())
	}
	require.Equal(t, 4, s.Counters.NameMismatches)
	for i := range 501 {
		s.LinkOpened(r.now, r.link(fmt.Sprintf("f%03d", i), uint64(i+1)))
	}
	require.Len(t, s.TakeLinksToClose(), 1)
	require.Equal(t, 1, s.Counters.Oversized)
	for i := range 100 {
		r.servers["m1"].LinkOpened(r.now, r.link(fmt.Sprintf("g%03d", i), uint64(i+1000)))
	}
	r.run(300 * ms)
	for _, c := range threeControls {
		require.LessOrEqual(t, r.servers[c.Name].View().Len(), 500, c.Name)
	}
}

// HomeOf returns a control member that currently has a link to a process.
func TestHomeOfReturnsAMemberWithALink(t *testing.T) {
	r := newThreeServers(t)
	l := r.link("f", 7)
	r.servers["m0"].LinkOpened(r.now, l)
	r.servers["m1"].LinkOpened(r.now, l)
	r.run(200 * ms)
	home := func(at string) string {
		name, _ := r.servers[at].HomeOf(7)
		return name
	}
	require.Equal(t, "m0", home("m0"))
	require.Equal(t, "m1", home("m1"))
	require.Equal(t, "m0", home("m2"))
	r.servers["m0"].LinkClosed(r.now, l)
	require.Equal(t, "m1", home("m0"), "its own link is closed")
	require.Equal(t, "", func() string { name, _ := r.servers["m0"].HomeOf(1001); return name }(), "a control member")
	require.Equal(t, "", func() string { name, _ := r.servers["m0"].HomeOf(8); return name }())
}
