package budget

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/golden"
	"chutechute/internal/monotime"
)

const second = monotime.Second

// goldenSet returns settings with a budget of each kind.
func goldenSet(version uint64) *Set {
	return &Set{Version: version, Lease: 2 * second, MaxFrontEnds: 5, Specs: []Spec{
		{Name: "places", Kind: account.Concurrency, Total: Amount{Capacity: 6000},
			MaxAttemptDuration: 25 * second, NewcomerReserve: 100, Floor: 50, MinAllocation: 1000},
		{Name: "rate", Kind: account.Rate, Total: Amount{Capacity: 8000, Rate: 6000}, StaticShare: 700, MinAllocation: 1000,
			Weights: []Weight{{"n1", 2000}, {"n2", 500}}, Scope: []byte(`{"class":"load"}`)},
		{Name: "window", Kind: account.Window, Total: Amount{Capacity: 90_000}, Window: 60 * second, MinAllocation: 10},
	}}
}

func recodeCommand(b []byte) ([]byte, error) {
	c, err := decodeCommand(b)
	return c.encode(), err
}

func recodeResponse(b []byte) ([]byte, error) {
	r, err := decodeReportResponse(b)
	return r.encode(), err
}

func recodeSet(b []byte) ([]byte, error) {
	s, err := DecodeSet(b)
	if err != nil {
		return nil, err
	}
	return s.Encode(), nil
}

// goldenCommand returns a command in which all fields but the operation are set.
func goldenCommand() command {
	return command{
		Name: "n1", Report: 300, Grant: 299, StaticGrant: 298, BaseReport: 297, Leaving: true, Version: 3,
		Set:     goldenSet(3).Encode(),
		Demands: []subjectDemand{{"places", "", 3000, 2000}, {"rate", "s-00000001", 0, 0}, {"rate", "", -5, -6}},
		Holder:  1 << 61, DrainTime: 2 * second, Superseded: true, Budget: "rate",
	}
}

// goldenResponse returns a response in which all fields are set.
func goldenResponse() reportResponse {
	return reportResponse{
		Report: 300, OutOfOrder: true, LeaseExpired: true, UnknownHolder: true, Grant: 1 << 40, StaticGrant: 298,
		Lease: 2 * second, Version: 3, Set: goldenSet(3).Encode(), SettingsConflict: true,
		NotInForce: []string{"rate", "window"},
		Amounts: []grantedAmount{
			{"places", "", false, Amount{Capacity: 2000}},
			{"rate", "s-00000001", true, Amount{Capacity: 300, Rate: 200}},
			{},
		},
	}
}

// Commands of every operation, responses and settings encode to the recorded bytes, and these bytes survive decoding
// and encoding again.
func TestWireFormat(t *testing.T) {
	emptyCommand := command{}
	messages := []golden.Message{{Name: "command-empty", Encoded: emptyCommand.encode(), Recode: recodeCommand}}
	full := goldenCommand()
	for operation := opReport; operation <= opOpen; operation++ {
		full.Operation = operation
		name := fmt.Sprintf("command-%d", operation)
		messages = append(messages, golden.Message{Name: name, Encoded: full.encode(), Recode: recodeCommand})
	}
	response, emptyResponse := goldenResponse(), reportResponse{}
	emptySet := Set{Version: 1, Lease: second, MaxFrontEnds: 1}
	messages = append(messages,
		golden.Message{Name: "answer", Encoded: response.encode(), Recode: recodeResponse},
		golden.Message{Name: "answer-empty", Encoded: emptyResponse.encode(), Recode: recodeResponse},
		golden.Message{Name: "set", Encoded: goldenSet(3).Encode(), Recode: recodeSet},
		golden.Message{Name: "set-empty", Encoded: emptySet.Encode(), Recode: recodeSet})
	golden.Messages(t, "testdata/messages.txt", messages)
}

// allLive is a failure detector that takes all incarnations for live, except those that are superseded.
type allLive struct {
	superseded map[replication.Incarnation]bool
}

func (p allLive) PresumedDead(i replication.Incarnation) bool { return p.superseded[i] }
func (p allLive) Superseded(i replication.Incarnation) bool   { return p.superseded[i] }
func (p allLive) Unreachable(i replication.Incarnation) bool  { return p.superseded[i] }
func (p allLive) Live() []replication.Incarnation             { return nil }

