package simulation

import (
	"go.etcd.io/raft/v3/raftpb"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

const (
	minSyncDuration     = 200 // µs
	maxSyncDuration     = 4 * ms
	maxSlowSyncDuration = 2 * second
	slowSyncOneIn       = 500
)

// disk is the part of a front end that outlives a process.
type disk struct {
	replicaID uint64
	persisted replication.PersistedState
}

// write persists a Save, as package wal does in its files.
func (d *disk) write(save replication.Save) {
	state := &d.persisted
	if state.GroupID == 0 {
		state.GroupID = save.GroupID
	}
	if save.Snapshot.GetMetadata().GetIndex() != 0 {
		state.Snapshot = save.Snapshot
		state.Entries = entriesAfterSnapshot(state.Entries, save)
	}
	if save.HardState != nil {
		state.HardState = save.HardState
	}
	if len(save.Entries) > 0 {
		state.Entries = append(entriesBefore(state.Entries, save.Entries[0].GetIndex()), save.Entries...)
	}
}

// entriesAfterSnapshot returns the log entries that a snapshot leaves in place.
func entriesAfterSnapshot(entries []*raftpb.Entry, save replication.Save) (rest []*raftpb.Entry) {
	if save.DiscardLog {
		return nil
	}
	for _, entry := range entries {
		if entry.GetIndex() > save.Snapshot.GetMetadata().GetIndex() {
			rest = append(rest, entry)
		}
	}
	return rest
}

// entriesBefore returns the log entries before the first one with at least an index.
func entriesBefore(entries []*raftpb.Entry, index uint64) []*raftpb.Entry {
	for i, entry := range entries {
		if entry.GetIndex() >= index {
			return entries[:i:i]
		}
	}
	return entries
}

// save writes to the disk. A write in flight is lost when the process ends.
func (p *process) save(save replication.Save) {
	if p.simulation.options.Mutation.AcknowledgeBeforeSync {
		p.node.Persisted(p.now(), save.Token, nil)
	}
	p.pendingSaves = append(p.pendingSaves, save)
	if len(p.pendingSaves) == 1 {
		p.simulation.after(p.simulation.syncDuration(), p.finishSync)
	}
}

// finishSync ends a write of all pending saves, in one sync, and begins the next.
func (p *process) finishSync() {
	if !p.isAlive() {
		return
	}
	batch := p.pendingSaves
	p.pendingSaves = nil
	for _, save := range batch {
		p.frontEnd.disk.write(save)
	}
	for _, save := range batch {
		// A save that was acknowledged early is acknowledged again, which has no effect.
		p.run(func() { p.node.Persisted(p.now(), save.Token, nil) })
	}
	p.run(p.runLoop)
	if len(p.pendingSaves) > 0 {
		p.simulation.after(p.simulation.syncDuration(), p.finishSync)
	}
}

// syncDuration draws how long a sync of a disk takes.
func (s *Simulation) syncDuration() monotime.Micros {
	switch {
	case !s.options.DurableDisks:
		return 0
	case s.random.oneIn(slowSyncOneIn):
		return s.random.between(0, maxSlowSyncDuration)
	}
	return s.random.between(minSyncDuration, maxSyncDuration)
}
