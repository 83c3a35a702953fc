package fleet

import (
	"slices"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// requests puts this front end's questions to the record, again and again until one is answered. A question may so be committed
// twice: every kind's commands bear that.
type requests struct {
	route route
	asker replication.Incarnation
	retry monotime.Micros
	seq   uint64
	open  map[uint64]*pendingRequest
	ids   []uint64 // of the open ones, in order
}

// route is how questions get to the record: straight to who leads it, or by way of a control member.
type route interface {
	// target is who is to be asked now; empty where none is known.
	target() string
	// ask sends a question there.
	ask(to string, c replication.Command)
	// redirected takes the word of a copy that does not lead and names the one that does; false where that is who was asked.
	redirected(leader uint64, asked string) bool
}

type pendingRequest struct {
	command replication.Command
	done    func(replication.Response)
	asked   monotime.Micros
	to      string
	hops    int // refusals that were followed at once, since it was last asked in its turn
}

// mostHops bounds how often a question follows the word of copies that do not lead. Two that name one another, or answers
// that come twice, would else make a storm of it (exercise, seed 3094).
const mostHops = 2

func newRequests(way route, incarnation uint64, retry monotime.Micros) requests {
	return requests{route: way, asker: replication.Incarnation(incarnation), retry: retry, open: map[uint64]*pendingRequest{}}
}

// add puts a new question.
func (r *requests) add(now monotime.Micros, kind, version uint32, body []byte, done func(replication.Response)) (id uint64) {
	r.seq++
	q := &pendingRequest{done: done, command: replication.Command{StateMachine: kind, Version: version, Proposer: r.asker, Sequence: r.seq, Body: body}}
	r.open[r.seq], r.ids = q, append(r.ids, r.seq)
	r.put(now, q)
	return r.seq
}

func (r *requests) forget(id uint64) {
	if _, ok := r.open[id]; ok {
		delete(r.open, id)
		if i, ok := slices.BinarySearch(r.ids, id); ok {
			r.ids = slices.Delete(r.ids, i, i+1)
		}
	}
}

// put sends a question on its way, as far as one is known.
func (r *requests) put(now monotime.Micros, q *pendingRequest) {
	q.asked, q.to = now, r.route.target()
	if q.to != "" {
		r.route.ask(q.to, q.command)
	}
}

func (r *requests) answered(now monotime.Micros, a replication.Response) {
	q := r.open[a.Sequence]
	if q == nil {
		return
	}
	switch a.Result {
	case replication.Committed, replication.Unsupported:
		r.forget(a.Sequence)
		q.done(a)
	case replication.NotLeader:
		if a.Leader != 0 && q.hops < mostHops && r.route.redirected(a.Leader, q.to) {
			q.hops++
			r.put(now, q)
		}
	}
}

// tick asks again what was not answered in time: at once where another is to be asked by now, and else only after a while, since
// what was asked may still be committed.
func (r *requests) tick(now monotime.Micros) {
	if len(r.ids) == 0 {
		return
	}
	target := r.route.target()
	for _, id := range slices.Clone(r.ids) {
		q := r.open[id]
		if q == nil || target == "" {
			continue
		}
		if age := now - q.asked; target != q.to && age >= r.retry/4 || age >= 4*r.retry {
			q.hops = 0
			r.put(now, q)
		}
	}
}
