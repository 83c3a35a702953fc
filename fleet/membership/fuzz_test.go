package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// fuzzServer returns a control member with two attached front ends, f and g, that sees two other control members.
func fuzzServer() (*Server, monotime.Micros) {
	now := 100 * second
	s := NewServer(Config{Name: "m0", Zone: "za", Incarnation: 1000, ControlMembers: threeControls, MaxEntries: 50})
	s.Tick(now, []ControlMember{{Name: "m1", Zone: "zb", Incarnation: 1001}, {Name: "m2", Zone: "zc", Incarnation: 1002}})
	for _, l := range []Link{
		{From: "f", Zone: "za", Incarnation: 7, ChallengedAt: now},
		{From: "g", Zone: "za", Incarnation: 8, ChallengedAt: now},
	} {
		s.LinkOpened(now, l)
	}
	s.Tick(now+second, nil)
	s.TakeMessages()
	return s, now + second
}

// requireInvariants checks what has to hold at a control member after any input.
func requireInvariants(t *testing.T, s *Server) {
	require.LessOrEqual(t, s.View().Len(), s.cfg.MaxEntries)
	requireViewInvariants(t, s.View())
	for _, c := range s.members {
		require.LessOrEqual(t, len(c.tables), maxTablesPerHome+1)
		for _, table := range c.tables {
			var digest uint64
			for name, r := range table.entries {
				require.Equal(t, name, r.name)
				require.Nil(t, s.membersByName[name], "a control member is listed as attached")
				digest += r.digest()
			}
			require.Equal(t, digest, table.contentDigest)
		}
	}
	for _, name := range []string{"m0", "m1", "m2"} {
		e, ok := s.View().Lookup(name)
		require.True(t, ok)
		require.Equal(t, Control, e.Role)
	}
}

// requireViewInvariants checks that a view's indexes and digests are those of its entries.
func requireViewInvariants(t *testing.T, v *View) {
	rebuilt := newView()
	for i, e := range v.entries {
		require.True(t, i == 0 || v.entries[i-1].Name < e.Name)
		require.Same(t, e, v.byName[e.Name])
		rebuilt.put(&change{Entry: e.Entry}, fromMerge)
	}
	require.Len(t, v.byName, len(v.entries))
	require.LessOrEqual(t, len(v.byIncarnation), len(v.entries))
	require.Equal(t, rebuilt.digest, v.digest)
	require.Equal(t, rebuilt.bucketDigests, v.bucketDigests)
}

// Whatever arrives over the link of an attached front end changes the entry of that front end only.
func FuzzServerReceive(f *testing.F) {
	resuming := heartbeat{name: "f", sentAt: 5, subscribe: true, resume: true}
	withDigests := heartbeat{
		name: "f", sentAt: 5, leaving: true, subscribe: true, epoch: 1000, sequence: 1, digest: 3,
		bucketDigests: make([]uint32, bucketCount),
	}
	other := heartbeat{name: "g", sentAt: 5}
	for _, h := range []heartbeat{resuming, withDigests, other} {
		f.Add(h.encode(), h.encode(), uint8(Heartbeat))
	}
	f.Add([]byte{0x0a, 0x01, 'f'}, []byte("garbage"), uint8(ViewUpdate))
	f.Fuzz(func(t *testing.T, first, second []byte, kind uint8) {
		s, now := fuzzServer()
		l := Link{From: "f", Zone: "za", Incarnation: 7, ChallengedAt: now - oneSecond}
		before, _ := s.View().Lookup("g")
		digest := s.ownTable.entries["g"].digest()
		_ = s.Receive(now, l, Kind(kind), first)
		_ = s.Receive(now, l, Heartbeat, second)
		s.Tick(now+100*ms, nil)
		after, _ := s.View().Lookup("g")
		require.Equal(t, before, after)
		require.Equal(t, digest, s.ownTable.entries["g"].digest())
		require.Equal(t, 5, s.View().Len())
		requireInvariants(t, s)
		s.TakeMessages()
		s.TakeLinksToClose()
	})
}

// oneSecond is a second, for functions in which a message is named second.
const oneSecond = second

