package budget

import (
	"math"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

const (
	// demandCheckInterval is the shortest time between two checks for changed demand.
	demandCheckInterval = monotime.Second / 20
	// reportIntervalPerDemand lengthens the shortest interval between reports for each reported demand. Without it,
	// thousands of budgets would cause a flood of large reports.
	reportIntervalPerDemand monotime.Micros = 100
	// reportsPerLease is how many times a lease that is in use is renewed within its duration.
	reportsPerLease = 4
	// demandChangeDivisor sets which change of demand is reported: one by more than the reported demand divided by it,
	// plus noise.
	demandChangeDivisor = 4
)

func (h *LeaseHolder) minReportInterval() monotime.Micros {
	return h.config.MinReportInterval + monotime.Micros(len(h.reported))*reportIntervalPerDemand
}

// checkReportDue makes a report due in time to renew the lease, and earlier if demand has changed.
func (h *LeaseHolder) checkReportDue() {
	interval := h.set.Lease / reportsPerLease
	if h.reportedNothing {
		interval = h.set.Lease
	}
	if h.now-h.reportedAt >= interval {
		h.reportDue = true
		return
	}
	if h.now-h.demandCheckedAt < demandCheckInterval {
		return
	}
	h.demandCheckedAt = h.now
	for _, d := range h.consumer.BudgetDemands(h.now) {
		reported, ok := h.reported[subjectKey{d.Budget, d.Subject}]
		if !ok || demandChanged(reported.Demand, d.Demand) {
			h.reportDue = true
			return
		}
	}
}

// demandChanged reports whether demand differs from the reported demand by more than a quarter plus the noise of the
// measurement (see account.Account.Demand), or has ended.
func demandChanged(reported, demand int64) bool {
	tolerance := reported/demandChangeDivisor + int64(math.Sqrt(float64(reported)*account.Unit))
	ended := demand == 0 && reported != 0
	return demand > reported+tolerance || demand < reported-tolerance || ended
}

// report proposes a report. Until its response arrives, it is unknown what the authority has recorded, so a report sent
// before then lists everything.
func (h *LeaseHolder) report() {
	h.reportNumber++
	h.Reports++
	h.reportDue, h.reportedAt = false, h.now
	if h.grant == 0 {
		h.oldestValidReport, h.baseReport = h.reportNumber, 0
	}
	c := command{
		Operation:   opReport,
		Name:        h.config.Name,
		Report:      h.reportNumber,
		Grant:       h.grant,
		StaticGrant: h.staticGrant,
		BaseReport:  h.baseReport,
		Leaving:     h.phase != phaseActive,
		Version:     h.config.Set.Version,
	}
	if !h.settingsAccepted && !h.SettingsOutdated {
		c.Set = h.config.Set.Encode()
	}
	c.Demands = h.changedDemands()
	h.baseReport = 0
	h.reportedNothing = len(h.reported) == 0 && len(h.leased) == 0
	h.propose(&c)
}

// propose proposes a report and handles its response.
func (h *LeaseHolder) propose(report *command) {
	number, reportedAt := report.Report, h.now
	done := func(result replication.Response) {
		h.pendingProposal = 0
		response, err := decodeReportResponse(result.Body)
		if err != nil || result.Result != replication.Committed || response.Report != number {
			h.reportDue = true
			return
		}
		h.handleResponse(reportedAt, &response)
	}
	h.pendingProposal = h.proposer.Propose(h.now, stateMachineID, commandVersion, report.encode(), done)
}

// changedDemands returns the demands that have changed since the base report, or all demands without a base report.
// They are sorted by budget and subject. What is in use is listed only if it exceeds the leased amount.
func (h *LeaseHolder) changedDemands() (changes []subjectDemand) {
	if h.baseReport == 0 {
		clear(h.reported)
	}
	present := make(map[subjectKey]bool, len(h.reported))
	for _, d := range h.consumer.BudgetDemands(h.now) {
		current := subjectDemand{Budget: d.Budget, Subject: d.Subject, Demand: d.Demand, InUse: d.InUse}
		key := current.key()
		if h.phase != phaseActive {
			current.Demand = 0
		}
		if current.InUse <= h.leased[key].Capacity {
			current.InUse = 0
		}
		present[key] = true
		previous, ok := h.reported[key]
		if !ok || demandChanged(previous.Demand, current.Demand) || previous.InUse != current.InUse {
			changes = append(changes, current)
			h.reported[key] = current
		}
	}
	for key := range h.reported {
		if !present[key] {
			changes = append(changes, subjectDemand{Budget: key.budget, Subject: key.subject})
			delete(h.reported, key)
		}
	}
	slices.SortFunc(changes, func(a, b subjectDemand) int { return a.key().compare(b.key()) })
	return changes
}
