package budget_test

import (
	"cmp"
	"fmt"
	"slices"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// expense is an amount that was spent from a budget. Its times are true times.
type expense struct {
	budget   string
	subject  string
	at       monotime.Micros
	finished monotime.Micros // for a concurrency limit: when it was released
	amount   int64
}

// maxLoweringTime is the longest time after the end of all faults until a lowered total is in force: an earlier lease
// may have to expire first, and the work started under it to finish.
const maxLoweringTime = 8 * second

// check returns the violations of the guarantees, judged only by what was spent in true time. The guarantees do not say
// which total holds while totals change. All expenses are therefore checked against the largest total of any version of
// the settings, and those from maxLoweringTime after the end of the faults against the last one.
func (s *simulation) check() (violations []string) {
	for i := range s.newestSet.Specs {
		last := &s.newestSet.Specs[i]
		largest := *last
		for _, set := range s.sets {
			largest.Total = largest.Total.Max(set.Specs[i].Total)
		}
		var all, late []*expense
		for _, e := range s.expenses {
			if e.budget != last.Name {
				continue
			}
			all = append(all, e)
			if e.at >= faultsEndAt+maxLoweringTime {
				late = append(late, e)
			}
		}
		violations = append(violations, checkExpenses(&largest, all)...)
		violations = append(violations, checkExpenses(last, late)...)
	}
	return violations
}

// checkExpenses returns the first violation of a budget by the expenses of one subject, if any.
func checkExpenses(spec *budget.Spec, expenses []*expense) (violations []string) {
	switch spec.Kind {
	case account.Rate:
		return checkRate(spec, expenses)
	case account.Concurrency:
		return checkConcurrency(spec, expenses)
	case account.Window:
		return checkWindow(spec, expenses)
	}
	return nil
}

// checkRate checks expenses against a token bucket with the rate and burst of the budget.
func checkRate(spec *budget.Spec, expenses []*expense) (violations []string) {
	burst, perSecond := float64(spec.Total.Capacity), float64(spec.Total.Rate)
	tokens, filledAt := burst, monotime.Micros(0)
	for _, e := range expenses {
		tokens = min(burst, tokens+perSecond*float64(e.at-filledAt)/float64(second))
		filledAt = e.at
		if tokens -= float64(e.amount); tokens < -0.5 {
			return []string{fmt.Sprintf("%s: %.3f above the limit at %d us", spec.Name, -tokens/account.Unit, e.at)}
		}
	}
	return nil
}

// checkConcurrency checks that what is in use at any time stays within the limit.
func checkConcurrency(spec *budget.Spec, expenses []*expense) (violations []string) {
	type change struct {
		at     monotime.Micros
		amount int64
	}
	var changes []change
	for _, e := range expenses {
		changes = append(changes, change{e.at, e.amount}, change{e.finished, -e.amount})
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.amount, b.amount))
	})
	inUse := int64(0)
	for _, c := range changes {
		if inUse += c.amount; inUse > spec.Total.Capacity {
			return []string{fmt.Sprintf("%s: %d of %d in use at %d us",
				spec.Name, inUse/account.Unit, spec.Total.Capacity/account.Unit, c.at)}
		}
	}
	return nil
}

// checkWindow checks that what was spent within the window before each expense stays within the total.
func checkWindow(spec *budget.Spec, expenses []*expense) (violations []string) {
	spent, first := int64(0), 0
	for _, e := range expenses {
		spent += e.amount
		for expenses[first].at <= e.at-spec.Window {
			spent -= expenses[first].amount
			first++
		}
		if spent > spec.Total.Capacity {
			return []string{fmt.Sprintf("%s: %d of %d within a window at %d us",
				spec.Name, spent/account.Unit, spec.Total.Capacity/account.Unit, e.at)}
		}
	}
	return nil
}

// shareInUse returns the share of a total that was spent within the last span. It returns 1 for concurrency limits.
func (s *simulation) shareInUse(spec *budget.Spec, span monotime.Micros) float64 {
	spent := 0.0
	for _, e := range s.expenses {
		if e.budget == spec.Name && e.at >= s.now-span {
			spent += float64(e.amount)
		}
	}
	switch spec.Kind {
	case account.Rate:
		return spent / (float64(spec.Total.Rate) * float64(span) / float64(second))
	case account.Window:
		return spent / (float64(spec.Total.Capacity) * float64(span) / float64(spec.Window))
	}
	return 1
}
