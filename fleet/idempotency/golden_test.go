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
		c, err := DecodeCommand(b)
		return c.Encode(), err
	}
	recodeView := func(b []byte) ([]byte, error) {
		v, err := DecodeResponse(b)
		return v.Encode(), err
	}
	whole := Command{Op: Register, IdempotencyKey: "once-1", OrderKey: "key", Tenant: "desk", Class: "load", StatementDigest: []byte{1, 2, 3}, RequestID: "call-1",
		TTL: 25_000_000, TakeOver: true, Epoch: 300, Attempt: 2, Engine: "s-00000001", Outcome: Served, Rows: []byte("rows"), ChangedIndex: 301,
		NewOwner: 1 << 61}
	list := []golden.Message{{Name: "command-empty", Encoded: (&Command{}).Encode(), Recode: recodeCommand}}
	for op := Register; op <= Transfer; op++ {
		whole.Op = op
		list = append(list, golden.Message{Name: fmt.Sprintf("command-%d", op), Encoded: whole.Encode(), Recode: recodeCommand})
	}
	view := Response{Status: CapacityExceeded, Phase: Failed, Owner: 1 << 61, Epoch: 300, Index: 299, FirstOfKey: true, OwnerRequestID: "call-1", Rows: []byte("rows"),
		TTL: 25_000_000, Engine: "s-00000001", StartedRequestID: "call-0", Class: "load", OrderKey: "key", StatementDigest: []byte{1, 2, 3}}
	list = append(list, golden.Message{Name: "view", Encoded: view.Encode(), Recode: recodeView},
		golden.Message{Name: "view-empty", Encoded: (&Response{}).Encode(), Recode: recodeView})
	golden.Messages(t, "testdata/messages.txt", list)
}

// The answers to a sequence of commands that reaches every phase, and the snapshot after it.
func TestWireFormatOfStates(t *testing.T) {
	s := NewRegistry(Options{MaxBytes: 1 << 20, Retention: 60 * second, OrphanTimeout: 3 * second})
	at := replication.ApplyContext{Index: 100, Notify: func(replication.Incarnation, string) {}}
	var list []golden.Message
	apply := func(asker replication.Incarnation, c Command) Response {
		at.Index++
		at.Now += 1000
		answer := s.Apply(at, asker, c.Encode())
		list = append(list, golden.Message{Name: fmt.Sprintf("answer-%d", at.Index), Encoded: answer, Recode: func(b []byte) ([]byte, error) {
			v, err := DecodeResponse(b)
			return v.Encode(), err
		}})
		v, err := DecodeResponse(answer)
		require.NoError(t, err)
		return v
	}
	take := func(asker replication.Incarnation, once, key string) uint64 {
		return apply(asker, Command{Op: Register, IdempotencyKey: once, OrderKey: key, Tenant: "desk", Class: "load", StatementDigest: []byte(once + key), RequestID: "call-" + once,
			TTL: 25 * second}).Epoch
	}
	one, two, three := take(5, "one", "key"), take(6, "two", "key"), take(1<<61, "three", "")
	apply(5, Command{Op: AuthorizeAttempt, IdempotencyKey: "one", Epoch: one, Attempt: 1, Engine: "s-1", RequestID: "call-one"})
	apply(6, Command{Op: AuthorizeAttempt, IdempotencyKey: "two", Epoch: two, Attempt: 1, Engine: "s-2", RequestID: "call-two"})
	apply(5, Command{Op: AuthorizeAttempt, IdempotencyKey: "one", Epoch: one, Attempt: 2, Engine: "s-2", RequestID: "call-one"})
	apply(1<<61, Command{Op: AuthorizeAttempt, IdempotencyKey: "three", Epoch: three, Attempt: 1, Engine: "s-3", RequestID: "call-three"})
	apply(1<<61, Command{Op: Complete, IdempotencyKey: "three", Epoch: three, Outcome: Served, Rows: []byte("rows of three")})
	apply(7, Command{Op: Register, IdempotencyKey: "three", StatementDigest: []byte("three"), RequestID: "again", TTL: second})
	apply(7, Command{Op: Register, IdempotencyKey: "three", StatementDigest: []byte("other"), RequestID: "again", TTL: second})
	apply(7, Command{Op: Inspect, IdempotencyKey: "none"})
	four := take(8, "four", "")
	apply(8, Command{Op: Complete, IdempotencyKey: "four", Epoch: four, Outcome: Failed})
	take(8, "five", "other")
	apply(9, Command{Op: Register, IdempotencyKey: "five", OrderKey: "other", Tenant: "desk", Class: "load", StatementDigest: []byte("fiveother"), RequestID: "second", TTL: second,
		TakeOver: true})
	apply(5, Command{Op: Transfer, IdempotencyKey: "one", Epoch: one})
	list = append(list, golden.Message{Name: "snapshot", Encoded: s.AppendSnapshot(nil), Recode: func(b []byte) ([]byte, error) {
		other := NewRegistry(Options{MaxBytes: 1 << 20, Retention: 60 * second, OrphanTimeout: 3 * second})
		err := other.Restore(b, 5)
		return other.AppendSnapshot(nil), err
	}}, golden.Message{Name: "snapshot-empty", Encoded: NewRegistry(Options{}).AppendSnapshot(nil)})
	golden.Messages(t, "testdata/states.txt", list)
}
