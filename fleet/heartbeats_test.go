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

// sentHeartbeat returns the decoded first heartbeat that a control member sends.
func sentHeartbeat(t *testing.T, attached *membership.Config) controlHeartbeat {
	t.Helper()
	n := NewNode(Config{
		Name:              "n1",
		Incarnation:       5,
		PeerZones:         map[string]string{"n2": ""},
		HeartbeatInterval: 100_000,
		RetryInterval:     200_000,
		Membership:        attached,
		Replication: replication.Config{
			ID:               6,
			Replicas:         1,
			TickInterval:     50_000,
			SnapshotLogBytes: 1 << 20,
			Logger:           raftlog.New(),
		},
	}, func(string) {})
	require.NoError(t, n.Recover(1_000_000, nil))
	n.Tick(1_000_000)
	for _, action := range n.Actions() {
		if sent, ok := action.(Send); ok && sent.Kind == transport.ControlHeartbeat {
			m, err := decodeControlHeartbeat(sent.Body)
			require.NoError(t, err)
			assert.Equal(t, attached == nil, len(m.TableVersions) == 0)
			assert.Equal(t, sent.Body, m.encode())
			return m
		}
	}
	require.Fail(t, "no heartbeat")
	return controlHeartbeat{}
}

// A heartbeat has the same encoding as before front ends could attach, unless the settings allow them to.
func TestHeartbeatIsUnchangedUnlessFrontEndsMayAttach(t *testing.T) {
	m := controlHeartbeat{
		Incarnation:     0x1234567890,
		ReplicaID:       7,
		Group:           8,
		Leader:          9,
		Term:            10,
		AppliedIndex:    11,
		AppliedChecksum: 12,
		Leaving:         true,
		Voter:           true,
		Reports:         []heartbeat.Report{{Name: "n2", Incarnation: 5, Age: 1234}},
	}
	const earlierEncoding = "0890f1d9a2a302100718082009280a300b380c4001480152090a026e32100518d209"
	assert.Equal(t, earlierEncoding, hex.EncodeToString(m.encode()))

	assert.Empty(t, sentHeartbeat(t, nil).TableVersions)
	controlMembers := []membership.ControlMember{{Name: "n1"}, {Name: "n2"}}
	attached := &membership.Config{Name: "n1", Incarnation: 5, ControlMembers: controlMembers}
	assert.NotEmpty(t, sentHeartbeat(t, attached).TableVersions)
}
