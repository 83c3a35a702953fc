package peering

import (
	"chutechute/fleet/budget"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// BudgetPage is how the fleet's budgets stand, as this front end and its copy of the record know it.
type BudgetPage struct {
	Name    string              `json:"name"`
	On      bool                `json:"on"`
	Leader  string              `json:"leader"`
	Copy    bool                `json:"copy"` // this front end has a copy, so that Budgets holds
	Version uint64              `json:"version"`
	Holder  *budget.LeaseStatus `json:"holder,omitempty"`
	Unknown map[string]string   `json:"unknown,omitempty"` // budgets that this site has nothing for, with the reasons
	Budgets []budget.Status     `json:"budgets"`
	Here    []BudgetSpending    `json:"here"`
	Denied  []BudgetDenial      `json:"denied"` // of late, the newest first
}

// BudgetDenial is a request that was turned away for want of room in a budget.
type BudgetDenial struct {
	Call    string `json:"call"`
	Budget  string `json:"budget"`
	AgeMS   int64  `json:"age_ms"`
	AfterMS int64  `json:"after_ms"`
}

// BudgetSpending is how one budget stands at this front end. Amounts are in queries, threads or milliseconds of work.
type BudgetSpending struct {
	Budget  string  `json:"budget"`
	Subject string  `json:"subject,omitempty"`
	Want    float64 `json:"want"`
	InUse   float64 `json:"in_use"`
	Lease   float64 `json:"lease"`
	Static  float64 `json:"static"`
	Spent   float64 `json:"spent"`
	Denied  int     `json:"denied"`
	LeftMS  int64   `json:"lease_left_ms"`
}

// showBudgets tells of all budgets, or of one; of a call, why it was turned away.
func (p *Peering) showBudgets(name string) BudgetPage {
	if p.node == nil { // none are divided among attached front ends
		return BudgetPage{Name: p.cfg.Name, Budgets: []budget.Status{}, Here: []BudgetSpending{}, Denied: []BudgetDenial{}}
	}
	denied := p.Core.Denials(name)
	if name != "" && len(denied) > 0 {
		name = denied[0].Budget
	}
	f := BudgetPage{Name: p.cfg.Name, On: p.holder != nil, Leader: p.node.ReplicaName(p.node.Replica().Leader()),
		Copy: p.node.Replica().Group() != 0, Version: p.budgets.SetVersion(), Budgets: p.budgets.Status(p.Host.TurnTime, name), Here: []BudgetSpending{},
		Denied: []BudgetDenial{}}
	for _, d := range denied {
		f.Denied = append(f.Denied, BudgetDenial{d.RequestID, d.Budget, (p.Host.TurnTime - d.At) / monotime.Millisecond, d.RetryAfter / monotime.Millisecond})
	}
	if p.holder == nil {
		return f
	}
	shown := p.holder.Status(p.Host.TurnTime)
	f.Holder, f.Unknown = &shown, p.enforcer.Unknown
	if !f.Copy {
		f.Version = shown.Version
	}
	for _, s := range p.Core.BudgetStatuses(p.Host.TurnTime) {
		if name == "" || name == s.Budget {
			f.Here = append(f.Here, spending(s, p.Host.TurnTime))
		}
	}
	return f
}

func spending(s scheduler.BudgetStatus, now monotime.Micros) BudgetSpending {
	const units = 1000.0
	lease, static := s.Lease.Capacity, s.Static.Capacity
	if s.Lease.Rate+s.Static.Rate > 0 {
		lease, static = s.Lease.Rate, s.Static.Rate
	}
	return BudgetSpending{Budget: s.Budget, Subject: s.Subject, Want: float64(s.Want) / units, InUse: float64(s.Used) / units,
		Lease: float64(lease) / units, Static: float64(static) / units, Spent: float64(s.Spent) / units, Denied: s.Denied,
		LeftMS: max(0, s.Until-now) / monotime.Millisecond}
}
