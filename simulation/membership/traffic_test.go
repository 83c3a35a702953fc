package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Frames are counted as package transport makes them, and handshakes as framing.
func TestTrafficCountsFramesAndHandshakes(t *testing.T) {
	var traffic memberTraffic
	traffic.countReceived(kindView, 100)
	traffic.countReceived(kindView, 65<<10)
	traffic.countReceived(kindHello, handshakeSizes.hello)
	assert.Equal(t, trafficCount{2, 100 + 65<<10, 30}, traffic.received[kindView])
	assert.Equal(t, trafficCount{1, 0, int64(handshakeSizes.hello)}, traffic.received[kindHello])
	assert.Equal(t, 10, frameHeaderSize)
	assert.Greater(t, handshakeSizes.hello, 100)
}
