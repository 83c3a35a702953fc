package budget

import (
	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
)

// applyReport records what a lease holder reports, and grants it its share anew.
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

// confirmation is what a report says of the last grant.
type confirmation int

const (
	grantExpired   confirmation = iota // the report names a grant whose lease has expired
	grantPending                       // the lease holder has not received the last grant yet
	grantConfirmed                     // the last grant is in force at the lease holder, or nothing is
)

// confirmGrant records which grant is in force at a lease holder.
func (a *Authority) confirmGrant(h *holderRecord, report *command) confirmation {
	switch {
	case report.Grant == 0: // its lease has ended, and only what is in use counts
		h.expired, h.grant, h.previousGrant = false, 0, 0
		a.updateAll(h, func(o *allocation) { o.grantPair = grantPair{} })
		return grantConfirmed
	case report.Grant == h.grant && !h.expired:
		a.updateAll(h, func(o *allocation) { o.previous = o.current })
		return grantConfirmed
	case report.Grant == h.previousGrant && !h.expired:
		return grantPending
	}
	return grantExpired
}

// recordDemands records the demand and what is in use according to a report.
func (a *Authority) recordDemands(h *holderRecord, report *command) {
	for _, d := range report.Demands {
		o := a.findOrAddAllocation(h, d.key())
		if o == nil {
			continue
		}
		o.listedIn = report.Report
		a.setDemand(o, d.Demand)
		if o.subject.kind != account.Rate {
			a.update(o, func() { o.inUse = d.InUse })
		}
	}
	if report.BaseReport != 0 {
		return
	}
	for _, o := range h.allocations {
		if o.listedIn != report.Report {
			a.setDemand(o, 0)
			a.update(o, func() { o.inUse = 0 })
		}
	}
}

// leave records that a lease holder has given everything back. Its record stays while something is in use.
func (a *Authority) leave(h *holderRecord) {
	a.returnStatic(h)
	a.removeUnused(h)
	if len(h.allocations) == 0 {
		a.removeHolder(h)
	}
}

// grant computes all allocations of a lease holder, and numbers the grant if something has changed.
func (a *Authority) grant(h *holderRecord) {
	changed := h.grant == 0
	for _, o := range h.allocations {
		if amount := a.allocate(o); amount != o.current {
			changed = true
			a.update(o, func() { o.current = amount })
		}
	}
	if changed {
		h.previousGrant, h.grant = h.grant, a.index
	}
}

// addGrants adds what a lease holder may spend to a response: of the leased amounts those that it has not confirmed.
func (a *Authority) addGrants(h *holderRecord, response *reportResponse) {
	response.Grant, response.StaticGrant = h.grant, h.staticGrant
	response.Lease, response.Version = a.set.Lease, a.set.Version
	for _, o := range h.allocations {
		if o.current != o.previous {
			response.Amounts = append(response.Amounts,
				grantedAmount{Budget: o.key.budget, Subject: o.key.subject, Amount: o.current})
		}
	}
	for _, name := range sortedKeys(h.statics) {
		response.Amounts = append(response.Amounts,
			grantedAmount{Budget: name, Static: true, Amount: h.statics[name].current})
	}
}
