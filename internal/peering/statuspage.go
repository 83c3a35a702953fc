package peering

import (
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// Roles of control members in Status.
const (
	roleLeader  = "leader"
	roleVoter   = "voter"
	roleLearner = "learner"
	roleNone    = "none"   // no replica yet
	roleFailed  = "failed" // the replica has stopped after a storage error
)

const memoryOnlyWarning = "the record is kept in memory only: " +
	"what was told is lost where a majority of the copies end at once"

// status returns the status page of a front end in either role.
func (p *Peering) status() Status {
	if p.attachedNode != nil {
		return p.attachedStatus()
	}
	return p.controlStatus()
}

// controlStatus returns the status page of a control member.
func (p *Peering) controlStatus() Status {
	replica := p.controlNode.Replica()
	index, digest := replica.LastApplied()
	s := Status{
		Site:            p.cfg.Site,
		Name:            p.cfg.Name,
		Incarnation:     formatID(p.self.Incarnation),
		ReplicaID:       formatID(replica.ID()),
		Durable:         p.cfg.Folder != "",
		Group:           formatID(replica.GroupID()),
		Role:            replicaRole(replica),
		Leader:          p.controlNode.ReplicaName(replica.Leader()),
		Term:            replica.Term(),
		Applied:         index,
		Digest:          formatID(digest),
		Divergent:       replica.Divergences,
		Elections:       replica.ElectionsStarted,
		Commits:         replica.CommandsApplied,
		Snapshots:       replica.SnapshotsTaken,
		LeaderTransfers: replica.LeaderTransfers,
		Relayed:         p.controlNode.Relayed,
		Records:         p.idempotencyRegistry.Len(),
		RecordBytes:     p.idempotencyRegistry.Bytes(),
		InProgress:      p.idempotencyClient.Len(),
		Replicas:        replicaStatuses(replica),
		Members:         []MemberStatus{},
	}
	if err := replica.Err(); err != nil {
		s.Error = err.Error()
	}
	if !s.Durable {
		s.Warning = memoryOnlyWarning
	}
	for _, peer := range p.controlNode.Monitor().Peers() {
		s.Members = append(s.Members, p.newPeerStatus(peer))
	}
	p.addAttachedMembers(&s)
	return s
}

// replicaRole returns the role of a control member's replica.
func replicaRole(replica *replication.Replica) string {
	switch {
	case replica.Err() != nil:
		return roleFailed
	case replica.IsLeader():
		return roleLeader
	case replica.IsVoter():
		return roleVoter
	case replica.GroupID() != 0:
		return roleLearner
	}
	return roleNone
}

// replicaStatuses returns all replicas of the log, voters first.
func replicaStatuses(replica *replication.Replica) []ReplicaStatus {
	voters, learners := replica.Members()
	statuses := []ReplicaStatus{}
	for _, m := range voters {
		statuses = append(statuses, ReplicaStatus{ReplicaID: formatID(m.ID), Name: m.Name, Zone: m.Zone, Voter: true})
	}
	for _, m := range learners {
		statuses = append(statuses, ReplicaStatus{ReplicaID: formatID(m.ID), Name: m.Name, Zone: m.Zone})
	}
	return statuses
}

func (p *Peering) newPeerStatus(peer *heartbeat.Peer) MemberStatus {
	return MemberStatus{
		Name:        peer.Name,
		Zone:        peer.Zone,
		State:       peer.State.String(),
		Incarnation: formatID(peer.Incarnation),
		Linked:      p.outbound[peer.Name].established(),
	}
}

// addAttachedMembers adds the attached front ends to a control member's page, if any may attach.
func (p *Peering) addAttachedMembers(s *Status) {
	server := p.controlNode.MembershipServer()
	if server == nil {
		return
	}
	for i := range s.Members {
		s.Members[i].Role = membership.Control.String()
	}
	for _, e := range server.View().Entries() {
		if e.Role == membership.Attached {
			linked := len(p.attachedLinks.byIncarnation[e.Incarnation]) > 0
			s.Members = append(s.Members, newMemberStatus(e, linked))
		}
	}
	s.Attached = newViewStatus(server.View(), p.Host.TurnTime, p.cfg.Name)
	s.Attached.Links = p.controlNode.AttachedCount()
	s.Attached.Counters = server.Counters
	s.Attached.Forwarded = p.controlNode.Forwarded
	s.Attached.Undeliverable = p.controlNode.Undeliverable
}

// attachedStatus returns the status page of an attached front end, which has no replica and receives its view from its
// home.
func (p *Peering) attachedStatus() Status {
	view := p.attachedNode.View()
	s := Status{
		Site:        p.cfg.Site,
		Name:        p.cfg.Name,
		Incarnation: formatID(p.self.Incarnation),
		ReplicaID:   formatID(0),
		Group:       formatID(0),
		Digest:      formatID(0),
		Role:        membership.Attached.String(),
		InProgress:  p.idempotencyClient.Len(),
		Replicas:    []ReplicaStatus{},
		Members:     p.viewMembers(view),
		Attached:    newViewStatus(view, p.Host.TurnTime, p.attachedNode.Home()),
	}
	s.Attached.Targets = p.attachedNode.Targets(p.Host.TurnTime)
	s.Attached.Counters = p.attachedNode.MembershipClient().Counters
	return s
}

// viewMembers returns all front ends of a view except this one, control members first.
func (p *Peering) viewMembers(view *membership.View) []MemberStatus {
	control := []MemberStatus{}
	var attached []MemberStatus
	for _, e := range view.Entries() {
		l := p.outbound[e.Name]
		member := newMemberStatus(e, l != nil && l.established())
		switch {
		case e.Role == membership.Control:
			control = append(control, member)
		case e.Name != p.cfg.Name:
			attached = append(attached, member)
		}
	}
	return append(control, attached...)
}

// newMemberStatus returns the status of a front end with the given view entry.
func newMemberStatus(entry membership.Entry, linked bool) MemberStatus {
	s := MemberStatus{
		Name:        entry.Name,
		Zone:        entry.Zone,
		State:       entry.State.String(),
		Incarnation: formatID(entry.Incarnation),
		Linked:      linked,
		Role:        entry.Role.String(),
	}
	if entry.Role == membership.Attached {
		s.Home = entry.Home
	}
	return s
}

func newViewStatus(view *membership.View, now monotime.Micros, home string) *ViewStatus {
	age := view.Age(now)
	if age == membership.NeverConfirmed {
		age = -monotime.Millisecond // shown as -1
	}
	return &ViewStatus{
		Enabled:    true,
		Home:       home,
		ViewAgeMS:  age / monotime.Millisecond,
		ViewDigest: formatID(view.Digest()),
		ViewLen:    view.Len(),
	}
}

// replicatedRecords returns the records of idempotent requests in this front end's replica; none if it has no replica.
func (p *Peering) replicatedRecords() []idempotency.RecordStatus {
	if p.controlNode == nil {
		return []idempotency.RecordStatus{}
	}
	return p.idempotencyRegistry.Records()
}
