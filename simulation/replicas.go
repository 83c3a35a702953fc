package simulation

import "chutechute/fleet/replication"

// maxCatchUpEntries is the most log entries by which a replica may lag its leader and still count as caught up.
const maxCatchUpEntries = 16

// allReplicasCaughtUp reports whether the replicated log has a leader and the configured number of voters, all of which
// run and have caught up. Then the replicated log survives the loss of a disk.
func (s *Simulation) allReplicasCaughtUp() bool {
	for _, f := range s.FrontEnds {
		if f.leadsAllReplicas() {
			return f.votersCaughtUp()
		}
	}
	return false
}

// leadsAllReplicas reports whether the front end runs and its replica considers itself the leader, with the configured
// number of voters and no learners.
func (f *FrontEnd) leadsAllReplicas() bool {
	if !f.isRunning() || !f.process.node.Replica().IsLeader() {
		return false
	}
	voters, learners := f.process.node.Replica().Members()
	return len(voters) == f.simulation.options.Replicas && len(learners) == 0
}

// votersCaughtUp reports whether all voters of this leader run and have caught up with it. It returns false during a
// membership change.
func (f *FrontEnd) votersCaughtUp() bool {
	leader := f.process.node.Replica()
	if leader.Reconfiguring() {
		return false // a majority of both the old and the new voters is needed
	}
	voters, _ := leader.Members()
	for _, voter := range voters {
		replica := f.simulation.runningReplica(voter.ID)
		if replica == nil || !hasCaughtUp(replica, leader) {
			return false
		}
	}
	return true
}

// runningReplica returns the replica with the given ID, or nil if its front end does not run.
func (s *Simulation) runningReplica(id uint64) *replication.Replica {
	for _, f := range s.FrontEnds {
		if f.disk != nil && f.disk.replicaID == id && f.isRunning() {
			return f.process.node.Replica()
		}
	}
	return nil
}

func hasCaughtUp(replica, leader *replication.Replica) bool {
	applied, _ := replica.LastApplied()
	appliedByLeader, _ := leader.LastApplied()
	return applied+maxCatchUpEntries >= appliedByLeader && replica.Term() == leader.Term()
}
