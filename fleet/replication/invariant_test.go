package replication_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/internal/raftlog"
)

// The Raft library panics on a heartbeat with a commit index beyond the end of the log. The panic must stop the replica
// with the library's message, and not the process.
func TestImpossibleCommitIndexEndsTheReplica(t *testing.T) {
	const (
		now     = 1000 * monotime.Second
		groupID = 77
		other   = 2
		commit  = 99
	)
	replica := replication.New(replication.Config{
		ID: 1, Replicas: 2, TickInterval: 50 * monotime.Millisecond, SnapshotLogBytes: 1 << 20, Logger: raftlog.New(),
	})
	require.NoError(t, replica.Bootstrap(now, groupID, []replication.Member{{ID: 1}, {ID: other}}))
	heartbeat, err := proto.Marshal(&raftpb.Message{
		Type: raftpb.MessageType_MsgHeartbeat.Enum(), To: proto.Uint64(1), From: proto.Uint64(other),
		Term: proto.Uint64(1), Commit: proto.Uint64(commit),
	})
	require.NoError(t, err)
	require.NoError(t, replica.Receive(now, groupID, heartbeat))
	var invariant replication.InvariantError
	require.ErrorAs(t, replica.Err(), &invariant)
	require.Contains(t, invariant.Message, "commit")
	require.Equal(t, "replication: "+invariant.Message, invariant.Error())
	replica.Tick(now+monotime.Second, nil, nil) // a stopped replica does nothing
	require.Zero(t, replica.Term())
}
