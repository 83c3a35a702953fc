package fleet

import (
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// Propose puts a question to the record. Done is called once with what was committed, from Receive, Tick or Stored; it is not
// called any more after Cancel. A question that is taken back may still be committed.
func (n *Node) Propose(now monotime.Micros, kind, version uint32, body []byte, done func(replication.Response)) (id uint64) {
	n.now = now
	return n.requests.add(now, kind, version, body, done)
}

// Cancel takes a question back.
func (n *Node) Cancel(id uint64) { n.requests.forget(id) }

// Proposals is how many questions were put so far.
func (n *Node) Proposals() int { return int(n.requests.seq) }

// toLeader is the route of a front end that knows the copies: straight to who leads the record.
type toLeader struct {
	n    *Node
	hint uint64          // the leader, by the last refusal
	at   monotime.Micros // of that
}

func (t *toLeader) ask(to string, c replication.Command) {
	if to == t.n.cfg.Name {
		t.n.replica.Propose(t.n.now, c)
		return
	}
	t.n.tell(to, transport.Proposal, false, c.Encode())
}

func (t *toLeader) redirected(leader uint64, asked string) bool {
	if t.n.ReplicaName(leader) == asked {
		return false
	}
	t.hint, t.at = leader, t.n.now
	return true
}

// target is who leads the record as far as this front end knows: what it knows as a copy or was told by a copy that refused,
// and else by the newest election that any of the others tells of.
func (t *toLeader) target() string {
	n := t.n
	if n.replica.IsVoter() && n.replica.Leader() != 0 {
		return n.ReplicaName(n.replica.Leader())
	}
	if t.hint != 0 && n.now-t.at < n.cfg.RetryInterval {
		return n.ReplicaName(t.hint)
	}
	var best *status
	for _, m := range n.members.Peers() {
		s := n.others[m.Name]
		if s != nil && s.Incarnation == m.Incarnation && s.Leader != 0 && (best == nil || s.Term > best.Term) {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	return n.ReplicaName(best.Leader)
}