// stateRecorder applies commands to an authority, and records the responses and the due commands.
type stateRecorder struct {
	t         *testing.T
	authority *Authority
	at        replication.ApplyContext
	set       *Set
	processes allLive
	messages  []golden.Message
}

func newStateRecorder(t *testing.T) *stateRecorder {
	return &stateRecorder{
		t:         t,
		authority: NewAuthority(Options{MaxSubjects: 100}),
		at:        replication.ApplyContext{Index: 100, Notify: func(replication.Incarnation, string) {}},
		set:       goldenSet(1),
		processes: allLive{map[replication.Incarnation]bool{}},
	}
}

func (r *stateRecorder) apply(incarnation replication.Incarnation, body []byte) reportResponse {
	r.at.Index++
	r.at.Now += second / 10
	out := r.authority.Apply(r.at, incarnation, body)
	name := fmt.Sprintf("answer-%d", r.at.Index)
	r.messages = append(r.messages, golden.Message{Name: name, Encoded: out, Recode: recodeResponse})
	response, err := decodeReportResponse(out)
	require.NoError(r.t, err)
	return response
}

func (r *stateRecorder) applyDueCommands() {
	for _, body := range r.authority.DueCommands(r.at.Now, r.processes) {
		name := fmt.Sprintf("due-%d-%d", r.at.Index, len(r.messages))
		r.messages = append(r.messages, golden.Message{Name: name, Encoded: body, Recode: recodeCommand})
		r.apply(0, body)
	}
}

func (r *stateRecorder) report(
	incarnation replication.Incarnation, number, grant, staticGrant uint64, demands ...subjectDemand,
) reportResponse {
	c := command{
		Operation: opReport, Name: fmt.Sprintf("n%d", incarnation), Report: number, Grant: grant,
		StaticGrant: staticGrant, Version: r.set.Version, Set: r.set.Encode(), Demands: demands,
	}
	return r.apply(incarnation, c.encode())
}

// The responses to a sequence of reports, the commands that become due meanwhile, and the snapshot after it encode to
// the recorded bytes. The status and the plan are encoded to the recorded JSON.
func TestWireFormatOfStates(t *testing.T) {
	r := newStateRecorder(t)
	places := func(demand, inUse int64) subjectDemand { return subjectDemand{"places", "", demand, inUse} }
	rate := func(demand int64) subjectDemand { return subjectDemand{"rate", "", demand, 0} }
	window := func(subject string, demand, inUse int64) subjectDemand {
		return subjectDemand{"window", subject, demand, inUse}
	}
	first := r.report(1, 1, 0, 0, places(4000, 0), rate(3000))
	for range 400 {
		r.at.Now += second
		r.applyDueCommands()
	}
	r.report(1, 2, first.Grant, first.StaticGrant, places(4000, 0), rate(3000), window("a", 500, 10))
	other := r.report(2, 1, 0, 0, places(9000, 0), rate(9000), window("a", 500, 0))
	r.report(2, 2, other.Grant, other.StaticGrant, places(9000, 1000), rate(9000), window("b", 700, 0))
	r.report(1, 3, 7, 7)
	r.report(3, 1, 9, 9)
	r.at.Now += 3 * monotime.Second
	r.applyDueCommands()
	r.processes.superseded[2] = true
	r.applyDueCommands()
	r.set = goldenSet(2)
	r.set.Specs[1].Total = Amount{Capacity: 4000, Rate: 3000}
	r.report(4, 1, 0, 0, places(2000, 500), rate(3000))
	recodeSnapshot := func(b []byte) ([]byte, error) {
		other := NewAuthority(Options{MaxSubjects: 100})
		err := other.Restore(b, r.at.Now)
		return other.AppendSnapshot(nil), err
	}
	r.messages = append(r.messages,
		golden.Message{Name: "snapshot", Encoded: r.authority.AppendSnapshot(nil), Recode: recodeSnapshot},
		golden.Message{Name: "snapshot-empty", Encoded: NewAuthority(Options{}).AppendSnapshot(nil)})
	golden.Messages(t, "testdata/states.txt", r.messages)
	status, err := json.Marshal(r.authority.Status(r.at.Now, ""))
	require.NoError(t, err)
	plan, err := json.Marshal(r.set.Plan())
	require.NoError(t, err)
	golden.Lines(t, "testdata/pages.txt", []string{string(status), string(plan)})
}
