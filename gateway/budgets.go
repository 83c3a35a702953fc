package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// GrantBudgets tells the scheduler what it may spend of the fleet's budgets. The grant is in force before the scheduler
// starts another attempt.
func (c *Core) GrantBudgets(grant scheduler.BudgetGrant) { c.addEvent(grant) }

// BudgetDemands returns what the scheduler uses and wants of the fleet's budgets.
func (c *Core) BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand {
	return c.scheduler.BudgetDemands(now)
}

// BudgetStatuses returns the state of the fleet's budgets on this front end.
func (c *Core) BudgetStatuses(now monotime.Micros) []scheduler.BudgetStatus {
	return c.scheduler.BudgetStatuses(now)
}

// Denial is a request that was rejected because a budget had no capacity for it.
type Denial struct {
	At         monotime.Micros
	RequestID  string
	Budget     string
	RetryAfter monotime.Micros // how long its client was to wait, from At, before a retry
}

// maxDenials is how many denials are kept.
const maxDenials = 256

// denialLog keeps the last denials in a ring. Its zero value is empty.
type denialLog struct {
	ring   []Denial
	oldest int // index of the entry that the next one replaces, once the ring is full
}

// add adds a denial, in place of the oldest where the log is full.
func (l *denialLog) add(d Denial) {
	if len(l.ring) < maxDenials {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.oldest] = d
	l.oldest = (l.oldest + 1) % maxDenials
}

// newestFirst returns the denials that match.
func (l *denialLog) newestFirst(matches func(*Denial) bool) (list []Denial) {
	count := len(l.ring)
	for age := range count {
		d := &l.ring[(l.oldest+count-1-age)%count]
		if matches(d) {
			list = append(list, *d)
		}
	}
	return list
}

// Denials returns the last requests that budgets had no capacity for, the newest first: all if of is empty, else those
// of the budget or of the request with that name.
func (c *Core) Denials(of string) []Denial {
	return c.denials.newestFirst(func(d *Denial) bool { return of == "" || of == d.Budget || of == d.RequestID })
}
