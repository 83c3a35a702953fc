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

// The hello and the welcome of control members have the bytes that they had before front ends could attach.
func TestHelloOfControlMembersIsAsBefore(t *testing.T) {
	self := func(name, zone string, incarnation, disk uint64) *transport.Identity {
		return &transport.Identity{Site: "legon", Name: name, Zone: zone, Incarnation: incarnation, ReplicaID: disk, MinVersion: 1, MaxVersion: 1,
			SettingsDigest: []byte{1, 2, 3, 4, 5, 6, 7, 8}}
	}
	secret := transport.Secret("0123456789abcdef")
	d := &transport.Dialer{Local: self("n1", "room-a", 0x1234567890, 77), ExpectedName: "n2", Secret: secret}
	l := &transport.Listener{Local: self("n2", "room-b", 9, 78), Secret: secret, IsControlMember: func(string) bool { return true }, AcceptsAttached: true}
	d.Feed(l.Challenge([16]byte{}, 1<<20))
	hello, err := d.Process()
	require.NoError(t, err)
	assert.Equal(t, "000000580200000000000a2e0a056c65676f6e12026e311a06726f6f6d2d612090f1d9a2a302284d30013801420801020304050607084a026e32122084735e08"+
		"b2aa7c8e0f4d80a1c9a4599f5249ae1c195cb949486fb454914e9ecf", hex.EncodeToString(hello))
	l.Feed(hello)
	welcome, _, err := l.Process()
	require.NoError(t, err)
	assert.Equal(t, "000000530300000000000a290a056c65676f6e12026e321a06726f6f6d2d622009284e30013801420801020304050607084a026e311220472b1687f1b0fe5385"+
		"ccef70ebb39d1ca71ad06a3162915f82582ec92ccd7c8b", hex.EncodeToString(welcome))
}

// Who may link with whom, by names and roles.
func TestNameAndRoleFitOneAnother(t *testing.T) {
	for _, c := range []struct {
		about             string
		name              string
		attached, attache bool
		want              error
	}{
		{"a control member, as ever", "a", false, false, nil},
		{"a control member where others may attach", "a", false, true, nil},
		{"a stranger that says it is a control member", "x", false, true, transport.ErrNameMismatch},
		{"an attached one", "x-1.Y_2", true, true, nil},
		{"an attached one where none may", "x", true, false, transport.ErrRoleMismatch},
		{"an attached one under a control member's name", "a", true, true, transport.ErrRoleMismatch},
		{"an attached one under the listener's name", "b", true, true, transport.ErrRoleMismatch},
		{"no name", "", true, true, transport.ErrNameMismatch},
		{"a name with a line's end", "x\n", true, true, transport.ErrNameMismatch},
		{"a name that is not ASCII", "xé", true, true, transport.ErrNameMismatch},
		{"the longest name", strings.Repeat("x", transport.MaxNameLength), true, true, nil},
		{"a name that is too long", strings.Repeat("x", transport.MaxNameLength+1), true, true, transport.ErrNameMismatch},
	} {
		d, l := pair(nil, nil)
		d.Local.Name, d.Local.Attached, l.AcceptsAttached = c.name, c.attached, c.attache
		err := open(d, l)
		if c.want == nil {
			require.NoError(t, err, c.about)
			assert.Equal(t, c.attached, l.Remote.Attached, c.about)
			continue
		}
		assert.ErrorIs(t, err, c.want, c.about)
		assert.False(t, l.Established(), c.about)
	}
	d, l := pair(nil, nil)
	l.Local.Attached = true
	assert.ErrorIs(t, open(d, l), transport.ErrRoleMismatch, "no front end attaches to an attached one")
	d, l = attachedPair(transport.MaxFrameBody)
	l.AtCapacity = true
	assert.ErrorIs(t, open(d, l), transport.ErrAtCapacity)
	d, l = pair(nil, nil)
	l.AcceptsAttached, l.AtCapacity = true, true
	assert.NoError(t, open(d, l), "there is always room for a control member")
}

// attachedPair is an attached front end, which takes messages up to a limit, and a control member.
func attachedPair(limit int) (*transport.Dialer, *transport.Listener) {
	d, l := pair(nil, nil)
	d.Local.Name, d.Local.Attached, d.MaxInbound, l.AcceptsAttached = "x", true, limit, true
	return d, l
}

