package fleet

import (
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/raftlog"
)

// A heartbeat has the bytes that it had before front ends could attach, unless the settings allow them.
func TestHeartbeatIsAsBefore(t *testing.T) {
	s := status{Incarnation: 0x1234567890, Copy: 7, Group: 8, Leader: 9, Term: 10, Index: 11, Sum: 12, Leaving: true, Voter: true,
		Reports: []heartbeat.Report{{Name: "n2", Incarnation: 5, Age: 1234}}}
	const before = "0890f1d9a2a302100718082009280a300b380c4001480152090a026e32100518d209"
	assert.Equal(t, before, hex.EncodeToString(s.encode()))

	beat := func(attached *membership.Config) status {
		n := NewNode(Config{Name: "n1", Incarnation: 5, Zones: map[string]string{"n2": ""}, HeartbeatInterval: 100_000, RetryInterval: 200_000, Membership: attached,
			Replication: replication.Config{ID: 6, Replicas: 1, TickInterval: 50_000, SnapshotLogBytes: 1 << 20, Logger: raftlog.New()}}, func(string) {})
		require.NoError(t, n.Recover(1_000_000, nil))
		n.Tick(1_000_000)
		for _, a := range n.Actions() {
			if a, ok := a.(Send); ok && a.Kind == transport.ControlHeartbeat {
				s, err := decodeStatus(a.Body)
				require.NoError(t, err)
				assert.Equal(t, attached == nil, len(s.Versions) == 0)
				again := s.encode()
				assert.Equal(t, a.Body, again)
				return s
			}
		}
		require.Fail(t, "no heartbeat")
		return status{}
	}
	assert.Empty(t, beat(nil).Versions)
	assert.NotEmpty(t, beat(&membership.Config{Name: "n1", Incarnation: 5, ControlMembers: []membership.ControlMember{{Name: "n1"}, {Name: "n2"}}}).Versions)
}
