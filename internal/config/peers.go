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

// Peers has the settings of the section "fleet" as they apply to one front end.
type Peers struct {
	Site              string
	Name              string                    // of this front end
	Zone              string                    // of this front end
	Listen            netip.AddrPort            // for other front ends; invalid if this one is not a member
	Members           map[string]netip.AddrPort // addresses of the other members by name
	Secret            []byte                    // with which front ends authenticate one another; nil: they do not
	Folder            string                    // of the replicated log; empty: in memory only
	AdminSocket       string                    // path of the operators' socket; empty: none
	Digest            []byte                    // of the settings that all front ends have to agree on
	Node              fleet.Config
	Idempotency       idempotency.Options      // of the registry of idempotent requests
	IdempotencyClient idempotencyclient.Config // without the incarnation, which is chosen at start
	Budgets           *budget.Set              // nil if none are set
	MaxMessageBytes   int                      // maximum size of a message between front ends
	Attached          *Attachment              // nil if no front ends may attach
}

// Values that the section has no keys for.
const (
	// retryTicks is the unit, in ticks, of the delays after which a proposal without a response is sent again.
	retryTicks = 4
	// pollTicks is the interval, in ticks, of polls for an idempotent request that another front end owns.
	pollTicks = 8
	// snapshotLogBytes is the size of the log entries that are applied between two snapshots.
	snapshotLogBytes = 4 << 20
	// capacityRetryAfter is the delay after which a client may retry a request that the registry rejected for lack of
	// capacity.
	capacityRetryAfter = 500 * monotime.Millisecond
	bytesPerMB         = 1 << 20
)

// peers converts the resolved section to Peers.
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
		MaxBytes:      int(r.registryMB * bytesPerMB),
		Retention:     r.durations.retention,
		OrphanTimeout: r.durations.orphanTimeout,
	}
	peers.IdempotencyClient = idempotencyclient.Config{
		PollInterval:  pollTicks * r.durations.tick,
		CommitTimeout: r.durations.retention,
		RetryAfter:    capacityRetryAfter,
	}
	return peers
}

// nodeConfig returns the configuration of this front end's node in the fleet: heartbeats and the replicated log.
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

// maxMessageBytes returns the maximum size of a message between front ends. The largest messages are snapshots of the
// registry, which may have twice the registry's memory plus 1 MB, and the complete membership view.
func (r *resolvedFleet) maxMessageBytes() int {
	snapshot := int(r.registryMB*2)*bytesPerMB + bytesPerMB
	if r.attachment == nil {
		return snapshot
	}
	return max(snapshot, r.attachment.MaxViewBytes)
}
