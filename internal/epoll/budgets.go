package epoll

import (
	"chutechute/fleet/budget"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// FleetBudgets is how the fleet's budgets stand, as this front end and its copy of the record know it.
type FleetBudgets struct {
	Name    string              `json:"name"`
	On      bool                `json:"on"`
	Leader  string              `json:"leader"`
	Copy    bool                `json:"copy"` // this front end has a copy, so that Budgets holds
	Version uint64              `json:"version"`
	Holder  *budget.LeaseStatus `json:"holder,omitempty"`
	Unknown map[string]string   `json:"unknown,omitempty"` // budgets that this site has nothing for, with the reasons
	Budgets []budget.Status     `json:"budgets"`
	Here    []FleetSpending     `json:"here"`
	Denied  []FleetDenial       `json:"denied"` // of late, the newest first
}

// FleetDenial is a request that was turned away for want of room in a budget.
type FleetDenial struct {
	Call    string `json:"call"`
	Budget  string `json:"budget"`
	AgeMS   int64  `json:"age_ms"`
	AfterMS int64  `json:"after_ms"`
}

// FleetSpending is how one budget stands at this front end. Amounts are in queries, threads or milliseconds of work.
type FleetSpending struct {
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
func (p *peers) showBudgets(name string) FleetBudgets {
	if p.node == nil { // none are divided among attached front ends
		return FleetBudgets{Name: p.cfg.Name, Budgets: []budget.Status{}, Here: []FleetSpending{}, Denied: []FleetDenial{}}
	}
	denied := p.core.Denials(name)
	if name != "" && len(denied) > 0 {
		name = denied[0].Budget
	}
	f := FleetBudgets{Name: p.cfg.Name, On: p.holder != nil, Leader: p.node.ReplicaName(p.node.Replica().Leader()),
		Copy: p.node.Replica().Group() != 0, Version: p.budgets.SetVersion(), Budgets: p.budgets.Status(p.host.now, name), Here: []FleetSpending{},
		Denied: []FleetDenial{}}
	for _, d := range denied {
		f.Denied = append(f.Denied, FleetDenial{d.RequestID, d.Budget, (p.host.now - d.At) / ms, d.RetryAfter / ms})
	}
	if p.holder == nil {
		return f
	}
	shown := p.holder.Status(p.host.now)
	f.Holder, f.Unknown = &shown, p.enforcer.Unknown
	if !f.Copy {
		f.Version = shown.Version
	}
	for _, s := range p.core.BudgetStatuses(p.host.now) {
		if name == "" || name == s.Budget {
			f.Here = append(f.Here, spending(s, p.host.now))
		}
	}
	return f
}

func spending(s scheduler.BudgetStatus, now monotime.Micros) FleetSpending {
	const units = 1000.0
	lease, static := s.Lease.Capacity, s.Static.Capacity
	if s.Lease.Rate+s.Static.Rate > 0 {
		lease, static = s.Lease.Rate, s.Static.Rate
	}
	return FleetSpending{Budget: s.Budget, Subject: s.Subject, Want: float64(s.Want) / units, InUse: float64(s.Used) / units,
		Lease: float64(lease) / units, Static: float64(static) / units, Spent: float64(s.Spent) / units, Denied: s.Denied,
		LeftMS: max(0, s.Until-now) / ms}
}
