package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// GrantBudgets passes to the scheduler the amounts of the fleet's budgets that it may spend. The grant is in force
// before the scheduler starts another attempt.
func (c *Core) GrantBudgets(grant scheduler.BudgetGrant) { c.addEvent(grant) }

// BudgetDemands returns the scheduler's demand for the fleet's budgets and how much of them is in use.
func (c *Core) BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand {
	return c.scheduler.BudgetDemands(now)
}

// BudgetStatuses returns the state of the fleet's budgets on this front end.
func (c *Core) BudgetStatuses(now monotime.Micros) []scheduler.BudgetStatus {
	return c.scheduler.BudgetStatuses(now)
}

// BudgetRejection describes a request that was rejected because a budget had no capacity for it.
type BudgetRejection struct {
	At         monotime.Micros
	RequestID  string
	Budget     string
	RetryAfter monotime.Micros // the Retry-After sent to its client, counted from At
}

// maxBudgetRejections is the number of budget rejections that are kept.
const maxBudgetRejections = 256

// budgetRejectionLog keeps the most recent budget rejections in a ring buffer. Its zero value is empty.
type budgetRejectionLog struct {
	ring   []BudgetRejection
	oldest int // index of the entry that is overwritten next once the ring is full
}

// add adds a rejection. If the log is full, it replaces the oldest one.
func (l *budgetRejectionLog) add(rejection BudgetRejection) {
	if len(l.ring) < maxBudgetRejections {
		l.ring = append(l.ring, rejection)
		return
	}
	l.ring[l.oldest] = rejection
	l.oldest = (l.oldest + 1) % maxBudgetRejections
}

// newestFirst returns the rejections for which matches is true, the newest first.
func (l *budgetRejectionLog) newestFirst(matches func(*BudgetRejection) bool) (list []BudgetRejection) {
	count := len(l.ring)
	for age := range count {
		rejection := &l.ring[(l.oldest+count-1-age)%count]
		if matches(rejection) {
			list = append(list, *rejection)
		}
	}
	return list
}

// BudgetRejections returns the most recent requests that were rejected because a budget had no capacity, the newest
// first. A non-empty name selects those of the budget with this name or of the request with this ID.
func (c *Core) BudgetRejections(name string) []BudgetRejection {
	return c.budgetRejections.newestFirst(func(rejection *BudgetRejection) bool {
		return name == "" || name == rejection.Budget || name == rejection.RequestID
	})
}
