package peering

import (
	"errors"
	"log/slog"
	"net/netip"

	"golang.org/x/sys/unix"

	"chutechute/fleet"
	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
)

const (
	maxUrgentQueueBytes = 8 << 20 // bytes of urgent messages that may be queued on an outbound link
	dialTimeout         = 1000 * monotime.Millisecond
	// minReconnectDelay is doubled with each failure in a row, up to maxReconnectDelay.
	minReconnectDelay = 50 * monotime.Millisecond
	maxReconnectDelay = 1000 * monotime.Millisecond
	// maxBackoffDoublings keeps the doubled delay from overflowing; by then it exceeds maxReconnectDelay.
	maxBackoffDoublings = 5
)

// outboundState is how far an outbound link has come.
type outboundState int

const (
	outboundClosed      outboundState = iota // a control member's link waits for its time to reconnect
	outboundConnecting                       // the socket is not connected yet
	outboundHandshaking                      // the other side has not proven its identity yet
	outboundEstablished                      // messages go out
)

// outboundLink is the link over which a front end sends to one control member. Between control members it
// reconnects with backoff whenever it breaks; that of an attached front end is dialled when its node wants it.
type outboundLink struct {
	linkSender
	name        string
	addr        netip.AddrPort
	handshake   *transport.Dialer // nil before the first dial
	connecting  bool
	reconnectAt monotime.Micros
	failures    int    // in a row
	lastRefusal string // the error with which a handshake failed last, so that it is logged once
}

func newOutboundLink(p *Peering, name string, addr netip.AddrPort) *outboundLink {
	l := &outboundLink{name: name, addr: addr}
	l.peering = p
	l.queue = transport.Queue{MaxUrgentBytes: maxUrgentQueueBytes, MaxBulkBytes: p.cfg.MaxMessageBytes}
	l.budget.Max = linkOutputBytes + linkInputBytes
	l.Closed = true
	return l
}

func (l *outboundLink) state() outboundState {
	switch {
	case l.Closed:
		return outboundClosed
	case l.connecting:
		return outboundConnecting
	case !l.handshake.Established():
		return outboundHandshaking
	}
	return outboundEstablished
}

func (l *outboundLink) established() bool { return l.state() == outboundEstablished }

// enqueue queues a message. Where the link is not established or its queue is full the message is dropped, as it
// might be lost on the way: who needs it sends it again.
func (l *outboundLink) enqueue(message fleet.Send) {
	established := l.established()
	if established && l.queue.Push(message.Kind, message.Bulk, message.Body) {
		l.flushQueue()
		return
	}
	if established {
		l.peering.Host.Counters.PeerDropped++
	}
	if message.Kind == transport.Replication {
		l.peering.controlNode.SendFailed(l.name)
	}
}

// flushQueue writes queued messages, as far as the link accepts them.
func (l *outboundLink) flushQueue() {
	if !l.established() {
		return
	}
	if _, err := l.writeQueued(); err != nil {
		l.fail(err)
	}
}

// flushSocket writes the output buffer, as far as the socket accepts it.
func (l *outboundLink) flushSocket() {
	if err := l.flushOutput(); err != nil {
		l.fail(err)
	}
}

// dial starts a connection.
func (l *outboundLink) dial() {
	l.lastProgress = l.peering.Host.TurnTime
	fd, err := eventloop.Dial(l.addr)
	if err != nil {
		l.handleDialFailure()
		return
	}
	l.open(fd, linkOutputBytes, unix.EPOLLOUT)
	l.connecting = true
	l.handshake = &transport.Dialer{
		Local:        l.peering.self,
		ExpectedName: l.name,
		Secret:       l.peering.cfg.Secret,
		MaxInbound:   l.peering.cfg.MaxMessageBytes,
	}
	if err := l.peering.Host.Loop.Add(fd, l.Interest, l); err != nil {
		l.fail(err)
	}
}

