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
	// maxAttachedUrgentBytes bounds the urgent messages queued for one attached front end: those other than bulk updates
	// of the view, such as responses to its proposals and heartbeats.
	maxAttachedUrgentBytes = 2 << 20
	// maxAttachedQueuedBytes bounds the messages queued for all attached front ends together. A link whose next message
	// would exceed it drops its queue, except for the rest of a partly sent message.
	maxAttachedQueuedBytes = 32 << 20
	// linksPerSpareLink is the number of attached front ends per additional link that is allowed. Additional ones are
	// needed because a front end may reconnect before its old link is found to be dead.
	linksPerSpareLink = 4
	// attachedDescriptorShare is the divisor for the share of the program's file descriptors that these links may use.
	attachedDescriptorShare = 4
	// attachedSendBufferBytes is the size of the kernel's send buffer of a link. By default the kernel grows it to
	// megabytes, which would bypass the bounds above.
	attachedSendBufferBytes = 64 << 10
	// pauseThreshold is the interval between two ticks above which this process is considered to have been paused.
	pauseThreshold = 600 * monotime.Millisecond
)

// attachedLinks holds a control member's established links with attached front ends.
type attachedLinks struct {
	byIncarnation map[uint64][]*inboundLink // in the order of establishment; nil if no front ends may attach
	count         int                       // number of links
	queuedBytes   int                       // total size of their queues
}

func (a *attachedLinks) add(l *inboundLink) {
	incarnation := l.link.Incarnation
	a.byIncarnation[incarnation] = append(a.byIncarnation[incarnation], l)
	a.count++
}

// remove removes a link and its share of queuedBytes.
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

// newest returns the newest link of an incarnation; nil if it has none.
func (a *attachedLinks) newest(incarnation uint64) *inboundLink {
	links := a.byIncarnation[incarnation]
	if len(links) == 0 {
		return nil
	}
	return links[len(links)-1]
}

// maxAttachedLinks returns the maximum number of links of attached front ends. It follows from the maximum number of
// such front ends and from the share of the file descriptors that their links may use.
func (p *Peering) maxAttachedLinks() int {
	maxLinks := p.cfg.Attached.Config.MaxEntries
	maxLinks += maxLinks / linksPerSpareLink
	if p.MaxDescriptors > 0 {
		maxLinks = min(maxLinks, p.MaxDescriptors/attachedDescriptorShare)
	}
	return maxLinks
}

// registerAttached registers an established link, so that messages can be sent to its attached front end.
func (l *inboundLink) registerAttached() {
	p := l.peering
	l.attached = true
	p.Host.Counters.AttachedLinks++
	// If this fails, the kernel only buffers more.
	_ = unix.SetsockoptInt(l.FD, unix.SOL_SOCKET, unix.SO_SNDBUF, attachedSendBufferBytes)
	l.queue = transport.Queue{MaxUrgentBytes: maxAttachedUrgentBytes, MaxBulkBytes: p.cfg.Attached.MaxViewBytes}
	p.attachedLinks.add(l)
	logEstablished(l.link.From, l.link.Incarnation, membership.Attached)
	p.controlNode.LinkOpened(p.Host.TurnTime, l.link)
}

// releaseAttached undoes registerAttached for a closed link. It does nothing if the link is not registered.
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

// sendToAttached queues a message on the newest link of an attached front end's incarnation. Without a link the message
// is dropped, as messages may be lost anyway. If a receiver reads too slowly, its whole queue is dropped, and it
// receives the missed changes after its next heartbeat.
func (p *Peering) sendToAttached(message fleet.Send) {
	l := p.attachedLinks.newest(message.Incarnation)
	if l == nil {
		p.Host.Counters.PeerMessagesDropped++
		return
	}
	queuedBefore := l.queue.QueuedBytes()
	exceedsTotal := p.attachedLinks.queuedBytes+len(message.Body) > maxAttachedQueuedBytes
	full := exceedsTotal || !l.queue.Push(message.Kind, message.Bulk, message.Body)
	if full {
		l.queue.DropUnstarted()
		p.Host.Counters.PeerMessagesDropped++
	}
	p.attachedLinks.queuedBytes += l.queue.QueuedBytes() - queuedBefore
	if full {
		p.controlNode.QueueFull(p.Host.TurnTime, l.link.From, message.Incarnation)
		return
	}
	l.flushQueue()
}

// flushQueue writes queued messages as far as the output buffer and the socket accept them.
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

// extendTimeoutsAfterPause extends the timeouts of inbound links by the time for which this process itself was paused,
// as data that arrived during the pause may not have been read yet.
func (p *Peering) extendTimeoutsAfterPause() {
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

// closeAttachedLink closes a link at the node's request, for example because its incarnation was superseded.
func (p *Peering) closeAttachedLink(link fleet.Link) {
	for _, l := range slices.Clone(p.attachedLinks.byIncarnation[link.Incarnation]) {
		if l.link.ChallengedAt == link.ChallengedAt {
			l.terminate()
		}
	}
}
