package membership

import (
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// process is one run of a member's program.
type process struct {
	sim            *simulation
	member         *member
	incarnation    uint64
	generation     int // of the processes at its place, from 1
	born           monotime.Micros
	clockOffset    monotime.Micros // of its clock
	clockRate      float64
	paused         bool
	deferred       []func()         // what comes while it stands still
	backlogBytes   int              // bytes that came while it stands still
	comparedDigest uint64           // of the view when it was last compared
	control        *controlProcess  // nil at an attached front end
	frontEnd       *frontEndProcess // nil at a control member
}

// start begins a process at a place that has none.
func (p *member) start() {
	if p.process != nil {
		return
	}
	s := p.sim
	p.poweredOff = false
	p.generation++
	p.startsAndEnds = append(p.startsAndEnds, s.now)
	q := &process{sim: s, member: p, generation: p.generation, born: s.now, incarnation: s.rng.Uint64()>>2 | 1,
		clockOffset: s.randomBetween(0, maxClockOffset), clockRate: 1 + maxClockDrift*(2*s.rng.Float64()-1)}
	p.process = q
	s.groundTruth.recordStart(q)
	if p.role == membership.Control {
		q.control = newControlProcess(q)
		q.control.startTicking()
	} else {
		q.frontEnd = newFrontEndProcess(q)
		q.execute(q.frontEnd.step)
	}
}

// crash ends the process at once and without a word. Where the machine goes with it, nobody is told that its connections ended.
func (p *member) crash(machine bool) {
	q := p.process
	if machine {
		p.poweredOff = true
	}
	if q == nil {
		return
	}
	p.process = nil
	p.startsAndEnds = append(p.startsAndEnds, p.sim.now)
	q.deferred = nil
	p.sim.groundTruth.recordEnd(q)
	if q.control != nil {
		q.control.processEnded(machine)
	} else {
		q.frontEnd.processEnded(machine)
	}
}

// pause has the process stand still.
func (p *member) pause() {
	if !p.responsive() {
		return
	}
	p.process.paused = true
	p.sim.groundTruth.stopWaitingFor(p.index)
	p.process.eachLink(func(l *link) { l.scheduleSilenceTimeout(p.process.side().other()) })
}

// resume lets a process go on that stands still, with all that came meanwhile.
func (p *member) resume() {
	q := p.process
	if q == nil || !q.paused {
		return
	}
	q.paused = false
	p.resumedAt = p.sim.now
	waiting := q.deferred
	q.deferred, q.backlogBytes = nil, 0
	if p.sim.rng.IntN(2) == 0 { // its clock may be read before what has come is
		q.execute(q.tick)
	}
	for _, do := range waiting {
		q.execute(do)
	}
	q.eachLink(func(l *link) { l.drain(q.side().other()) })
}

// tick lets time pass for the process's part.
func (q *process) tick() {
	if q.control != nil {
		q.control.tick()
		return
	}
	q.frontEnd.step()
}

// localTime is the time by the process's clock.
func (q *process) localTime() monotime.Micros {
	return q.clockOffset + monotime.Micros(float64(q.sim.now)*q.clockRate)
}

// simulationTime is when the process's clock shows a time, or a little later.
func (q *process) simulationTime(local monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(local-q.clockOffset)/q.clockRate) + 1
}

// running says whether this process is still the one at its place.
func (q *process) running() bool { return q.member.process == q }

// execute runs something in the process, at once or when it goes on; nothing where the process has ended.
func (q *process) execute(do func()) {
	switch {
	case !q.running():
	case q.paused:
		q.deferred = append(q.deferred, do)
	default:
		began := q.sim.cpuMeter.begin()
		do()
		q.sim.cpuMeter.end(began, q.member.role)
		q.compareView()
	}
}

// compareView compares the process's view with what it was.
func (q *process) compareView() {
	if q.running() {
		q.sim.groundTruth.compareOnDigestChange(q)
	}
}

func (q *process) view() *membership.View {
	if q.control != nil {
		return q.control.server.View()
	}
	return q.frontEnd.client.View()
}

func (q *process) side() side {
	if q.control != nil {
		return controlSide
	}
	return frontEndSide
}

// eachLink calls for each link between this process and an attached front end or a control member, in a fixed order.
func (q *process) eachLink(call func(*link)) {
	var list []*link
	if q.control != nil {
		list = append(list, q.control.openLinks...)
	} else {
		list = append(list, q.frontEnd.links...)
	}
	for _, l := range list {
		call(l)
	}
}
