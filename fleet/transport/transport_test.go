package transport_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chutechute/fleet/transport"
	"chutechute/internal/standin"
)

func TestMain(m *testing.M) { os.Exit(standin.Seeded(m)) }

func pair(secretA, secretB transport.Secret) (*transport.Dialer, *transport.Listener) {
	self := func(name string, n uint64) *transport.Identity {
		return &transport.Identity{Site: "s", Name: name, Incarnation: n, ReplicaID: n, MinVersion: 1, MaxVersion: 1, SettingsDigest: []byte("x")}
	}
	return &transport.Dialer{Local: self("a", 1), ExpectedName: "b", Secret: secretA}, &transport.Listener{Local: self("b", 2), Secret: secretB,
		IsControlMember: func(name string) bool { return name == "a" }}
}

// open goes through the hello of both sides.
func open(d *transport.Dialer, l *transport.Listener) error {
	d.Feed(l.Challenge([16]byte{1, 2, 3}, 1<<20))
	hello, err := d.Process()
	if err != nil {
		return err
	}
	l.Feed(hello)
	welcome, _, err := l.Process()
	if err != nil {
		return err
	}
	d.Feed(welcome)
	_, err = d.Process()
	return err
}

// Messages come whole and in the order of their kind, however the bytes are cut, and a part that comes twice does no harm.
func TestMessagesComeWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, l := pair(transport.Secret("k"), transport.Secret("k"))
		require.NoError(t, open(d, l))
		require.True(t, d.Established() && l.Established())
		q := transport.Queue{MaxUrgentBytes: 1 << 20, MaxBulkBytes: 1 << 22}
		twice := rapid.Bool().Draw(rt, "frames come twice")
		var want [][]byte
		for i := range rapid.IntRange(1, 6).Draw(rt, "messages") {
			body := bytes.Repeat([]byte{byte(i + 1)}, rapid.IntRange(0, 3*transport.MaxFrameBody).Draw(rt, "size"))
			if q.Push(transport.Replication, true, body) {
				want = append(want, body)
			}
		}
		var wire []byte
		for frame := q.Pop(); frame != nil; frame = q.Pop() {
			wire = append(wire, frame...)
			if twice && rapid.Bool().Draw(rt, "twice") {
				wire = append(wire, frame...)
			}
		}
		var got [][]byte
		for len(wire) > 0 {
			n := min(len(wire), rapid.IntRange(1, 100_000).Draw(rt, "cut"))
			l.Feed(wire[:n])
			wire = wire[n:]
			_, list, err := l.Process()
			if err != nil { // a last part that comes twice follows nothing: the link ends
				require.True(rt, twice, "%v", err)
				require.ErrorIs(rt, err, transport.ErrFragmentOrder)
				break
			}
			for _, m := range list {
				got = append(got, m.Body)
			}
		}
		if !twice {
			require.Equal(rt, len(want), len(got))
		}
		next := 0
		for _, body := range got { // each is one that was sent, whole, and none comes before one that was sent earlier
			for next < len(want) && !bytes.Equal(want[next], body) {
				next++
			}
			require.Less(rt, next, len(want))
		}
	})
}

// A heartbeat goes before bulk that waits, and only the newest one.
func TestBulkDelaysNoHeartbeat(t *testing.T) {
	q := transport.Queue{MaxUrgentBytes: 1 << 20, MaxBulkBytes: 1 << 22}
	require.True(t, q.Push(transport.Replication, true, make([]byte, 10*transport.MaxFrameBody)))
	q.Pop()
	require.True(t, q.Push(transport.ControlHeartbeat, false, []byte("old")))
	require.True(t, q.Push(transport.ControlHeartbeat, false, []byte("new")))
	assert.Contains(t, string(q.Pop()), "new")
	assert.Greater(t, len(q.Pop()), transport.MaxFrameBody)
	assert.False(t, q.Push(transport.Replication, true, make([]byte, 1<<22)), "the queue has a bound")
	assert.Equal(t, 1, q.Dropped)
}

// Rubbish, lies about lengths and strangers end a link with an error, and never more than that.
func TestRubbishEndsTheLink(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, l := pair(nil, nil)
		if rapid.Bool().Draw(rt, "open") {
			require.NoError(t, open(d, l))
		} else {
			l.Challenge([16]byte{}, 1<<20)
		}
		l.Feed(rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "bytes"))
		_, list, err := l.Process()
		if err == nil && !l.Established() {
			assert.Empty(t, list)
		}
	})
	d, l := pair(transport.Secret("right"), transport.Secret("wrong"))
	assert.ErrorIs(t, open(d, l), transport.ErrAuthentication)
	d, l = pair(nil, nil)
	d.Local.SettingsDigest = []byte("other")
	assert.ErrorIs(t, open(d, l), transport.ErrSettingsMismatch)
	d, l = pair(nil, nil)
	d.Local.Site = "other"
	assert.ErrorIs(t, open(d, l), transport.ErrSiteMismatch)
	d, l = pair(nil, nil)
	d.Local.MinVersion, d.Local.MaxVersion = 7, 9
	assert.ErrorIs(t, open(d, l), transport.ErrNoCommonVersion)
	d, l = pair(nil, nil)
	d.Local.Name = "stranger"
	assert.ErrorIs(t, open(d, l), transport.ErrNameMismatch)
	l = &transport.Listener{Local: l.Local}
	l.Challenge([16]byte{}, 1<<20)
	l.Feed([]byte{0xff, 0xff, 0xff, 0xff, 2, 0, 0, 0, 0, 0})
	_, _, err := l.Process()
	assert.ErrorIs(t, err, transport.ErrFrameLength)
}
