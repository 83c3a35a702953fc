package budget

import (
	"log/slog"
	"slices"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// handleResponse puts the grants of a response into force. The lease counts from the time of the report.
func (h *LeaseHolder) handleResponse(reportedAt monotime.Micros, response *reportResponse) {
	if h.phase != phaseActive {
		if response.Report >= h.oldestValidReport && !response.OutOfOrder {
			h.phase = phaseReleased
		}
		return
	}
	h.handleSettings(response)
	switch {
	case response.OutOfOrder:
		h.reportDue = true
		return
	case response.LeaseExpired:
		h.handleExpiredLease(response)
		return
	case response.Report < h.oldestValidReport:
		return
	}
	h.baseReport = response.Report
	if response.Grant == 0 && response.StaticGrant == 0 {
		return
	}
	expiresAt := reportedAt + response.Lease
	if h.now >= expiresAt {
		h.LateResponses++
		h.reportDue = true
		return
	}
	leaseChanged := h.updateLease(expiresAt, response)
	staticChanged := h.updateStatic(response)
	if leaseChanged || staticChanged {
		h.ChangedGrants++
		h.consumer.GrantBudgets(h.now, Grant{
			LeaseExpiresAt: h.leaseExpiresAt,
			Leased:         h.leasedAmounts(),
			Static:         h.statics,
		})
	}
}

// handleExpiredLease handles the response that the lease has expired according to the authority.
func (h *LeaseHolder) handleExpiredLease(response *reportResponse) {
	if h.grant != 0 {
		h.ExpiredLeases++
	}
	if response.UnknownHolder {
		h.staticGrant, h.statics = 0, []scheduler.BudgetAmount{}
	}
	h.reportDue = true
	h.dropLease()
}

// updateLease puts a newer grant into force, or extends the lease of the one in force. It reports whether it did
// either. A new grant is confirmed by a report at once, because others can have what it takes away only after that.
func (h *LeaseHolder) updateLease(expiresAt monotime.Micros, response *reportResponse) (changed bool) {
	switch {
	case response.Grant > h.grant:
		h.updateLeased(response.Amounts)
		h.grant, h.leaseExpiresAt = response.Grant, expiresAt
		h.reportDue = true
		return true
	case response.Grant == h.grant && response.Grant != 0:
		changed = expiresAt > h.leaseExpiresAt
		h.leaseExpiresAt = max(h.leaseExpiresAt, expiresAt)
	}
	return changed
}

func (h *LeaseHolder) updateLeased(amounts []grantedAmount) {
	for _, granted := range amounts {
		if granted.Static {
			continue
		}
		key := subjectKey{granted.Budget, granted.Subject}
		if granted.Amount == (Amount{}) {
			delete(h.leased, key)
		} else {
			h.leased[key] = granted.Amount
		}
	}
}

// updateStatic puts the static allocations of a response into force if they are newer, and reports whether they are.
func (h *LeaseHolder) updateStatic(response *reportResponse) (changed bool) {
	if response.StaticGrant <= h.staticGrant {
		return false
	}
	h.staticGrant, h.statics = response.StaticGrant, []scheduler.BudgetAmount{}
	for _, granted := range response.Amounts {
		if granted.Static {
			h.statics = append(h.statics, scheduler.BudgetAmount{Budget: granted.Budget, Amount: granted.Amount})
		}
	}
	h.reportDue = true
	return true
}

// handleSettings has the authority's settings enforced if they, or the budgets that are in force, have changed.
func (h *LeaseHolder) handleSettings(response *reportResponse) {
	h.compareSettings(response)
	set := h.config.Set
	if len(response.Set) > 0 {
		var err error
		if set, err = DecodeSet(response.Set); err != nil {
			slog.Error("invalid budget settings in response", slog.Any("error", err))
			return
		}
	} else if !h.settingsAccepted {
		return
	}
	encodingChanged := len(response.Set) > 0 && string(response.Set) != string(h.encodedSet)
	if set.Version != h.set.Version || encodingChanged || !slices.Equal(h.notInForce, response.NotInForce) {
		h.notInForce = response.NotInForce
		h.enforce(set)
	}
}

// compareSettings records and logs whether this front end's settings are those in force.
func (h *LeaseHolder) compareSettings(response *reportResponse) {
	ownVersion := h.config.Set.Version
	if response.SettingsConflict && !h.SettingsConflict {
		// the same version with other content, or not compatible with the settings in force
		slog.Error("budget settings conflict with those in force", slog.Uint64("version", response.Version))
	}
	h.SettingsConflict = response.SettingsConflict
	outdated := ownVersion < response.Version
	if outdated && !h.SettingsOutdated {
		slog.Warn("budget settings outdated",
			slog.Uint64("own_version", ownVersion), slog.Uint64("version", response.Version))
	}
	h.SettingsOutdated = outdated
	h.settingsAccepted = ownVersion == response.Version && !response.SettingsConflict
}
