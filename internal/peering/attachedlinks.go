package peering

import (
	"slices"

	"golang.org/x/sys/unix"

	"chutechute/fleet"
	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

const (
	// maxAttachedUrgentBytes bounds what is queued for one attached front end beside the view: responses about
	// replicated records and to heartbeats.
	maxAttachedUrgentBytes = 2 << 20
	// maxAttachedQueuedBytes bounds what is queued for all attached front ends together. A link whose next message
	// would exceed it drops its queue, but for a message of which a part was sent.
	maxAttachedQueuedBytes = 32 << 20
	// linksPerSpareLink is how many links there may be for each one more that is allowed, as old ones are noticed late.
	linksPerSpareLink = 4
	// attachedDescriptorShare is the divisor for the part of the program's descriptors that these links may take.
	attachedDescriptorShare = 4
	// attachedSendBufferBytes is the size of the system's send buffer of a link. By itself it grows to megabytes, which
	// count towards no bound here.
	attachedSendBufferBytes = 64 << 10
	// pauseThreshold is the interval between two ticks above which this process itself was paused.
	pauseThreshold = 600 * monotime.Millisecond
)

// attachedLinks has a control member's established links with attached front ends.
type attachedLinks struct {
	byIncarnation map[uint64][]*inboundLink // the newest link of each process last; nil where none may attach
	count         int                       // of the links
	queuedBytes   int                       // in the queues of all of them together
}

func (a *attachedLinks) add(l *inboundLink) {
	incarnation := l.link.Incarnation
	a.byIncarnation[incarnation] = append(a.byIncarnation[incarnation], l)
	a.count++
}

// remove removes a link with what is queued on it.
func (a *attachedLinks) remove(l *inboundLink) {
	a.count--
	a.queuedBytes -= l.queue.QueuedBytes()
	incarnation := l.link.Incarnation
	isRemoved := func(other *inboundLink) bool { return other == l }
	a.byIncarnation[incarnation] = slices.DeleteFunc(a.byIncarnation[incarnation], isRemoved)
	if len(a.byIncarnation[incarnation]) == 0 {
		delete(a.byIncarnation, incarnation)
	}
}

// newest returns the newest link of a process; nil where it has none.
func (a *attachedLinks) newest(incarnation uint64) *inboundLink {
	links := a.byIncarnation[incarnation]
	if len(links) == 0 {
		return nil
	}
	return links[len(links)-1]
}

// maxAttachedLinks bounds the links of attached front ends: by how many of these there may be, and by a share of the
// descriptors.
func (p *Peering) maxAttachedLinks() int {
	maxLinks := p.cfg.Attached.Config.MaxEntries
	maxLinks += maxLinks / linksPerSpareLink
	if p.MaxDescriptors > 0 {
		maxLinks = min(maxLinks, p.MaxDescriptors/attachedDescriptorShare)
	}
	return maxLinks
}

// registerAttached makes an established link usable for messages to its attached front end.
func (l *inboundLink) registerAttached() {
	p := l.peering
	l.attached = true
	p.Host.Counters.Attached++
	// Without it only more is buffered in the system.
	_ = unix.SetsockoptInt(l.FD, unix.SOL_SOCKET, unix.SO_SNDBUF, attachedSendBufferBytes)
	l.queue = transport.Queue{MaxUrgentBytes: maxAttachedUrgentBytes, MaxBulkBytes: p.cfg.Attached.MaxViewBytes}
	p.attachedLinks.add(l)
	logEstablished(l.link.From, l.link.Incarnation, membership.Attached)
	p.controlNode.LinkOpened(p.Host.TurnTime, l.link)
}

// releaseAttached undoes registerAttached for a closed link; other links it leaves as they are.
func (l *inboundLink) releaseAttached() {
	if !l.attached {
		return
	}
	p := l.peering
	l.attached = false
	p.attachedLinks.remove(l)
	l.queue.Clear()
	p.controlNode.LinkClosed(p.Host.TurnTime, l.link)
}

// sendToAttached sends a message over the newest link with a process of an attached front end. Without a link the
// message is dropped, as it might be lost on the way. A receiver that reads too slowly loses its whole queue, and
// gets what it missed after its next heartbeat.
func (p *Peering) sendToAttached(message fleet.Send) {
	l := p.attachedLinks.newest(message.Incarnation)
	if l == nil {
		p.Host.Counters.PeerDropped++
		return
	}
	queuedBefore := l.queue.QueuedBytes()
	exceedsTotal := p.attachedLinks.queuedBytes+len(message.Body) > maxAttachedQueuedBytes
	full := exceedsTotal || !l.queue.Push(message.Kind, message.Bulk, message.Body)
	if full {
		l.queue.DropUnstarted()
		p.Host.Counters.PeerDropped++
	}
	p.attachedLinks.queuedBytes += l.queue.QueuedBytes() - queuedBefore
	if full {
		p.controlNode.QueueFull(p.Host.TurnTime, l.link.From, message.Incarnation)
		return
	}
	l.flushQueue()
}

// flushQueue writes queued messages, as far as the link accepts them.
func (l *inboundLink) flushQueue() {
	if l.Closed {
		return
	}
	dequeued, err := l.writeQueued()
	l.peering.attachedLinks.queuedBytes -= dequeued
	if err != nil {
		l.terminate()
	}
}

// excusePause extends the timeouts of all links by a time in which this process itself was paused: what the others sent
// in the meantime may not have been read yet.
func (p *Peering) excusePause() {
	now := p.Host.TurnTime
	gap := now - p.lastTick
	if p.acceptsAttached() && p.lastTick != 0 && gap > pauseThreshold {
		for l := range p.inbound {
			l.lastReceived += gap
			l.lastProgress += gap
		}
	}
	p.lastTick = now
}

// closeAttachedLink closes a link at the node's request: its process was replaced, or sent what it may not send.
func (p *Peering) closeAttachedLink(link fleet.Link) {
	for _, l := range slices.Clone(p.attachedLinks.byIncarnation[link.Incarnation]) {
		if l.link.ChallengedAt == link.ChallengedAt {
			l.terminate()
		}
	}
}
