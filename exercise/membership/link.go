package membership

import (
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Spans and bounds of a link, as package peering has them for links between front ends.
const (
	linkOpen    = 2000 * ms   // until a link has to be open, hello and all
	linkSilent  = 10_000 * ms // a link on which nothing comes for so long is closed
	linkStalled = 2000 * ms   // so is one that takes nothing for so long
	linkRetry   = 50 * ms     // doubled with each failure, up to
	linkRest    = 1000 * ms
	// linkQueue is how many bytes may wait for an attached front end, beyond what its system takes while it stands still.
	linkQueue  = 256 << 10
	linkKernel = 128 << 10
)

// side is one end of a link.
type side int

const (
	frontSide side = iota
	controlSide
)

func (s side) other() side { return 1 - s }

// link is a connection between an attached front end, which dials, and a control member. Messages go both ways.
type link struct {
	s       *Sim
	front   *process
	to      *place
	control *process        // nil until it has accepted
	greeted monotime.Micros // when it challenged, by its clock
	open    [2]bool
	failed  bool   // the dial has ended without a link
	ways    [2]way // by the side that sends
}

// attached is the link as package fleet/membership knows it.
func (l *link) attached() membership.Link {
	return membership.Link{From: l.front.p.name, Zone: l.front.p.zoneName(), Incarnation: l.front.incarnation, ChallengedAt: l.greeted}
}

func (l *link) process(at side) *process {
	if at == frontSide {
		return l.front
	}
	return l.control
}

func (l *link) place(at side) *place {
	if at == frontSide {
		return l.front.p
	}
	return l.to
}

// hop has a message of the hello go to the other side; next is done there.
func (l *link) hop(from side, size int, next func()) {
	to := l.place(from.other())
	l.s.transmit(&l.ways[from], l.place(from), to, kindHello, size, func() {
		to.flow.in(kindHello, size)
		next()
	})
}

// dial opens the link: challenge, hello, welcome.
func (l *link) dial() {
	l.s.after(linkOpen, func() { l.fail() })
	l.hop(frontSide, 0, func() { // the connection itself carries nothing that is counted
		switch {
		case l.to.off:
		case l.to.proc == nil:
			l.s.after(l.s.network.latency(l.to, l.front.p), l.fail)
		default:
			l.control = l.to.proc
			l.control.does(l.accept)
		}
	})
}

// accept is done by the control member.
func (l *link) accept() {
	if l.failed {
		return
	}
	l.greeted = l.control.local()
	l.to.bursts.accepts = append(l.to.bursts.accepts, l.s.now)
	l.hop(controlSide, hello.challenge, func() {
		l.front.does(func() {
			l.hop(frontSide, hello.hello, func() { l.control.does(l.proven) })
		})
	})
}

// proven is done by the control member once it has the hello.
func (l *link) proven() {
	if l.failed {
		return
	}
	l.open[controlSide] = true
	l.hop(controlSide, hello.welcome, func() { l.front.does(l.welcomed) })
	l.control.control.linked(l)
}

func (l *link) welcomed() {
	if l.failed || l.open[frontSide] || !l.control.runs() && !l.to.off {
		return
	}
	l.open[frontSide] = true
	l.front.front.linked(l)
}

// fail gives a dial up.
func (l *link) fail() {
	if l.failed || l.open[frontSide] {
		return
	}
	l.failed = true
	l.front.does(func() { l.front.front.lost(l) })
	if l.open[controlSide] {
		l.ended(frontSide)
	}
}

// send queues a message; false says that there was no room, and that what waited is gone.
func (l *link) send(from side, kind messageKind, size int, deliver func()) bool {
	to := l.process(from.other())
	w := &l.ways[from]
	if !to.runs() && !to.p.off && !l.s.network.severed(l.place(from), to.p) {
		l.place(from).flow.out(kind, size)
		l.s.after(2*l.s.network.latency(l.place(from), to.p), func() { l.close(from) }) // a reset
		return true
	}
	arrive := func() { l.arrive(from, kind, size, deliver) }
	if len(w.waiting) == 0 && !l.blocked(to) && to.p.slow == 0 {
		l.s.transmit(w, l.place(from), to.p, kind, size, arrive)
		return true
	}
	if len(w.waiting) > 0 && w.bytes+size > to.p.room {
		w.waiting, w.bytes = nil, 0
		return false
	}
	if len(w.waiting) == 0 {
		w.moved = l.s.now
		l.stalledSoon(from)
	}
	w.waiting, w.bytes = append(w.waiting, parcel{kind, size, arrive}), w.bytes+size
	l.drain(from)
	return true
}

// arrive is a message's end at the other side's system.
func (l *link) arrive(from side, kind messageKind, size int, deliver func()) {
	to := l.process(from.other())
	if !to.runs() {
		return
	}
	to.p.flow.in(kind, size)
	if to.paused {
		to.backlog += size
	}
	to.does(func() {
		if l.open[from.other()] {
			deliver()
		}
	})
}

// blocked says whether a process takes nothing: because it wants so, or as it stands still and has as much waiting for it as its
// system takes.
func (l *link) blocked(to *process) bool {
	return to.p.stalled || to.paused && to.backlog >= linkKernel
}

// drain sends what waits on one side as far as the other takes it.
func (l *link) drain(from side) {
	w := &l.ways[from]
	if w.pacing || l.control == nil {
		return
	}
	to := l.process(from.other())
	for len(w.waiting) > 0 && !l.blocked(to) {
		next := w.waiting[0]
		w.waiting, w.bytes, w.moved = w.waiting[1:], w.bytes-next.size, l.s.now
		l.s.transmit(w, l.place(from), to.p, next.kind, next.size, next.arrive)
		if to.p.slow > 0 {
			w.pacing = true
			l.s.after(monotime.Micros(next.size)*second/monotime.Micros(to.p.slow)+1, func() {
				w.pacing = false
				l.drain(from)
			})
			return
		}
	}
}

// stalledSoon closes the link where nothing is taken for too long.
func (l *link) stalledSoon(from side) {
	w := &l.ways[from]
	l.s.after(linkStalled, func() {
		if len(w.waiting) == 0 || !l.open[from] {
			return
		}
		if !w.pacing && l.s.now-w.moved >= linkStalled {
			l.close(from)
			return
		}
		l.stalledSoon(from)
	})
}

// close ends the link at one side, which tells the other.
func (l *link) close(at side) {
	if !l.open[at] {
		return
	}
	l.open[at] = false
	q := l.process(at)
	q.does(func() { q.lost(l) })
	l.ended(at)
}

// ended has the other side learn that this one has closed the link, or that its process has ended.
func (l *link) ended(at side) {
	other := at.other()
	if l.s.network.severed(l.place(at), l.place(other)) {
		l.silentSoon(other)
		return
	}
	l.s.after(l.s.network.latency(l.place(at), l.place(other)), func() { l.close(other) })
}

// silentSoon closes the link at one side, unless the other can be heard again by then.
func (l *link) silentSoon(at side) {
	l.s.after(linkSilent, func() {
		if !l.open[at] {
			return
		}
		other := l.process(at.other())
		if !l.open[at.other()] || !other.runs() || other.paused || l.s.network.severed(l.place(at), other.p) {
			l.close(at)
		}
	})
}

// lost tells the member's part that a link is closed.
func (q *process) lost(l *link) {
	if q.control != nil {
		q.control.lost(l)
		return
	}
	q.front.lost(l)
}
