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
)

// Micros is a time or a span in microseconds of this machine's clock, which is monotonic.
type Micros = int64

// Config is what a front end is told of its fleet.
type Config struct {
	Name        string
	Zone        string
	Incarnation uint64
	Zones       map[string]string // of the others, by name
	Members     heartbeat.Config
	Copies      replication.Config // its ID is this disk's number
	Beat        Micros             // between heartbeats
	Retry       Micros             // until a question is asked again
	Attach      *membership.Config // of those that attach to this control member; nil where none may
	// Number draws a number that was never used, for a new record.
	Number func() uint64
}

// Action is one of the types below, or a ledger.Save.
type Action any

// Tell sends a message to another front end. Its body may be shared with other messages.
type Tell struct {
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
	members  *heartbeat.Set
	replica  *replication.Replica
	others   map[string]*status // the last heartbeat of each, by name
	requests requests
	toLeader toLeader
	server   *membership.Server         // nil where no front ends may attach
	linked   map[uint64]linkedFrontEnd  // attached front ends with links to this one, by their processes
	controls []membership.ControlMember // as of the last tick
	actions  []Action
	now      Micros
	beatAt   Micros
	founded  []byte // the founding's word, to be said again until there is a leader
	leaving  bool
	note     func(about string)
	// Relayed counts the messages that went by way of another front end.
	Relayed int
	// Forwarded counts the questions of attached front ends that were passed on, Undeliverable what was for them or from them and found no way.
	Forwarded, Undeliverable int
	// Changed is told of each change in how another front end is seen.
	Changed func(*heartbeat.Member)
}

// New builds a front end of a fleet. Note is told that something this front end waits for may have changed.
func New(cfg Config, note func(about string)) *Node {
	n := &Node{cfg: cfg, members: heartbeat.New(cfg.Members, cfg.Zones), replica: replication.New(cfg.Copies),
		others: map[string]*status{}, note: note, Changed: func(*heartbeat.Member) {}}
	n.toLeader = toLeader{n: n}
	n.requests = newRequests(&n.toLeader, cfg.Incarnation, cfg.Retry)
	n.attaching()
	return n
}

// Open goes on with what this disk kept.
func (n *Node) Open(now Micros, d *replication.Disk) error {
	n.now = now
	return n.replica.Open(now, d)
}

// Replica is this front end's copy of the record, if it is one.
func (n *Node) Replica() *replication.Replica { return n.replica }

// Members is how the others are seen.
func (n *Node) Members() *heartbeat.Set { return n.members }

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
	From        string
	Incarnation uint64
	Greeted     Micros
	Attached    bool   // an attached front end's, which has dialled it
	Zone        string // that an attached front end says it is in
}

// Receive takes a message that came over a link. An error says that it can't be read.
func (n *Node) Receive(now Micros, l Link, kind transport.Kind, body []byte) error {
	n.now = now
	if l.Attached {
		return n.receiveAttached(l, kind, body)
	}
	switch kind {
	case transport.Status:
		s, err := decodeStatus(body)
		if err != nil {
			return err
		}
		if s.Incarnation != l.Incarnation || !n.members.Heard(now, l.From, l.Incarnation, l.Greeted, s.Leaving, s.Reports) {
			return nil
		}
		n.others[l.From] = &s
		if s.Group != 0 && s.Group == n.replica.Group() {
			n.replica.Compare(s.Index, s.Sum)
		}
		if n.server != nil && len(s.Versions) > 0 {
			if err := n.server.PeerVersions(now, l.From, l.Incarnation, s.Versions); err != nil {
				return err
			}
		}
	case transport.Ledger:
		group, message, err := decodeCopied(body)
		if err != nil {
			return err
		}
		return n.replica.Receive(now, group, message)
	case transport.Ask:
		c, err := replication.DecodeCommand(body)
		if err != nil {
			return err
		}
		if uint64(c.Asker) == l.Incarnation {
			n.replica.Ask(now, c)
		}
	case transport.Answer:
		a, err := replication.DecodeAnswer(body)
		if err != nil {
			return err
		}
		n.requests.answered(now, a)
	case transport.Note:
		n.note(string(body))
	case transport.Found:
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
		return n.replica.Found(n.now, w.Group, members)
	}
	return nil
}

// Lost tells that messages to a front end may not arrive.
func (n *Node) Lost(name string) {
	if s := n.others[name]; s != nil && s.Copy != 0 {
		n.replica.Unreachable(s.Copy)
	}
}

// Stored tells that a Save has been written, or why not.
func (n *Node) Stored(now Micros, token uint64, err error) {
	n.now = now
	n.replica.Stored(now, token, err)
	n.drain()
}

// Next is when Tick should be called at the latest.
func (n *Node) Next() Micros {
	next := min(n.beatAt, n.now+n.cfg.Copies.Tick)
	if n.server != nil {
		next = min(next, n.now+membership.DefaultBatch)
	}
	return next
}

// Tick lets time pass.
func (n *Node) Tick(now Micros) {
	n.now = now
	for _, m := range n.members.Tick(now) {
		n.Changed(m)
	}
	present := n.present()
	n.replica.Tick(now, present, presence{n.members, n})
	if now >= n.beatAt {
		n.beatAt = now + n.cfg.Beat
		n.beat()
		n.begin(present)
	}
	n.tickServer()
	n.requests.tick(now)
	n.drain()
}

