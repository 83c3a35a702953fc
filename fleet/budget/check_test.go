package budget_test

import (
	"cmp"
	"fmt"
	"slices"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// expense is something that was spent, in true time.
type expense struct {
	budget   string
	subject  string
	at       monotime.Micros
	finished monotime.Micros // of a concurrency limit: when it was released
	amount   int64
}

// maxLoweringTime is how long after all faults have ended a lowered total is in force at the latest: an earlier
// lease may have to expire first, and what was spent under it to finish.
const maxLoweringTime = 8 * second

// check finds violations of the guarantees, from what was spent in true time alone. What holds between two changes of a
// total is not stated, so the largest total that was ever in force counts, and in the end the last one.
func (w *world) check() (violations []string) {
	for i := range w.newestSet.Specs {
		last := &w.newestSet.Specs[i]
		largest := *last
		for _, set := range w.sets {
			largest.Total = largest.Total.Max(set.Specs[i].Total)
		}
		var all, late []*expense
		for _, e := range w.expenses {
			if e.budget != last.Name {
				continue
			}
			all = append(all, e)
			if e.at >= healedAt+maxLoweringTime {
				late = append(late, e)
			}
		}
		violations = append(violations, checkExpenses(&largest, all)...)
		violations = append(violations, checkExpenses(last, late)...)
	}
	return violations
}

// checkExpenses finds the first violation of one subject's budget.
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

// checkRate plays a token bucket with the budget's rate and burst.
func checkRate(spec *budget.Spec, expenses []*expense) (violations []string) {
	burst, perSecond := float64(spec.Total.Capacity), float64(spec.Total.Rate)
	tokens, filledAt := burst, monotime.Micros(0)
	for _, e := range expenses {
		tokens = min(burst, tokens+perSecond*float64(e.at-filledAt)/float64(second))
		filledAt = e.at
		if tokens -= float64(e.amount); tokens < -0.5 {
			return []string{fmt.Sprintf("%s: %.3f too much at %d us", spec.Name, -tokens/account.Unit, e.at)}
		}
	}
	return nil
}

// checkConcurrency adds up what is in use at each instant.
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

// checkWindow adds up what was spent within the window before each expense.
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

// shareInUse returns the share of a total that was spent in the last span. It is 1 for concurrency limits.
func (w *world) shareInUse(spec *budget.Spec, span monotime.Micros) float64 {
	spent := 0.0
	for _, e := range w.expenses {
		if e.budget == spec.Name && e.at >= w.now-span {
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
