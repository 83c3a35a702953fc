package membership

import (
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Spans and bounds of a link, as package epoll has them for links between front ends.
const (
	linkOpenTimeout    = 2000 * monotime.Millisecond   // until a link has to be open, hello and all
	linkSilenceTimeout = 10_000 * monotime.Millisecond // a link on which nothing comes for so long is closed
	linkStallTimeout   = 2000 * monotime.Millisecond   // so is one that takes nothing for so long
	minRedialDelay     = 50 * monotime.Millisecond     // doubled with each failure, up to
	maxRedialDelay     = 1000 * monotime.Millisecond
	// defaultQueueLimit is how many bytes may wait for an attached front end, beyond what its system takes while it stands still.
	defaultQueueLimit = 256 << 10
	kernelBufferSize  = 128 << 10
)

// side is one end of a link.
type side int

const (
	frontEndSide side = iota
	controlSide
)

func (s side) other() side { return 1 - s }

// link is a connection between an attached front end, which dials, and a control member. Messages go both ways.
type link struct {
	sim          *simulation
	frontEnd     *process
	target       *member
	control      *process        // nil until it has accepted
	challengedAt monotime.Micros // when it challenged, by its clock
	open         [2]bool
	dialFailed   bool      // the dial has ended without a link
	streams      [2]stream // by the side that sends
}

// membershipLink is the link as package fleet/membership knows it.
func (l *link) membershipLink() membership.Link {
	return membership.Link{From: l.frontEnd.member.name, Zone: l.frontEnd.member.zoneName(), Incarnation: l.frontEnd.incarnation, ChallengedAt: l.challengedAt}
}

func (l *link) process(at side) *process {
	if at == frontEndSide {
		return l.frontEnd
	}
	return l.control
}

func (l *link) member(at side) *member {
	if at == frontEndSide {
		return l.frontEnd.member
	}
	return l.target
}

// sendHandshake has a message of the hello go to the other side; next is done there.
func (l *link) sendHandshake(from side, size int, next func()) {
	to := l.member(from.other())
	l.sim.transmit(&l.streams[from], l.member(from), to, kindHello, size, func() {
		to.traffic.countReceived(kindHello, size)
		next()
	})
}

// dial opens the link: challenge, hello, welcome.
func (l *link) dial() {
	l.sim.scheduleAfter(linkOpenTimeout, func() { l.abandonDial() })
	l.sendHandshake(frontEndSide, 0, func() { // the connection itself carries nothing that is counted
		switch {
		case l.target.poweredOff:
		case l.target.process == nil:
			l.sim.scheduleAfter(l.sim.network.latency(l.target, l.frontEnd.member), l.abandonDial)
		default:
			l.control = l.target.process
			l.control.execute(l.accept)
		}
	})
}

// accept is done by the control member.
func (l *link) accept() {
	if l.dialFailed {
		return
	}
	l.challengedAt = l.control.localTime()
	l.target.burstTimes.accepts = append(l.target.burstTimes.accepts, l.sim.now)
	l.sendHandshake(controlSide, handshakeSizes.challenge, func() {
		l.frontEnd.execute(func() {
			l.sendHandshake(frontEndSide, handshakeSizes.hello, func() { l.control.execute(l.receiveHello) })
		})
	})
}

// receiveHello is done by the control member once it has the hello.
func (l *link) receiveHello() {
	if l.dialFailed {
		return
	}
	l.open[controlSide] = true
	l.sendHandshake(controlSide, handshakeSizes.welcome, func() { l.frontEnd.execute(l.receiveWelcome) })
	l.control.control.linkOpened(l)
}

func (l *link) receiveWelcome() {
	if l.dialFailed || l.open[frontEndSide] || !l.control.running() && !l.target.poweredOff {
		return
	}
	l.open[frontEndSide] = true
	l.frontEnd.frontEnd.linkOpened(l)
}

// abandonDial gives a dial up.
func (l *link) abandonDial() {
	if l.dialFailed || l.open[frontEndSide] {
		return
	}
	l.dialFailed = true
	l.frontEnd.execute(func() { l.frontEnd.frontEnd.linkClosed(l) })
	if l.open[controlSide] {
		l.notifyClosed(frontEndSide)
	}
}

// send queues a message; false says that there was no room, and that what waited is gone.
func (l *link) send(from side, kind messageKind, size int, deliver func()) bool {
	to := l.process(from.other())
	w := &l.streams[from]
	if !to.running() && !to.member.poweredOff && !l.sim.network.partitioned(l.member(from), to.member) {
		l.member(from).traffic.countSent(kind, size)
		l.sim.scheduleAfter(2*l.sim.network.latency(l.member(from), to.member), func() { l.close(from) }) // a reset
		return true
	}
	arrive := func() { l.arrive(from, kind, size, deliver) }
	if len(w.queued) == 0 && !l.readBlocked(to) && to.member.readRate == 0 {
		l.sim.transmit(w, l.member(from), to.member, kind, size, arrive)
		return true
	}
	if len(w.queued) > 0 && w.queuedBytes+size > to.member.queueLimit {
		w.queued, w.queuedBytes = nil, 0
		return false
	}
	if len(w.queued) == 0 {
		w.lastProgress = l.sim.now
		l.scheduleStallTimeout(from)
	}
	w.queued, w.queuedBytes = append(w.queued, queuedMessage{kind, size, arrive}), w.queuedBytes+size
	l.drain(from)
	return true
}

// arrive is a message's end at the other side's system.
func (l *link) arrive(from side, kind messageKind, size int, deliver func()) {
	to := l.process(from.other())
	if !to.running() {
		return
	}
	to.member.traffic.countReceived(kind, size)
	if to.paused {
		to.backlogBytes += size
	}
	to.execute(func() {
		if l.open[from.other()] {
			deliver()
		}
	})
}

// readBlocked says whether a process takes nothing: because it wants so, or as it stands still and has as much waiting for it as its
// system takes.
func (l *link) readBlocked(to *process) bool {
	return to.member.readStalled || to.paused && to.backlogBytes >= kernelBufferSize
}

// drain sends what waits on one side as far as the other takes it.
func (l *link) drain(from side) {
	w := &l.streams[from]
	if w.awaitingReader || l.control == nil {
		return
	}
	to := l.process(from.other())
	for len(w.queued) > 0 && !l.readBlocked(to) {
		next := w.queued[0]
		w.queued, w.queuedBytes, w.lastProgress = w.queued[1:], w.queuedBytes-next.size, l.sim.now
		l.sim.transmit(w, l.member(from), to.member, next.kind, next.size, next.arrive)
		if to.member.readRate > 0 {
			w.awaitingReader = true
			l.sim.scheduleAfter(monotime.Micros(next.size)*monotime.Second/monotime.Micros(to.member.readRate)+1, func() {
				w.awaitingReader = false
				l.drain(from)
			})
			return
		}
	}
}

// scheduleStallTimeout closes the link where nothing is taken for too long.
func (l *link) scheduleStallTimeout(from side) {
	w := &l.streams[from]
	l.sim.scheduleAfter(linkStallTimeout, func() {
		if len(w.queued) == 0 || !l.open[from] {
			return
		}
		if !w.awaitingReader && l.sim.now-w.lastProgress >= linkStallTimeout {
			l.close(from)
			return
		}
		l.scheduleStallTimeout(from)
	})
}

// close ends the link at one side, which tells the other.
func (l *link) close(at side) {
	if !l.open[at] {
		return
	}
	l.open[at] = false
	q := l.process(at)
	q.execute(func() { q.linkClosed(l) })
	l.notifyClosed(at)
}

// notifyClosed has the other side learn that this one has closed the link, or that its process has ended.
func (l *link) notifyClosed(at side) {
	other := at.other()
	if l.sim.network.partitioned(l.member(at), l.member(other)) {
		l.scheduleSilenceTimeout(other)
		return
	}
	l.sim.scheduleAfter(l.sim.network.latency(l.member(at), l.member(other)), func() { l.close(other) })
}

// scheduleSilenceTimeout closes the link at one side, unless the other can be heard again by then.
func (l *link) scheduleSilenceTimeout(at side) {
	l.sim.scheduleAfter(linkSilenceTimeout, func() {
		if !l.open[at] {
			return
		}
		other := l.process(at.other())
		if !l.open[at.other()] || !other.running() || other.paused || l.sim.network.partitioned(l.member(at), other.member) {
			l.close(at)
		}
	})
}

// linkClosed tells the member's part that a link is closed.
func (q *process) linkClosed(l *link) {
	if q.control != nil {
		q.control.linkClosed(l)
		return
	}
	q.frontEnd.linkClosed(l)
}
