package peering

import (
	"errors"
	"log/slog"

	"golang.org/x/sys/unix"

	"chutechute/fleet"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

const (
	// attachedUrgent bounds what waits for one attached front end beside the view: answers from the record and heartbeats' answers.
	attachedUrgent = 2 << 20
	// attachedTotal bounds what waits for all of them: past it the links that have most to take are dropped from first.
	attachedTotal = 32 << 20
	// attachedShaking bounds the links whose hello has not come, beside those of the members.
	attachedShaking = 512
	// attachedSpare is how many links, for each four that may be, are allowed for old ones that are noticed late.
	attachedSpare = 4
	// attachedSend is the size of the system's send buffer of a link to an attached front end, which grows to megabytes by itself:
	// what waits there counts in no bound here.
	attachedSend = 64 << 10
	// attachedPause is a gap between two ticks above which this process stood still.
	attachedPause = 600 * monotime.Millisecond
)

// attachedMost bounds the links of attached front ends here: as many as there may be front ends, and a quarter of the descriptors.
func (p *Peering) attachedMost() int {
	most := p.cfg.Attached.Config.MaxEntries
	most += most / attachedSpare
	if p.MaxDescriptors > 0 {
		most = min(most, p.MaxDescriptors/4)
	}
	return most
}

// room says whether another link may be accepted: of members mostLinks each, and of those that attach as many as begin at once.
func (p *Peering) room() bool {
	most := mostLinks * (len(p.out) + 1)
	if p.attaches() {
		most += min(attachedShaking, p.attachedMost())
	}
	return len(p.in)-p.attachedIn < most
}

// proven takes in who has proven itself over a link.
func (l *inLink) proven() {
	other := &l.shake.Remote
	l.link.From, l.link.Incarnation, l.link.Zone, l.link.Attached = other.Name, other.Incarnation, other.Zone, other.Attached
	if !other.Attached {
		return
	}
	l.p.attachedIn++
	l.p.Host.Counters.Attached++
	l.attached = true
	_ = unix.SetsockoptInt(l.FD, unix.SOL_SOCKET, unix.SO_SNDBUF, attachedSend) // without it more waits in the system
	l.queue = transport.Queue{MaxUrgentBytes: attachedUrgent, MaxBulkBytes: l.p.cfg.Attached.MostView}
	l.p.byProcess[other.Incarnation] = append(l.p.byProcess[other.Incarnation], l)
	slog.Debug("attached", "from", other.Name, "incarnation", hex(other.Incarnation))
	l.p.node.LinkOpened(l.p.Host.TurnTime, l.link)
}

// rejected notes why a link is closed for what came over it.
func (l *inLink) rejected(err error) {
	if errors.Is(err, transport.ErrAtCapacity) { // there may be many of these
		l.p.Host.Counters.AttachRefused++
		return
	}
	l.p.Host.Counters.PeerRejected++
	slog.Warn("link closed for what came", "from", l.shake.Remote.Name, "error", err)
}

// parted takes out a link of an attached front end that is closed.
func (l *inLink) parted() {
	if !l.attached {
		return
	}
	l.attached = false
	l.p.attachedIn--
	l.p.queued -= l.queue.Len()
	l.queue.Clear()
	list := l.p.byProcess[l.link.Incarnation]
	for i, other := range list {
		if other == l {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(l.p.byProcess, l.link.Incarnation)
	} else {
		l.p.byProcess[l.link.Incarnation] = list
	}
	l.p.node.LinkClosed(l.p.Host.TurnTime, l.link)
}

// pushAttached sends a message over the newest link to a process of an attached front end. Without one it is lost, as it might be on
// the way. A reader that is too slow for it loses all that waits, and resumes by its next heartbeat.
func (p *Peering) pushAttached(t fleet.Send) {
	list := p.byProcess[t.Incarnation]
	if len(list) == 0 {
		p.Host.Counters.PeerDropped++
		return
	}
	l := list[len(list)-1]
	before := l.queue.Len()
	full := p.queued+len(t.Body) > attachedTotal || !l.queue.Push(t.Kind, t.Bulk, t.Body)
	if full {
		l.queue.DropUnstarted()
		p.Host.Counters.PeerDropped++
	}
	p.queued += l.queue.Len() - before
	if full {
		p.node.QueueFull(p.Host.TurnTime, l.link.From, t.Incarnation)
		return
	}
	l.pour()
}

// pour hands to the socket what waits, as far as there is room.
func (l *inLink) pour() {
	if l.Closed {
		return
	}
	before := l.Out.Len()
	for l.Out.Len() < linkOut/2 {
		frame := l.queue.Pop()
		if frame == nil {
			break
		}
		l.p.queued -= len(frame)
		if _, err := l.Out.Write(frame); err != nil {
			l.end()
			return
		}
		l.p.traffic.sent(frame)
	}
	if before == 0 {
		l.taken = l.p.Host.TurnTime
	}
	l.send()
}

// send writes what the socket takes.
func (l *inLink) send() {
	before := l.Out.Len()
	if err := l.Flush(); err != nil {
		l.end()
		return
	}
	if l.Out.Len() < before || l.Out.Len() == 0 {
		l.taken = l.p.Host.TurnTime
	}
	l.UpdateInterest(true)
}

// stalled says whether an attached front end has taken nothing for so long that its link is to be made anew.
func (l *inLink) stalled() bool {
	return l.attached && l.Out.Len() > 0 && l.p.Host.TurnTime-l.taken >= linkStalled
}

// mostSilent is after what silence a link is closed: the other side has made a new one, or is gone.
func (l *inLink) mostSilent() monotime.Micros {
	if !l.attached {
		return linkSilent
	}
	return max(linkSilent, 2*l.p.cfg.Attached.Config.DeadAfter)
}

// resumed forgives attached front ends the silence of a time in which this process itself stood still: what they have sent
// meanwhile may not have been read yet.
func (p *Peering) resumed() {
	gap := p.Host.TurnTime - p.ticked
	if p.attaches() && p.ticked != 0 && gap > attachedPause {
		for l := range p.in {
			l.since, l.taken = l.since+gap, l.taken+gap
		}
	}
	p.ticked = p.Host.TurnTime
}

// closeAttached closes a link on the part's wish: of a process that has been replaced, or for what came.
func (p *Peering) closeAttached(link fleet.Link) {
	for _, l := range append([]*inLink(nil), p.byProcess[link.Incarnation]...) {
		if l.link.ChallengedAt == link.ChallengedAt {
			l.end()
		}
	}
}
