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
	maxUrgentQueueBytes = 8 << 20 // maximum size of the urgent messages queued on an outbound link
	dialTimeout         = 1000 * monotime.Millisecond
	// minReconnectDelay is doubled with each consecutive failure, up to maxReconnectDelay.
	minReconnectDelay = 50 * monotime.Millisecond
	maxReconnectDelay = 1000 * monotime.Millisecond
	// maxBackoffDoublings prevents an overflow. At this count the delay exceeds maxReconnectDelay anyway.
	maxBackoffDoublings = 5
)

// outboundState is the state of an outbound link's connection.
type outboundState int

const (
	outboundClosed      outboundState = iota // not connected; between control members, waits to reconnect
	outboundConnecting                       // waiting for the TCP connection
	outboundHandshaking                      // waiting for the end of the handshake
	outboundEstablished                      // messages can be sent
)

// outboundLink is the link that a front end dials to a control member to send messages. Between control members it is
// redialed with backoff after a failure. An attached front end creates a new one if its node still needs the link.
type outboundLink struct {
	linkSender
	name               string
	addr               netip.AddrPort
	handshake          *transport.Dialer // nil before the first dial
	connecting         bool
	reconnectAt        monotime.Micros
	failures           int    // consecutive ones
	lastHandshakeError string // the last logged error, so that a repeated one is not logged again
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

// enqueue queues a message. The message is dropped if the link is not established or its queue is full; as messages may
// be lost anyway, senders have to repeat those that matter.
func (l *outboundLink) enqueue(message fleet.Send) {
	established := l.established()
	if established && l.queue.Push(message.Kind, message.Bulk, message.Body) {
		l.flushQueue()
		return
	}
	if established {
		l.peering.Host.Counters.PeerMessagesDropped++
	}
	if message.Kind == transport.Replication {
		l.peering.controlNode.SendFailed(l.name)
	}
}

// flushQueue writes queued messages as far as the output buffer and the socket accept them.
func (l *outboundLink) flushQueue() {
	if !l.established() {
		return
	}
	if _, err := l.writeQueued(); err != nil {
		l.fail(err)
	}
}

// flushSocket writes the output buffer as far as the socket accepts it.
func (l *outboundLink) flushSocket() {
	if err := l.flushOutput(); err != nil {
		l.fail(err)
	}
}

// dial starts connecting to the control member.
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

// scheduleReconnect sets the time of the next dial, with exponential backoff and jitter.
func (l *outboundLink) scheduleReconnect() {
	l.failures++
	delay := min(maxReconnectDelay, minReconnectDelay<<min(l.failures, maxBackoffDoublings))
	l.reconnectAt = l.peering.Host.TurnTime + l.peering.withJitter(delay)
}

// fail closes the link after an error and drops its queued messages.
func (l *outboundLink) fail(err error) {
	l.logHandshakeFailure(err)
	l.Close()
	l.queue.Clear()
	l.handleClosed()
}

// logHandshakeFailure logs an error that occurred before the link was established, unless it repeats the last one. A
// refused connection is not logged, as the other front end may simply not be running.
func (l *outboundLink) logHandshakeFailure(err error) {
	if l.handshake == nil || l.handshake.Established() {
		return
	}
	if errors.Is(err, unix.ECONNREFUSED) || l.lastHandshakeError == err.Error() {
		return
	}
	l.lastHandshakeError = err.Error()
	slog.Warn("link not established", slog.String(keyFrontEnd, l.name), slog.Any(keyError, err))
}

// tick dials the link when that is due, and closes it if one of its timeouts has passed.
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

// Ready handles readiness events of the link's socket.
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

// finishConnecting handles the result of the connection attempt.
func (l *outboundLink) finishConnecting() {
	if err := eventloop.DialResult(l.FD); err != nil {
		l.fail(err)
		return
	}
	l.connecting = false
	l.UpdateInterest(true)
}

// readInput reads from the socket, and continues the handshake or decodes the messages after it.
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

// handleEstablished handles the end of the handshake, after which messages can be sent.
func (l *outboundLink) handleEstablished() {
	l.failures, l.lastHandshakeError = 0, ""
	l.peering.Host.Counters.PeerLinks++
	remote := &l.handshake.Remote
	logEstablished(l.name, remote.Incarnation, membership.Control)
	if l.peering.attachedNode != nil {
		l.peering.attachedNode.LinkOpened(l.peering.Host.TurnTime, l.name, remote.Incarnation)
	}
	l.flushQueue()
}

// handleClosed handles a link that was closed or could not be established. A control member schedules a reconnect; an
// attached front end removes the link, as its node decides which control members to dial.
func (l *outboundLink) handleClosed() {
	if l.peering.attachedNode != nil {
		l.peering.removeLink(l)
		return
	}
	l.scheduleReconnect()
	l.peering.controlNode.SendFailed(l.name)
}

// handleDialFailure handles a dial that failed immediately. Unlike handleClosed it reports no failed send to a control
// member's node, as nothing can have been sent.
func (l *outboundLink) handleDialFailure() {
	if l.peering.attachedNode != nil {
		l.peering.removeLink(l)
		return
	}
	l.scheduleReconnect()
}
