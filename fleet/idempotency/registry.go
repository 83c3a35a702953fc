package idempotency

import (
	"cmp"
	"slices"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

const (
	// StateMachineID is the registry's ID among the replicated state machines.
	StateMachineID uint32 = 1
	// CommandVersion is the version of the encoding of commands and snapshots.
	CommandVersion uint32 = 1
	// stateMachineName is the registry's name among the replicated state machines.
	stateMachineName = "loads"
)

// Options holds the limits of a registry. All replicas of the log must use the same values.
type Options struct {
	MaxBytes      int             // maximum size of all records, including the space reserved for outcomes
	Retention     monotime.Micros // how long an outcome is retained
	OrphanTimeout monotime.Micros // how long an unstarted request is kept once its owner is presumed dead
}

// Registry is the replicated state machine of idempotent requests.
type Registry struct {
	options Options
	records map[string]*record   // by idempotency key
	ordered []*record            // all records, in ascending order of index
	queues  map[string][]*record // by order key: the unfinished records, in ascending order of index
	bytes   int
}

var _ replication.StateMachine = (*Registry)(nil)

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	return &Registry{options: options, records: map[string]*record{}, queues: map[string][]*record{}}
}

// ID returns StateMachineID.
func (r *Registry) ID() uint32 { return StateMachineID }

// Name returns the name of the state machine.
func (r *Registry) Name() string { return stateMachineName }

// Version returns CommandVersion.
func (r *Registry) Version() uint32 { return CommandVersion }

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.ordered) }

// Bytes returns the size of all records, including the space reserved for outcomes.
func (r *Registry) Bytes() int { return r.bytes }

// add adds a record. Its index must be larger than that of all others.
func (r *Registry) add(rec *record) {
	r.records[rec.idempotencyKey] = rec
	r.ordered = append(r.ordered, rec)
	r.bytes += rec.size()
	if !rec.phase.Finished() {
		r.enqueue(rec)
	}
}

// finish sets the outcome of a request and notifies its watchers.
func (r *Registry) finish(c *committedCommand, rec *record, outcome Phase, rows []byte) {
	r.bytes -= rec.size()
	r.dequeue(c, rec)
	rec.phase, rec.rows, rec.changedIndex, rec.changedAt = outcome, rows, c.Index, c.Now
	r.bytes += rec.size()
	notifyWatchers(c, rec)
}

// remove removes a record. Its owner and watchers are notified if it has no outcome.
func (r *Registry) remove(c *committedCommand, rec *record) {
	r.bytes -= rec.size()
	if !rec.phase.Finished() {
		r.dequeue(c, rec)
		c.Notify(rec.owner, rec.idempotencyKey)
		notifyWatchers(c, rec)
	}
	delete(r.records, rec.idempotencyKey)
	if i, ok := slices.BinarySearchFunc(r.ordered, rec.index, compareIndex); ok {
		r.ordered = slices.Delete(r.ordered, i, i+1)
	}
}

func compareIndex(rec *record, index uint64) int { return cmp.Compare(rec.index, index) }

// notifyWatchers notifies the front ends that wait for a record, and clears their list.
func notifyWatchers(c *committedCommand, rec *record) {
	for _, watcher := range rec.watchers {
		c.Notify(watcher, rec.idempotencyKey)
	}
	rec.watchers = nil
}
