package budget

import (
	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
)

// applyReport records a report of a lease holder and updates its grant.
func (a *Authority) applyReport(incarnation replication.Incarnation, report *command) (response reportResponse) {
	response.Report = report.Report
	a.adoptSettings(report, &response)
	if a.set == nil {
		return response
	}
	h := a.holder(incarnation)
	if h == nil {
		h = a.addHolder(incarnation, report)
	}
	if h == nil {
		response.LeaseExpired, response.UnknownHolder = true, true
		return response
	}
	if report.Report <= h.lastReport || report.BaseReport != 0 && report.BaseReport != h.lastReport {
		response.OutOfOrder = true
		return response
	}
	h.lastReport = report.Report
	confirmation := a.confirmGrant(h, report)
	if confirmation == grantExpired {
		response.LeaseExpired = true
		return response
	}
	h.longestLease = max(h.longestLease, a.set.Lease)
	h.leaseExpiresAt = max(h.leaseExpiresAt, a.now+withMargin(h.longestLease))
	a.recordDemands(h, report)
	staticConfirmed := report.StaticGrant == h.staticGrant
	if staticConfirmed {
		a.confirmStatic(h)
	}
	if report.Leaving {
		a.leave(h)
		return response
	}
	if staticConfirmed {
		a.assignStatic(h)
	}
	if confirmation == grantConfirmed {
		a.grant(h)
	}
	a.addGrants(h, &response)
	a.removeUnused(h)
	return response
}

// confirmation is what a report shows about the last grant.
type confirmation int

const (
	grantExpired   confirmation = iota // the lease of the grant in the report has expired
	grantPending                       // the lease holder has not received the last grant yet
	grantConfirmed                     // the last grant is in force at the lease holder, or it has no lease
)

// confirmGrant records which grant is in force at a lease holder.
func (a *Authority) confirmGrant(h *holderRecord, report *command) confirmation {
	switch {
	case report.Grant == 0: // it has no lease, so only what is in use counts
		h.expired, h.grant, h.previousGrant = false, 0, 0
		a.updateAll(h, func(alloc *allocation) { alloc.grantPair = grantPair{} })
		return grantConfirmed
	case report.Grant == h.grant && !h.expired:
		a.updateAll(h, func(alloc *allocation) { alloc.confirmed = alloc.granted })
		return grantConfirmed
	case report.Grant == h.previousGrant && !h.expired:
		return grantPending
	}
	return grantExpired
}

// recordDemands records the demand and the use of a report. A report without a base report lists everything, so what it
// does not list is zero.
func (a *Authority) recordDemands(h *holderRecord, report *command) {
	for _, d := range report.Demands {
		alloc := a.findOrAddAllocation(h, d.key())
		if alloc == nil {
			continue
		}
		alloc.listedIn = report.Report
		a.setDemand(alloc, d.Demand)
		if alloc.subject.kind != account.Rate {
			a.update(alloc, func() { alloc.inUse = d.InUse })
		}
	}
	if report.BaseReport != 0 {
		return
	}
	for _, alloc := range h.allocations {
		if alloc.listedIn != report.Report {
			a.setDemand(alloc, 0)
			a.update(alloc, func() { alloc.inUse = 0 })
		}
	}
}

// leave records that a lease holder has stopped spending. Its record stays while something is in use.
func (a *Authority) leave(h *holderRecord) {
	a.returnStatic(h)
	a.removeUnused(h)
	if len(h.allocations) == 0 {
		a.removeHolder(h)
	}
}

// grant recomputes all allocations of a lease holder. If one has changed, the grant gets a new number.
func (a *Authority) grant(h *holderRecord) {
	changed := h.grant == 0
	for _, alloc := range h.allocations {
		if amount := a.allocate(alloc); amount != alloc.granted {
			changed = true
			a.update(alloc, func() { alloc.granted = amount })
		}
	}
	if changed {
		h.previousGrant, h.grant = h.grant, a.index
	}
}

// addGrants adds what a lease holder may spend to a response: all static allocations, and the leased amounts that it
// has not confirmed yet.
func (a *Authority) addGrants(h *holderRecord, response *reportResponse) {
	response.Grant, response.StaticGrant = h.grant, h.staticGrant
	response.Lease, response.Version = a.set.Lease, a.set.Version
	for _, alloc := range h.allocations {
		if alloc.granted != alloc.confirmed {
			response.Amounts = append(response.Amounts,
				grantedAmount{Budget: alloc.key.budget, Subject: alloc.key.subject, Amount: alloc.granted})
		}
	}
	for _, name := range sortedKeys(h.statics) {
		response.Amounts = append(response.Amounts,
			grantedAmount{Budget: name, Static: true, Amount: h.statics[name].granted})
	}
}
