package peering

import (
	"errors"

	"golang.org/x/sys/unix"

	"chutechute/fleet"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

const (
	// minIdleTimeout is the minimum time without input after which a link is closed. As not even heartbeats have
	// arrived by then, the remote side has opened a new link or its process has ended.
	minIdleTimeout = 10000 * monotime.Millisecond
	// maxReadsPerTurn bounds how often a link's input buffer is filled in one turn. The rest is read in the next turn.
	maxReadsPerTurn = 16
)

// inboundLink is a link that another front end has dialed and sends messages over.
type inboundLink struct {
	linkSender
	handshake    *transport.Listener
	lastReceived monotime.Micros // when bytes last arrived, or the link was accepted
	link         fleet.Link      // the remote side's identity; only ChallengedAt is set before the end of the handshake
	attached     bool            // established by an attached front end, to which messages are sent over the link
}

// writeHandshake sends a handshake message, unless it is empty.
func (l *inboundLink) writeHandshake(message []byte) {
	if len(message) == 0 || l.Closed {
		return
	}
	_, err := l.Out.Write(message)
	if err == nil {
		err = l.Flush()
	}
	if err != nil {
		l.terminate()
		return
	}
	l.UpdateInterest(true)
}

// terminate closes and removes the link. Further calls have no effect.
func (l *inboundLink) terminate() {
	l.Close()
	delete(l.peering.inbound, l)
	l.releaseAttached()
}

// tick closes the link if one of its timeouts has passed.
func (l *inboundLink) tick() {
	idle := l.peering.Host.TurnTime - l.lastReceived
	handshakeTimedOut := !l.handshake.Established() && idle >= handshakeTimeout
	if handshakeTimedOut || idle >= l.idleTimeout() || l.attached && l.stalled() {
		l.terminate()
	}
}

// idleTimeout returns the time without input after which the link is closed. It is longer than the time after which an
// attached front end is presumed dead, so that one that is still seen as alive keeps its link.
func (l *inboundLink) idleTimeout() monotime.Micros {
	if !l.attached {
		return minIdleTimeout
	}
	return max(minIdleTimeout, 2*l.peering.cfg.Attached.Config.DeadAfter)
}

// Ready handles readiness events of the link's socket.
func (l *inboundLink) Ready(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := l.Flush(); err != nil {
			l.terminate()
			return
		}
		if l.attached {
			l.flushQueue()
		}
	}
	more := true
	for reads := 0; reads < maxReadsPerTurn && more && !l.Closed; reads++ {
		more = l.Fill()
		if l.In.Len() == 0 {
			break
		}
		if err := l.processInput(); err != nil {
			l.reportRejection(err)
			l.terminate()
			return
		}
	}
	if l.Closed {
		return
	}
	if !more {
		l.terminate()
		return
	}
	l.UpdateInterest(true)
}

// processInput decodes the input buffer. It continues the handshake, and passes messages after it on to the fleet node.
func (l *inboundLink) processInput() error {
	p := l.peering
	l.lastReceived = p.Host.TurnTime
	l.handshake.Feed(l.In.Bytes())
	l.In.Discard(l.In.Len())
	wasEstablished := l.handshake.Established()
	l.handshake.AtCapacity = l.handshake.AcceptsAttached && p.attachedLinks.count >= p.maxAttachedLinks()
	reply, messages, err := l.handshake.Process()
	l.writeHandshake(reply)
	if !wasEstablished && l.handshake.Established() && !l.Closed {
		l.handleAuthenticated()
	}
	for _, m := range messages { // also those received before an error
		p.traffic.countReceived(m)
		if err == nil {
			err = p.controlNode.Receive(p.Host.TurnTime, l.link, m.Kind, m.Body)
		}
	}
	return err
}

// handleAuthenticated stores the remote side's identity at the end of the handshake.
func (l *inboundLink) handleAuthenticated() {
	remote := &l.handshake.Remote
	l.link.From, l.link.Incarnation = remote.Name, remote.Incarnation
	l.link.Zone, l.link.Attached = remote.Zone, remote.Attached
	if remote.Attached {
		l.registerAttached()
	}
}

// reportRejection counts and logs that a link is closed because the remote side sent an invalid handshake or message.
func (l *inboundLink) reportRejection(err error) {
	if errors.Is(err, transport.ErrAtCapacity) { // not logged, as there may be many
		l.peering.Host.Counters.AttachRejected++
		return
	}
	l.peering.Host.Counters.PeerRejected++
	logProtocolError(l.handshake.Remote.Name, err)
}
