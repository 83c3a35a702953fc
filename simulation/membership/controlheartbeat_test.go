package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// Decoding an encoded heartbeat returns the same heartbeat.
func TestControlHeartbeatRoundTrip(t *testing.T) {
	s := newSimulation(smallShape())
	h := controlHeartbeat{incarnation: 7, leaving: true, tableVersions: []byte("v")}
	monitor := startProcess(s, s.controlMembers[0]).control.monitor
	require.True(t, monitor.Observe(5*monotime.Second, "control-02", 9, 0, false, nil))
	monitor.Tick(6 * monotime.Second)
	h.reports = monitor.Reports()
	got, err := decodeControlHeartbeat(h.encode())
	require.NoError(t, err)
	assert.Equal(t, h, got)
}
