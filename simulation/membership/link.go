package membership

import (
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Timeouts of a link, the same as those of package peering.
const (
	linkOpenTimeout    = 2 * monotime.Second       // for the whole handshake
	linkSilenceTimeout = 10 * monotime.Second      // without a received message
	linkStallTimeout   = 2 * monotime.Second       // without a message sent from a non-empty queue
	minRedialDelay     = 50 * monotime.Millisecond // doubled after each failure
	maxRedialDelay     = 1 * monotime.Second
)

// Limits on the messages that wait for a member, in bytes.
const (
	defaultQueueLimit = 256 << 10 // queued at the other end of a link
	kernelBufferSize  = 128 << 10 // received by its operating system while it is paused
)

// side is one end of a link.
type side int

const (
	frontEndSide side = iota
	controlSide
)

func (s side) other() side { return 1 - s }

// link is a connection between an attached front end, which dials it, and a control member. Both send on it.
type link struct {
	sim          *simulation
	frontEnd     *process
	target       *member         // the control member
	control      *process        // its process; nil until it has accepted the connection
	challengedAt monotime.Micros // by the control member's clock
	dialFailed   bool
	open         [2]bool   // by side: the ends observe its opening and closing at different times
	streams      [2]stream // by the sending side
}

// membershipLink returns the link as package fleet/membership represents it.
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

// send sends a message or queues it. If the queue is full, send drops the whole queue and the message, and returns
// false.
func (l *link) send(from side, kind messageKind, size int, deliver func()) bool {
	to := l.process(from.other())
	st := &l.streams[from]
	if !to.running() && !to.member.poweredOff && !l.sim.network.partitioned(l.member(from), to.member) {
		l.sendToEndedProcess(from, kind, size)
		return true
	}
	message := queuedMessage{kind, size, func() { l.arrive(from, kind, size, deliver) }}
	queueEmpty := len(st.queued) == 0
	if queueEmpty && !readBlocked(to) && to.member.readRate == 0 {
		l.sim.transmit(st, l.member(from), to.member, kind, size, message.arrive)
		return true
	}
	if !queueEmpty && st.queuedBytes+size > to.member.queueLimit {
		st.dropQueue()
		return false
	}
	if queueEmpty {
		st.lastProgress = l.sim.now
		l.scheduleStallTimeout(from)
	}
	st.enqueue(message)
	l.drain(from)
	return true
}

// sendToEndedProcess sends to a process that has ended, whose operating system resets the connection.
func (l *link) sendToEndedProcess(from side, kind messageKind, size int) {
	sender := l.member(from)
	sender.traffic.countSent(kind, size)
	roundTrip := 2 * l.sim.network.latency(sender, l.member(from.other()))
	l.sim.scheduleAfter(roundTrip, func() { l.close(from) })
}

// arrive handles the arrival of a message at the operating system of its receiver.
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

// readBlocked reports whether a process can't receive: its reads are stalled, or it is paused and the buffer of its
// operating system is full.
func readBlocked(to *process) bool {
	return to.member.readStalled || to.paused && to.backlogBytes >= kernelBufferSize
}

// drain sends the messages that are queued at one end, for as long as the other end reads.
func (l *link) drain(from side) {
	st := &l.streams[from]
	if st.awaitingReader || l.control == nil {
		return
	}
	to := l.process(from.other())
	for len(st.queued) > 0 && !readBlocked(to) {
		next := st.dequeue(l.sim.now)
		l.sim.transmit(st, l.member(from), to.member, next.kind, next.size, next.arrive)
		if to.member.readRate > 0 {
			l.awaitReader(from, to.member, next.size)
			return
		}
	}
}

// awaitReader blocks the queue for the time that a slow reader takes to read size bytes.
func (l *link) awaitReader(from side, reader *member, size int) {
	st := &l.streams[from]
	st.awaitingReader = true
	readTime := monotime.Micros(size)*monotime.Second/monotime.Micros(reader.readRate) + 1
	l.sim.scheduleAfter(readTime, func() {
		st.awaitingReader = false
		l.drain(from)
	})
}
