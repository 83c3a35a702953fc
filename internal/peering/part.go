package peering

import (
	"chutechute/fleet"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
	"chutechute/internal/counters"
	"chutechute/internal/monotime"
)

// part is this front end's part in the fleet, in either role: a fleet.Node or a fleet.AttachedNode.
type part interface {
	idempotencyclient.Proposer
	// Receive takes a message; after an error its link is closed.
	Receive(now monotime.Micros, l fleet.Link, kind transport.Kind, body []byte) error
	Tick(now monotime.Micros)
	Leave()
	Actions() []fleet.Action
	// Proposals is how many questions were put to the record.
	Proposals() int
	// View is all front ends of both roles; nil where none may attach.
	View() *membership.View
}

// attaches says whether front ends may attach to this one.
func (p *Peering) attaches() bool { return p.node != nil && p.node.MembershipServer() != nil }

// Descriptors is how many the links take of those that clients and engines share, where front ends may attach.
func (p *Peering) Descriptors() int {
	if p == nil || p.cfg.Attached == nil {
		return 0
	}
	return len(p.in) + len(p.out)
}

// ReportCounters fills in the counters of idempotent requests and, where front ends may attach, those of the view.
func (p *Peering) ReportCounters(count *counters.Set) {
	count.Noted, count.Adopted = p.part.Proposals(), p.records.TakenOver
	count.Shared, count.Conflicts = p.records.JoinedWaits, p.records.Conflicts
	var c *membership.Counters
	switch {
	case p.attached != nil:
		c = &p.attached.MembershipClient().Counters
	case p.attaches():
		c = &p.node.MembershipServer().Counters
		count.Forwarded, count.ForwardedNobody = p.node.Forwarded, p.node.Undeliverable
	default:
		return
	}
	count.ViewBeats, count.ViewChanges, count.ViewSnapshots, count.ViewBytes = c.Heartbeats, c.Changes, c.Snapshots, c.SnapshotBytes+c.RepairBytes
	count.ViewRepairs, count.ViewGaps, count.ViewStale, count.ViewRefused = c.DigestRepairs, c.Gaps, c.StaleEpochs, c.FullQueues
	count.ViewDamped, count.ViewDoubts, count.ViewHomes = c.Damped, c.SelfSuspicions, c.HomeChanges
	count.ViewMalformed = c.Malformed + c.UnknownHomes + c.NameMismatches + c.Oversized
}
