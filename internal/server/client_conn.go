package server

import (
	"crypto/x509"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/identity"
	"chutechute/internal/counters"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/thrift"
)

const (
	pauseReadingAbove  = 256 << 10 // bytes of unread responses above which no more requests of the client are handled
	maxMessagesPerTurn = 32        // decoded from one connection, so that one client does not delay the others

	// A client that has sent nothing or an incomplete message gets a response, or its connection is closed, within 3 s
	// of connecting. One that has sent a complete message may keep its connection open indefinitely.
	firstMessageTimeout   = 2500 * monotime.Millisecond
	partialMessageTimeout = 2000 * monotime.Millisecond
)

// clientState is the state of a client's connection. States are passed in order and may be skipped.
type clientState int

const (
	// clientOpen: messages are accepted.
	clientOpen clientState = iota
	// clientDraining: no more messages are accepted; the connection is half-closed once all responses are written.
	clientDraining
	// clientLingering: nothing more is written, and input is discarded until the client closes the connection or
	// lingerTimeout has passed.
	clientLingering
)

// clientConn is the connection of one client.
type clientConn struct {
	eventloop.Stream
	listener *clientListener
	inFlight map[int32]*gateway.Request // by sequence number
	queue    clientQueue                // messages that were received and not handled yet
	address  uint64                     // the client's IPv4 address

	state           clientState
	deferred        bool            // received messages are left in In for the next turn
	inputMalformed  bool            // a malformed message was received; what follows it is not decoded
	receivedMessage bool            // a complete message has been received
	sentResponse    bool            // a response was sent; firstMessageTimeout applies until then
	establishedAt   monotime.Micros // when it connected or, with TLS, completed the handshake
	lastActivity    monotime.Micros // when it connected, sent its last message or began to close
	partialSince    monotime.Micros // when the incomplete message was first seen; 0: there is none
	discardedBytes  int             // since no more messages are accepted

	handshakeRequested bool
	holdsHandshakeSlot bool                  // its handshake counts towards the limits of the handshake limiter
	verifiedChains     [][]*x509.Certificate // from the client's certificate to a trusted one
	callerCertificate  *identity.Certificate // the client's certificate; nil without one
	revocationLogged   bool                  // that the certificate is revoked
}

// counters returns the counters of the server.
func (c *clientConn) counters() *counters.Set { return &c.listener.server.host.Counters }

// turnTime returns the time of the current turn.
func (c *clientConn) turnTime() monotime.Micros { return c.listener.server.host.TurnTime }

// isIdle reports whether the client waits for nothing: no response is pending and no message is left to be handled.
func (c *clientConn) isIdle() bool { return !c.awaitsResponse() && c.Out.Len() == 0 && !c.deferred }

// awaitsResponse reports whether a received message is still to be handled or answered.
func (c *clientConn) awaitsResponse() bool { return len(c.inFlight) > 0 || len(c.queue.messages) > 0 }

// readTimedOut reports whether the client took too long to send its first message or the rest of an incomplete one.
func (c *clientConn) readTimedOut(now monotime.Micros) bool {
	if !c.sentResponse && !c.awaitsResponse() && now-c.establishedAt >= firstMessageTimeout {
		return true
	}
	return c.partialSince != 0 && now-c.partialSince >= partialMessageTimeout
}

// Ready writes pending output, reads input and queues the received messages.
func (c *clientConn) Ready(events uint32) {
	if c.state == clientLingering || c.state == clientDraining && isReadable(events) {
		c.discardInput()
		return
	}
	if eventloop.IsHangup(events) {
		c.handlePeerClose()
		return
	}
	if isWritable(events) {
		c.writeBytes(nil)
	}
	if isReadable(events) && !c.readInput() {
		c.handlePeerClose()
		return
	}
	c.queueMessages()
}

// readNow reads input, and the client's close, without waiting for epoll to report them.
func (c *clientConn) readNow() {
	//lint:ignore SA4000 each call reads: the second finds the end behind the last bytes
	if c.state == clientOpen && !(c.readInput() && c.readInput()) {
		c.handlePeerClose()
		return
	}
	c.Ready(unix.EPOLLIN)
}

// queueMessages queues the complete messages that were received, up to maxMessagesPerTurn. It stops early if the client
// leaves too many responses unread.
func (c *clientConn) queueMessages() {
	for queued := 0; c.acceptsMessages(); queued++ {
		if queued >= maxMessagesPerTurn {
			c.deferMessages()
			break
		}
		if !c.queueMessage() {
			c.awaitInput()
			return
		}
	}
	if !c.Closed && c.state != clientLingering {
		c.UpdateInterest(c.wantsInput())
	}
}

// acceptsMessages reports whether received messages may be queued now.
func (c *clientConn) acceptsMessages() bool {
	return !c.Closed && c.state == clientOpen && !c.inputMalformed && !c.isOutputBlocked()
}

// isOutputBlocked reports whether the client leaves too many responses unread.
func (c *clientConn) isOutputBlocked() bool { return c.Out.Len() > pauseReadingAbove }

// wantsInput reports whether input is to be read, either as messages or to be discarded.
func (c *clientConn) wantsInput() bool {
	return c.state != clientOpen || !c.isOutputBlocked() && !c.deferred && !c.inputMalformed
}

// deferMessages leaves the remaining messages for the next turn.
func (c *clientConn) deferMessages() {
	if !c.deferred {
		c.deferred = true
		c.listener.deferred = append(c.listener.deferred, c)
	}
}

// queueMessage queues the next message. It returns false if no complete message has been received.
func (c *clientConn) queueMessage() bool {
	next, limit := thrift.Next, c.exceededLimit(thrift.NextSize(c.In))
	if limit != noLimit {
		next = thrift.NextHeader
	}
	message, ok, err := next(c.In)
	if !ok && err == nil {
		return c.decryptMore()
	}
	c.receivedMessage, c.partialSince, c.lastActivity = true, 0, c.turnTime()
	c.inputMalformed = err != nil && !isException(err)
	c.accept(message, err, limit)
	return true
}

// awaitInput waits for the rest of a message or for the next one.
func (c *clientConn) awaitInput() {
	if c.In.Len() > 0 && c.partialSince == 0 {
		c.partialSince = c.turnTime()
	}
	if len(c.In.Space()) == 0 {
		c.listener.closeLargest()
	}
	c.UpdateInterest(true)
}
