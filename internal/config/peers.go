package config

import (
	"net/netip"

	"chutechute/fleet"
	"chutechute/fleet/budget"
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// Peers is what is in force of the section "fleet" at one front end.
type Peers struct {
	Site              string
	Name              string                    // of this front end
	Zone              string                    // of this front end
	Listen            netip.AddrPort            // for other front ends; invalid if this one is no member
	Members           map[string]netip.AddrPort // addresses of the members by name, without this front end
	Secret            []byte                    // by which front ends authenticate one another; nil: they do not
	Folder            string                    // of the replicated log; empty: in memory only
	AdminSocket       string                    // path of the operators' socket; empty: none
	Digest            []byte                    // of the keys that all front ends have to agree on
	Node              fleet.Config
	Idempotency       idempotency.Options      // of the registry of idempotent requests
	IdempotencyClient idempotencyclient.Config // but for the incarnation, which the process chooses
	Budgets           *budget.Set              // nil if none are set
	MaxMessageBytes   int                      // the largest message, in bytes
	Attached          *Attachment              // nil if no front ends may attach
}

// Values that follow from the section's keys.
const (
	// retryTicks is the unit, in ticks, of the delays after which an unanswered proposal is sent again.
	retryTicks = 4
	// pollTicks is the interval, in ticks, of polls for an idempotent request that another front end owns.
	pollTicks = 8
	// snapshotLogBytes is what is applied from the log between two snapshots.
	snapshotLogBytes = 4 << 20
	// capacityRetryAfter is when a client may retry a request that the registry rejected.
	capacityRetryAfter = 500 * monotime.Millisecond
	// bytesPerMB converts the sizes of the settings.
	bytesPerMB = 1 << 20
)

// peers converts the resolved section.
func (r *resolvedFleet) peers() *Peers {
	peers := &Peers{
		Site:            r.section.Site,
		Name:            r.name,
		Zone:            r.self.zone,
		Listen:          r.self.listen,
		Members:         r.links.addresses,
		Secret:          r.secret,
		AdminSocket:     withName(r.section.AdminSocket, r.name),
		Digest:          r.digest,
		Node:            r.nodeConfig(),
		Budgets:         r.budgets,
		MaxMessageBytes: r.maxMessageBytes(),
		Attached:        r.attachment,
	}
	if r.self.isMember {
		peers.Folder = withName(r.section.Folder, r.name)
	}
	peers.Idempotency = idempotency.Options{
		MaxBytes:      int(r.ledgerMB * bytesPerMB),
		Retention:     r.durations.retention,
		OrphanTimeout: r.durations.orphan,
	}
	peers.IdempotencyClient = idempotencyclient.Config{
		PollInterval:  pollTicks * r.durations.tick,
		CommitTimeout: r.durations.retention,
		RetryAfter:    capacityRetryAfter,
	}
	return peers
}

// nodeConfig returns the configuration of heartbeats and of the replicated log.
func (r *resolvedFleet) nodeConfig() fleet.Config {
	d := &r.durations
	return fleet.Config{
		Name:              r.name,
		Zone:              r.self.zone,
		PeerZones:         r.links.zones,
		HeartbeatInterval: d.heartbeat,
		RetryInterval:     retryTicks * d.tick,
		Heartbeat: heartbeat.Config{
			SuspectAfter:   d.suspectAfter,
			DeadAfter:      d.deadAfter,
			PauseThreshold: d.suspectAfter / 2,
		},
		Replication: replication.Config{
			Replicas:         r.replicas,
			TickInterval:     d.tick,
			ReplaceAfter:     d.replaceAfter,
			SnapshotLogBytes: snapshotLogBytes,
		},
	}
}

// maxMessageBytes returns the limit of the size of a message between front ends. The largest ones are a snapshot of the
// idempotent requests, for which twice their memory and 1 MB is allowed, and the whole membership view.
func (r *resolvedFleet) maxMessageBytes() int {
	snapshot := int(r.ledgerMB*2)*bytesPerMB + bytesPerMB
	if r.attachment == nil {
		return snapshot
	}
	return max(snapshot, r.attachment.MaxViewBytes)
}
