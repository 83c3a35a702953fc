package eventloop

import (
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chutechute/internal/ring"
)

// byteCount is a ByteCounter that adds up the bytes.
type byteCount struct{ read, written int }

func (c *byteCount) BytesRead(n int)    { c.read += n }
func (c *byteCount) BytesWritten(n int) { c.written += n }

// connectedStreams returns both ends of a connection, registered with the same loop.
func connectedStreams(t *testing.T) (a, b *Stream) {
	t.Helper()
	loop, err := NewLoop()
	require.NoError(t, err)
	t.Cleanup(loop.Close)
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	budget := &ring.Budget{Max: 1 << 20}
	var streams []*Stream
	for _, fd := range fds {
		s := NewStream(loop, fd, 1<<16, 1<<16, budget)
		require.NoError(t, loop.Add(fd, unix.EPOLLIN, nil))
		t.Cleanup(s.Close)
		streams = append(streams, &s)
	}
	return streams[0], streams[1]
}

// Bytes are counted only on a stream that has a counter.
func TestStreamCountsBytesForItsCounterOnly(t *testing.T) {
	a, b := connectedStreams(t)
	counter := &byteCount{}
	b.Counter = counter
	_, err := a.Out.Write([]byte("hello"))
	require.NoError(t, err)
	require.NoError(t, a.Flush())
	require.True(t, b.Fill())
	assert.Equal(t, byteCount{read: 5}, *counter)
	_, err = b.Out.Write([]byte("good day"))
	require.NoError(t, err)
	require.NoError(t, b.Flush())
	require.True(t, a.Fill())
	assert.Equal(t, byteCount{read: 5, written: 8}, *counter)
}

// Fill reports the end of the stream after the peer has closed the connection. Closing a stream twice is harmless.
func TestStreamEndsWhenPeerCloses(t *testing.T) {
	a, b := connectedStreams(t)
	assert.True(t, b.PeerIdle())
	a.Close()
	a.Close()
	assert.False(t, b.PeerIdle())
	assert.False(t, b.Fill())
}

// Guards against a call that arrives after its attempt counts as ended: the system goes on to deliver what was written
// before Close, however much later, and discards it at Abort.
func TestAbortDiscardsWhatWasNotDelivered(t *testing.T) {
	for name, end := range map[string]func(*Stream){"close": (*Stream).Close, "abort": (*Stream).Abort} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		fd, err := Dial(netip.MustParseAddrPort(listener.Addr().String()))
		require.NoError(t, err)
		peer, err := listener.Accept()
		require.NoError(t, err)
		defer peer.Close()
		loop, err := NewLoop()
		require.NoError(t, err)
		defer loop.Close()
		const size = 8 << 20 // more than the peer's system receives unread
		s := NewStream(loop, fd, size, size, &ring.Budget{Max: 2 * size})
		require.NoError(t, loop.Add(fd, unix.EPOLLIN, nil))
		_, err = s.Out.Write(make([]byte, size))
		require.NoError(t, err)
		require.NoError(t, s.Flush())
		written := size - s.Out.Len()
		end(&s)
		received, err := io.Copy(io.Discard, peer)
		if name == "close" {
			require.NoError(t, err)
			assert.EqualValues(t, written, received)
		} else {
			assert.ErrorIs(t, err, unix.ECONNRESET)
			assert.Less(t, received, int64(written))
		}
	}
}
