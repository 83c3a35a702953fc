package fleet

import (
	"slices"

	"chutechute/ledger"
	"chutechute/peer"
)

// requests puts this front end's questions to whoever leads the record, again and again until one is answered. A question may
// so be committed twice: every kind's commands bear that.
type requests struct {
	n    *Node
	seq  uint64
	open map[uint64]*pendingRequest
	ids  []uint64 // of the open ones, in order
	hint uint64   // the leader, by the last refusal
	at   Micros   // of that
}

type pendingRequest struct {
	command ledger.Command
	done    func(ledger.Answer)
	asked   Micros
	to      string
	hops    int // refusals that were followed at once, since it was last asked in its turn
}

// mostHops bounds how often a question follows the word of copies that do not lead. Two that name one another, or answers
// that come twice, would else make a storm of it (exercise, seed 3094).
const mostHops = 2

// Ask puts a question to the record. Done is called once with what was committed, from Receive, Tick or Stored; it is not
// called any more after Cancel. A question that is taken back may still be committed.
func (n *Node) Ask(now Micros, kind, version uint32, body []byte, done func(ledger.Answer)) (id uint64) {
	n.now = now
	r := &n.requests
	r.seq++
	q := &pendingRequest{done: done, command: ledger.Command{Kind: kind, Version: version,
		Asker: ledger.Incarnation(n.cfg.Incarnation), Seq: r.seq, Body: body}}
	r.open[r.seq], r.ids = q, append(r.ids, r.seq)
	r.put(q)
	return r.seq
}

// Cancel takes a question back.
func (n *Node) Cancel(id uint64) { n.requests.forget(id) }

// Asked is how many questions were put so far.
func (n *Node) Asked() int { return int(n.requests.seq) }

func (r *requests) forget(id uint64) {
	if _, ok := r.open[id]; ok {
		delete(r.open, id)
		if i, ok := slices.BinarySearch(r.ids, id); ok {
			r.ids = slices.Delete(r.ids, i, i+1)
		}
	}
}

// put sends a question to the leader, as far as one is known.
func (r *requests) put(q *pendingRequest) {
	q.asked, q.to = r.n.now, r.leader()
	switch q.to {
	case "":
	case r.n.cfg.Name:
		r.n.replica.Ask(r.n.now, q.command)
	default:
		r.n.tell(q.to, peer.Ask, false, q.command.Encode())
	}
}

// leader is who leads the record as far as this front end knows: what it knows as a copy or was told by a copy that refused,
// and else by the newest election that any of the others tells of.
func (r *requests) leader() string {
	n := r.n
	if n.replica.Votes() && n.replica.Leader() != 0 {
		return n.NameOf(n.replica.Leader())
	}
	if r.hint != 0 && n.now-r.at < n.cfg.Retry {
		return n.NameOf(r.hint)
	}
	var best *status
	for _, m := range n.members.List() {
		s := n.others[m.Name]
		if s != nil && s.Incarnation == m.Incarnation && s.Leader != 0 && (best == nil || s.Term > best.Term) {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	return n.NameOf(best.Leader)
}

func (r *requests) answered(a ledger.Answer) {
	q := r.open[a.Seq]
	if q == nil {
		return
	}
	switch a.Result {
	case ledger.Committed, ledger.Foreign:
		r.forget(a.Seq)
		q.done(a)
	case ledger.NotLeader:
		if a.Leader != 0 && r.n.NameOf(a.Leader) != q.to && q.hops < mostHops {
			q.hops++
			r.hint, r.at = a.Leader, r.n.now
			r.put(q)
		}
	}
}

// tick asks again what was not answered in time: at once where another leads by now, and else only after a while, since what
// was asked may still be committed.
func (r *requests) tick() {
	if len(r.ids) == 0 {
		return
	}
	leader := r.leader()
	for _, id := range slices.Clone(r.ids) {
		q := r.open[id]
		if q == nil || leader == "" {
			continue
		}
		if age := r.n.now - q.asked; leader != q.to && age >= r.n.cfg.Retry/4 || age >= 4*r.n.cfg.Retry {
			q.hops = 0
			r.put(q)
		}
	}
}
