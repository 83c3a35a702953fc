package idempotency

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/replication"
	"chutechute/internal/golden"
)

func TestWireFormat(t *testing.T) {
	recodeCommand := func(b []byte) ([]byte, error) {
		c, err := Decode(b)
		return c.Encode(), err
	}
	recodeView := func(b []byte) ([]byte, error) {
		v, err := DecodeView(b)
		return v.Encode(), err
	}
	whole := Command{Op: Take, Once: "once-1", Key: "key", Tenant: "desk", Class: "load", Digest: []byte{1, 2, 3}, Call: "call-1",
		TTL: 25_000_000, Adopt: true, Epoch: 300, Attempt: 2, Engine: "s-00000001", Outcome: Served, Rows: []byte("rows"), Changed: 301,
		To: 1 << 61}
	list := []golden.Message{{Name: "command-empty", Encoded: (&Command{}).Encode(), Recode: recodeCommand}}
	for op := Take; op <= Hand; op++ {
		whole.Op = op
		list = append(list, golden.Message{Name: fmt.Sprintf("command-%d", op), Encoded: whole.Encode(), Recode: recodeCommand})
	}
	view := View{Status: Full, Phase: Failed, Owner: 1 << 61, Epoch: 300, Place: 299, Turn: true, Call: "call-1", Rows: []byte("rows"),
		TTL: 25_000_000, Engine: "s-00000001", Run: "call-0", Class: "load", Key: "key", Digest: []byte{1, 2, 3}}
	list = append(list, golden.Message{Name: "view", Encoded: view.Encode(), Recode: recodeView},
		golden.Message{Name: "view-empty", Encoded: (&View{}).Encode(), Recode: recodeView})
	golden.Messages(t, "testdata/messages.txt", list)
}

// The answers to a sequence of commands that reaches every phase, and the snapshot after it.
func TestWireFormatOfStates(t *testing.T) {
	s := New(Options{Bytes: 1 << 20, Keep: 60 * second, Orphan: 3 * second})
	at := replication.Applied{Index: 100, Note: func(replication.Incarnation, string) {}}
	var list []golden.Message
	apply := func(asker replication.Incarnation, c Command) View {
		at.Index++
		at.Now += 1000
		answer := s.Apply(at, asker, c.Encode())
		list = append(list, golden.Message{Name: fmt.Sprintf("answer-%d", at.Index), Encoded: answer, Recode: func(b []byte) ([]byte, error) {
			v, err := DecodeView(b)
			return v.Encode(), err
		}})
		v, err := DecodeView(answer)
		require.NoError(t, err)
		return v
	}
	take := func(asker replication.Incarnation, once, key string) uint64 {
		return apply(asker, Command{Op: Take, Once: once, Key: key, Tenant: "desk", Class: "load", Digest: []byte(once + key), Call: "call-" + once,
			TTL: 25 * second}).Epoch
	}
	one, two, three := take(5, "one", "key"), take(6, "two", "key"), take(1<<61, "three", "")
	apply(5, Command{Op: Start, Once: "one", Epoch: one, Attempt: 1, Engine: "s-1", Call: "call-one"})
	apply(6, Command{Op: Start, Once: "two", Epoch: two, Attempt: 1, Engine: "s-2", Call: "call-two"})
	apply(5, Command{Op: Start, Once: "one", Epoch: one, Attempt: 2, Engine: "s-2", Call: "call-one"})
	apply(1<<61, Command{Op: Start, Once: "three", Epoch: three, Attempt: 1, Engine: "s-3", Call: "call-three"})
	apply(1<<61, Command{Op: Finish, Once: "three", Epoch: three, Outcome: Served, Rows: []byte("rows of three")})
	apply(7, Command{Op: Take, Once: "three", Digest: []byte("three"), Call: "again", TTL: second})
	apply(7, Command{Op: Take, Once: "three", Digest: []byte("other"), Call: "again", TTL: second})
	apply(7, Command{Op: Look, Once: "none"})
	four := take(8, "four", "")
	apply(8, Command{Op: Finish, Once: "four", Epoch: four, Outcome: Failed})
	take(8, "five", "other")
	apply(9, Command{Op: Take, Once: "five", Key: "other", Tenant: "desk", Class: "load", Digest: []byte("fiveother"), Call: "second", TTL: second,
		Adopt: true})
	apply(5, Command{Op: Hand, Once: "one", Epoch: one})
	list = append(list, golden.Message{Name: "snapshot", Encoded: s.Snapshot(nil), Recode: func(b []byte) ([]byte, error) {
		other := New(Options{Bytes: 1 << 20, Keep: 60 * second, Orphan: 3 * second})
		err := other.Restore(b, 5)
		return other.Snapshot(nil), err
	}}, golden.Message{Name: "snapshot-empty", Encoded: New(Options{}).Snapshot(nil)})
	golden.Messages(t, "testdata/states.txt", list)
}
