package replication

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"chutechute/internal/monotime"
)

const (
	// maxLearnerLag is how many entries a learner may be behind the commit index when it becomes a voter.
	maxLearnerLag = 64
	// membershipChangeTicks is the minimum time between two proposals of a change, in ticks of Config.TickInterval.
	membershipChangeTicks = 10
)

// membershipManager manages the set of replicas while this one is the leader. It maintains the configured number of
// voters, in different zones if possible, and replaces those that are lost: unresponsive, or without their disk. A new
// replica is a learner first. It becomes a voter in the same change that removes the lost one. The leader's belief that
// a replica is lost only decides which changes it proposes. A wrong belief does no harm, because each change is
// committed by majorities of the old and the new voters.
type membershipManager struct {
	lastSeen     map[uint64]monotime.Micros // when each replica was last alive or sent a message, since this one leads
	leaderSince  monotime.Micros
	lastProposed monotime.Micros // 0 if the next change may be proposed at once
}

// replicaHealth is what the leader believes of a replica.
type replicaHealth int

const (
	healthy      replicaHealth = iota
	unresponsive               // not alive, and no message received from it, for Config.ReplaceAfter
	diskReplaced               // its front end runs with another disk, and so with another replica ID
)

// reset clears the state. It is called while this replica is not the leader.
func (m *membershipManager) reset() {
	*m = membershipManager{lastSeen: map[uint64]monotime.Micros{}}
}

// changeApplied is called when a change was applied. The next one may be proposed at once, unless the change uses joint
// consensus and was only its first step.
func (m *membershipManager) changeApplied(r *Replica) {
	if !r.Reconfiguring() {
		m.lastProposed = 0
	}
}

// manage proposes the next membership change if one is needed. alive is that of Replica.Tick.
func (m *membershipManager) manage(r *Replica, alive []Member) {
	m.recordAlive(r, alive)
	if r.Reconfiguring() || m.proposedRecently(r) {
		return
	}
	currentIDs := map[string]uint64{}
	for _, member := range alive {
		currentIDs[member.Name] = member.ID
	}
	if learner := m.lostLearner(r, currentIDs); learner != 0 {
		m.propose(r, nil, singleChange(raftpb.ConfChangeType_ConfChangeRemoveNode, learner))
		return
	}
	lost := m.lostVoter(r, currentIDs)
	if lost == 0 && len(r.confState.GetVoters()) >= r.config.Replicas {
		return
	}
	if learner := r.caughtUpLearner(); learner != 0 {
		m.promote(r, learner, lost)
		return
	}
	if len(r.confState.GetLearners()) > 0 {
		return // the learner has to catch up first
	}
	if candidate := r.learnerCandidate(alive, lost); candidate.ID != 0 {
		addition := singleChange(raftpb.ConfChangeType_ConfChangeAddLearnerNode, candidate.ID)
		m.propose(r, []Member{candidate}, addition)
	}
}

func (m *membershipManager) recordAlive(r *Replica, alive []Member) {
	if m.leaderSince == 0 {
		m.leaderSince = r.now
	}
	for _, member := range alive {
		m.lastSeen[member.ID] = r.now
	}
	m.lastSeen[r.config.ID] = r.now
}

func (m *membershipManager) proposedRecently(r *Replica) bool {
	return m.lastProposed != 0 && r.now-m.lastProposed < membershipChangeTicks*r.config.TickInterval
}

// health returns what the leader believes of a replica. currentIDs contains, by name, the replica IDs of the front ends
// that are alive.
func (m *membershipManager) health(r *Replica, id uint64, currentIDs map[string]uint64) replicaHealth {
	currentID := currentIDs[r.state.member(id).Name]
	switch {
	case currentID != 0 && currentID != id:
		return diskReplaced
	case r.now-max(m.lastSeen[id], m.leaderSince) >= r.config.ReplaceAfter:
		return unresponsive
	default:
		return healthy
	}
}

// lostLearner returns the first learner that is not healthy, or 0.
func (m *membershipManager) lostLearner(r *Replica, currentIDs map[string]uint64) uint64 {
	for _, id := range r.confState.GetLearners() {
		if m.health(r, id, currentIDs) != healthy {
			return id
		}
	}
	return 0
}

// lostVoter returns the voter to replace, or 0. One whose disk was replaced comes before one that is unresponsive.
func (m *membershipManager) lostVoter(r *Replica, currentIDs map[string]uint64) (lost uint64) {
	for _, id := range r.confState.GetVoters() {
		switch m.health(r, id, currentIDs) {
		case diskReplaced:
			lost = id
		case unresponsive:
			if lost == 0 {
				lost = id
			}
		case healthy:
		}
	}
	return lost
}

// promote proposes to make a learner a voter and to remove the lost voter, if there is one.
func (m *membershipManager) promote(r *Replica, learner, lost uint64) {
	changes := []*raftpb.ConfChangeSingle{singleChange(raftpb.ConfChangeType_ConfChangeAddNode, learner)}
	if lost != 0 {
		changes = append(changes, singleChange(raftpb.ConfChangeType_ConfChangeRemoveNode, lost))
	}
	m.propose(r, []Member{r.state.member(learner)}, changes...)
}

// propose proposes a change. Its context contains the added members.
func (m *membershipManager) propose(r *Replica, added []Member, changes ...*raftpb.ConfChangeSingle) {
	m.lastProposed = r.now
	// An error only means that an earlier change is not applied yet. The change is proposed again later.
	_ = r.node.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes, Context: EncodeMembers(added)})
}

func singleChange(changeType raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: changeType.Enum(), NodeId: &id}
}

// caughtUpLearner returns the first learner that lags by no more than maxLearnerLag entries, or 0.
func (r *Replica) caughtUpLearner() uint64 {
	for _, id := range r.confState.GetLearners() {
		if r.isCaughtUp(id) {
			return id
		}
	}
	return 0
}

func (r *Replica) isCaughtUp(learner uint64) (caughtUp bool) {
	commit := r.node.BasicStatus().HardState.GetCommit()
	r.node.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		if id == learner {
			caughtUp = progress.State == tracker.StateReplicate && progress.Match+maxLearnerLag >= commit
		}
	})
	return caughtUp
}

// learnerCandidate returns the front end that should become a learner, or a zero Member. It is the first by name in the
// zone with the fewest voters, not counting the lost one.
func (r *Replica) learnerCandidate(alive []Member, lost uint64) (candidate Member) {
	votersInZone := map[string]int{}
	for _, id := range r.confState.GetVoters() {
		if id != lost {
			votersInZone[r.state.member(id).Zone]++
		}
	}
	for _, member := range alive {
		if member.ID == 0 || slices.Contains(r.confState.GetVoters(), member.ID) {
			continue
		}
		voters, fewest := votersInZone[member.Zone], votersInZone[candidate.Zone]
		if candidate.ID == 0 || voters < fewest || voters == fewest && member.Name < candidate.Name {
			candidate = member
		}
	}
	return candidate
}
