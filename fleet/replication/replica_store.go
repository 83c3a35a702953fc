package replication

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"chutechute/internal/monotime"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// save is what waits until a Save has been written: its entries and state go into the log, its responses may be sent then.
type save struct {
	at        monotime.Micros
	entries   []*raftpb.Entry
	state     *raftpb.HardState
	snapshot  *raftpb.Snapshot
	responses []*raftpb.Message
}

// Persisted tells that what a Save held has been written, or why it was not: then this copy ends at once, since what a disk
// holds after a failed write nobody knows.
func (r *Replica) Persisted(now monotime.Micros, token uint64, err error) {
	defer r.guard()
	r.now = now
	s, ok := r.saving[token]
	delete(r.saving, token)
	if !ok || r.node == nil {
		return
	}
	if err == nil {
		err = r.mirror(s)
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.respond(s.responses)
	r.ready()
}

// mirror keeps in memory what was written, where the library reads it.
func (r *Replica) mirror(s save) error {
	if !raft.IsEmptySnap(s.snapshot) {
		if err := r.log.ApplySnapshot(s.snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if s.state != nil {
		if err := r.log.SetHardState(s.state); err != nil {
			return err
		}
	}
	return r.log.Append(s.entries)
}

// InvariantError is the library's word that a copy's log can't be what it has to be. It ends the copy, not the front end.
type InvariantError string

func (b InvariantError) Error() string { return "ledger: " + string(b) }

// guard ends the copy where the library has found it broken.
func (r *Replica) guard() {
	switch p := recover().(type) {
	case nil:
	case InvariantError:
		r.fail(p)
	default:
		panic(p)
	}
}

// Disable has this front end be no copy at all, for want of a disk that serves.
func (r *Replica) Disable(err error) { r.fail(err) }

// fail ends this copy; its front end goes on without.
func (r *Replica) fail(err error) {
	r.err, r.node = err, nil
	clear(r.saving)
}

func (r *Replica) save(s save, reset bool) {
	r.token++
	s.at = r.now
	r.saving[r.token] = s
	r.actions = append(r.actions, Save{Token: r.token, Group: r.group, Entries: s.entries, HardState: s.state, Snapshot: s.snapshot,
		DiscardLog: reset})
}

// ready takes what the library has ready.
func (r *Replica) ready() {
	for r.node != nil && r.node.HasReady() {
		rd := r.node.Ready()
		if rd.SoftState != nil {
			if s := rd.SoftState.RaftState; s != r.lastState && (s == raft.StateCandidate || s == raft.StatePreCandidate) {
				r.Elections++
			}
			r.lastState = rd.SoftState.RaftState
		}
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				s := save{entries: m.GetEntries(), responses: m.GetResponses(), snapshot: m.GetSnapshot()}
				if m.GetTerm() != 0 || m.GetVote() != 0 || m.GetCommit() != 0 {
					term, vote, commit := m.GetTerm(), m.GetVote(), m.GetCommit()
					s.state = &raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit}
				}
				if !raft.IsEmptySnap(s.snapshot) {
					if err := r.machine.restore(s.snapshot.GetData(), r.now); err != nil {
						r.fail(err)
						return
					}
					r.machine.index = s.snapshot.GetMetadata().GetIndex()
					r.conf = s.snapshot.GetMetadata().GetConfState()
				}
				r.save(s, !raft.IsEmptySnap(s.snapshot))
			case raft.LocalApplyThread:
				for _, e := range m.GetEntries() {
					if err := r.apply(e); err != nil {
						r.fail(err)
						return
					}
				}
				r.respond(m.GetResponses())
				r.compact()
			default:
				r.send(m)
			}
			if r.node == nil {
				return
			}
		}
	}
}

// apply carries out a committed entry.
func (r *Replica) apply(e *raftpb.Entry) error {
	r.logBytes += len(e.GetData()) + 32
	switch e.GetType() {
	case raftpb.EntryType_EntryConfChange, raftpb.EntryType_EntryConfChangeV2:
		change := &raftpb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
		named, err := DecodeMembers(change.GetContext())
		if err != nil {
			return fmt.Errorf("ledger: %w", err)
		}
		for _, m := range named {
			r.machine.members[m.ID] = m
		}
		r.conf = r.node.ApplyConfChange(change)
		known := slices.Concat(r.conf.GetVoters(), r.conf.GetVotersOutgoing(), r.conf.GetLearners(), r.conf.GetLearnersNext())
		maps.DeleteFunc(r.machine.members, func(id uint64, _ Member) bool { return !slices.Contains(known, id) })
		r.machine.count(e.GetIndex(), nil)
		r.keeper.changed(r)
	default:
		if len(e.GetData()) == 0 {
			r.machine.count(e.GetIndex(), nil)
			return nil
		}
		c, a := r.machine.apply(e.GetIndex(), e.GetData(), r.now)
		r.Commits++
		if to := (route{c.Proposer, c.Sequence}); r.routes[to] != 0 {
			delete(r.routes, to)
			r.actions = append(r.actions, Reply{c.Proposer, a})
		}
	}
	return nil
}

// compact takes a snapshot once the log has grown.
func (r *Replica) compact() {
	if r.logBytes < r.cfg.SnapshotLogBytes || r.node == nil {
		return
	}
	r.logBytes = 0
	index := r.machine.index
	if last, err := r.log.LastIndex(); err != nil || last < index {
		return // what was applied is not yet mirrored; the next time it will be
	}
	snapshot, err := r.log.CreateSnapshot(index, r.conf, r.machine.snapshot())
	if err != nil {
		r.fail(err)
		return
	}
	r.Snapshots++
	if first, err := r.log.FirstIndex(); err == nil && index > keepEntries && index-keepEntries > first {
		if err := r.log.Compact(index - keepEntries); err != nil {
			r.fail(err)
			return
		}
	}
	r.save(save{snapshot: snapshot}, false)
}
