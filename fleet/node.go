// Package fleet is one front end among others: it puts together who is there (member), the record that they keep (ledger), and
// the questions that this front end has for it. It is a stepped module: messages and time go in, messages and writes come
// out. It does no I/O, reads no clock and starts nothing, so the same text runs in processes and in virtual time.
//
// How a record begins. A front end with an empty disk can't tell by itself whether the fleet is new or its own disk was lost.
// So a record is founded only where every front end that the settings name is there and says that it belongs to none. One
// survivor of an earlier record, or one front end that can't be heard and might be such a survivor, keeps all others from
// founding a second beside it.
//
// A front end has one of two roles. A Node is one that the settings name, a control member: it hears all others of them and may keep
// a copy of the record. An Attached is one that they do not name: it keeps links to two control members, has its view of the fleet
// from them, and puts its questions to the record through one of them.
package fleet

import (
	"slices"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// Config is what a front end is told of its fleet.
type Config struct {
	Name              string
	Zone              string
	Incarnation       uint64
	Zones             map[string]string // of the others, by name
	Heartbeat         heartbeat.Config
	Replication       replication.Config // its ID is this disk's number
	HeartbeatInterval monotime.Micros    // between heartbeats
	RetryInterval     monotime.Micros    // until a question is asked again
	Membership        *membership.Config // of those that attach to this control member; nil where none may
	// NewID draws a number that was never used, for a new record.
	NewID func() uint64
}

// Action is one of the types below, or a ledger.Save.
type Action any

// Send sends a message to another front end. Its body may be shared with other messages.
type Send struct {
	To          string
	Incarnation uint64 // 0: a control member; else that process of an attached front end, over a link that it has dialled
	Kind        transport.Kind
	Bulk        bool
	Body        []byte
}

// CloseLink ends a link of an attached front end.
type CloseLink struct{ Link Link }

// Node is one front end of a fleet.
type Node struct {
	cfg      Config
	members  *heartbeat.Monitor
	replica  *replication.Replica
	others   map[string]*status // the last heartbeat of each, by name
	requests requests
	toLeader toLeader
	server   *membership.Server         // nil where no front ends may attach
	linked   map[uint64]linkedFrontEnd  // attached front ends with links to this one, by their processes
	controls []membership.ControlMember // as of the last tick
	actions  []Action
	now      monotime.Micros
	beatAt   monotime.Micros
	founded  []byte // the founding's word, to be said again until there is a leader
	leaving  bool
	note     func(about string)
	// Relayed counts the messages that went by way of another front end.
	Relayed int
	// Forwarded counts the questions of attached front ends that were passed on, Undeliverable what was for them or from them and found no way.
	Forwarded, Undeliverable int
	// OnPeerChange is told of each change in how another front end is seen.
	OnPeerChange func(*heartbeat.Peer)
}

// NewNode builds a front end of a fleet. Note is told that something this front end waits for may have changed.
func NewNode(cfg Config, note func(about string)) *Node {
	n := &Node{cfg: cfg, members: heartbeat.NewMonitor(cfg.Heartbeat, cfg.Zones), replica: replication.New(cfg.Replication),
		others: map[string]*status{}, note: note, OnPeerChange: func(*heartbeat.Peer) {}}
	n.toLeader = toLeader{n: n}
	n.requests = newRequests(&n.toLeader, cfg.Incarnation, cfg.RetryInterval)
	n.attaching()
	return n
}

// Recover goes on with what this disk kept.
func (n *Node) Recover(now monotime.Micros, d *replication.PersistedState) error {
	n.now = now
	return n.replica.Recover(now, d)
}

// Replica is this front end's copy of the record, if it is one.
func (n *Node) Replica() *replication.Replica { return n.replica }

// Members is how the others are seen.
func (n *Node) Members() *heartbeat.Monitor { return n.members }

// Leave says to the others that this front end will soon be gone.
func (n *Node) Leave() { n.leaving = true }

// Actions gives what is to be done and forgets it.
func (n *Node) Actions() []Action {
	n.drain()
	list := n.actions
	n.actions = nil
	return list
}

// Link is where a message came from: the front end's name, the incarnation that has proven itself, and when it was challenged.
type Link struct {
	From         string
	Incarnation  uint64
	ChallengedAt monotime.Micros
	Attached     bool   // an attached front end's, which has dialled it
	Zone         string // that an attached front end says it is in
}

// Receive takes a message that came over a link. An error says that it can't be read.
func (n *Node) Receive(now monotime.Micros, l Link, kind transport.Kind, body []byte) error {
	n.now = now
	if l.Attached {
		return n.receiveAttached(l, kind, body)
	}
	switch kind {
	case transport.ControlHeartbeat:
		s, err := decodeStatus(body)
		if err != nil {
			return err
		}
		if s.Incarnation != l.Incarnation || !n.members.Observe(now, l.From, l.Incarnation, l.ChallengedAt, s.Leaving, s.Reports) {
			return nil
		}
		n.others[l.From] = &s
		if s.Group != 0 && s.Group == n.replica.Group() {
			n.replica.CheckDivergence(s.Index, s.Sum)
		}
		if n.server != nil && len(s.Versions) > 0 {
			if err := n.server.ReceiveVersions(now, l.From, l.Incarnation, s.Versions); err != nil {
				return err
			}
		}
	case transport.Replication:
		group, message, err := decodeCopied(body)
		if err != nil {
			return err
		}
		return n.replica.Receive(now, group, message)
	case transport.Proposal:
		c, err := replication.DecodeCommand(body)
		if err != nil {
			return err
		}
		if uint64(c.Proposer) == l.Incarnation {
			n.replica.Propose(now, c)
		}
	case transport.Response:
		a, err := replication.DecodeResponse(body)
		if err != nil {
			return err
		}
		n.requests.answered(now, a)
	case transport.Notification:
		n.note(string(body))
	case transport.Bootstrap:
		return n.found(body)
	case transport.Relay:
		return n.relay(l, body)
	default:
		if err := n.receiveAttaching(l, kind, body); err != nil {
			return err
		}
	}
	n.drain()
	return nil
}

// found takes part in a new record, where this front end belongs to none.
func (n *Node) found(body []byte) error {
	w, err := decodeFounding(body)
	if err != nil {
		return err
	}
	members, err := replication.DecodeMembers(w.Members)
	if err != nil {
		return err
	}
	if n.replica.Group() == 0 && w.Group != 0 {
		n.founded = body
		return n.replica.Bootstrap(n.now, w.Group, members)
	}
	return nil
}

// SendFailed tells that messages to a front end may not arrive.
func (n *Node) SendFailed(name string) {
	if s := n.others[name]; s != nil && s.Copy != 0 {
		n.replica.Unreachable(s.Copy)
	}
}

// Persisted tells that a Save has been written, or why not.
func (n *Node) Persisted(now monotime.Micros, token uint64, err error) {
	n.now = now
	n.replica.Persisted(now, token, err)
	n.drain()
}

// Next is when Tick should be called at the latest.
func (n *Node) Next() monotime.Micros {
	next := min(n.beatAt, n.now+n.cfg.Replication.TickInterval)
	if n.server != nil {
		next = min(next, n.now+membership.DefaultBatchDelay)
	}
	return next
}

// Tick lets time pass.
func (n *Node) Tick(now monotime.Micros) {
	n.now = now
	for _, m := range n.members.Tick(now) {
		n.OnPeerChange(m)
	}
	present := n.present()
	n.replica.Tick(now, present, presence{n.members, n})
	if now >= n.beatAt {
		n.beatAt = now + n.cfg.HeartbeatInterval
		n.beat()
		n.begin(present)
	}
	n.tickServer()
	n.requests.tick(now)
	n.drain()
}

// presence is the members as the record's kinds see them.
type presence struct {
	*heartbeat.Monitor
	n *Node
}

func (p presence) PresumedDead(i replication.Incarnation) bool { return p.n.gone(uint64(i)) }

// Superseded is certain of control members. Of attached front ends it is what the merged view says: what rests on it being certain,
// the budgets, is not set where front ends may attach.
func (p presence) Superseded(i replication.Incarnation) bool {
	if p.n.server == nil || p.ofMember(i) {
		return p.Monitor.Superseded(uint64(i))
	}
	return p.n.server.View().Superseded(uint64(i))
}

// Unreachable is never said of a process that is no control member's, where front ends may attach: what an attached one has under way
// is not offered to others in this version. It ends by its own time, and a repeat of it is told so. A load that an attached front
// end hands on itself has no owner, and is offered.
func (p presence) Unreachable(i replication.Incarnation) bool {
	if p.n.server != nil && i != 0 && !p.ofMember(i) {
		return false
	}
	return i == 0 || uint64(i) != p.n.cfg.Incarnation && p.Monitor.Unreachable(uint64(i))
}

func (p presence) Live() (list []replication.Incarnation) {
	n := p.n
	if !n.leaving {
		list = append(list, replication.Incarnation(n.cfg.Incarnation))
	}
	for _, m := range p.Peers() {
		if s := n.others[m.Name]; m.State == heartbeat.Alive && s != nil && !s.Leaving {
			list = append(list, replication.Incarnation(m.Incarnation))
		}
	}
	slices.Sort(list)
	return list
}

// PresumedDead says whether a process of the fleet is held for no more.
func (n *Node) PresumedDead(incarnation uint64) bool { return n.gone(incarnation) }

// present is the front ends that are heard now and have a disk that serves, this one too.
func (n *Node) present() (list []replication.Member) {
	if n.replica.Err() == nil && !n.leaving {
		list = append(list, replication.Member{ID: n.replica.ID(), Name: n.cfg.Name, Zone: n.cfg.Zone})
	}
	for _, m := range n.members.Peers() {
		if s := n.others[m.Name]; m.State == heartbeat.Alive && s != nil && s.Incarnation == m.Incarnation && s.Copy != 0 && !s.Leaving {
			list = append(list, replication.Member{ID: s.Copy, Name: m.Name, Zone: m.Zone})
		}
	}
	return list
}

func (n *Node) beat() {
	index, sum := n.replica.LastApplied()
	s := status{Incarnation: n.cfg.Incarnation, Copy: n.replica.ID(), Group: n.replica.Group(), Leader: n.replica.Leader(),
		Term: n.replica.Term(), Index: index, Sum: sum, Leaving: n.leaving, Voter: n.replica.IsVoter(), Reports: n.members.Reports()}
	if n.replica.Err() != nil {
		s.Copy = 0
	}
	if n.server != nil {
		s.Versions = n.server.Versions(n.now)
	}
	body := s.encode()
	for _, m := range n.members.Peers() {
		n.actions = append(n.actions, Send{To: m.Name, Kind: transport.ControlHeartbeat, Body: body})
	}
}

// begin founds a record where there surely is none, and sends the founding again to those who have not taken it in.
func (n *Node) begin(present []replication.Member) {
	if n.founded != nil {
		if n.replica.Leader() != 0 {
			n.founded = nil
			return
		}
		n.spread()
		return
	}
	if n.replica.Group() != 0 || n.replica.Err() != nil || len(present) != len(n.cfg.Zones)+1 {
		return
	}
	for _, m := range n.members.Peers() {
		if n.others[m.Name].Group != 0 || m.Name < n.cfg.Name { // the first by name founds
			return
		}
	}
	first := choose(present, n.cfg.Replication.Replicas)
	w := founding{Group: n.cfg.NewID(), Members: replication.EncodeMembers(first)}
	n.founded = w.encode()
	if err := n.replica.Bootstrap(n.now, w.Group, first); err != nil {
		n.founded = nil
		return
	}
	n.spread()
}

func (n *Node) spread() {
	for _, m := range n.members.Peers() {
		if s := n.others[m.Name]; s != nil && s.Group == 0 {
			n.actions = append(n.actions, Send{To: m.Name, Kind: transport.Bootstrap, Body: n.founded})
		}
	}
}

// choose takes the first copies: by name, and from as many zones as there are.
func choose(present []replication.Member, copies int) (list []replication.Member) {
	rest := slices.Clone(present)
	slices.SortFunc(rest, func(a, b replication.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	zones := map[string]int{}
	for len(list) < copies && len(rest) > 0 {
		best := 0
		for i, m := range rest {
			if zones[m.Zone] < zones[rest[best].Zone] {
				best = i
			}
		}
		zones[rest[best].Zone]++
		list = append(list, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return list
}

// ReplicaName is the front end that has the disk with that number; empty where none is known.
func (n *Node) ReplicaName(copy uint64) string {
	if copy == n.replica.ID() {
		return n.cfg.Name
	}
	for _, m := range n.members.Peers() {
		if s := n.others[m.Name]; s != nil && s.Copy == copy {
			return m.Name
		}
	}
	return ""
}

// nameOfProcess is the front end whose process that is; empty where none is known.
func (n *Node) nameOfProcess(incarnation uint64) string {
	for _, m := range n.members.Peers() {
		if m.Incarnation == incarnation {
			return m.Name
		}
	}
	return ""
}

// drain turns what the copy wants into this front end's actions.
func (n *Node) drain() {
	n.drainServer()
	for _, a := range n.replica.Actions() {
		switch a := a.(type) {
		case replication.Send:
			if to := n.ReplicaName(a.To); to != "" {
				n.tell(to, transport.Replication, a.Bulk, copied(n.replica.Group(), a.Message))
			}
		case replication.Save:
			n.actions = append(n.actions, a)
		case replication.Reply:
			if uint64(a.To) == n.cfg.Incarnation {
				n.requests.answered(n.now, a.Response)
			} else if to := n.nameOfProcess(uint64(a.To)); to != "" {
				n.tell(to, transport.Response, false, a.Response.Encode())
			} else if n.server != nil {
				n.toAttached(uint64(a.To), transport.Response, a.Response.Encode())
			}
		case replication.Notify:
			if !n.replica.IsLeader() {
				continue // the leader's is enough
			}
			if uint64(a.To) == n.cfg.Incarnation {
				n.note(a.Topic)
			} else if to := n.nameOfProcess(uint64(a.To)); to != "" {
				n.tell(to, transport.Notification, false, []byte(a.Topic))
			} else if n.server != nil {
				n.toAttached(uint64(a.To), transport.Notification, []byte(a.Topic))
			}
		}
	}
}
