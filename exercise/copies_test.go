package exercise_test

import (
	"crypto/sha256"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/cryptotest"

	"github.com/stretchr/testify/require"

	"chutechute/exercise"
	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/fleet/budget/enforce"
	"chutechute/internal/golden"
	"chutechute/internal/history"
	"chutechute/internal/standin"
)

const second = 1_000_000

// bounds are budgets of the loads' class: so many at a time, and so many a second.
func bounds() *budget.Set {
	set := &budget.Set{Version: 1, Lease: 2 * second, MaxFrontEnds: 5}
	for _, p := range []budget.Spec{
		{Name: "places", Kind: account.Concurrency, Total: budget.Amount{Capacity: 6000}, MaxAttemptDuration: 25 * second, MinPart: 1000},
		{Name: "rate", Kind: account.Rate, Total: budget.Amount{Capacity: 8000, Rate: 6000}, Reserve: 20, MinPart: 1000},
	} {
		p.Scope = (&enforce.Scope{Class: "load", OnExceeded: "wait"}).Encode()
		set.Specs = append(set.Specs, p)
	}
	return set
}

// overspent gives the breaches of those. What the module has spent for may be written a quarter second later, and takes its way
// and a clock's drift.
func overspent(events []history.Event) []history.Breach {
	one := func(history.Event) float64 { return 1 }
	list, _ := history.CheckPlaces(events, 6, one)
	return append(list, history.CheckRate(history.Spendings(events, 300_000, one), 6, 8)...)
}

// play runs one random history and gives what it broke.
func play(t *testing.T, seed uint64, variant *exercise.Variant) (*exercise.Sim, []history.Breach) {
	cryptotest.SetGlobalRandom(t, seed)
	o := exercise.Options{Fronts: 3 + int(seed%3), Engines: 2, Copies: 3, Lasting: seed%2 == 0, Drift: 0.004, Seed: seed, Crash: 150,
		Variant: variant, Site: []byte(standin.Settings)}
	if seed%7 == 0 {
		o.Fronts, o.Copies = 5, 5
	}
	if seed%3 == 0 {
		o.Budgets = bounds()
	}
	s, err := exercise.New(o)
	require.NoError(t, err)
	require.NoError(t, s.Run(3*second))
	s.Traffic(8, 4, 30*second)
	s.Chaos(1500*1000, 30*second)
	err = s.Run(30 * second)
	s.Heal()
	if err == nil {
		err = s.Run(45 * second)
	}
	breaches := history.Check(s.Record.Events())
	if o.Budgets != nil {
		breaches = append(breaches, overspent(s.Record.Events())...)
	}
	if err != nil { // a copy has found itself broken, or messages make a storm
		breaches = append(breaches, history.Breach{Rule: err.Error()})
	}
	return s, breaches
}

func shown(s *exercise.Sim, breaches []history.Breach) (text string) {
	for _, line := range s.Script {
		text += line + "\n"
	}
	for _, f := range s.Fronts {
		text += f.String() + "\n"
	}
	for _, b := range breaches[:min(3, len(breaches))] {
		text += b.String() + "\nround it:\n"
		for _, e := range history.Around(s.Record.Events(), b, 40) {
			text += "  " + e.String() + "\n"
		}
	}
	return text
}

// recordedHistories is how many seeds' digests testdata records, from seed 1 on.
const recordedHistories = 40

// digest is over all that clients and engines saw, and over how many steps the fleet took.
func digest(s *exercise.Sim) string {
	h := sha256.New()
	for _, e := range s.Record.Events() {
		fmt.Fprintf(h, "%d %s %q %q %q %q %q %s %q\n", e.At, e.What, e.Front, e.Engine, e.Call, e.Once, e.Key, e.Detail, e.Body)
	}
	return fmt.Sprintf("%d %x", s.Steps, h.Sum(nil))
}

// Random histories of whole fleets: whatever fails, what clients and engines see keeps the rules, and once all is healed
// nothing is stuck. CHUTECHUTE_HISTORIES sets how many, CHUTECHUTE_SEED the first seed.
func TestHistories(t *testing.T) {
	n, first := recordedHistories, uint64(1)
	if v, err := strconv.Atoi(os.Getenv("CHUTECHUTE_HISTORIES")); err == nil {
		n = v
	}
	if v, err := strconv.ParseUint(os.Getenv("CHUTECHUTE_SEED"), 10, 64); err == nil {
		first = v
	}
	for seed := first; seed < first+uint64(n); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s, breaches := play(t, seed, nil)
			require.Empty(t, breaches, "%s", shown(s, breaches))
			require.Zero(t, s.Open(), "loads are stuck: %s", shown(s, nil))
			if seed <= recordedHistories {
				golden.Entry(t, "testdata/histories.txt", fmt.Sprint("seed-", seed), digest(s))
			}
		})
	}
}
