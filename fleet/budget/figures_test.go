package budget_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
)

// fleetOf is a calm world of so many front ends with one budget of a rate and a burst of half a second's.
func fleetOf(n int, rate int64, lease micros) *world {
	set := &budget.Set{Version: 1, Lease: lease, MaxFrontEnds: n, Specs: []budget.Spec{{Name: "rate", Kind: account.Rate,
		Total: budget.Amount{Capacity: rate * 500, Rate: rate * 1000}, Reserve: 20, NewcomerReserve: 5, MinPart: 1000}}}
	w := newWorld(1, set, n, broken{})
	for _, h := range w.holders {
		h.want = 1
	}
	return w
}

// oracle is what could be spent in a second by who knows all demand.
func (w *world) oracle() float64 {
	total := 0.0
	for _, h := range w.holders {
		total += h.want
	}
	return min(total, float64(w.set.Specs[0].Total.Rate)/1000)
}

// even is what an even division would let be spent in a second, and guess what each front end's guess at its part
// does, which is its demand over 1.4 times the whole and an even part at least: what it would let be spent may be
// more than the whole.
func (w *world) even() (even, guess float64) {
	whole := float64(w.set.Specs[0].Total.Rate) / 1000
	for _, h := range w.holders {
		even += min(h.want, whole/float64(len(w.holders)))
		guess += min(h.want, whole*max(min(1, h.want/(1.4*whole)), 1/float64(len(w.holders))))
	}
	return even, guess
}

func (w *world) rate(span micros) float64 {
	return w.used(&w.set.Specs[0], span) * float64(w.set.Specs[0].Total.Rate) / 1000
}

// The whole is in use under steady, skewed and moving demand, against an oracle; and how soon a move of demand is
// followed.
func TestShareInUse(t *testing.T) {
	for _, c := range []struct {
		name string
		want func(i int, at micros) float64
	}{
		{"steady, all alike", func(int, micros) float64 { return 60 }},
		{"steady, one has nearly all", func(i int, _ micros) float64 { return []float64{400, 5, 5, 5, 5}[i] }},
		{"steady, below the whole", func(i int, _ micros) float64 { return []float64{90, 40, 10, 5, 5}[i] }},
		{"moves each 2 s", func(i int, at micros) float64 { return []float64{300, 20, 20, 20, 20}[(i+int(at/(2*second)))%5] }},
	} {
		w := fleetOf(5, 200, 2*second)
		w.run(8 * second)
		got, oracle, even, guess := 0.0, 0.0, 0.0, 0.0
		for k := range 40 {
			for i, h := range w.holders {
				h.want = c.want(i, w.now)
			}
			w.run(w.now + second/2)
			if k >= 8 {
				e, g := w.even()
				got, oracle, even, guess = got+w.rate(second/2), oracle+w.oracle(), even+e, guess+g
			}
		}
		t.Logf("%-28s %.2f of the oracle; an even division %.2f, a guess at one's part %.2f", c.name, got/oracle, even/oracle, guess/oracle)
		assert.Greater(t, got/oracle, 0.75, c.name)
		assert.GreaterOrEqual(t, got/oracle, even/oracle-0.05, c.name)
	}
	w := fleetOf(5, 200, 2*second)
	w.holders[0].want = 300
	w.run(12 * second)
	w.holders[0].want, w.holders[3].want = 1, 300
	moved := w.now
	has := func() float64 {
		now := w.holders[3].proc.local()
		lease, static, _ := w.holders[3].proc.books["rate"].Account(now, "").Amounts(now)
		return float64(lease.Rate + static.Rate)
	}
	followed := map[micros]float64{}
	for at := moved; at < moved+5*second; at += 10 * ms {
		w.run(at)
		followed[at] = has()
	}
	at := moved
	for followed[at] < 0.9*has() {
		at += 10 * ms
	}
	t.Logf("90%% of a move of all demand is followed in %d ms; it then has %.2f of the whole", (at-moved)/ms, has()/200_000)
	assert.Less(t, at-moved, second*7/10, "of virtual time")
	assert.Greater(t, has(), 0.85*200_000)
	require.Empty(t, w.check())
}

