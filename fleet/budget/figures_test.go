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

// newRateSimulation returns a simulation without faults in which a number of front ends share one rate, given per
// second, with a burst of half a second's amount.
func newRateSimulation(frontEnds int, rate int64, lease monotime.Micros) *simulation {
	set := &budget.Set{Version: 1, Lease: lease, MaxFrontEnds: frontEnds, Specs: []budget.Spec{{
		Name: "rate", Kind: account.Rate, Total: budget.Amount{Capacity: rate * 500, Rate: rate * account.Unit},
		StaticShare: 20, NewcomerReserve: 5, MinAllocation: 1000,
	}}}
	s := newSimulation(1, set, frontEnds, mutations{})
	s.setDemand(1)
	return s
}

// totalRate returns the rate that all front ends share, per second.
func (s *simulation) totalRate() float64 {
	return float64(s.newestSet.Specs[0].Total.Rate) / account.Unit
}

// rateInUse returns the amount spent per second within the last span.
func (s *simulation) rateInUse(span monotime.Micros) float64 {
	return s.shareInUse(&s.newestSet.Specs[0], span) * s.totalRate()
}

// oracleRate returns the amount that could be spent per second if all demand were known.
func (s *simulation) oracleRate() float64 { return min(s.totalDemand(), s.totalRate()) }

// evenRate returns the amount that could be spent per second if the total were divided evenly.
func (s *simulation) evenRate() (rate float64) {
	share := s.totalRate() / float64(len(s.frontEnds))
	for _, f := range s.frontEnds {
		rate += min(f.demand, share)
	}
	return rate
}

// guessedRate returns the amount that would be spent per second if each front end estimated its own share as its demand
// divided by 1.4 times the total, but at least an even share. It may exceed the total.
func (s *simulation) guessedRate() (rate float64) {
	total := s.totalRate()
	for _, f := range s.frontEnds {
		rate += min(f.demand, total*max(min(1, f.demand/(1.4*total)), 1/float64(len(s.frontEnds))))
	}
	return rate
}

// rateOf returns the rate that a front end may currently spend, in thousandths per second.
func (s *simulation) rateOf(i int) float64 {
	p := s.frontEnds[i].process
	now := p.localTime()
	lease, static, _ := p.books["rate"].Account(now, "").Amounts(now)
	return float64(lease.Rate + static.Rate)
}

// Under steady, skewed and changing demand, the front ends spend more than 75% of what an oracle would spend. They
// spend no less than with an even division, within a tolerance of 5% of the oracle's amount.
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
		s := newRateSimulation(5, 200, 2*second)
		s.run(8 * second)
		got, oracle, even, guess := 0.0, 0.0, 0.0, 0.0
		for k := range 40 {
			for i, f := range s.frontEnds {
				f.demand = c.demand(i, s.now)
			}
			s.run(s.now + second/2)
			if k >= 8 {
				got, oracle = got+s.rateInUse(second/2), oracle+s.oracleRate()
				even, guess = even+s.evenRate(), guess+s.guessedRate()
			}
		}
		t.Logf("%-28s %.2f of the oracle; an even division %.2f, self-estimated shares %.2f",
			c.name, got/oracle, even/oracle, guess/oracle)
		assert.Greater(t, got/oracle, 0.75, c.name)
		assert.GreaterOrEqual(t, got/oracle, even/oracle-0.05, c.name)
	}
	checkShareFollowsDemand(t)
}

// checkShareFollowsDemand checks how soon the division follows when all demand moves from one front end to another.
func checkShareFollowsDemand(t *testing.T) {
	s := newRateSimulation(5, 200, 2*second)
	s.frontEnds[0].demand = 300
	s.run(12 * second)
	s.frontEnds[0].demand, s.frontEnds[3].demand = 1, 300
	movedAt := s.now
	rates := map[monotime.Micros]float64{}
	for at := movedAt; at < movedAt+5*second; at += 10 * millisecond {
		s.run(at)
		rates[at] = s.rateOf(3)
	}
	followedAt := movedAt
	for rates[followedAt] < 0.9*s.rateOf(3) {
		followedAt += 10 * millisecond
	}
	t.Logf("the division follows a move of all demand to 90%% within %d ms; the front end then has %.2f of the total",
		(followedAt-movedAt)/millisecond, s.rateOf(3)/200_000)
	assert.Less(t, followedAt-movedAt, second*7/10, "of virtual time")
	assert.Greater(t, s.rateOf(3), 0.85*200_000)
	require.Empty(t, s.check())
}

