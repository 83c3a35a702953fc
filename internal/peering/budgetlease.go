package peering

import (
	"chutechute/fleet/budget"
	"chutechute/fleet/budget/enforce"
	"chutechute/internal/config"
	"chutechute/internal/monotime"
)

const (
	// minBudgetReportInterval is the minimum interval between two reports of this front end's budget demand.
	minBudgetReportInterval = 20 * monotime.Millisecond
	// budgetReleaseTimeout bounds how long a graceful shutdown waits for the release of the budget leases to be committed.
	budgetReleaseTimeout = 300 * monotime.Millisecond
)

// startBudgets creates this front end's lease holder and enforcer, and starts the lease holder.
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

// Released reports whether a front end that has completed the rest of its graceful shutdown may exit: its budget leases
// are released, so that others can use the capacity at once, or budgetReleaseTimeout has passed. The first call starts
// the release.
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
