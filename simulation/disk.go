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

// disk holds the state of a front end that survives the end of a process.
type disk struct {
	replicaID uint64
	persisted replication.PersistedState
}

// write persists a Save, with the same result as package wal.
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

// entriesAfterSnapshot returns the log entries that remain after a snapshot was saved.
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

// entriesBefore returns the log entries before the given index.
func entriesBefore(entries []*raftpb.Entry, index uint64) []*raftpb.Entry {
	for i, entry := range entries {
		if entry.GetIndex() >= index {
			return entries[:i:i]
		}
	}
	return entries
}

// save schedules a write to the disk. Writes that have not finished are lost if the process ends.
func (p *process) save(save replication.Save) {
	if p.simulation.options.Mutation.AcknowledgeBeforeSync {
		p.node.Persisted(p.now(), save.Token, nil)
	}
	p.pendingSaves = append(p.pendingSaves, save)
	if len(p.pendingSaves) == 1 {
		p.simulation.after(p.simulation.syncDuration(), p.finishSync)
	}
}

// finishSync completes one sync, which persists all pending saves, and schedules another if there are new ones.
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
		// A save that AcknowledgeBeforeSync has acknowledged is acknowledged again, which has no effect.
		p.run(func() { p.node.Persisted(p.now(), save.Token, nil) })
	}
	p.run(p.runTurn)
	if len(p.pendingSaves) > 0 {
		p.simulation.after(p.simulation.syncDuration(), p.finishSync)
	}
}

// syncDuration draws the duration of a disk sync.
func (s *Simulation) syncDuration() monotime.Micros {
	switch {
	case !s.options.DurableDisks:
		return 0
	case s.random.oneIn(slowSyncOneIn):
		return s.random.between(0, maxSlowSyncDuration)
	}
	return s.random.between(minSyncDuration, maxSyncDuration)
}
