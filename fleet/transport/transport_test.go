package transport_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chutechute/fleet/transport"
	"chutechute/internal/testharness"
)

func TestMain(m *testing.M) { os.Exit(testharness.RunWithFixedSeed(m)) }

// newLink returns both sides of a link from control member a to control member b, before the handshake.
func newLink(dialerSecret, listenerSecret transport.Secret) (*transport.Dialer, *transport.Listener) {
	identity := func(name string, number uint64) *transport.Identity {
		return &transport.Identity{Site: "s", Name: name, Incarnation: number, ReplicaID: number,
			MinVersion: 1, MaxVersion: 1, SettingsDigest: []byte("x")}
	}
	d := &transport.Dialer{Local: identity("a", 1), ExpectedName: "b", Secret: dialerSecret}
	l := &transport.Listener{Local: identity("b", 2), Secret: listenerSecret,
		IsControlMember: func(name string) bool { return name == "a" }}
	return d, l
}

// establish runs the handshake between both sides.
func establish(d *transport.Dialer, l *transport.Listener) error {
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

// Messages of one kind arrive complete and in order, however the byte stream is split. Duplicate frames neither corrupt
// nor reorder messages.
func TestMessagesArriveCompleteAndInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, l := newLink(transport.Secret("k"), transport.Secret("k"))
		require.NoError(t, establish(d, l))
		require.True(t, d.Established() && l.Established())
		q := transport.Queue{MaxUrgentBytes: 1 << 20, MaxBulkBytes: 1 << 22}
		duplicates := rapid.Bool().Draw(rt, "frames are duplicated")
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
			if duplicates && rapid.Bool().Draw(rt, "duplicate") {
				wire = append(wire, frame...)
			}
		}
		var got [][]byte
		for len(wire) > 0 {
			n := min(len(wire), rapid.IntRange(1, 100_000).Draw(rt, "length"))
			l.Feed(wire[:n])
			wire = wire[n:]
			_, messages, err := l.Process()
			if err != nil { // a duplicate of a message's last fragment is out of order and ends the link
				require.True(rt, duplicates, "%v", err)
				require.ErrorIs(rt, err, transport.ErrFragmentOrder)
				break
			}
			for _, m := range messages {
				got = append(got, m.Body)
			}
		}
		if !duplicates {
			require.Equal(rt, len(want), len(got))
		}
		next := 0
		for _, body := range got { // each is complete, was sent, and follows no later one
			for next < len(want) && !bytes.Equal(want[next], body) {
				next++
			}
			require.Less(rt, next, len(want))
		}
	})
}

// A heartbeat is sent before queued bulk messages, and replaces an older one that is still queued.
func TestHeartbeatIsSentBeforeBulkAndOnlyTheNewest(t *testing.T) {
	q := transport.Queue{MaxUrgentBytes: 1 << 20, MaxBulkBytes: 1 << 22}
	require.True(t, q.Push(transport.Replication, true, make([]byte, 10*transport.MaxFrameBody)))
	q.Pop()
	require.True(t, q.Push(transport.ControlHeartbeat, false, []byte("old")))
	require.True(t, q.Push(transport.ControlHeartbeat, false, []byte("new")))
	assert.Contains(t, string(q.Pop()), "new")
	assert.Greater(t, len(q.Pop()), transport.MaxFrameBody)
	assert.False(t, q.Push(transport.Replication, true, make([]byte, 1<<22)), "the queue is bounded")
	assert.Equal(t, 1, q.Dropped)
}

// Malformed input and invalid handshakes end the link with an error; the listener neither panics nor returns a message
// before the end of the handshake.
func TestInvalidInputEndsTheLink(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, l := newLink(nil, nil)
		if rapid.Bool().Draw(rt, "established") {
			require.NoError(t, establish(d, l))
		} else {
			l.Challenge([16]byte{}, 1<<20)
		}
		l.Feed(rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "bytes"))
		_, messages, err := l.Process()
		if err == nil && !l.Established() {
			assert.Empty(t, messages)
		}
	})
	d, l := newLink(transport.Secret("right"), transport.Secret("wrong"))
	assert.ErrorIs(t, establish(d, l), transport.ErrAuthentication)
	d, l = newLink(nil, nil)
	d.Local.SettingsDigest = []byte("other")
	assert.ErrorIs(t, establish(d, l), transport.ErrSettingsMismatch)
	d, l = newLink(nil, nil)
	d.Local.Site = "other"
	assert.ErrorIs(t, establish(d, l), transport.ErrSiteMismatch)
	d, l = newLink(nil, nil)
	d.Local.MinVersion, d.Local.MaxVersion = 7, 9
	assert.ErrorIs(t, establish(d, l), transport.ErrNoCommonVersion)
	d, l = newLink(nil, nil)
	d.Local.Name = "unknown"
	assert.ErrorIs(t, establish(d, l), transport.ErrNameMismatch)
	l = &transport.Listener{Local: l.Local}
	l.Challenge([16]byte{}, 1<<20)
	l.Feed([]byte{0xff, 0xff, 0xff, 0xff, 2, 0, 0, 0, 0, 0})
	_, _, err := l.Process()
	assert.ErrorIs(t, err, transport.ErrFrameLength)
}
