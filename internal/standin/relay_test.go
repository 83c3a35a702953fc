package standin

import (
	"bytes"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) { os.Exit(Seeded(m)) }

// frame is one of a kind with a body.
func frame(kind byte, body string) []byte {
	return append([]byte{0, 0, 0, byte(1 + len(body)), kind}, body...)
}

const (
	helloKind = 2
	otherKind = 4
)

// line is a connection through a relay, with what has come at both ends.
type line struct {
	relay      *Relay
	dialler    net.Conn
	listener   net.Conn
	atDialler  *LockedBuffer
	atListener *LockedBuffer
}

func newLine(t *testing.T) *line {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	r, err := NewRelay(l.Addr().String(), NewRandom(1))
	require.NoError(t, err)
	t.Cleanup(r.Close)
	x := &line{relay: r}
	x.dial(t, l)
	return x
}

func (x *line) dial(t *testing.T, l net.Listener) {
	var err error
	x.dialler, err = net.Dial("tcp4", x.relay.Addr)
	require.NoError(t, err)
	x.listener, err = l.Accept()
	require.NoError(t, err)
	x.atDialler, x.atListener = collect(t, x.dialler), collect(t, x.listener)
}

// collect reads all that comes.
func collect(t *testing.T, c net.Conn) *LockedBuffer {
	b := &LockedBuffer{}
	var all sync.WaitGroup
	all.Go(func() { _, _ = io.Copy(b, c) })
	t.Cleanup(func() { c.Close(); all.Wait() })
	return b
}

func (x *line) awaits(t *testing.T, b *LockedBuffer, text string) {
	t.Helper()
	require.Eventually(t, func() bool { return b.String() == text }, Patience, time.Millisecond, "%q", text)
}

// sides is the two directions of a line: what has the faults, who sends, and what came.
func (x *line) sides() []side {
	return []side{{"from who dialled", x.relay.Flow, x.dialler, x.atListener}, {"back", x.relay.Back, x.listener, x.atDialler}}
}

type side struct {
	name string
	flow *Flow
	from net.Conn
	came *LockedBuffer
}

// Each fault holds for the direction that it was put on, and the other goes on.
func TestFaultsHoldForOneDirection(t *testing.T) {
	one, two := frame(otherKind, "one"), frame(otherKind, "two")
	for i := range 2 {
		x := newLine(t)
		faulty, sound := x.sides()[i], x.sides()[1-i]
		t.Run(faulty.name, func(t *testing.T) {
			faulty.flow.Stall(true)
			_, err := faulty.from.Write(one)
			require.NoError(t, err)
			_, err = sound.from.Write(two)
			require.NoError(t, err)
			x.awaits(t, sound.came, string(two))
			assert.Empty(t, faulty.came.String())
			faulty.flow.Stall(false)
			x.awaits(t, faulty.came, string(one))

			faulty.flow.Lose(true)
			_, err = faulty.from.Write(two)
			require.NoError(t, err)
			require.Eventually(t, func() bool { _, _, lost := faulty.flow.Passed(); return lost == 1 }, Patience, time.Millisecond)
			faulty.flow.Lose(false)
			_, err = faulty.from.Write(one)
			require.NoError(t, err)
			x.awaits(t, faulty.came, string(one)+string(one))
		})
	}
}

// A third of all frames come twice, but for those of the hello.
func TestFramesComeTwice(t *testing.T) {
	for i := range 2 {
		x := newLine(t)
		s := x.sides()[i]
		t.Run(s.name, func(t *testing.T) {
			s.flow.Twice(true)
			const sent = 100
			_, err := s.from.Write(bytes.Repeat(append(frame(helloKind, "h"), frame(otherKind, "o")...), sent))
			require.NoError(t, err)
			_, err = s.from.Write(frame(otherKind, "end"))
			require.NoError(t, err)
			over := func() bool { return strings.HasSuffix(s.came.String(), "end") }
			require.Eventually(t, over, Patience, time.Millisecond)
			came := []byte(s.came.String())
			assert.Equal(t, sent, bytes.Count(came, frame(helloKind, "h")))
			assert.Greater(t, bytes.Count(came, frame(otherKind, "o")), sent)
		})
	}
}

// What a process had sent is held back beyond its end, and comes after what a later one sent.
func TestHeldFramesComeLate(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	r, err := NewRelay(l.Addr().String(), NewRandom(1))
	require.NoError(t, err)
	defer r.Close()
	old, later := &line{relay: r}, &line{relay: r}
	old.dial(t, l)
	release := r.Hold()
	_, err = old.dialler.Write(frame(otherKind, "old"))
	require.NoError(t, err)
	require.NoError(t, old.dialler.Close())
	later.dial(t, l)
	_, err = later.dialler.Write(frame(otherKind, "later"))
	require.NoError(t, err)
	later.awaits(t, later.atListener, string(frame(otherKind, "later")))
	assert.Empty(t, old.atListener.String())
	_, err = old.listener.Write(frame(otherKind, "to nobody"))
	require.NoError(t, err)
	release()
	old.awaits(t, old.atListener, string(frame(otherKind, "old")))
}

// What is held back on new connections has the first of them come late, and passes once it is let go.
func TestNewConnectionsHeld(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	r, err := NewRelay(l.Addr().String(), NewRandom(1))
	require.NoError(t, err)
	defer r.Close()
	before := &line{relay: r}
	before.dial(t, l)
	release := r.HoldNew()
	_, err = before.dialler.Read(make([]byte, 1))
	assert.Error(t, err, "it is ended")
	after := &line{relay: r}
	after.dial(t, l)
	_, err = after.dialler.Write(frame(helloKind, "hello"))
	require.NoError(t, err)
	_, err = after.listener.Write(frame(helloKind, "challenge"))
	require.NoError(t, err)
	after.awaits(t, after.atDialler, string(frame(helloKind, "challenge")))
	require.Eventually(t, func() bool { return r.Waiting() == 1 }, Patience, time.Millisecond)
	assert.Empty(t, after.atListener.String())
	release()
	after.awaits(t, after.atListener, string(frame(helloKind, "hello")))
}

// A cut ends both directions at once and refuses what is dialled.
func TestCutEndsBothDirections(t *testing.T) {
	x := newLine(t)
	x.relay.Cut(true)
	for _, c := range []net.Conn{x.dialler, x.listener} {
		require.Eventually(t, func() bool { _, err := c.Write([]byte{0}); return err != nil }, Patience, time.Millisecond)
	}
	c, err := net.Dial("tcp4", x.relay.Addr)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	assert.Error(t, err)
}
