package peering

import (
	"chutechute/fleet/membership"
	"chutechute/internal/counters"
)

// Descriptors returns the number of file descriptors of links, which reduce those available for clients and engines. It
// is zero if no front ends may attach, as the few links between control members do not count, and for a nil Peering.
func (p *Peering) Descriptors() int {
	if p == nil || p.cfg.Attached == nil {
		return 0
	}
	return len(p.inbound) + len(p.outbound)
}

// ReportCounters sets the counters of idempotent requests and, if front ends may attach, those of the view.
func (p *Peering) ReportCounters(count *counters.Set) {
	count.Proposals = p.fleetNode.Proposals()
	count.TakenOver = p.idempotencyClient.TakenOver
	count.JoinedWaits = p.idempotencyClient.WaitsForOwner
	count.Conflicts = p.idempotencyClient.Conflicts
	switch {
	case p.attachedNode != nil:
		reportViewCounters(count, &p.attachedNode.MembershipClient().Counters)
	case p.acceptsAttached():
		count.Forwarded = p.controlNode.Forwarded
		count.ForwardedUndeliverable = p.controlNode.Undeliverable
		reportViewCounters(count, &p.controlNode.MembershipServer().Counters)
	}
}

func reportViewCounters(count *counters.Set, view *membership.Counters) {
	count.ViewHeartbeats = view.Heartbeats
	count.ViewChanges = view.Changes
	count.ViewSnapshots = view.Snapshots
	count.ViewBytes = view.SnapshotBytes + view.RepairBytes
	count.ViewRepairs = view.DigestRepairs
	count.ViewGaps = view.Gaps
	count.ViewStaleEpochs = view.StaleEpochs
	count.ViewFullQueues = view.FullQueues
	count.ViewDamped = view.Damped
	count.ViewSelfSuspicions = view.SelfSuspicions
	count.ViewHomeChanges = view.HomeChanges
	count.ViewMalformed = view.Malformed + view.UnknownHomes + view.NameMismatches + view.Oversized
}
