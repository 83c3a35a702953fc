package idempotency

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/replication"
	"chutechute/internal/golden"
	"chutechute/internal/monotime"
)

func recodeCommand(b []byte) ([]byte, error) {
	command, err := DecodeCommand(b)
	return command.Encode(), err
}

func recodeResponse(b []byte) ([]byte, error) {
	response, err := DecodeResponse(b)
	return response.Encode(), err
}

// Commands of every operation and responses encode to the recorded bytes, and these bytes survive decoding and encoding
// again.
func TestWireFormat(t *testing.T) {
	command := Command{
		Op:              Register,
		IdempotencyKey:  "once-1",
		OrderKey:        "key",
		Tenant:          "desk",
		Class:           "load",
		StatementDigest: []byte{1, 2, 3},
		RequestID:       "call-1",
		ClientTimeout:   25_000_000,
		TakeOver:        true,
		Epoch:           300,
		Attempt:         2,
		Engine:          "s-00000001",
		Outcome:         Served,
		Rows:            []byte("rows"),
		ChangedIndex:    301,
		NewOwner:        1 << 61,
	}
	messages := []golden.Message{
		{Name: "command-empty", Encoded: (&Command{}).Encode(), Recode: recodeCommand},
	}
	for op := Register; op <= Transfer; op++ {
		command.Op = op
		name := fmt.Sprintf("command-%d", op)
		messages = append(messages, golden.Message{Name: name, Encoded: command.Encode(), Recode: recodeCommand})
	}
	response := Response{
		Status:           CapacityExceeded,
		Phase:            Failed,
		Owner:            1 << 61,
		Epoch:            300,
		Index:            299,
		FirstInQueue:     true,
		OwnerRequestID:   "call-1",
		Rows:             []byte("rows"),
		ClientTimeout:    25_000_000,
		Engine:           "s-00000001",
		StartedRequestID: "call-0",
		Class:            "load",
		OrderKey:         "key",
		StatementDigest:  []byte{1, 2, 3},
	}
	messages = append(messages,
		golden.Message{Name: "view", Encoded: response.Encode(), Recode: recodeResponse},
		golden.Message{Name: "view-empty", Encoded: (&Response{}).Encode(), Recode: recodeResponse},
	)
	golden.Messages(t, "testdata/messages.txt", messages)
}

// testOptions are the options of the registry whose states were recorded.
var testOptions = Options{MaxBytes: 1 << 20, Retention: 60 * monotime.Second, OrphanTimeout: 3 * monotime.Second}

// recordedRegistry applies commands to a registry and records the responses.
type recordedRegistry struct {
	t         *testing.T
	registry  *Registry
	at        replication.ApplyContext
	responses []golden.Message
}

func (r *recordedRegistry) apply(proposer replication.Incarnation, command Command) Response {
	r.at.Index++
	r.at.Now += 1000
	encoded := r.registry.Apply(r.at, proposer, command.Encode())
	name := fmt.Sprintf("answer-%d", r.at.Index)
	r.responses = append(r.responses, golden.Message{Name: name, Encoded: encoded, Recode: recodeResponse})
	response, err := DecodeResponse(encoded)
	require.NoError(r.t, err)
	return response
}

func (r *recordedRegistry) register(proposer replication.Incarnation, idempotencyKey, orderKey string) (epoch uint64) {
	return r.apply(proposer, Command{
		Op:              Register,
		IdempotencyKey:  idempotencyKey,
		OrderKey:        orderKey,
		Tenant:          "desk",
		Class:           "load",
		StatementDigest: []byte(idempotencyKey + orderKey),
		RequestID:       "call-" + idempotencyKey,
		ClientTimeout:   uint64(25 * monotime.Second),
	}).Epoch
}

func (r *recordedRegistry) authorize(
	proposer replication.Incarnation, idempotencyKey string, epoch, attempt uint64, engine string,
) {
	r.apply(proposer, Command{
		Op:             AuthorizeAttempt,
		IdempotencyKey: idempotencyKey,
		Epoch:          epoch,
		Attempt:        attempt,
		Engine:         engine,
		RequestID:      "call-" + idempotencyKey,
	})
}

// registerAgain registers a request that has a record already, with the given statement digest.
func (r *recordedRegistry) registerAgain(idempotencyKey, digest string) {
	r.apply(7, Command{
		Op:              Register,
		IdempotencyKey:  idempotencyKey,
		StatementDigest: []byte(digest),
		RequestID:       "again",
		ClientTimeout:   uint64(monotime.Second),
	})
}

// The responses to a sequence of commands that reaches every phase, the snapshot after it, and the snapshot of an empty
// registry encode to the recorded bytes.
func TestWireFormatOfStates(t *testing.T) {
	r := &recordedRegistry{t: t, registry: NewRegistry(testOptions)}
	r.at = replication.ApplyContext{Index: 100, Notify: func(replication.Incarnation, string) {}}
	oneEpoch := r.register(5, "one", "key")
	twoEpoch := r.register(6, "two", "key")
	threeEpoch := r.register(1<<61, "three", "")
	r.authorize(5, "one", oneEpoch, 1, "s-1")
	r.authorize(6, "two", twoEpoch, 1, "s-2")
	r.authorize(5, "one", oneEpoch, 2, "s-2")
	r.authorize(1<<61, "three", threeEpoch, 1, "s-3")
	rows := []byte("rows of three")
	r.apply(1<<61, Command{Op: Complete, IdempotencyKey: "three", Epoch: threeEpoch, Outcome: Served, Rows: rows})
	r.registerAgain("three", "three")
	r.registerAgain("three", "other")
	r.apply(7, Command{Op: Inspect, IdempotencyKey: "none"})
	fourEpoch := r.register(8, "four", "")
	r.apply(8, Command{Op: Complete, IdempotencyKey: "four", Epoch: fourEpoch, Outcome: Failed})
	r.register(8, "five", "other")
	r.apply(9, Command{
		Op:              Register,
		IdempotencyKey:  "five",
		OrderKey:        "other",
		Tenant:          "desk",
		Class:           "load",
		StatementDigest: []byte("fiveother"),
		RequestID:       "second",
		ClientTimeout:   uint64(monotime.Second),
		TakeOver:        true,
	})
	r.apply(5, Command{Op: Transfer, IdempotencyKey: "one", Epoch: oneEpoch})
	recodeSnapshot := func(b []byte) ([]byte, error) {
		restored := NewRegistry(testOptions)
		err := restored.Restore(b, 5)
		return restored.AppendSnapshot(nil), err
	}
	golden.Messages(t, "testdata/states.txt", append(r.responses,
		golden.Message{Name: "snapshot", Encoded: r.registry.AppendSnapshot(nil), Recode: recodeSnapshot},
		golden.Message{Name: "snapshot-empty", Encoded: NewRegistry(Options{}).AppendSnapshot(nil)},
	))
}