// scheduleReconnect sets when a control member's link is dialled again: with exponential backoff and jitter.
func (l *outboundLink) scheduleReconnect() {
	l.failures++
	delay := min(maxReconnectDelay, minReconnectDelay<<min(l.failures, maxBackoffDoublings))
	l.reconnectAt = l.peering.Host.TurnTime + l.peering.withJitter(delay)
}

// fail closes the link after an error. What is queued on it is dropped.
func (l *outboundLink) fail(err error) {
	l.logHandshakeFailure(err)
	l.Close()
	l.queue.Clear()
	l.handleClosed()
}

// logHandshakeFailure logs the error with which a link failed before it was established, once for as long as it is the
// same. A refused connection is not logged, as the other front end may just not run.
func (l *outboundLink) logHandshakeFailure(err error) {
	if l.handshake == nil || l.handshake.Established() {
		return
	}
	if errors.Is(err, unix.ECONNREFUSED) || l.lastRefusal == err.Error() {
		return
	}
	l.lastRefusal = err.Error()
	slog.Warn("link not established", slog.String(keyFrontEnd, l.name), slog.Any(keyError, err))
}

// tick checks the link's timeouts.
func (l *outboundLink) tick() {
	now := l.peering.Host.TurnTime
	switch l.state() {
	case outboundClosed:
		if now >= l.reconnectAt {
			l.dial()
		}
	case outboundConnecting, outboundHandshaking:
		if now-l.lastProgress >= dialTimeout+handshakeTimeout {
			l.fail(errHandshakeTimeout)
		}
	case outboundEstablished:
		if l.stalled() {
			l.fail(errStalled)
		}
	}
}

// Ready handles readiness of the link's socket.
func (l *outboundLink) Ready(events uint32) {
	if l.connecting {
		l.finishConnecting()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		l.flushSocket()
		l.flushQueue()
	}
	if l.Closed || events&^unix.EPOLLOUT == 0 {
		return
	}
	l.readInput()
	if l.peering.attachedNode != nil && !l.Closed {
		if err := l.receiveMessages(); err != nil {
			l.fail(err)
		}
	}
}

// finishConnecting handles the result of the dial.
func (l *outboundLink) finishConnecting() {
	if err := eventloop.DialResult(l.FD); err != nil {
		l.fail(err)
		return
	}
	l.connecting = false
	l.UpdateInterest(true)
}

// readInput reads from the socket and continues the handshake, or decodes messages after its end.
func (l *outboundLink) readInput() {
	more := l.Fill()
	wasEstablished := l.handshake.Established()
	l.handshake.Feed(l.In.Bytes())
	l.In.Discard(l.In.Len())
	reply, err := l.handshake.Process()
	if err == nil && len(reply) > 0 {
		if _, err = l.Out.Write(reply); err == nil {
			l.flushSocket()
		}
	}
	switch {
	case l.Closed:
	case err != nil:
		l.fail(err)
	case !more:
		l.fail(errRemoteClosed)
	case !wasEstablished && l.handshake.Established():
		l.handleEstablished()
	}
}

// handleEstablished begins to send, once the other side has proven its identity.
func (l *outboundLink) handleEstablished() {
	l.failures, l.lastRefusal = 0, ""
	l.peering.Host.Counters.PeerLinks++
	remote := &l.handshake.Remote
	logEstablished(l.name, remote.Incarnation, membership.Control)
	if l.peering.attachedNode != nil {
		l.peering.attachedNode.LinkOpened(l.peering.Host.TurnTime, l.name, remote.Incarnation)
	}
	l.flushQueue()
}

// handleClosed handles a link that is closed or could not be established. An attached front end forgets it, as its node
// decides which control member is dialled when.
func (l *outboundLink) handleClosed() {
	if l.peering.attachedNode != nil {
		l.peering.forgetLink(l)
		return
	}
	l.scheduleReconnect()
	l.peering.controlNode.SendFailed(l.name)
}

// handleDialFailure handles a dial that failed at once. Nothing was sent, so that a control member's replica is not
// told of a failed send.
func (l *outboundLink) handleDialFailure() {
	if l.peering.attachedNode != nil {
		l.peering.forgetLink(l)
		return
	}
	l.scheduleReconnect()
}
