package membership

import (
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// process is one run of a member's program.
type process struct {
	s           *Sim
	p           *place
	incarnation uint64
	order       int // of the processes at its place, from 1
	born        monotime.Micros
	offset      monotime.Micros // of its clock
	rate        float64
	paused      bool
	waiting     []func() // what comes while it stands still
	backlog     int      // bytes that came while it stands still
	seenDigest  uint64   // of the view when it was last compared
	control     *control // nil at an attached front end
	front       *front   // nil at a control member
}

// start begins a process at a place that has none.
func (p *place) start() {
	if p.proc != nil {
		return
	}
	s := p.s
	p.off = false
	p.births++
	p.turns = append(p.turns, s.now)
	q := &process{s: s, p: p, order: p.births, born: s.now, incarnation: s.rng.Uint64()>>2 | 1,
		offset: s.between(0, mostOffset), rate: 1 + drift*(2*s.rng.Float64()-1)}
	p.proc = q
	s.truth.began(q)
	if p.role == membership.Control {
		q.control = newControl(q)
		q.control.begin()
	} else {
		q.front = newFront(q)
		q.does(q.front.step)
	}
}

// end ends the process at once and without a word. Where the machine goes with it, nobody is told that its connections ended.
func (p *place) end(machine bool) {
	q := p.proc
	if machine {
		p.off = true
	}
	if q == nil {
		return
	}
	p.proc = nil
	p.turns = append(p.turns, p.s.now)
	q.waiting = nil
	p.s.truth.ended(q)
	if q.control != nil {
		q.control.ended(machine)
	} else {
		q.front.ended(machine)
	}
}

// pause has the process stand still.
func (p *place) pause() {
	if !p.running() {
		return
	}
	p.proc.paused = true
	p.s.truth.left(p.index)
	p.proc.eachLink(func(l *link) { l.silentSoon(p.proc.side().other()) })
}

// resume lets a process go on that stands still, with all that came meanwhile.
func (p *place) resume() {
	q := p.proc
	if q == nil || !q.paused {
		return
	}
	q.paused = false
	p.resumed = p.s.now
	waiting := q.waiting
	q.waiting, q.backlog = nil, 0
	if p.s.rng.IntN(2) == 0 { // its clock may be read before what has come is
		q.does(q.tick)
	}
	for _, do := range waiting {
		q.does(do)
	}
	q.eachLink(func(l *link) { l.drain(q.side().other()) })
}

// tick lets time pass for the process's part.
func (q *process) tick() {
	if q.control != nil {
		q.control.tick()
		return
	}
	q.front.step()
}

// local is the time by the process's clock.
func (q *process) local() monotime.Micros { return q.offset + monotime.Micros(float64(q.s.now)*q.rate) }

// trueTime is when the process's clock shows a time, or a little later.
func (q *process) trueTime(local monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(local-q.offset)/q.rate) + 1
}

// runs says whether this process is still the one at its place.
func (q *process) runs() bool { return q.p.proc == q }

// does runs something in the process, at once or when it goes on; nothing where the process has ended.
func (q *process) does(do func()) {
	switch {
	case !q.runs():
	case q.paused:
		q.waiting = append(q.waiting, do)
	default:
		began := q.s.meter.begin()
		do()
		q.s.meter.end(began, q.p.role)
		q.watch()
	}
}

// watch compares the process's view with what it was.
func (q *process) watch() {
	if q.runs() {
		q.s.truth.watch(q)
	}
}

func (q *process) view() *membership.View {
	if q.control != nil {
		return q.control.server.View()
	}
	return q.front.client.View()
}

func (q *process) side() side {
	if q.control != nil {
		return controlSide
	}
	return frontSide
}

// eachLink calls for each link between this process and an attached front end or a control member, in a fixed order.
func (q *process) eachLink(call func(*link)) {
	var list []*link
	if q.control != nil {
		list = append(list, q.control.list...)
	} else {
		list = append(list, q.front.links...)
	}
	for _, l := range list {
		call(l)
	}
}