// Shares are max-min fair: none that wants more has less than any other, by weight, and no more is given than there is.
func TestSharesAreFair(t *testing.T) {
	w := fleetOf(5, 200, 2*second)
	for i, want := range []float64{5, 30, 80, 150, 400} {
		w.holders[i].want = want
	}
	w.run(14 * second)
	// 5 and 30 are served whole; the other three share 165 evenly
	for i, share := range []float64{5, 30, 55, 55, 55} {
		now := w.holders[i].proc.local()
		lease, static, _ := w.holders[i].proc.books["rate"].Account(now, "").Amounts(now)
		assert.InDelta(t, share, float64(lease.Rate+static.Rate)/1000, share*0.2+3, "of %d", i)
	}
}

// Messages, bytes and commits by front ends and by budgets; long.
func TestCostOfDividing(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("long")
	}
	for _, n := range []int{3, 9, 80, 500} {
		w := fleetOf(n, 2000, 2*second)
		for _, h := range w.holders {
			h.want = 3000 / float64(n)
		}
		w.run(8 * second)
		asks, bytes, commits, steps := w.asks, w.bytes, len(w.log), time.Now()
		w.run(12 * second)
		t.Logf("%3d front ends, one budget: %.0f reports, %.0f commits and %.1f KB a second; a report takes %.0f us of a core", n,
			float64(w.asks-asks)/4, float64(len(w.log)-commits)/4, float64(w.bytes-bytes)/4/1024,
			float64(time.Since(steps).Microseconds())/float64(max(1, w.asks-asks)))
		require.Empty(t, w.check())
	}
	for _, each := range []int{100, 2000, 10000} {
		set := &budget.Set{Version: 1, Lease: 2 * second, MaxFrontEnds: 9, Specs: []budget.Spec{{Name: "each", Kind: account.Window, Window: second,
			Total: budget.Amount{Capacity: 20_000}, Reserve: 30, NewcomerReserve: 10, MinPart: 1}}}
		w := newWorld(1, set, 9, broken{})
		for _, c := range w.copies {
			c.kind = budget.NewAuthority(budget.Options{Instances: budget.MaxInstances})
		}
		w.each = each
		for _, h := range w.holders {
			h.want = 1000
		}
		w.run(8 * second)
		asks, bytes, commits, began := w.asks, w.bytes, len(w.log), time.Now()
		w.run(10 * second)
		t.Logf("9 front ends, %5d budgets: %.0f reports, %.0f commits and %.0f KB a second; a report takes %.1f ms of a core", each,
			float64(w.asks-asks)/2, float64(len(w.log)-commits)/2, float64(w.bytes-bytes)/2/1024,
			float64(time.Since(began).Microseconds())/1000/float64(max(1, w.asks-asks)))
	}
}

// 2,000 engines begin cold at once, each with a budget of its own, and 10,000 tenants: all stay within their
// wholes, and the record within its bound.
func TestThousandsOfBudgets(t *testing.T) {
	for _, each := range []int{2000, 10000} {
		set := &budget.Set{Version: 1, Lease: 2 * second, MaxFrontEnds: 5, Specs: []budget.Spec{{Name: "each", Kind: account.Window, Window: second,
			Total: budget.Amount{Capacity: 5_000}, Reserve: 0, MinPart: 1000}}}
		w := newWorld(1, set, 5, broken{})
		for _, c := range w.copies {
			c.kind = budget.NewAuthority(budget.Options{Instances: each / 2})
		}
		w.each = each
		for _, h := range w.holders {
			h.want = 400
		}
		w.run(8 * second)
		bySubject := map[string][]*spend{}
		for _, s := range w.spends {
			bySubject[s.subject] = append(bySubject[s.subject], s)
		}
		for subject, list := range bySubject {
			require.Empty(t, checkSpends(&set.Specs[0], list), subject)
		}
		assert.Greater(t, len(bySubject), each/8, "subjects of which something was spent")
		for _, s := range w.copies[0].kind.Status(0, "") {
			assert.LessOrEqual(t, len(s.Subjects), 100)
		}
	}
}
