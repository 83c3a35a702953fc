package budget_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// newFleet returns a world without faults in which a number of front ends share one rate per second, with a burst of
// half a second's.
func newFleet(frontEnds int, rate int64, lease monotime.Micros) *world {
	set := &budget.Set{Version: 1, Lease: lease, MaxFrontEnds: frontEnds, Specs: []budget.Spec{{
		Name: "rate", Kind: account.Rate, Total: budget.Amount{Capacity: rate * 500, Rate: rate * account.Unit},
		StaticShare: 20, NewcomerReserve: 5, MinAllocation: 1000,
	}}}
	w := newWorld(1, set, frontEnds, defects{})
	w.setDemand(1)
	return w
}

// totalRate returns the rate that the fleet shares, per second.
func (w *world) totalRate() float64 { return float64(w.newestSet.Specs[0].Total.Rate) / account.Unit }

// rateInUse returns what was spent per second in the last span.
func (w *world) rateInUse(span monotime.Micros) float64 {
	return w.shareInUse(&w.newestSet.Specs[0], span) * w.totalRate()
}

// oracleRate returns what could be spent per second if all demand were known.
func (w *world) oracleRate() float64 { return min(w.totalDemand(), w.totalRate()) }

// evenRate returns what could be spent per second with an even division.
func (w *world) evenRate() (rate float64) {
	share := w.totalRate() / float64(len(w.frontEnds))
	for _, f := range w.frontEnds {
		rate += min(f.demand, share)
	}
	return rate
}

// guessedRate returns what would be spent per second if each front end guessed its share, as its demand over 1.4 times
// the total and an even share at least. It may be more than the total.
func (w *world) guessedRate() (rate float64) {
	total := w.totalRate()
	for _, f := range w.frontEnds {
		rate += min(f.demand, total*max(min(1, f.demand/(1.4*total)), 1/float64(len(w.frontEnds))))
	}
	return rate
}

// rateOf returns the rate that a front end may spend, in thousandths per second.
func (w *world) rateOf(i int) float64 {
	p := w.frontEnds[i].process
	now := p.localTime()
	lease, static, _ := p.books["rate"].Account(now, "").Amounts(now)
	return float64(lease.Rate + static.Rate)
}

// The total is in use under steady, skewed and changing demand, compared with an oracle.
func TestShareOfTheTotalInUse(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand func(i int, at monotime.Micros) float64
	}{
		{"steady, all alike", func(int, monotime.Micros) float64 { return 60 }},
		{"steady, one has nearly all", func(i int, _ monotime.Micros) float64 { return []float64{400, 5, 5, 5, 5}[i] }},
		{"steady, below the total", func(i int, _ monotime.Micros) float64 { return []float64{90, 40, 10, 5, 5}[i] }},
		{"moves every 2 s", func(i int, at monotime.Micros) float64 {
			return []float64{300, 20, 20, 20, 20}[(i+int(at/(2*second)))%5]
		}},
	} {
		w := newFleet(5, 200, 2*second)
		w.run(8 * second)
		got, oracle, even, guess := 0.0, 0.0, 0.0, 0.0
		for k := range 40 {
			for i, f := range w.frontEnds {
				f.demand = c.demand(i, w.now)
			}
			w.run(w.now + second/2)
			if k >= 8 {
				got, oracle = got+w.rateInUse(second/2), oracle+w.oracleRate()
				even, guess = even+w.evenRate(), guess+w.guessedRate()
			}
		}
		t.Logf("%-28s %.2f of the oracle; an even division %.2f, a guess at one's share %.2f",
			c.name, got/oracle, even/oracle, guess/oracle)
		assert.Greater(t, got/oracle, 0.75, c.name)
		assert.GreaterOrEqual(t, got/oracle, even/oracle-0.05, c.name)
	}
	checkShareFollowsDemand(t)
}

// checkShareFollowsDemand measures how soon the division follows when all demand moves from one front end to another.
func checkShareFollowsDemand(t *testing.T) {
	w := newFleet(5, 200, 2*second)
	w.frontEnds[0].demand = 300
	w.run(12 * second)
	w.frontEnds[0].demand, w.frontEnds[3].demand = 1, 300
	movedAt := w.now
	rates := map[monotime.Micros]float64{}
	for at := movedAt; at < movedAt+5*second; at += 10 * millisecond {
		w.run(at)
		rates[at] = w.rateOf(3)
	}
	followedAt := movedAt
	for rates[followedAt] < 0.9*w.rateOf(3) {
		followedAt += 10 * millisecond
	}
	t.Logf("90%% of a move of all demand is followed in %d ms; the front end then has %.2f of the total",
		(followedAt-movedAt)/millisecond, w.rateOf(3)/200_000)
	assert.Less(t, followedAt-movedAt, second*7/10, "of virtual time")
	assert.Greater(t, w.rateOf(3), 0.85*200_000)
	require.Empty(t, w.check())
}

