package membership

import (
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Timeouts of a link, as package peering has them for links between front ends.
const (
	linkOpenTimeout    = 2 * monotime.Second       // for the whole handshake
	linkSilenceTimeout = 10 * monotime.Second      // without anything received
	linkStallTimeout   = 2 * monotime.Second       // without progress of a queue
	minRedialDelay     = 50 * monotime.Millisecond // doubled with each failure
	maxRedialDelay     = 1 * monotime.Second
)

// Limits of what waits for an attached front end, in bytes.
const (
	defaultQueueLimit = 256 << 10 // at the other end of a link
	kernelBufferSize  = 128 << 10 // in its own system while it is paused
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
	target       *member         // the control member
	control      *process        // its process; nil until that has accepted
	challengedAt monotime.Micros // by the control member's clock
	dialFailed   bool
	open         [2]bool   // by side: the ends learn of its opening and closing at different times
	streams      [2]stream // by the side that sends
}

// membershipLink is the link as package fleet/membership knows it.
func (l *link) membershipLink() membership.Link {
	return membership.Link{
		From:         l.frontEnd.member.name,
		Zone:         l.frontEnd.member.zoneName(),
		Incarnation:  l.frontEnd.incarnation,
		ChallengedAt: l.challengedAt,
	}
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

// send sends a message or queues it. It returns false if there was no room in the queue, whose content is dropped then.
func (l *link) send(from side, kind messageKind, size int, deliver func()) bool {
	to := l.process(from.other())
	w := &l.streams[from]
	if !to.running() && !to.member.poweredOff && !l.sim.network.partitioned(l.member(from), to.member) {
		l.sendAndGetReset(from, kind, size)
		return true
	}
	message := queuedMessage{kind, size, func() { l.arrive(from, kind, size, deliver) }}
	queueEmpty := len(w.queued) == 0
	if queueEmpty && !readBlocked(to) && to.member.readRate == 0 {
		l.sim.transmit(w, l.member(from), to.member, kind, size, message.arrive)
		return true
	}
	if !queueEmpty && w.queuedBytes+size > to.member.queueLimit {
		w.dropQueue()
		return false
	}
	if queueEmpty {
		w.lastProgress = l.sim.now
		l.scheduleStallTimeout(from)
	}
	w.enqueue(message)
	l.drain(from)
	return true
}

// sendAndGetReset sends to a process that has ended, whose system resets the connection.
func (l *link) sendAndGetReset(from side, kind messageKind, size int) {
	sender := l.member(from)
	sender.traffic.countSent(kind, size)
	roundTrip := 2 * l.sim.network.latency(sender, l.member(from.other()))
	l.sim.scheduleAfter(roundTrip, func() { l.close(from) })
}

// arrive runs when a message arrives at the system of its receiver.
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

// readBlocked reports whether a process receives nothing: its reading is stalled, or it is paused and its system's
// buffer is full.
func readBlocked(to *process) bool {
	return to.member.readStalled || to.paused && to.backlogBytes >= kernelBufferSize
}

// drain sends what is queued at one end, as far as the other end reads.
func (l *link) drain(from side) {
	w := &l.streams[from]
	if w.awaitingReader || l.control == nil {
		return
	}
	to := l.process(from.other())
	for len(w.queued) > 0 && !readBlocked(to) {
		next := w.dequeue(l.sim.now)
		l.sim.transmit(w, l.member(from), to.member, next.kind, next.size, next.arrive)
		if to.member.readRate > 0 {
			l.awaitReader(from, to.member, next.size)
			return
		}
	}
}

// awaitReader has the queue wait until a slow reader has read so many bytes.
func (l *link) awaitReader(from side, reader *member, size int) {
	w := &l.streams[from]
	w.awaitingReader = true
	readTime := monotime.Micros(size)*monotime.Second/monotime.Micros(reader.readRate) + 1
	l.sim.scheduleAfter(readTime, func() {
		w.awaitingReader = false
		l.drain(from)
	})
}
