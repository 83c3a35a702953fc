package fleet

import (
	"testing"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/golden"
)

func TestWireFormat(t *testing.T) {
	recodeStatus := func(b []byte) ([]byte, error) {
		s, err := decodeStatus(b)
		return s.encode(), err
	}
	recodeFounding := func(b []byte) ([]byte, error) {
		f, err := decodeFounding(b)
		return f.encode(), err
	}
	recodeRelayed := func(b []byte) ([]byte, error) {
		r, err := decodeRelayed(b)
		return r.encode(), err
	}
	recodeForwarded := func(b []byte) ([]byte, error) {
		f, err := decodeForwarded(b)
		return f.encode(), err
	}
	recodeCopied := func(b []byte) ([]byte, error) {
		group, message, err := decodeCopied(b)
		return copied(group, message), err
	}
	whole := status{Incarnation: 1<<61 + 3, Copy: 1 << 40, Group: 77, Leader: 1 << 40, Term: 9, Index: 1234, Sum: 1<<63 + 1, Leaving: true,
		Voter: true, Reports: []heartbeat.Report{{Name: "n2", Incarnation: 5, Age: 100}, {Name: "n3", Age: 70_000}, {}}, Versions: []byte("versions")}
	founder := founding{Group: 1 << 55, Members: replication.EncodeMembers([]replication.Member{{ID: 1, Name: "n1", Zone: "a"}, {ID: 2, Name: "n2"}})}
	golden.Messages(t, "testdata/messages.txt", []golden.Message{
		{Name: "heartbeat", Encoded: whole.encode(), Recode: recodeStatus},
		{Name: "heartbeat-empty", Encoded: (&status{}).encode(), Recode: recodeStatus},
		{Name: "heartbeat-no-record", Encoded: (&status{Incarnation: 3, Copy: 4, Reports: []heartbeat.Report{{Name: "n2"}}}).encode(), Recode: recodeStatus},
		{Name: "founding", Encoded: founder.encode(), Recode: recodeFounding},
		{Name: "founding-empty", Encoded: (&founding{}).encode(), Recode: recodeFounding},
		{Name: "copied", Encoded: copied(77, []byte("a raft message")), Recode: recodeCopied},
		{Name: "copied-empty", Encoded: copied(0, nil), Recode: recodeCopied},
		{Name: "relayed", Encoded: (&relayed{"n3", "n1", 1 << 61, transport.Replication, []byte("body")}).encode(), Recode: recodeRelayed},
		{Name: "relayed-empty", Encoded: (&relayed{}).encode(), Recode: recodeRelayed},
		{Name: "forwarded", Encoded: (&forwarded{1 << 61, transport.Response, []byte("body")}).encode(), Recode: recodeForwarded},
		{Name: "forwarded-empty", Encoded: (&forwarded{}).encode(), Recode: recodeForwarded},
	})
}
