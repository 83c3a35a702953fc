package peering

import (
	"chutechute/fleet/idempotency"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// ReplicatedRecords is the loads on record as this copy has them, and those that this front end holds.
type ReplicatedRecords struct {
	Status Status                           `json:"status"`
	Loads  []idempotency.RecordStatus       `json:"loads"`
	Held   []idempotencyclient.RecordStatus `json:"held"`
}

// Status is what a front end says of itself and of the others, as it sees them.
type Status struct {
	Site        string          `json:"site"`
	Name        string          `json:"name"`
	Incarnation string          `json:"incarnation"`
	Copy        string          `json:"copy"`
	Lasting     bool            `json:"lasting"` // the record is on a disk, and not in memory only
	Group       string          `json:"group"`   // the record's number
	Role        string          `json:"role"`    // leader, voter, learner, none or failed; attached
	Leader      string          `json:"leader"`
	Term        uint64          `json:"term"`
	Applied     uint64          `json:"applied"`
	Sum         string          `json:"sum"`
	Differing   int             `json:"differing"`
	Elections   int             `json:"elections"`
	Commits     int             `json:"commits"`
	Snapshots   int             `json:"snapshots"`
	HandOvers   int             `json:"hand_overs"` // of the lead, as its disk was slow
	Relayed     int             `json:"relayed"`    // messages by way of a third front end
	Loads       int             `json:"loads"`
	LoadBytes   int             `json:"load_bytes"`
	Held        int             `json:"held"`
	Error       string          `json:"error,omitempty"`
	Warning     string          `json:"warning,omitempty"`
	Copies      []ReplicaStatus `json:"copies"`
	Members     []MemberStatus  `json:"members"`
	Attached    *ViewStatus     `json:"attached,omitempty"` // where front ends may attach
}

// ReplicaStatus is one copy of the record.
type ReplicaStatus struct {
	Copy  string `json:"copy"`
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Votes bool   `json:"votes"`
}

// MemberStatus is another front end as this one sees it.
type MemberStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	Link        bool   `json:"link"`           // messages go there
	Role        string `json:"role,omitempty"` // control or attached, where front ends may attach
	Home        string `json:"home,omitempty"` // of an attached one: the control member that it has its view from
}

// ViewStatus is how the view of all front ends stands.
type ViewStatus struct {
	On         bool                `json:"on"`
	Home       string              `json:"home"`        // the control member that this front end's view comes from; its own name at one
	ViewAge    int64               `json:"view_age_ms"` // since the home confirmed the view; -1: it never has
	ViewDigest string              `json:"view_digest"` // the same wherever the view is the same
	ViewLen    int                 `json:"view_len"`
	Targets    []string            `json:"targets,omitempty"` // the control members that this attached front end keeps links with
	Links      int                 `json:"links"`             // attached front ends with a link to this control member
	Forwarded  int                 `json:"forwarded"`         // questions of theirs that were passed on to the record
	Lost       int                 `json:"undeliverable"`     // messages for them, or of theirs, that found no way
	Counters   membership.Counters `json:"counters"`
}

func (p *Peering) status() Status {
	if p.attached != nil {
		return p.attachedStatus()
	}
	r := p.node.Replica()
	index, sum := r.LastApplied()
	f := Status{Site: p.cfg.Site, Name: p.cfg.Name, Incarnation: hex(p.self.Incarnation), Copy: hex(r.ID()),
		Lasting: p.cfg.Folder != "", Group: hex(r.Group()), Role: "none", Leader: p.node.ReplicaName(r.Leader()), Term: r.Term(),
		Applied: index, Sum: hex(sum), Differing: r.Divergent, Elections: r.Elections, Commits: r.Commits,
		Snapshots: r.Snapshots, HandOvers: r.LeaderTransfers, Relayed: p.node.Relayed, Loads: p.loads.Len(), LoadBytes: p.loads.Bytes(), Held: p.records.Len(),
		Copies: []ReplicaStatus{}, Members: []MemberStatus{}}
	voters, learners := r.Members()
	switch {
	case r.Err() != nil:
		f.Role, f.Error = "failed", r.Err().Error()
	case r.IsLeader():
		f.Role = "leader"
	case r.IsVoter():
		f.Role = "voter"
	case r.Group() != 0:
		f.Role = "learner"
	}
	if !f.Lasting {
		f.Warning = "the record is kept in memory only: what was told is lost where a majority of the copies end at once"
	}
	for _, m := range voters {
		f.Copies = append(f.Copies, ReplicaStatus{hex(m.ID), m.Name, m.Zone, true})
	}
	for _, m := range learners {
		f.Copies = append(f.Copies, ReplicaStatus{hex(m.ID), m.Name, m.Zone, false})
	}
	for _, m := range p.node.Members().Peers() {
		f.Members = append(f.Members, MemberStatus{Name: m.Name, Zone: m.Zone, State: m.State.String(), Incarnation: hex(m.Incarnation),
			Link: p.out[m.Name].open()})
	}
	p.addAttached(&f)
	return f
}

// addAttached tells of the front ends that are attached, where any may be.
func (p *Peering) addAttached(f *Status) {
	server := p.node.MembershipServer()
	if server == nil {
		return
	}
	for i := range f.Members {
		f.Members[i].Role = membership.Control.String()
	}
	for _, e := range server.View().Entries() {
		if e.Role == membership.Attached {
			f.Members = append(f.Members, seenMember(e, len(p.byProcess[e.Incarnation]) > 0))
		}
	}
	f.Attached = viewStatus(server.View(), p.Host.TurnTime, p.cfg.Name)
	f.Attached.Links, f.Attached.Counters = p.node.AttachedCount(), server.Counters
	f.Attached.Forwarded, f.Attached.Lost = p.node.Forwarded, p.node.Undeliverable
}

// attachedStatus is the status of an attached front end: it has no copy of the record, and its view is its home's.
func (p *Peering) attachedStatus() Status {
	f := Status{Site: p.cfg.Site, Name: p.cfg.Name, Incarnation: hex(p.self.Incarnation), Copy: hex(0), Group: hex(0), Sum: hex(0),
		Role: membership.Attached.String(), Held: p.records.Len(), Copies: []ReplicaStatus{}, Members: []MemberStatus{}}
	view := p.attached.View()
	var attached []MemberStatus
	for _, e := range view.Entries() {
		l := p.out[e.Name]
		switch m := seenMember(e, l != nil && l.open()); {
		case e.Role == membership.Control:
			f.Members = append(f.Members, m)
		case e.Name != p.cfg.Name:
			attached = append(attached, m)
		}
	}
	f.Members = append(f.Members, attached...)
	f.Attached = viewStatus(view, p.Host.TurnTime, p.attached.Home())
	f.Attached.Targets, f.Attached.Counters = p.attached.Targets(p.Host.TurnTime), p.attached.MembershipClient().Counters
	return f
}

// seenMember is an entry of the view.
func seenMember(e membership.Entry, link bool) MemberStatus {
	m := MemberStatus{Name: e.Name, Zone: e.Zone, State: e.State.String(), Incarnation: hex(e.Incarnation), Link: link, Role: e.Role.String()}
	if e.Role == membership.Attached {
		m.Home = e.Home
	}
	return m
}

func viewStatus(view *membership.View, now monotime.Micros, home string) *ViewStatus {
	age := view.Age(now)
	if age == membership.NeverConfirmed {
		age = -monotime.Millisecond
	}
	return &ViewStatus{On: true, Home: home, ViewAge: age / monotime.Millisecond, ViewDigest: hex(view.Digest()), ViewLen: view.Len()}
}
