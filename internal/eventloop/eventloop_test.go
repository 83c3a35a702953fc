package eventloop

import (
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
