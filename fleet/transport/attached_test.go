package transport_test

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chutechute/fleet/transport"
)

// The hello and welcome of control members have the same bytes as in versions without attached front ends.
func TestHandshakeOfControlMembersIsUnchanged(t *testing.T) {
	identity := func(name, zone string, incarnation, replicaID uint64) *transport.Identity {
		return &transport.Identity{Site: "legon", Name: name, Zone: zone, Incarnation: incarnation, ReplicaID: replicaID,
			MinVersion: 1, MaxVersion: 1, SettingsDigest: []byte{1, 2, 3, 4, 5, 6, 7, 8}}
	}
	secret := transport.Secret("0123456789abcdef")
	d := &transport.Dialer{Local: identity("n1", "room-a", 0x1234567890, 77), ExpectedName: "n2", Secret: secret}
	l := &transport.Listener{Local: identity("n2", "room-b", 9, 78), Secret: secret,
		IsControlMember: func(string) bool { return true }, AcceptsAttached: true}
	d.Feed(l.Challenge([16]byte{}, 1<<20))
	hello, err := d.Process()
	require.NoError(t, err)
	assert.Equal(t, "000000580200000000000a2e0a056c65676f6e12026e311a06726f6f6d2d612090f1d9a2a302284d30013801"+
		"420801020304050607084a026e32122084735e08b2aa7c8e0f4d80a1c9a4599f5249ae1c195cb949486fb454914e9ecf",
		hex.EncodeToString(hello))
	l.Feed(hello)
	welcome, _, err := l.Process()
	require.NoError(t, err)
	assert.Equal(t, "000000530300000000000a290a056c65676f6e12026e321a06726f6f6d2d622009284e30013801420801020304"+
		"050607084a026e311220472b1687f1b0fe5385ccef70ebb39d1ca71ad06a3162915f82582ec92ccd7c8b",
		hex.EncodeToString(welcome))
}

// A listener accepts a dialer only if its name is valid for its role and the listener accepts that role.
func TestListenerChecksNameAndRole(t *testing.T) {
	for _, c := range []struct {
		description     string
		name            string
		attached        bool
		acceptsAttached bool
		want            error
	}{
		{"a control member", "a", false, false, nil},
		{"a control member where others may attach", "a", false, true, nil},
		{"an unknown name in the role of a control member", "x", false, true, transport.ErrNameMismatch},
		{"an attached one", "x-1.Y_2", true, true, nil},
		{"an attached one where none may", "x", true, false, transport.ErrRoleMismatch},
		{"an attached one under a control member's name", "a", true, true, transport.ErrRoleMismatch},
		{"an attached one under the listener's name", "b", true, true, transport.ErrRoleMismatch},
		{"no name", "", true, true, transport.ErrNameMismatch},
		{"a name with a newline", "x\n", true, true, transport.ErrNameMismatch},
		{"a name that is not ASCII", "xé", true, true, transport.ErrNameMismatch},
		{"the longest name", strings.Repeat("x", transport.MaxNameLength), true, true, nil},
		{"a name that is too long", strings.Repeat("x", transport.MaxNameLength+1), true, true, transport.ErrNameMismatch},
	} {
		d, l := newLink(nil, nil)
		d.Local.Name, d.Local.Attached, l.AcceptsAttached = c.name, c.attached, c.acceptsAttached
		err := establish(d, l)
		if c.want == nil {
			require.NoError(t, err, c.description)
			assert.Equal(t, c.attached, l.Remote.Attached, c.description)
			continue
		}
		assert.ErrorIs(t, err, c.want, c.description)
		assert.False(t, l.Established(), c.description)
	}
	d, l := newLink(nil, nil)
	l.Local.Attached = true
	assert.ErrorIs(t, establish(d, l), transport.ErrRoleMismatch, "attached front ends accept no links")
	d, l = newAttachedLink(transport.MaxFrameBody)
	l.AtCapacity = true
	assert.ErrorIs(t, establish(d, l), transport.ErrAtCapacity)
	d, l = newLink(nil, nil)
	l.AcceptsAttached, l.AtCapacity = true, true
	assert.NoError(t, establish(d, l), "the limit does not apply to control members")
}

// newAttachedLink returns both sides of a link from an attached front end to a control member, before the handshake.
// The attached front end accepts messages of up to maxInbound bytes.
func newAttachedLink(maxInbound int) (*transport.Dialer, *transport.Listener) {
	d, l := newLink(nil, nil)
	d.Local.Name, d.Local.Attached, d.MaxInbound, l.AcceptsAttached = "x", true, maxInbound, true
	return d, l
}

