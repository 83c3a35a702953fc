package testharness

import (
	"bytes"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) { os.Exit(RunWithFixedSeed(m)) }

// Kinds of the frames in these tests: one of the handshake, and one that is sent after it.
const (
	handshakeKind = 2
	otherKind     = 4
)

// frame returns a frame that has only the parts that the proxy reads, length and kind, and a body.
func frame(kind byte, body string) []byte {
	return append([]byte{0, 0, 0, byte(1 + len(body)), kind}, body...)
}

// proxiedConn is one connection through a proxy, with the data received at both ends.
type proxiedConn struct {
	proxy            *FaultProxy
	dialer           net.Conn
	target           net.Conn
	receivedByDialer *LogBuffer
	receivedByTarget *LogBuffer
}

// newProxy starts a proxy and the listener that is its target.
func newProxy(t *testing.T) (*FaultProxy, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	proxy, err := NewFaultProxy(listener.Addr().String(), NewRandom(1))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	return proxy, listener
}

// dial opens a connection through a proxy.
func dial(t *testing.T, proxy *FaultProxy, listener net.Listener) *proxiedConn {
	t.Helper()
	dialer, err := net.Dial("tcp4", proxy.Addr)
	require.NoError(t, err)
	target, err := listener.Accept()
	require.NoError(t, err)
	return &proxiedConn{proxy: proxy, dialer: dialer, target: target,
		receivedByDialer: collect(t, dialer), receivedByTarget: collect(t, target)}
}

// newProxiedConn opens a connection through a new proxy.
func newProxiedConn(t *testing.T) *proxiedConn {
	t.Helper()
	proxy, listener := newProxy(t)
	return dial(t, proxy, listener)
}

// collect reads everything that is received on a connection into a buffer.
func collect(t *testing.T, conn net.Conn) *LogBuffer {
	received := &LogBuffer{}
	var reader sync.WaitGroup
	reader.Go(func() { _, _ = io.Copy(received, conn) })
	t.Cleanup(func() { conn.Close(); reader.Wait() })
	return received
}

// write writes frames to a connection.
func write(t *testing.T, conn net.Conn, frames ...[]byte) {
	t.Helper()
	_, err := conn.Write(bytes.Join(frames, nil))
	require.NoError(t, err)
}

// eventually waits until a condition is met. The test fails if it isn't met in time.
func eventually(t *testing.T, condition func() bool, description ...any) {
	t.Helper()
	require.Eventually(t, condition, WaitTimeout, fastPollInterval, description...)
}

// requireReceived waits until the data received is exactly the given frames.
func requireReceived(t *testing.T, received *LogBuffer, frames ...[]byte) {
	t.Helper()
	expected := string(bytes.Join(frames, nil))
	eventually(t, func() bool { return received.String() == expected }, "%q", expected)
}

// direction is one direction of a connection: the proxy's faults for it, its sender, and the data received.
type direction struct {
	name     string
	faults   *ProxyDirection
	sender   net.Conn
	received *LogBuffer
}

// directions returns both directions of a connection.
func (c *proxiedConn) directions() [2]direction {
	return [2]direction{
		{"dialer to target", c.proxy.ProxyDirection, c.dialer, c.receivedByTarget},
		{"target to dialer", c.proxy.ToDialer, c.target, c.receivedByDialer},
	}
}

// Stalling or dropping frames in one direction must not affect the other direction.
func TestFaultAffectsOnlyItsDirection(t *testing.T) {
	one, two := frame(otherKind, "one"), frame(otherKind, "two")
	for i := range 2 {
		conn := newProxiedConn(t)
		faulty, healthy := conn.directions()[i], conn.directions()[1-i]
		t.Run(faulty.name, func(t *testing.T) {
			faulty.faults.SetStalled(true)
			write(t, faulty.sender, one)
			write(t, healthy.sender, two)
			requireReceived(t, healthy.received, two)
			assert.Empty(t, faulty.received.String())
			faulty.faults.SetStalled(false)
			requireReceived(t, faulty.received, one)

			faulty.faults.SetDropping(true)
			write(t, faulty.sender, two)
			eventually(t, func() bool { _, _, dropped := faulty.faults.FrameCounts(); return dropped == 1 })
			faulty.faults.SetDropping(false)
			write(t, faulty.sender, one)
			requireReceived(t, faulty.received, one, one)
		})
	}
}

// Duplication must forward some frames twice, but none of the handshake.
func TestDuplicationSparesHandshakeFrames(t *testing.T) {
	for i := range 2 {
		conn := newProxiedConn(t)
		duplicating := conn.directions()[i]
		t.Run(duplicating.name, func(t *testing.T) {
			handshake, other := frame(handshakeKind, "h"), frame(otherKind, "o")
			duplicating.faults.SetDuplicating(true)
			const sent = 100
			write(t, duplicating.sender, bytes.Repeat(append(bytes.Clone(handshake), other...), sent))
			write(t, duplicating.sender, frame(otherKind, "end"))
			eventually(t, func() bool { return strings.HasSuffix(duplicating.received.String(), "end") })
			received := []byte(duplicating.received.String())
			assert.Equal(t, sent, bytes.Count(received, handshake))
			assert.Greater(t, bytes.Count(received, other), sent)
		})
	}
}

// Frames held back on an open connection must survive its end, and arrive after the frames of a later connection.
func TestHeldFramesArriveAfterThoseOfLaterConnection(t *testing.T) {
	proxy, listener := newProxy(t)
	old := dial(t, proxy, listener)
	release := proxy.HoldCurrentConnections()
	write(t, old.dialer, frame(otherKind, "old"))
	require.NoError(t, old.dialer.Close())
	later := dial(t, proxy, listener)
	write(t, later.dialer, frame(otherKind, "later"))
	requireReceived(t, later.receivedByTarget, frame(otherKind, "later"))
	assert.Empty(t, old.receivedByTarget.String())
	write(t, old.target, frame(otherKind, "to nobody"))
	release()
	requireReceived(t, old.receivedByTarget, frame(otherKind, "old"))
}

// Holding new connections must close the open one, and on new ones delay what the dialer sends, but not what the target
// sends.
func TestHoldNewDelaysOnlyDialerOfNewConnection(t *testing.T) {
	proxy, listener := newProxy(t)
	before := dial(t, proxy, listener)
	release := proxy.HoldNewConnections()
	_, err := before.dialer.Read(make([]byte, 1))
	assert.Error(t, err, "the connection is closed")
	after := dial(t, proxy, listener)
	write(t, after.dialer, frame(handshakeKind, "hello"))
	write(t, after.target, frame(handshakeKind, "challenge"))
	requireReceived(t, after.receivedByDialer, frame(handshakeKind, "challenge"))
	eventually(t, func() bool { return proxy.PendingFrames() == 1 })
	assert.Empty(t, after.receivedByTarget.String())
	release()
	requireReceived(t, after.receivedByTarget, frame(handshakeKind, "hello"))
}

// A partition must close the connections to the dialer and to the target, and new ones must be refused.
func TestCutClosesBothConnectionsAndRefusesNewOnes(t *testing.T) {
	conn := newProxiedConn(t)
	conn.proxy.SetCut(true)
	for _, end := range []net.Conn{conn.dialer, conn.target} {
		eventually(t, func() bool { _, err := end.Write([]byte{0}); return err != nil })
	}
	refused, err := net.Dial("tcp4", conn.proxy.Addr)
	require.NoError(t, err)
	defer refused.Close()
	_, err = refused.Read(make([]byte, 1))
	assert.Error(t, err)
}
