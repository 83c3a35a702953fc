package peering

import (
	"chutechute/fleet/budget"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// BudgetPage is the status page of the fleet's budgets, as known to this front end and its replica.
type BudgetPage struct {
	Name         string              `json:"name"`
	Enabled      bool                `json:"on"`
	Leader       string              `json:"leader"`
	HasReplica   bool                `json:"copy"` // whether this front end has a replica, from which Budgets is filled
	Version      uint64              `json:"version"`
	LeaseHolder  *budget.LeaseStatus `json:"holder,omitempty"`
	Inapplicable map[string]string   `json:"unknown,omitempty"` // budgets that do not apply at this site, with the reasons
	Budgets      []budget.Status     `json:"budgets"`
	Local        []BudgetUsage       `json:"here"`
	Rejections   []BudgetRejection   `json:"denied"` // recent ones, newest first
}

// BudgetRejection is a request that was rejected because a budget had no capacity left.
type BudgetRejection struct {
	RequestID    string `json:"call"`
	Budget       string `json:"budget"`
	AgeMS        int64  `json:"age_ms"`
	RetryAfterMS int64  `json:"after_ms"`
}

// BudgetUsage is this front end's usage of one budget. Amounts are in queries, threads or milliseconds of work.
type BudgetUsage struct {
	Budget           string  `json:"budget"`
	Subject          string  `json:"subject,omitempty"`
	Demand           float64 `json:"want"`
	InUse            float64 `json:"in_use"`
	Lease            float64 `json:"lease"`
	Static           float64 `json:"static"`
	Spent            float64 `json:"spent"`
	Rejected         int     `json:"denied"`
	LeaseRemainingMS int64   `json:"lease_left_ms"`
}

// emptyBudgetPage returns the budget page of a front end without budgets.
func (p *Peering) emptyBudgetPage() BudgetPage {
	return BudgetPage{
		Name:       p.cfg.Name,
		Budgets:    []budget.Status{},
		Local:      []BudgetUsage{},
		Rejections: []BudgetRejection{},
	}
}

// budgetPage returns the page of the budget with the given name, or of all budgets if the name is empty. The name may
// also be the ID of a recently rejected request, and then stands for the budget that rejected it.
func (p *Peering) budgetPage(name string) BudgetPage {
	page := p.emptyBudgetPage()
	if p.controlNode == nil { // attached front ends have no part in budgets
		return page
	}
	now := p.Host.TurnTime
	rejections := p.Core.BudgetRejections(name)
	if name != "" && len(rejections) > 0 {
		name = rejections[0].Budget
	}
	replica := p.controlNode.Replica()
	page.Enabled = p.leaseHolder != nil
	page.Leader = p.controlNode.ReplicaName(replica.Leader())
	page.HasReplica = replica.GroupID() != 0
	page.Version = p.budgetAuthority.SetVersion()
	page.Budgets = p.budgetAuthority.Status(now, name)
	for _, r := range rejections {
		page.Rejections = append(page.Rejections, BudgetRejection{
			RequestID:    r.RequestID,
			Budget:       r.Budget,
			AgeMS:        (now - r.At) / monotime.Millisecond,
			RetryAfterMS: r.RetryAfter / monotime.Millisecond,
		})
	}
	if p.leaseHolder != nil {
		p.addLeaseStatus(&page, name)
	}
	return page
}

// addLeaseStatus adds this front end's leases and its usage of the budgets.
func (p *Peering) addLeaseStatus(page *BudgetPage, name string) {
	leases := p.leaseHolder.Status(p.Host.TurnTime)
	page.LeaseHolder, page.Inapplicable = &leases, p.enforcer.Unenforceable
	if !page.HasReplica {
		page.Version = leases.Version
	}
	for _, s := range p.Core.BudgetStatuses(p.Host.TurnTime) {
		if name == "" || name == s.Budget {
			page.Local = append(page.Local, newBudgetUsage(s, p.Host.TurnTime))
		}
	}
}

// newBudgetUsage returns the usage from a budget's status. A budget limits either a capacity or a rate.
func newBudgetUsage(status scheduler.BudgetStatus, now monotime.Micros) BudgetUsage {
	const milliUnits = 1000.0 // the scheduler's amounts are in thousandths
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
		Rejected:         status.Denied,
		LeaseRemainingMS: max(0, status.Until-now) / monotime.Millisecond,
	}
}
