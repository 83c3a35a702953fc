package peering

import (
	"errors"

	"golang.org/x/sys/unix"

	"chutechute/fleet"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

const (
	// minIdleTimeout is the minimum time after which a link is closed on which nothing comes, not even heartbeats: the
	// other side has made a new link, or its process has ended.
	minIdleTimeout = 10000 * monotime.Millisecond
	// maxReadsPerTurn bounds how often one link fills its input buffer in one turn. The rest is read in the next turn.
	maxReadsPerTurn = 16
)

// inboundLink is a link over which another front end sends.
type inboundLink struct {
	linkSender
	handshake    *transport.Listener
	lastReceived monotime.Micros // when bytes last came, or the link was accepted
	link         fleet.Link      // the other side's identity; only ChallengedAt is set before the end of the handshake
	attached     bool            // established by an attached front end, to which messages are sent over it too
}

// writeHandshake sends a message of the handshake; none where it is empty.
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

// terminate closes the link and removes it. Terminating it again does nothing.
func (l *inboundLink) terminate() {
	l.Close()
	delete(l.peering.inbound, l)
	l.releaseAttached()
}

// tick checks the link's timeouts.
func (l *inboundLink) tick() {
	idle := l.peering.Host.TurnTime - l.lastReceived
	handshakeTimedOut := !l.handshake.Established() && idle >= handshakeTimeout
	if handshakeTimedOut || idle >= l.idleTimeout() || l.attached && l.stalled() {
		l.terminate()
	}
}

// idleTimeout is the time after which the link is closed where nothing comes. An attached front end that is still
// taken for alive keeps its link.
func (l *inboundLink) idleTimeout() monotime.Micros {
	if !l.attached {
		return minIdleTimeout
	}
	return max(minIdleTimeout, 2*l.peering.cfg.Attached.Config.DeadAfter)
}

// Ready handles readiness of the link's socket.
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

// processInput continues the handshake with the bytes in the input buffer, or passes their messages on to the node.
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
	for _, m := range messages { // those before an error too
		p.traffic.countReceived(m)
		if err == nil {
			err = p.controlNode.Receive(p.Host.TurnTime, l.link, m.Kind, m.Body)
		}
	}
	return err
}

// handleAuthenticated takes over the identity that the other side has proven.
func (l *inboundLink) handleAuthenticated() {
	remote := &l.handshake.Remote
	l.link.From, l.link.Incarnation = remote.Name, remote.Incarnation
	l.link.Zone, l.link.Attached = remote.Zone, remote.Attached
	if remote.Attached {
		l.registerAttached()
	}
}

// reportRejection counts and logs why a link is closed: what came over it is not acceptable.
func (l *inboundLink) reportRejection(err error) {
	if errors.Is(err, transport.ErrAtCapacity) { // counted only, as there may be many of these
		l.peering.Host.Counters.AttachRefused++
		return
	}
	l.peering.Host.Counters.PeerRejected++
	logProtocolError(l.handshake.Remote.Name, err)
}
