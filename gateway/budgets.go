package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// GrantBudgets tells the module what it may spend of the fleet's budgets. It is in force before the module begins anything more.
func (c *Core) GrantBudgets(ev scheduler.BudgetGrant) { c.events = append(c.events, ev) }

// BudgetDemands is what the module wants of the fleet's budgets and has in use.
func (c *Core) BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand {
	return c.module.BudgetDemands(now)
}

// BudgetStatuses is how the fleet's budgets stand here.
func (c *Core) BudgetStatuses(now monotime.Micros) []scheduler.BudgetStatus {
	return c.module.BudgetStatuses(now)
}

// Denial is a request that was turned away for want of room in a budget.
type Denial struct {
	At         monotime.Micros
	RequestID  string
	Budget     string
	RetryAfter monotime.Micros // when it was told to come back
}

// mostDenials bounds those that are remembered.
const mostDenials = 256

// denials is the last of them.
type denials struct {
	list []Denial
	next int
}

func (d *denials) add(n Denial) {
	if len(d.list) < mostDenials {
		d.list = append(d.list, n)
		return
	}
	d.list[d.next] = n
	d.next = (d.next + 1) % mostDenials
}

// Denials is the last requests that a budget had no room for, the newest first; of one budget or one call where it is named.
func (c *Core) Denials(of string) (list []Denial) {
	for i := range c.denials.list {
		d := c.denials.list[(c.denials.next+len(c.denials.list)-1-i)%len(c.denials.list)]
		if of == "" || of == d.Budget || of == d.RequestID {
			list = append(list, d)
		}
	}
	return list
}
