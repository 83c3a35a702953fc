package eventloop

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chutechute/internal/ring"
)

// byteCount counts what a stream reads and writes.
type byteCount struct{ read, written int }

func (c *byteCount) BytesRead(n int)    { c.read += n }
func (c *byteCount) BytesWritten(n int) { c.written += n }

// connectedStreams returns the two ends of a connection, registered with one loop.
func connectedStreams(t *testing.T) (a, b *Stream) {
	t.Helper()
	loop, err := NewLoop()
	require.NoError(t, err)
	t.Cleanup(loop.Close)
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	budget := &ring.Budget{Most: 1 << 20}
	var list []*Stream
	for _, fd := range fds {
		s := NewStream(loop, fd, 1<<16, 1<<16, budget)
		require.NoError(t, loop.Add(fd, unix.EPOLLIN, nil))
		t.Cleanup(s.Close)
		list = append(list, &s)
	}
	return list[0], list[1]
}

// Bytes are counted where a stream has a counter; without one nothing is.
func TestStreamCountsBytesForItsCounterOnly(t *testing.T) {
	a, b := connectedStreams(t)
	count := &byteCount{}
	b.Counter = count
	_, err := a.Out.Write([]byte("hello"))
	require.NoError(t, err)
	require.NoError(t, a.Flush())
	require.True(t, b.Fill())
	assert.Equal(t, byteCount{read: 5}, *count)
	_, err = b.Out.Write([]byte("good day"))
	require.NoError(t, err)
	require.NoError(t, b.Flush())
	require.True(t, a.Fill())
	assert.Equal(t, byteCount{read: 5, written: 8}, *count)
}

// After the peer's end a stream has nothing more, and a closed one is closed once.
func TestStreamEnds(t *testing.T) {
	a, b := connectedStreams(t)
	assert.True(t, b.PeerSilent())
	a.Close()
	a.Close()
	assert.False(t, b.PeerSilent())
	assert.False(t, b.Fill())
}
