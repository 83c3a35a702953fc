package budget

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/golden"
)

// goldenSet is a set with a budget of each kind.
func goldenSet(version uint64) *Set {
	return &Set{Version: version, Lease: 2 * second, MaxFrontEnds: 5, Specs: []Spec{
		{Name: "places", Kind: account.Concurrency, Total: Amount{Capacity: 6000}, MaxAttemptDuration: 25 * second, NewcomerReserve: 100, Floor: 50, MinPart: 1000},
		{Name: "rate", Kind: account.Rate, Total: Amount{Capacity: 8000, Rate: 6000}, Reserve: 700, MinPart: 1000,
			Weights: []Weight{{"n1", 2000}, {"n2", 500}}, Scope: []byte(`{"class":"load"}`)},
		{Name: "window", Kind: account.Window, Total: Amount{Capacity: 90_000}, Window: 60 * second, MinPart: 10},
	}}
}

func TestWireFormat(t *testing.T) {
	recodeCommand := func(b []byte) ([]byte, error) {
		c, err := decodeCommand(b)
		return c.encode(), err
	}
	recodeAnswer := func(b []byte) ([]byte, error) {
		a, err := decodeAnswer(b)
		return a.encode(), err
	}
	recodeSet := func(b []byte) ([]byte, error) {
		s, err := DecodeSet(b)
		if err != nil {
			return nil, err
		}
		return s.Encode(), nil
	}
	whole := command{Name: "n1", N: 300, Adopted: 299, Static: 298, Base: 297, Leaving: true, Version: 3, Set: goldenSet(3).Encode(),
		Wants: []want{{"places", "", 3000, 2000}, {"rate", "s-00000001", 0, 0}, {"rate", "", -5, -6}}, Who: 1 << 61, Span: 2 * second, Certain: true,
		Budget: "rate"}
	list := []golden.Message{{Name: "command-empty", Encoded: (&command{}).encode(), Recode: recodeCommand}}
	for o := opReport; o <= opOpen; o++ {
		whole.Op = o
		list = append(list, golden.Message{Name: fmt.Sprintf("command-%d", o), Encoded: whole.encode(), Recode: recodeCommand})
	}
	reply := answer{N: 300, Late: true, Over: true, Unknown: true, Index: 1 << 40, Static: 298, Lease: 2 * second, Version: 3,
		Set: goldenSet(3).Encode(), Differs: true, Waits: []string{"rate", "window"},
		Parts: []part{{"places", "", false, Amount{Capacity: 2000}}, {"rate", "s-00000001", true, Amount{Capacity: 300, Rate: 200}}, {}}}
	list = append(list, golden.Message{Name: "answer", Encoded: reply.encode(), Recode: recodeAnswer},
		golden.Message{Name: "answer-empty", Encoded: (&answer{}).encode(), Recode: recodeAnswer},
		golden.Message{Name: "set", Encoded: goldenSet(3).Encode(), Recode: recodeSet},
		golden.Message{Name: "set-empty", Encoded: (&Set{Version: 1, Lease: second, MaxFrontEnds: 1}).Encode(), Recode: recodeSet})
	golden.Messages(t, "testdata/messages.txt", list)
}

// noneGone is a view of processes in which all are there but those replaced.
type noneGone struct {
	replaced map[replication.Incarnation]bool
}

func (p noneGone) PresumedDead(i replication.Incarnation) bool { return p.replaced[i] }
func (p noneGone) Superseded(i replication.Incarnation) bool   { return p.replaced[i] }
func (p noneGone) Unreachable(i replication.Incarnation) bool  { return p.replaced[i] }
func (p noneGone) Live() []replication.Incarnation             { return nil }

// The answers to a sequence of reports, what time calls for meanwhile, the snapshot after it, and what operators see of it.
func TestWireFormatOfStates(t *testing.T) {
	a := NewAuthority(Options{Instances: 100})
	at := replication.ApplyContext{Index: 100, Notify: func(replication.Incarnation, string) {}}
	seen := noneGone{map[replication.Incarnation]bool{}}
	var list []golden.Message
	recode := func(b []byte) ([]byte, error) {
		ans, err := decodeAnswer(b)
		return ans.encode(), err
	}
	apply := func(who replication.Incarnation, body []byte) (ans answer) {
		at.Index++
		at.Now += second / 10
		out := a.Apply(at, who, body)
		list = append(list, golden.Message{Name: fmt.Sprintf("answer-%d", at.Index), Encoded: out, Recode: recode})
		ans, err := decodeAnswer(out)
		require.NoError(t, err)
		return ans
	}
	due := func() {
		for _, body := range a.DueCommands(at.Now, seen) {
			list = append(list, golden.Message{Name: fmt.Sprintf("due-%d-%d", at.Index, len(list)), Encoded: body, Recode: func(b []byte) ([]byte, error) {
				c, err := decodeCommand(b)
				return c.encode(), err
			}})
			apply(0, body)
		}
	}
	set := goldenSet(1)
	report := func(who replication.Incarnation, n, adopted, static uint64, wants ...want) answer {
		c := command{Op: opReport, Name: fmt.Sprintf("n%d", who), N: n, Adopted: adopted, Static: static, Version: set.Version, Set: set.Encode(),
			Wants: wants}
		return apply(who, c.encode())
	}
	one := report(1, 1, 0, 0, want{"places", "", 4000, 0}, want{"rate", "", 3000, 0})
	for range 400 {
		at.Now += second
		due()
	}
	report(1, 2, one.Index, one.Static, want{"places", "", 4000, 0}, want{"rate", "", 3000, 0}, want{"window", "a", 500, 10})
	two := report(2, 1, 0, 0, want{"places", "", 9000, 0}, want{"rate", "", 9000, 0}, want{"window", "a", 500, 0})
	report(2, 2, two.Index, two.Static, want{"places", "", 9000, 1000}, want{"rate", "", 9000, 0}, want{"window", "b", 700, 0})
	report(1, 3, 7, 7)
	report(3, 1, 9, 9)
	at.Now += 3 * second
	due()
	seen.replaced[2] = true
	due()
	set = goldenSet(2)
	set.Specs[1].Total = Amount{Capacity: 4000, Rate: 3000}
	report(4, 1, 0, 0, want{"places", "", 2000, 500}, want{"rate", "", 3000, 0})
	list = append(list, golden.Message{Name: "snapshot", Encoded: a.AppendSnapshot(nil), Recode: func(b []byte) ([]byte, error) {
		other := NewAuthority(Options{Instances: 100})
		err := other.Restore(b, at.Now)
		return other.AppendSnapshot(nil), err
	}}, golden.Message{Name: "snapshot-empty", Encoded: NewAuthority(Options{}).AppendSnapshot(nil)})
	golden.Messages(t, "testdata/states.txt", list)
	page, err := json.Marshal(a.Status(at.Now, ""))
	require.NoError(t, err)
	plan, err := json.Marshal(set.Plan())
	require.NoError(t, err)
	golden.Lines(t, "testdata/pages.txt", []string{string(page), string(plan)})
}