// Only an attached front end is sent messages over the link that it has dialled.
func TestOnlyAttachedFrontEndsReceiveWhereTheyDial(t *testing.T) {
	d, l := pair(nil, nil)
	require.NoError(t, open(d, l))
	d.Feed(transport.AppendFrame(nil, transport.ViewUpdate, 0, false, []byte("view")))
	_, err := d.Process()
	assert.ErrorIs(t, err, transport.ErrUnexpectedFrame)
	assert.Empty(t, d.Messages())

	d, l = attachedPair(4 * transport.MaxFrameBody)
	require.NoError(t, open(d, l))
	q := transport.Queue{MaxUrgentBytes: 1 << 20, MaxBulkBytes: 1 << 20}
	long := bytes.Repeat([]byte("v"), 3*transport.MaxFrameBody)
	require.True(t, q.Push(transport.ViewUpdate, true, long))
	d.Feed(q.Pop())
	require.True(t, q.Push(transport.ViewUpdate, false, []byte("urgent")), "between two parts of the same kind")
	for frame := q.Pop(); frame != nil; frame = q.Pop() {
		d.Feed(frame)
		_, err := d.Process()
		require.NoError(t, err)
	}
	assert.Equal(t, []transport.Message{{Kind: transport.ViewUpdate, Body: []byte("urgent")}, {Kind: transport.ViewUpdate, Body: long}}, d.Messages())
	assert.Empty(t, d.Messages())
	require.True(t, q.Push(transport.ViewUpdate, true, bytes.Repeat([]byte("v"), 5*transport.MaxFrameBody)))
	for frame := q.Pop(); frame != nil; frame = q.Pop() {
		d.Feed(frame)
	}
	_, err = d.Process()
	assert.ErrorIs(t, err, transport.ErrFrameLength)
	assert.Empty(t, d.Messages(), "a message above the limit")
}

// A queue that drops what waits leaves the rest of a message that was begun, so that the reader can go on.
func TestDroppingKeepsWhatWasBegun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d, l := attachedPair(1 << 22)
		require.NoError(rt, open(d, l))
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
				require.True(rt, q.Push(transport.Response, false, make([]byte, rapid.IntRange(1, 2*transport.MaxFrameBody).Draw(rt, "size"))))
			case 2:
				q.DropUnstarted()
			default:
				d.Feed(q.Pop())
			}
		}
		q.DropUnstarted()
		require.LessOrEqual(rt, q.Len(), 8*(transport.MaxFrameBody+10))
		for frame := q.Pop(); frame != nil; frame = q.Pop() {
			d.Feed(frame)
		}
		require.Zero(rt, q.Len())
		require.True(rt, q.Push(transport.ViewUpdate, true, bytes.Repeat([]byte{255}, 3*transport.MaxFrameBody)))
		for frame := q.Pop(); frame != nil; frame = q.Pop() {
			d.Feed(frame)
		}
		_, err := d.Process()
		require.NoError(rt, err)
		list := d.Messages()
		require.NotEmpty(rt, list)
		require.Len(rt, list[len(list)-1].Body, 3*transport.MaxFrameBody)
		for _, m := range list {
			require.Equal(rt, len(m.Body), bytes.Count(m.Body, m.Body[:1]), "a message is of one piece")
		}
	})
}

// FuzzListener feeds what anyone may send to a listener that attached front ends may link to: it never panics, gives no message before
// a hello that holds, and takes none that is longer than its bound.
func FuzzListener(f *testing.F) {
	identity := &transport.Identity{Site: "s", Name: "x", Zone: "z", Incarnation: 3, MinVersion: 1, MaxVersion: 1, SettingsDigest: []byte("x"), Attached: true}
	d := &transport.Dialer{Local: identity, ExpectedName: "b"}
	d.Feed(transport.AppendFrame(nil, transport.Challenge, 0, false, make([]byte, 16)))
	hello, err := d.Process()
	require.NoError(f, err)
	f.Add(hello)
	f.Add(append(bytes.Clone(hello), transport.AppendFrame(nil, transport.AttachedHeartbeat, 0, false, []byte("beat"))...))
	f.Add(append(bytes.Clone(hello), transport.AppendFrame(nil, transport.Proposal, 0, true, []byte("part"))...))
	f.Add(append(bytes.Clone(hello), transport.AppendFrame(nil, transport.Proposal, 7, false, []byte("later part"))...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 2, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		const most = 1 << 17
		_, l := pair(nil, nil)
		l.AcceptsAttached = true
		l.Challenge([16]byte{}, most)
		for len(b) > 0 {
			n := min(len(b), 1+len(b)/3)
			l.Feed(b[:n])
			b = b[n:]
			_, list, err := l.Process()
			if !l.Established() && len(list) > 0 {
				t.Fatal("a message before the hello")
			}
			for _, m := range list {
				if m.Kind <= transport.Welcome || len(m.Body) > most {
					t.Fatalf("%s of %d bytes", m.Kind, len(m.Body))
				}
			}
			if err != nil {
				return
			}
		}
	})
}
