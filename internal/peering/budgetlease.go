package peering

import (
	"chutechute/fleet/budget"
	"chutechute/fleet/budget/enforce"
	"chutechute/internal/config"
	"chutechute/internal/monotime"
)

const (
	// minBudgetReportInterval is the minimum interval between two reports of this front end's demand for the budgets.
	minBudgetReportInterval = 20 * monotime.Millisecond
	// budgetReleaseTimeout bounds how long a planned end waits until the release of the budget leases is committed.
	budgetReleaseTimeout = 300 * monotime.Millisecond
)

// startBudgets begins this front end's part in the fleet's budgets.
func (p *Peering) startBudgets(cfg *config.Peers) {
	p.enforcer = enforce.New(p.Settings, p.Core)
	holderConfig := budget.LeaseHolderConfig{
		Name:              cfg.Name,
		Set:               cfg.Budgets,
		MinReportInterval: minBudgetReportInterval,
	}
	p.leaseHolder = budget.NewLeaseHolder(holderConfig, p.controlNode, p.enforcer)
	p.leaseHolder.Start(p.Host.TurnTime)
}

// Released reports whether a front end that has nothing else left to do may end: its budget leases are released, so
// that others have them at once, or releasing them takes too long. The first call begins the release.
func (p *Peering) Released() bool {
	if p.leaseHolder == nil {
		return true
	}
	if p.releasingSince == 0 {
		p.releasingSince = p.Host.TurnTime
		p.leaseHolder.Release(p.Host.TurnTime)
	}
	return p.leaseHolder.Released() || p.Host.TurnTime-p.releasingSince >= budgetReleaseTimeout
}