// presence is the members as the record's kinds see them.
type presence struct {
	*heartbeat.Set
	n *Node
}

func (p presence) Gone(i replication.Incarnation) bool { return p.n.gone(uint64(i)) }

// Replaced is certain of control members. Of attached front ends it is what the merged view says: what rests on it being certain,
// the budgets, is not set where front ends may attach.
func (p presence) Replaced(i replication.Incarnation) bool {
	if p.n.server == nil || p.ofMember(i) {
		return p.Set.Replaced(uint64(i))
	}
	return p.n.server.View().Replaced(uint64(i))
}

// Missing is never said of a process that is no control member's, where front ends may attach: what an attached one has under way
// is not offered to others in this version. It ends by its own time, and a repeat of it is told so. A load that an attached front
// end hands on itself has no owner, and is offered.
func (p presence) Missing(i replication.Incarnation) bool {
	if p.n.server != nil && i != 0 && !p.ofMember(i) {
		return false
	}
	return i == 0 || uint64(i) != p.n.cfg.Incarnation && p.Set.Missing(uint64(i))
}

func (p presence) Present() (list []replication.Incarnation) {
	n := p.n
	if !n.leaving {
		list = append(list, replication.Incarnation(n.cfg.Incarnation))
	}
	for _, m := range p.List() {
		if s := n.others[m.Name]; m.State == heartbeat.Alive && s != nil && !s.Leaving {
			list = append(list, replication.Incarnation(m.Incarnation))
		}
	}
	slices.Sort(list)
	return list
}

// Gone says whether a process of the fleet is held for no more.
func (n *Node) Gone(incarnation uint64) bool { return n.gone(incarnation) }

// present is the front ends that are heard now and have a disk that serves, this one too.
func (n *Node) present() (list []replication.Member) {
	if n.replica.Err() == nil && !n.leaving {
		list = append(list, replication.Member{ID: n.replica.ID(), Name: n.cfg.Name, Zone: n.cfg.Zone})
	}
	for _, m := range n.members.List() {
		if s := n.others[m.Name]; m.State == heartbeat.Alive && s != nil && s.Incarnation == m.Incarnation && s.Copy != 0 && !s.Leaving {
			list = append(list, replication.Member{ID: s.Copy, Name: m.Name, Zone: m.Zone})
		}
	}
	return list
}

func (n *Node) beat() {
	index, sum := n.replica.Applied()
	s := status{Incarnation: n.cfg.Incarnation, Copy: n.replica.ID(), Group: n.replica.Group(), Leader: n.replica.Leader(),
		Term: n.replica.Term(), Index: index, Sum: sum, Leaving: n.leaving, Voter: n.replica.Votes(), Reports: n.members.Reports()}
	if n.replica.Err() != nil {
		s.Copy = 0
	}
	if n.server != nil {
		s.Versions = n.server.Versions(n.now)
	}
	body := s.encode()
	for _, m := range n.members.List() {
		n.actions = append(n.actions, Tell{To: m.Name, Kind: transport.Status, Body: body})
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
	for _, m := range n.members.List() {
		if n.others[m.Name].Group != 0 || m.Name < n.cfg.Name { // the first by name founds
			return
		}
	}
	first := choose(present, n.cfg.Copies.Copies)
	w := founding{Group: n.cfg.Number(), Members: replication.EncodeMembers(first)}
	n.founded = w.encode()
	if err := n.replica.Found(n.now, w.Group, first); err != nil {
		n.founded = nil
		return
	}
	n.spread()
}

func (n *Node) spread() {
	for _, m := range n.members.List() {
		if s := n.others[m.Name]; s != nil && s.Group == 0 {
			n.actions = append(n.actions, Tell{To: m.Name, Kind: transport.Found, Body: n.founded})
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

// NameOf is the front end that has the disk with that number; empty where none is known.
func (n *Node) NameOf(copy uint64) string {
	if copy == n.replica.ID() {
		return n.cfg.Name
	}
	for _, m := range n.members.List() {
		if s := n.others[m.Name]; s != nil && s.Copy == copy {
			return m.Name
		}
	}
	return ""
}

// nameOfProcess is the front end whose process that is; empty where none is known.
func (n *Node) nameOfProcess(incarnation uint64) string {
	for _, m := range n.members.List() {
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
			if to := n.NameOf(a.To); to != "" {
				n.tell(to, transport.Ledger, a.Bulk, copied(n.replica.Group(), a.Message))
			}
		case replication.Save:
			n.actions = append(n.actions, a)
		case replication.Reply:
			if uint64(a.To) == n.cfg.Incarnation {
				n.requests.answered(n.now, a.Answer)
			} else if to := n.nameOfProcess(uint64(a.To)); to != "" {
				n.tell(to, transport.Answer, false, a.Answer.Encode())
			} else if n.server != nil {
				n.toAttached(uint64(a.To), transport.Answer, a.Answer.Encode())
			}
		case replication.Notify:
			if !n.replica.Leads() {
				continue // the leader's is enough
			}
			if uint64(a.To) == n.cfg.Incarnation {
				n.note(a.About)
			} else if to := n.nameOfProcess(uint64(a.To)); to != "" {
				n.tell(to, transport.Note, false, []byte(a.About))
			} else if n.server != nil {
				n.toAttached(uint64(a.To), transport.Note, []byte(a.About))
			}
		}
	}
}