// Whatever another control member sends, this one's own table stays as it is, no control member is listed as attached,
// and all digests match their entries.
func FuzzControlReceive(f *testing.F) {
	entries := []tableEntry{
		{name: "h", zone: "zb", incarnation: 9, servesView: true, challengedAt: 5, supersededIncarnations: []uint64{3}},
		{name: "i", zone: "zb", incarnation: 10},
	}
	m := tableMessage{tableVersion: tableVersion{"m1", 1001, 1, 0}, entries: entries}
	for i := range entries {
		m.digest += entries[i].digest()
	}
	f.Add(uint8(TableUpdate), m.encode(), uint8(TableUpdate), m.encode())
	m.full = true
	f.Add(uint8(TableUpdate), m.encode(), uint8(TablePull), (&pullMessage{home: "m0", epoch: 1000}).encode())
	m.tableVersion.home = "m0"
	versions := encodeVersions(5, []tableVersion{{"m1", 1001, 3, 4}, {"m2", 1002, 0, 9}})
	f.Add(uint8(TableUpdate), m.encode(), uint8(0), versions)
	f.Add(uint8(TablePull), (&pullMessage{home: "m1", epoch: 1001, full: true}).encode(), uint8(9), []byte("garbage"))
	f.Fuzz(func(t *testing.T, kind1 uint8, first []byte, kind2 uint8, second []byte) {
		s, now := fuzzServer()
		before := s.ownTable.version()
		for _, m := range []Message{{Kind: Kind(kind1), Body: first}, {Kind: Kind(kind2), Body: second}} {
			if m.Kind == 0 {
				_ = s.ReceiveVersions(now, "m1", 1001, m.Body)
				continue
			}
			_ = s.ReceiveFromControl(now, "m1", 1001, m.Kind, m.Body)
		}
		s.Tick(now+100*ms, nil)
		require.Equal(t, before, s.ownTable.version())
		requireInvariants(t, s)
		for _, m := range s.TakeMessages() {
			require.Contains(t, []Kind{TablePull, TableUpdate, ViewUpdate}, m.Kind)
		}
	})
}

// Whatever a home sends is either applied as a whole, so that the view has the message's digest, or leaves the view as
// it is.
func FuzzClientReceive(f *testing.F) {
	entries := []change{
		{Entry: Entry{Name: "f", Zone: "za", Role: Attached, Incarnation: 7, Home: "m0"}, challengedAt: 5 * ms},
		{Entry: Entry{Name: "m0", Zone: "za", Incarnation: 1000, Home: "m0"}},
	}
	view := newView()
	view.apply(entries, fromMerge)
	m := viewMessage{
		epoch: 1000, sequence: 1, digest: view.Digest(),
		content: fullBuckets, bucketMask: allBuckets, entries: encodeChanges(entries),
	}
	more := []change{
		{Entry: Entry{Name: "f"}, removed: true},
		{Entry: Entry{Name: "g", Role: Attached, Incarnation: 8, Home: "m1"}},
	}
	changes := viewMessage{
		epoch: 1000, sequence: 2, digest: view.digestAfter(more),
		content: changesSince, baseSequence: 1, entries: encodeChanges(more),
	}
	answer := viewMessage{epoch: 1000, sequence: 1, digest: view.Digest(), isAnswer: true, heartbeatSentAt: 5}
	f.Add(m.encode(), changes.encode())
	f.Add(m.encode(), answer.encode())
	answer.needsBucketDigests, answer.leaving = true, true
	f.Add(answer.encode(), []byte("garbage"))
	packed := m
	packed.entries, packed.compressed = (&compressor{}).compress(append(encodeChanges(entries), make([]byte, 400)...))
	f.Add(packed.encode(), m.encode())
	f.Fuzz(func(t *testing.T, first, second []byte) {
		now := 100 * oneSecond
		c := NewClient(Config{Name: "f", Zone: "za", Incarnation: 7, ControlMembers: threeControls, MaxEntries: 50})
		c.Tick(now)
		c.Tick(now + oneSecond)
		c.LinkOpened(now+oneSecond, "m0", 1000)
		require.Equal(t, "m0", c.Home())
		for _, body := range [][]byte{first, second} {
			before, sequence := c.View().Digest(), c.sequence
			err := c.Receive(now+oneSecond, "m0", 1000, ViewUpdate, body)
			received, decodeErr := decodeViewMessage(body)
			require.True(t, decodeErr == nil || err != nil)
			if after := c.View().Digest(); after != before {
				require.NoError(t, err)
				require.Equal(t, received.digest, after)
				require.Equal(t, received.sequence, c.sequence)
			}
			if err != nil {
				require.Equal(t, sequence, c.sequence)
			}
			require.LessOrEqual(t, c.View().Len(), 50)
			requireViewInvariants(t, c.View())
			for _, e := range c.View().Entries() {
				require.NotNil(t, c.peersByName[e.Home])
			}
		}
		c.Tick(now + 2*oneSecond)
		require.LessOrEqual(t, len(c.TakeMessages()), 6)
		require.GreaterOrEqual(t, c.Next(), now+2*oneSecond)
	})
}
