package membership

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// fullFleetControls is the number of control members of a full-size fleet.
const fullFleetControls = 53

// fullFleetServer returns a control member whose view has some 2,700 attached front ends, 51 of each control member.
func fullFleetServer(t testing.TB) (s *Server, now monotime.Micros) { return serverOfFleet(t, 51) }

// serverOfFleet returns one of 53 control members, each of which has attachedPerControl attached front ends.
func serverOfFleet(t testing.TB, attachedPerControl int) (s *Server, now monotime.Micros) {
	now = 100 * second
	var controls []ControlMember
	for i := range fullFleetControls {
		controls = append(controls, ControlMember{
			Name:        fmt.Sprintf("front-control-%02d", i),
			Zone:        fmt.Sprintf("zone-%02d", i%23),
			Incarnation: rendezvousWeight("c", fmt.Sprint(i), 1),
		})
	}
	self := controls[0]
	s = NewServer(Config{Name: self.Name, Zone: self.Zone, Incarnation: self.Incarnation, ControlMembers: controls})
	s.Tick(now, controls)
	for i := 1; i < fullFleetControls; i++ {
		var entries []tableEntry
		for j := range attachedPerControl {
			name := fmt.Sprintf("front-%02d-%03d", i, j)
			entries = append(entries, tableEntry{
				name: name, zone: controls[i].Zone, incarnation: rendezvousWeight(name, "", 2), servesView: true, challengedAt: now,
			})
		}
		m := tableMessage{tableVersion: tableVersion{controls[i].Name, controls[i].Incarnation, 1, 0}, entries: entries}
		m.digest = newTable("", 0).digestAfter(entries)
		require.NoError(t, s.ReceiveFromControl(now, controls[i].Name, controls[i].Incarnation, TableUpdate, m.encode()))
	}
	for i := range attachedPerControl {
		heartbeatTo(t, s, now, i, true)
	}
	now += 50 * ms
	s.Tick(now, controls)
	s.TakeMessages()
	return s, now
}

// heartbeatTo sends the server a heartbeat of its attached front end i; current is whether that front end has the
// server's current view.
func heartbeatTo(t testing.TB, s *Server, now monotime.Micros, i int, current bool) {
	name := fmt.Sprintf("front-00-%03d", i)
	h := heartbeat{
		name: name, sentAt: now, subscribe: true,
		epoch: s.cfg.Incarnation, sequence: s.sequence, digest: s.view.Digest(),
	}
	if !current {
		h.epoch, h.sequence, h.digest, h.resume = 0, 0, 0, true
	}
	link := Link{From: name, Zone: "zone-00", Incarnation: rendezvousWeight(name, "", 2), ChallengedAt: now}
	require.NoError(t, s.Receive(now, link, Heartbeat, h.encode()))
}

// clientWithView returns a client that has received a snapshot from its home.
func clientWithView(t testing.TB, s *Server, now monotime.Micros, body []byte) *Client {
	c := NewClient(Config{Name: "front-00-000", Zone: "zone-00", Incarnation: 5, ControlMembers: s.cfg.ControlMembers})
	c.Tick(now)
	c.LinkOpened(now+second, s.cfg.Name, s.cfg.Incarnation)
	c.home = c.peersByName[s.cfg.Name]
	require.NoError(t, c.Receive(now+second, s.cfg.Name, s.cfg.Incarnation, ViewUpdate, body))
	return c
}

// Checks the size of a snapshot of the full view and of one change, and what it costs a client to store the view and to
// apply the change.
func TestCostsOfAFullView(t *testing.T) {
	s, now := fullFleetServer(t)
	require.Equal(t, 2756, s.View().Len())
	heartbeatTo(t, s, now, 0, false)
	body := s.TakeMessages()[1].Body
	t.Logf("a snapshot of %d entries has %d bytes", s.View().Len(), len(body))
	assert.Less(t, len(body), 64<<10)

	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := clientWithView(t, s, now, body)
	require.Equal(t, 2756, c.View().Len())
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("the client's view takes %d bytes of heap", after.HeapAlloc-before.HeapAlloc)
	assert.Less(t, after.HeapAlloc-before.HeapAlloc, uint64(2<<20))
	runtime.KeepAlive(c)

	m := tableMessage{tableVersion: tableVersion{s.members[1].Name, s.members[1].Incarnation, 2, 0}, baseSequence: 1,
		entries: []tableEntry{
			{name: "front-01-007", zone: s.members[1].Zone, incarnation: 99, servesView: true, challengedAt: now},
		}}
	m.digest = s.members[1].tables[0].digestAfter(m.entries)
	require.NoError(t, s.ReceiveFromControl(now, m.home, m.epoch, TableUpdate, m.encode()))
	s.Tick(now+50*ms, nil)
	change := s.TakeMessages()[0]
	t.Logf("a change has %d bytes", len(change.Body))
	assert.Less(t, len(change.Body), 140)
	allocations := testing.AllocsPerRun(1, func() {
		require.NoError(t, c.Receive(now+second, s.cfg.Name, s.cfg.Incarnation, ViewUpdate, change.Body))
	})
	assert.Less(t, allocations, 60.0, "allocations for one change, far fewer than for the whole view")
	require.Equal(t, s.View().Digest(), c.View().Digest())
}

func BenchmarkSnapshotEncode(b *testing.B) {
	s, _ := fullFleetServer(b)
	b.ReportAllocs()
	for b.Loop() {
		s.snapshot = nil
		s.snapshotMessage()
	}
}

func BenchmarkSnapshotApply(b *testing.B) {
	s, now := fullFleetServer(b)
	body := s.snapshotMessage()
	b.ReportAllocs()
	for b.Loop() {
		clientWithView(b, s, now, body)
	}
}

// BenchmarkServerSecond measures one second of a control member at rest: its ticks, a heartbeat of each attached front
// end, and the table versions from all other control members.
func BenchmarkServerSecond(b *testing.B) {
	s, now := fullFleetServer(b)
	versions := make([][]byte, len(s.members))
	var allVersions []tableVersion
	for _, c := range s.members {
		allVersions = append(allVersions, c.tables[0].version())
	}
	for i, c := range s.members {
		versions[i] = encodeVersions(now, []tableVersion{c.tables[0].version()})
	}
	b.ReportAllocs()
	for b.Loop() {
		for range 20 {
			now += 50 * ms
			s.Tick(now, s.cfg.ControlMembers)
		}
		for i := range 51 {
			heartbeatTo(b, s, now, i, true)
		}
		for i, c := range s.members[1:] {
			for range 9 {
				_ = s.ReceiveVersions(now, c.Name, c.Incarnation, versions[i+1])
			}
			_ = s.ReceiveVersions(now, c.Name, c.Incarnation, encodeVersions(now, allVersions))
		}
		s.Versions(now)
		s.TakeMessages()
	}
}
