package peering

import (
	"chutechute/fleet/budget"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// BudgetPage is the page of the fleet's budgets, as this front end and its replica know them.
type BudgetPage struct {
	Name         string              `json:"name"`
	Enabled      bool                `json:"on"`
	Leader       string              `json:"leader"`
	HasReplica   bool                `json:"copy"` // this front end has a replica, so that Budgets is valid
	Version      uint64              `json:"version"`
	LeaseHolder  *budget.LeaseStatus `json:"holder,omitempty"`
	Inapplicable map[string]string   `json:"unknown,omitempty"` // budgets that do not apply at this site, with the reasons
	Budgets      []budget.Status     `json:"budgets"`
	Local        []BudgetUsage       `json:"here"`
	Denials      []BudgetDenial      `json:"denied"` // recent ones, the newest first
}

// BudgetDenial is a request that was rejected because a budget had no capacity left.
type BudgetDenial struct {
	RequestID    string `json:"call"`
	Budget       string `json:"budget"`
	AgeMS        int64  `json:"age_ms"`
	RetryAfterMS int64  `json:"after_ms"`
}

// BudgetUsage is this front end's use of one budget. Amounts are in queries, threads or milliseconds of work.
type BudgetUsage struct {
	Budget           string  `json:"budget"`
	Subject          string  `json:"subject,omitempty"`
	Demand           float64 `json:"want"`
	InUse            float64 `json:"in_use"`
	Lease            float64 `json:"lease"`
	Static           float64 `json:"static"`
	Spent            float64 `json:"spent"`
	Denied           int     `json:"denied"`
	LeaseRemainingMS int64   `json:"lease_left_ms"`
}

// emptyBudgetPage returns the page of a front end without budgets.
func (p *Peering) emptyBudgetPage() BudgetPage {
	return BudgetPage{
		Name:    p.cfg.Name,
		Budgets: []budget.Status{},
		Local:   []BudgetUsage{},
		Denials: []BudgetDenial{},
	}
}

// budgetPage returns the page of all budgets, or of the one of a name. For the name of a rejected request it is the
// page of the budget that rejected it.
func (p *Peering) budgetPage(name string) BudgetPage {
	page := p.emptyBudgetPage()
	if p.controlNode == nil { // budgets are not divided among attached front ends
		return page
	}
	now := p.Host.TurnTime
	denials := p.Core.Denials(name)
	if name != "" && len(denials) > 0 {
		name = denials[0].Budget
	}
	replica := p.controlNode.Replica()
	page.Enabled = p.leaseHolder != nil
	page.Leader = p.controlNode.ReplicaName(replica.Leader())
	page.HasReplica = replica.GroupID() != 0
	page.Version = p.budgetAuthority.SetVersion()
	page.Budgets = p.budgetAuthority.Status(now, name)
	for _, d := range denials {
		page.Denials = append(page.Denials, BudgetDenial{
			RequestID:    d.RequestID,
			Budget:       d.Budget,
			AgeMS:        (now - d.At) / monotime.Millisecond,
			RetryAfterMS: d.RetryAfter / monotime.Millisecond,
		})
	}
	if p.leaseHolder != nil {
		p.addLeaseStatus(&page, name)
	}
	return page
}

// addLeaseStatus adds this front end's leases and its use of the budgets.
func (p *Peering) addLeaseStatus(page *BudgetPage, name string) {
	leases := p.leaseHolder.Status(p.Host.TurnTime)
	page.LeaseHolder, page.Inapplicable = &leases, p.enforcer.Unenforceable
	if !page.HasReplica {
		page.Version = leases.Version
	}
	for _, s := range p.Core.BudgetStatuses(p.Host.TurnTime) {
		if name == "" || name == s.Budget {
			page.Local = append(page.Local, newBudgetSpending(s, p.Host.TurnTime))
		}
	}
}

// newBudgetSpending returns the page's form of a budget's status. A budget limits either a capacity or a rate.
func newBudgetSpending(status scheduler.BudgetStatus, now monotime.Micros) BudgetUsage {
	const milliUnits = 1000.0 // the scheduler counts in thousandths
	lease, static := status.Lease.Capacity, status.Static.Capacity
	if status.Lease.Rate+status.Static.Rate > 0 {
		lease, static = status.Lease.Rate, status.Static.Rate
	}
	return BudgetUsage{
		Budget:           status.Budget,
		Subject:          status.Subject,
		Demand:           float64(status.Demand) / milliUnits,
		InUse:            float64(status.Used) / milliUnits,
		Lease:            float64(lease) / milliUnits,
		Static:           float64(static) / milliUnits,
		Spent:            float64(status.Spent) / milliUnits,
		Denied:           status.Denied,
		LeaseRemainingMS: max(0, status.Until-now) / monotime.Millisecond,
	}
}