// Shares are max-min fair: none with more demand has less than any other, by weight, and no more is granted than there
// is. Here 5 and 30 are granted in full, and the other three share 165 evenly.
func TestSharesAreFair(t *testing.T) {
	w := newFleet(5, 200, 2*second)
	for i, demand := range []float64{5, 30, 80, 150, 400} {
		w.frontEnds[i].demand = demand
	}
	w.run(14 * second)
	for i, share := range []float64{5, 30, 55, 55, 55} {
		assert.InDelta(t, share, w.rateOf(i)/account.Unit, share*0.2+3, "of %d", i)
	}
}

// cost is what a world's messages and commits have cost so far.
type cost struct {
	reports, messageBytes, commits int
	measuredAt                     time.Time
}

func (w *world) cost() cost { return cost{w.reports, w.messageBytes, len(w.log), time.Now()} }

// since returns the cost per second of virtual time, and the processor time of a report.
func (c cost) since(before cost, span monotime.Micros) (reports, commits, kilobytes float64, perReport time.Duration) {
	seconds := float64(span) / float64(second)
	elapsed := c.measuredAt.Sub(before.measuredAt)
	return float64(c.reports-before.reports) / seconds, float64(c.commits-before.commits) / seconds,
		float64(c.messageBytes-before.messageBytes) / seconds / 1024,
		elapsed / time.Duration(max(1, c.reports-before.reports))
}

// Messages, bytes and commits by the number of front ends and of budgets; long.
func TestCostOfDividing(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("long")
	}
	for _, frontEnds := range []int{3, 9, 80, 500} {
		w := newFleet(frontEnds, 2000, 2*second)
		w.setDemand(3000 / float64(frontEnds))
		w.run(8 * second)
		before := w.cost()
		w.run(12 * second)
		reports, commits, kilobytes, perReport := w.cost().since(before, 4*second)
		t.Logf("%3d front ends, one budget: %.0f reports, %.0f commits and %.1f KB a second; "+
			"a report takes %d us of a core", frontEnds, reports, commits, kilobytes, perReport.Microseconds())
		require.Empty(t, w.check())
	}
	for _, subjects := range []int{100, 2000, 10000} {
		w := newWorld(1, subjectsSet(9, 20_000, 30, 10, 1), 9, defects{})
		w.setMaxSubjects(budget.MaxSubjects)
		w.subjects = subjects
		w.setDemand(1000)
		w.run(8 * second)
		before := w.cost()
		w.run(10 * second)
		reports, commits, kilobytes, perReport := w.cost().since(before, 2*second)
		t.Logf("9 front ends, %5d budgets: %.0f reports, %.0f commits and %.0f KB a second; "+
			"a report takes %.1f ms of a core", subjects, reports, commits, kilobytes, perReport.Seconds()*1000)
	}
}

// subjectsSet returns a set with one budget of a window of a second.
func subjectsSet(frontEnds int, capacity, reserve, newcomerReserve, minPart int64) *budget.Set {
	return &budget.Set{Version: 1, Lease: 2 * second, MaxFrontEnds: frontEnds, Specs: []budget.Spec{{
		Name: "each", Kind: account.Window, Window: second, Total: budget.Amount{Capacity: capacity},
		StaticShare: reserve, NewcomerReserve: newcomerReserve, MinAllocation: minPart,
	}}}
}

// 2,000 engines that warm up at once, each with a budget of its own, and 10,000 tenants: all stay within their totals,
// and the authority within its limit.
func TestThousandsOfBudgetsStayWithinTheirTotals(t *testing.T) {
	for _, subjects := range []int{2000, 10000} {
		set := subjectsSet(5, 5_000, 0, 0, 1000)
		w := newWorld(1, set, 5, defects{})
		w.setMaxSubjects(subjects / 2)
		w.subjects = subjects
		w.setDemand(400)
		w.run(8 * second)
		bySubject := map[string][]*expense{}
		for _, e := range w.expenses {
			bySubject[e.subject] = append(bySubject[e.subject], e)
		}
		for subject, expenses := range bySubject {
			require.Empty(t, checkExpenses(&set.Specs[0], expenses), subject)
		}
		assert.Greater(t, len(bySubject), subjects/8, "subjects of which something was spent")
		for _, status := range w.replicas[0].authority.Status(0, "") {
			assert.LessOrEqual(t, len(status.Subjects), 100)
		}
	}
}
