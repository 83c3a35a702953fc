package fleet

import (
	"testing"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/golden"
)

func recodeHeartbeat(b []byte) ([]byte, error) {
	m, err := decodeControlHeartbeat(b)
	return m.encode(), err
}

func recodeBootstrap(b []byte) ([]byte, error) {
	m, err := decodeBootstrapMessage(b)
	return m.encode(), err
}

func recodeReplication(b []byte) ([]byte, error) {
	m, err := decodeReplicationMessage(b)
	return m.encode(), err
}

func recodeRelay(b []byte) ([]byte, error) {
	m, err := decodeRelayMessage(b)
	return m.encode(), err
}

func recodeForward(b []byte) ([]byte, error) {
	m, err := decodeForwardMessage(b)
	return m.encode(), err
}

func goldenHeartbeats() []golden.Message {
	full := controlHeartbeat{
		Incarnation:     1<<61 + 3,
		ReplicaID:       1 << 40,
		Group:           77,
		Leader:          1 << 40,
		Term:            9,
		AppliedIndex:    1234,
		AppliedChecksum: 1<<63 + 1,
		Leaving:         true,
		Voter:           true,
		Reports:         []heartbeat.Report{{Name: "n2", Incarnation: 5, Age: 100}, {Name: "n3", Age: 70_000}, {}},
		TableVersions:   []byte("versions"),
	}
	withoutLog := controlHeartbeat{Incarnation: 3, ReplicaID: 4, Reports: []heartbeat.Report{{Name: "n2"}}}
	return []golden.Message{
		{Name: "heartbeat", Encoded: full.encode(), Recode: recodeHeartbeat},
		{Name: "heartbeat-empty", Encoded: (&controlHeartbeat{}).encode(), Recode: recodeHeartbeat},
		{Name: "heartbeat-no-record", Encoded: withoutLog.encode(), Recode: recodeHeartbeat},
	}
}

func TestWireFormat(t *testing.T) {
	members := []replication.Member{{ID: 1, Name: "n1", Zone: "a"}, {ID: 2, Name: "n2"}}
	bootstrap := bootstrapMessage{Group: 1 << 55, Members: replication.EncodeMembers(members)}
	replicate := replicationMessage{Group: 77, Message: []byte("a raft message")}
	relay := relayMessage{"n3", "n1", 1 << 61, transport.Replication, []byte("body")}
	forward := forwardMessage{1 << 61, transport.Response, []byte("body")}
	golden.Messages(t, "testdata/messages.txt", append(goldenHeartbeats(), []golden.Message{
		{Name: "founding", Encoded: bootstrap.encode(), Recode: recodeBootstrap},
		{Name: "founding-empty", Encoded: (&bootstrapMessage{}).encode(), Recode: recodeBootstrap},
		{Name: "copied", Encoded: replicate.encode(), Recode: recodeReplication},
		{Name: "copied-empty", Encoded: (&replicationMessage{}).encode(), Recode: recodeReplication},
		{Name: "relayed", Encoded: relay.encode(), Recode: recodeRelay},
		{Name: "relayed-empty", Encoded: (&relayMessage{}).encode(), Recode: recodeRelay},
		{Name: "forwarded", Encoded: forward.encode(), Recode: recodeForward},
		{Name: "forwarded-empty", Encoded: (&forwardMessage{}).encode(), Recode: recodeForward},
	}...))
}
