package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Frame headers are counted as package transport encodes them, and handshakes count as framing.
func TestTrafficCountsFramesAndHandshakes(t *testing.T) {
	var traffic memberTraffic
	traffic.countReceived(kindView, 100)
	traffic.countReceived(kindView, 65<<10)
	traffic.countReceived(kindHandshake, handshakeSizes.hello)
	assert.Equal(t, trafficCount{2, 100 + 65<<10, 30}, traffic.received[kindView])
	assert.Equal(t, trafficCount{1, 0, int64(handshakeSizes.hello)}, traffic.received[kindHandshake])
	assert.Equal(t, 10, frameHeaderSize)
	assert.Greater(t, handshakeSizes.hello, 100)
}
