package replication

import (
	"slices"

	"chutechute/internal/monotime"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

// keeper is the leader's care for the copies: that there are as many as set, in different zones where there are as many, and
// that one which is lost is replaced. A newcomer is a learner first, and becomes a member in the one change that takes the
// lost one out. Its view of who is lost only steers: each change is committed by the majorities of before and after.
type keeper struct {
	heard map[uint64]monotime.Micros // when each copy was last heard, since this one leads
	since monotime.Micros            // since when it leads
	asked monotime.Micros            // when a change was last proposed
}

const (
	// lag is how many commands a learner may be behind to become a member.
	lag = 64
	// changeEvery is the least span between two proposals of a change, in ticks.
	changeEvery = 10
)

func (k *keeper) reset() { *k = keeper{heard: map[uint64]monotime.Micros{}} }

// changed lets the next change follow at once.
func (k *keeper) changed(r *Replica) {
	if len(r.conf.GetVotersOutgoing()) == 0 {
		k.asked = 0
	}
}

func (k *keeper) step(r *Replica, present []Member) {
	if k.since == 0 {
		k.since = r.now
	}
	now := map[string]uint64{} // the copies' numbers by name, today
	for _, m := range present {
		k.heard[m.ID] = r.now
		now[m.Name] = m.ID
	}
	k.heard[r.cfg.ID] = r.now
	if len(r.conf.GetVotersOutgoing()) > 0 || k.asked != 0 && r.now-k.asked < changeEvery*r.cfg.TickInterval {
		return
	}
	lost := func(id uint64) (gone, silent bool) {
		m := r.member(id)
		gone = now[m.Name] != 0 && now[m.Name] != id // its name has come back with another disk
		return gone, gone || r.now-max(k.heard[id], k.since) >= r.cfg.ReplaceAfter
	}
	for _, id := range r.conf.GetLearners() {
		if _, silent := lost(id); silent {
			k.propose(r, nil, single(raftpb.ConfChangeType_ConfChangeRemoveNode, id))
			return
		}
	}
	var out uint64 // the copy to replace: a disk that is gone before one that is silent
	for _, id := range r.conf.GetVoters() {
		if gone, silent := lost(id); gone || silent && out == 0 {
			out = id
		}
	}
	if out == 0 && len(r.conf.GetVoters()) >= r.cfg.Replicas {
		return
	}
	for _, id := range r.conf.GetLearners() {
		if !r.caughtUp(id) {
			continue
		}
		changes := []*raftpb.ConfChangeSingle{single(raftpb.ConfChangeType_ConfChangeAddNode, id)}
		if out != 0 {
			changes = append(changes, single(raftpb.ConfChangeType_ConfChangeRemoveNode, out))
		}
		k.propose(r, []Member{r.member(id)}, changes...)
		return
	}
	if len(r.conf.GetLearners()) > 0 {
		return // it catches up
	}
	if best := k.choose(r, present, out); best.ID != 0 {
		k.propose(r, []Member{best}, single(raftpb.ConfChangeType_ConfChangeAddLearnerNode, best.ID))
	}
}

// choose is the present front end that should become a copy: in the zone with the fewest copies, first by name.
func (k *keeper) choose(r *Replica, present []Member, out uint64) (best Member) {
	zones := map[string]int{}
	for _, id := range r.conf.GetVoters() {
		if id != out {
			zones[r.member(id).Zone]++
		}
	}
	for _, m := range present {
		if m.ID == 0 || slices.Contains(r.conf.GetVoters(), m.ID) {
			continue
		}
		if best.ID == 0 || zones[m.Zone] < zones[best.Zone] || zones[m.Zone] == zones[best.Zone] && m.Name < best.Name {
			best = m
		}
	}
	return best
}

func (k *keeper) propose(r *Replica, named []Member, changes ...*raftpb.ConfChangeSingle) {
	k.asked = r.now
	// A refusal only says that an earlier change is not applied yet: it is tried again.
	_ = r.node.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes, Context: EncodeMembers(named)})
}

func single(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: &id}
}

// caughtUp says whether a learner has what was committed, but for a little.
func (r *Replica) caughtUp(id uint64) (up bool) {
	commit := r.node.BasicStatus().HardState.GetCommit()
	r.node.WithProgress(func(other uint64, _ raft.ProgressType, p tracker.Progress) {
		if other == id {
			up = p.State == tracker.StateReplicate && p.Match+lag >= commit
		}
	})
	return up
}