// Only an attached front end receives messages over a link that it dialed.
func TestOnlyAttachedDialersReceiveMessages(t *testing.T) {
	d, l := newLink(nil, nil)
	require.NoError(t, establish(d, l))
	d.Feed(transport.AppendFrame(nil, transport.ViewUpdate, 0, false, []byte("view")))
	_, err := d.Process()
	assert.ErrorIs(t, err, transport.ErrUnexpectedFrame)
	assert.Empty(t, d.TakeMessages())

	d, l = newAttachedLink(4 * transport.MaxFrameBody)
	require.NoError(t, establish(d, l))
	q := transport.Queue{MaxUrgentBytes: 1 << 20, MaxBulkBytes: 1 << 20}
	long := bytes.Repeat([]byte("v"), 3*transport.MaxFrameBody)
	require.True(t, q.Push(transport.ViewUpdate, true, long))
	d.Feed(q.Pop())
	require.True(t, q.Push(transport.ViewUpdate, false, []byte("urgent")), "between two fragments of the same kind")
	for frame := q.Pop(); frame != nil; frame = q.Pop() {
		d.Feed(frame)
		_, err := d.Process()
		require.NoError(t, err)
	}
	assert.Equal(t, []transport.Message{
		{Kind: transport.ViewUpdate, Body: []byte("urgent")},
		{Kind: transport.ViewUpdate, Body: long},
	}, d.TakeMessages())
	assert.Empty(t, d.TakeMessages())
	require.True(t, q.Push(transport.ViewUpdate, true, bytes.Repeat([]byte("v"), 5*transport.MaxFrameBody)))
	for frame := q.Pop(); frame != nil; frame = q.Pop() {
		d.Feed(frame)
	}
	_, err = d.Process()
	assert.ErrorIs(t, err, transport.ErrFrameLength)
	assert.Empty(t, d.TakeMessages(), "the message is too long")
}

// DropUnstarted keeps the remaining frames of a started message, so that the reader can decode the messages after it.
func TestDropUnstartedKeepsTheRestOfAStartedMessage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, l := newAttachedLink(1 << 22)
		require.NoError(rt, establish(d, l))
		q := transport.Queue{MaxUrgentBytes: 1 << 22, MaxBulkBytes: 1 << 22}
		sent := 0
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				body := bytes.Repeat([]byte{byte(sent)}, rapid.IntRange(1, 4*transport.MaxFrameBody).Draw(rt, "size"))
				if q.Push(transport.ViewUpdate, true, body) {
					sent++
				}
			case 1:
				body := make([]byte, rapid.IntRange(1, 2*transport.MaxFrameBody).Draw(rt, "size"))
				require.True(rt, q.Push(transport.Response, false, body))
			case 2:
				q.DropUnstarted()
			default:
				d.Feed(q.Pop())
			}
		}
		q.DropUnstarted()
		require.LessOrEqual(rt, q.QueuedBytes(), 8*(transport.MaxFrameBody+10))
		for frame := q.Pop(); frame != nil; frame = q.Pop() {
			d.Feed(frame)
		}
		require.Zero(rt, q.QueuedBytes())
		require.True(rt, q.Push(transport.ViewUpdate, true, bytes.Repeat([]byte{255}, 3*transport.MaxFrameBody)))
		for frame := q.Pop(); frame != nil; frame = q.Pop() {
			d.Feed(frame)
		}
		_, err := d.Process()
		require.NoError(rt, err)
		messages := d.TakeMessages()
		require.NotEmpty(rt, messages)
		require.Len(rt, messages[len(messages)-1].Body, 3*transport.MaxFrameBody)
		for _, m := range messages {
			require.Equal(rt, len(m.Body), bytes.Count(m.Body, m.Body[:1]), "fragments of different messages are mixed")
		}
	})
}

// FuzzListener feeds arbitrary bytes to a listener that accepts attached front ends. The listener must not panic, nor
// return a message before the end of the handshake or one above the length limit.
func FuzzListener(f *testing.F) {
	identity := &transport.Identity{Site: "s", Name: "x", Zone: "z", Incarnation: 3, MinVersion: 1, MaxVersion: 1,
		SettingsDigest: []byte("x"), Attached: true}
	d := &transport.Dialer{Local: identity, ExpectedName: "b"}
	d.Feed(transport.AppendFrame(nil, transport.Challenge, 0, false, make([]byte, 16)))
	hello, err := d.Process()
	require.NoError(f, err)
	f.Add(hello)
	f.Add(transport.AppendFrame(bytes.Clone(hello), transport.AttachedHeartbeat, 0, false, []byte("beat")))
	f.Add(transport.AppendFrame(bytes.Clone(hello), transport.Proposal, 0, true, []byte("part")))
	f.Add(transport.AppendFrame(bytes.Clone(hello), transport.Proposal, 7, false, []byte("later part")))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 2, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		const maxInbound = 1 << 17
		_, l := newLink(nil, nil)
		l.AcceptsAttached = true
		l.Challenge([16]byte{}, maxInbound)
		for len(b) > 0 {
			n := min(len(b), 1+len(b)/3)
			l.Feed(b[:n])
			b = b[n:]
			_, messages, err := l.Process()
			if !l.Established() && len(messages) > 0 {
				t.Fatal("a message before the handshake")
			}
			for _, m := range messages {
				if m.Kind <= transport.Welcome || len(m.Body) > maxInbound {
					t.Fatalf("%s of %d bytes", m.Kind, len(m.Body))
				}
			}
			if err != nil {
				return
			}
		}
	})
}
