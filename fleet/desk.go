package fleet

import (
	"slices"

	"chutechute/ledger"
	"chutechute/peer"
)

// desk puts this front end's questions to whoever leads the record, again and again until one is answered. A question may
// so be committed twice: every kind's commands bear that.
type desk struct {
	n    *Node
	seq  uint64
	open map[uint64]*question
	ids  []uint64 // of the open ones, in order
	hint uint64   // the leader, by the last refusal
	at   Micros   // of that
}

type question struct {
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
	d := &n.desk
	d.seq++
	q := &question{done: done, command: ledger.Command{Kind: kind, Version: version,
		Asker: ledger.Incarnation(n.cfg.Incarnation), Seq: d.seq, Body: body}}
	d.open[d.seq], d.ids = q, append(d.ids, d.seq)
	d.put(q)
	return d.seq
}

// Cancel takes a question back.
func (n *Node) Cancel(id uint64) { n.desk.forget(id) }

// Asked is how many questions were put so far.
func (n *Node) Asked() int { return int(n.desk.seq) }

func (d *desk) forget(id uint64) {
	if _, ok := d.open[id]; ok {
		delete(d.open, id)
		if i, ok := slices.BinarySearch(d.ids, id); ok {
			d.ids = slices.Delete(d.ids, i, i+1)
		}
	}
}

// put sends a question to the leader, as far as one is known.
func (d *desk) put(q *question) {
	q.asked, q.to = d.n.now, d.leader()
	switch q.to {
	case "":
	case d.n.cfg.Name:
		d.n.replica.Ask(d.n.now, q.command)
	default:
		d.n.tell(q.to, peer.Ask, false, q.command.Encode())
	}
}

// leader is who leads the record as far as this front end knows: what it knows as a copy or was told by a copy that refused,
// and else by the newest election that any of the others tells of.
func (d *desk) leader() string {
	n := d.n
	if n.replica.Votes() && n.replica.Leader() != 0 {
		return n.NameOf(n.replica.Leader())
	}
	if d.hint != 0 && n.now-d.at < n.cfg.Retry {
		return n.NameOf(d.hint)
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

func (d *desk) answered(a ledger.Answer) {
	q := d.open[a.Seq]
	if q == nil {
		return
	}
	switch a.Result {
	case ledger.Committed, ledger.Foreign:
		d.forget(a.Seq)
		q.done(a)
	case ledger.NotLeader:
		if a.Leader != 0 && d.n.NameOf(a.Leader) != q.to && q.hops < mostHops {
			q.hops++
			d.hint, d.at = a.Leader, d.n.now
			d.put(q)
		}
	}
}

// tick asks again what was not answered in time: at once where another leads by now, and else only after a while, since what
// was asked may still be committed.
func (d *desk) tick() {
	if len(d.ids) == 0 {
		return
	}
	leader := d.leader()
	for _, id := range slices.Clone(d.ids) {
		q := d.open[id]
		if q == nil || leader == "" {
			continue
		}
		if age := d.n.now - q.asked; leader != q.to && age >= d.n.cfg.Retry/4 || age >= 4*d.n.cfg.Retry {
			q.hops = 0
			d.put(q)
		}
	}
}
