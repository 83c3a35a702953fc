package replication

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// Thresholds of the leader transfer, in ticks of Config.TickInterval.
const (
	slowSaveTicks       = 4  // after which a pending Save of the leader is slow
	leaderTransferTicks = 40 // the minimum time between two transfers
)

// transferLeadershipIfSlow makes another replica the leader while this one's disk is slow. A leader applies no command
// before it has persisted the command itself. Its slow disk would therefore slow down all front ends, although the
// other replicas are a majority without it.
func (r *Replica) transferLeadershipIfSlow() {
	if !r.hasSlowSave() || r.now < r.lastLeaderTransfer+leaderTransferTicks*r.config.TickInterval {
		return
	}
	target := r.leaderTransferTarget()
	if target == 0 {
		return
	}
	r.lastLeaderTransfer = r.now
	r.LeaderTransfers++
	r.node.TransferLeader(target)
}

func (r *Replica) hasSlowSave() bool {
	for _, save := range r.pendingSaves {
		if r.now-save.requestedAt >= slowSaveTicks*r.config.TickInterval {
			return true
		}
	}
	return false
}

// leaderTransferTarget returns the active voter with the longest matching log, or 0 if there is none. Among equals it
// is the one with the smallest ID.
func (r *Replica) leaderTransferTarget() (target uint64) {
	var match uint64
	r.node.WithProgress(func(id uint64, progressType raft.ProgressType, progress tracker.Progress) {
		if progressType != raft.ProgressTypePeer || id == r.config.ID || !progress.RecentActive {
			return
		}
		if progress.Match > match || progress.Match == match && id < target {
			target, match = id, progress.Match
		}
	})
	return target
}