// The division is max-min fair: no front end with more demand gets less than another one, relative to its weight, and
// no more than the total is granted. Here the weights are equal: demands of 5 and 30 are granted in full, and the other
// three front ends share 165 evenly.
func TestSharesAreFair(t *testing.T) {
	s := newRateSimulation(5, 200, 2*second)
	for i, demand := range []float64{5, 30, 80, 150, 400} {
		s.frontEnds[i].demand = demand
	}
	s.run(14 * second)
	for i, share := range []float64{5, 30, 55, 55, 55} {
		assert.InDelta(t, share, s.rateOf(i)/account.Unit, share*0.2+3, "of %d", i)
	}
}

// cost is the number of reports, bytes of messages and commits of a simulation so far.
type cost struct {
	reports, messageBytes, commits int
	measuredAt                     time.Time
}

func (s *simulation) cost() cost { return cost{s.reports, s.messageBytes, len(s.log), time.Now()} }

// since returns the cost per second of virtual time since an earlier measurement, and the elapsed real time per report.
func (c cost) since(before cost, span monotime.Micros) (reports, commits, kilobytes float64, perReport time.Duration) {
	seconds := float64(span) / float64(second)
	elapsed := c.measuredAt.Sub(before.measuredAt)
	return float64(c.reports-before.reports) / seconds, float64(c.commits-before.commits) / seconds,
		float64(c.messageBytes-before.messageBytes) / seconds / 1024,
		elapsed / time.Duration(max(1, c.reports-before.reports))
}

// Logs reports, bytes and commits per second by the number of front ends and of subjects. It runs only if
// CHUTECHUTE_LONG is set.
func TestCostOfDividing(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("CHUTECHUTE_LONG is not set")
	}
	for _, frontEnds := range []int{3, 9, 80, 500} {
		s := newRateSimulation(frontEnds, 2000, 2*second)
		s.setDemand(3000 / float64(frontEnds))
		s.run(8 * second)
		before := s.cost()
		s.run(12 * second)
		reports, commits, kilobytes, perReport := s.cost().since(before, 4*second)
		t.Logf("%3d front ends, one budget: %.0f reports, %.0f commits and %.1f KB a second; "+
			"a report takes %d us of a core", frontEnds, reports, commits, kilobytes, perReport.Microseconds())
		require.Empty(t, s.check())
	}
	for _, subjects := range []int{100, 2000, 10000} {
		s := newSimulation(1, subjectsSet(9, 20_000, 30, 10, 1), 9, mutations{})
		s.setMaxSubjects(budget.MaxSubjects)
		s.subjects = subjects
		s.setDemand(1000)
		s.run(8 * second)
		before := s.cost()
		s.run(10 * second)
		reports, commits, kilobytes, perReport := s.cost().since(before, 2*second)
		t.Logf("9 front ends, %5d budgets: %.0f reports, %.0f commits and %.0f KB a second; "+
			"a report takes %.1f ms of a core", subjects, reports, commits, kilobytes, perReport.Seconds()*1000)
	}
}

// subjectsSet returns settings with one budget within a window of a second, which each subject has separately.
func subjectsSet(frontEnds int, capacity, staticShare, newcomerReserve, minAllocation int64) *budget.Set {
	return &budget.Set{Version: 1, Lease: 2 * second, MaxFrontEnds: frontEnds, Specs: []budget.Spec{{
		Name: "each", Kind: account.Window, Window: second, Total: budget.Amount{Capacity: capacity},
		StaticShare: staticShare, NewcomerReserve: newcomerReserve, MinAllocation: minAllocation,
	}}}
}

// Thousands of subjects with a budget each, such as 2,000 engines that warm up at once or 10,000 tenants, stay within
// their totals, even if the authority is limited to half as many subjects. The status lists at most 100 of them.
func TestThousandsOfBudgetsStayWithinTheirTotals(t *testing.T) {
	for _, subjects := range []int{2000, 10000} {
		set := subjectsSet(5, 5_000, 0, 0, 1000)
		s := newSimulation(1, set, 5, mutations{})
		s.setMaxSubjects(subjects / 2)
		s.subjects = subjects
		s.setDemand(400)
		s.run(8 * second)
		bySubject := map[string][]*expense{}
		for _, e := range s.expenses {
			bySubject[e.subject] = append(bySubject[e.subject], e)
		}
		for subject, expenses := range bySubject {
			require.Empty(t, checkExpenses(&set.Specs[0], expenses), subject)
		}
		assert.Greater(t, len(bySubject), subjects/8, "subjects of which something was spent")
		for _, status := range s.replicas[0].authority.Status(0, "") {
			assert.LessOrEqual(t, len(status.Subjects), 100)
		}
	}
}
