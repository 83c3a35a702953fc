package replication

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/golden"
	"chutechute/internal/monotime"
)

// echoMachine is a state machine that responds with the body of each command. Its state is the last body.
type echoMachine struct{ last []byte }

func (m *echoMachine) ID() uint32      { return 9 }
func (m *echoMachine) Name() string    { return "echo" }
func (m *echoMachine) Version() uint32 { return 2 }

func (m *echoMachine) Apply(_ ApplyContext, _ Incarnation, body []byte) []byte {
	m.last = append([]byte(nil), body...)
	return m.last
}

func (m *echoMachine) AppendSnapshot(b []byte) []byte { return append(b, m.last...) }

func (m *echoMachine) Restore(b []byte, _ monotime.Micros) error {
	m.last = append([]byte(nil), b...)
	return nil
}

func (m *echoMachine) DueCommands(monotime.Micros, FailureDetector) [][]byte { return nil }

func TestWireFormat(t *testing.T) {
	recodeCommand := func(b []byte) ([]byte, error) {
		command, err := DecodeCommand(b)
		return command.Encode(), err
	}
	recodeResponse := func(b []byte) ([]byte, error) {
		response, err := DecodeResponse(b)
		return response.Encode(), err
	}
	recodeMembers := func(b []byte) ([]byte, error) {
		members, err := DecodeMembers(b)
		return EncodeMembers(members), err
	}
	recodeSnapshot := func(b []byte) ([]byte, error) {
		state := newReplicatedState([]StateMachine{&echoMachine{}}, nil)
		err := state.restore(b, 0)
		return state.snapshot(), err
	}
	state := newReplicatedState([]StateMachine{&echoMachine{}}, nil)
	empty := state.snapshot()
	state.members[1<<40] = Member{ID: 1 << 40, Name: "n2", Zone: "b"}
	state.members[300] = Member{ID: 300, Name: "n1", Zone: "a"}
	echoed := Command{StateMachineID: 9, Version: 2, Proposer: 5, Sequence: 6, Body: []byte("body")}
	_, response := state.apply(17, echoed.Encode(), 0)
	require.Equal(t, Response{Sequence: 6, Result: Committed, Body: []byte("body")}, response)
	_, unsupported := state.apply(18, Command{StateMachineID: 9, Version: 3, Sequence: 7}.Encode(), 0)
	require.Equal(t, Unsupported, unsupported.Result)
	command := Command{StateMachineID: 1, Version: 2, Proposer: 1 << 61, Sequence: 300, Body: []byte("body")}
	committed := Response{Sequence: 300, Result: Committed, Leader: 1 << 40, Body: []byte("body")}
	notLeader := Response{Sequence: 1, Result: NotLeader, Leader: 2}
	members := []Member{{ID: 1, Name: "n1", Zone: "a"}, {ID: 1 << 40, Name: "n2"}, {}}
	golden.Messages(t, "testdata/messages.txt", []golden.Message{
		{Name: "command", Encoded: command.Encode(), Recode: recodeCommand},
		{Name: "command-empty", Encoded: Command{}.Encode(), Recode: recodeCommand},
		{Name: "answer", Encoded: committed.Encode(), Recode: recodeResponse},
		{Name: "answer-empty", Encoded: Response{}.Encode(), Recode: recodeResponse},
		{Name: "answer-not-leader", Encoded: notLeader.Encode(), Recode: recodeResponse},
		{Name: "members", Encoded: EncodeMembers(members), Recode: recodeMembers},
		{Name: "snapshot", Encoded: state.snapshot(), Recode: recodeSnapshot},
		{Name: "snapshot-empty", Encoded: empty, Recode: recodeSnapshot},
	})
}
