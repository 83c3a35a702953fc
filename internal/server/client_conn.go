package server

import (
	"crypto/x509"
	"errors"
	"log/slog"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/identity"
	"chutechute/internal/counters"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/thrift"
)

const (
	pauseReadingAbove  = 256 << 10 // bytes of unread responses above which a client's requests wait
	maxMessagesPerTurn = 32        // of one connection: one client is not to hold up the others

	// A client that has sent nothing, or an incomplete message, gets a response or a close within 3 s of its
	// connecting. One that has sent a message may keep its connection for good.
	firstMessageTimeout   = 2500 * monotime.Millisecond
	partialMessageTimeout = 2000 * monotime.Millisecond
)

// clientState is how far a client's connection has come towards its close.
type clientState int

const (
	// clientOpen: messages are taken.
	clientOpen clientState = iota
	// clientDraining: no more messages are taken; the connection is half-closed once all responses are written.
	clientDraining
	// clientLingering: no more is read or written; input is discarded until the client closes, or for lingerTimeout.
	clientLingering
)

// clientConn is one client's connection.
type clientConn struct {
	eventloop.Stream
	listener *clientListener
	inFlight map[int32]*gateway.Request // by sequence number
	address  uint64                     // the client's, as a number

	state           clientState
	deferred        bool            // messages are left over for the next turn
	receivedMessage bool            // a whole message has been received
	sentResponse    bool            // a response was written: messages that get none are as good as none
	establishedAt   monotime.Micros // when it connected, or its handshake was complete
	lastActivity    monotime.Micros // when it connected, its last message or the begin of its close
	partialSince    monotime.Micros // since when a message has been incomplete; 0: none is
	discardedBytes  int             // that have come since no more messages are taken

	handshakeRequested bool
	holdsHandshakeSlot bool // its handshake is one of those that compute
	peerCertificate    *x509.Certificate
	callerCertificate  *identity.Certificate // what peerCertificate stands for; nil without one
}

// counters returns the counters of the server.
func (c *clientConn) counters() *counters.Set { return &c.listener.server.host.Counters }

// turnTime returns the time of this turn of the loop.
func (c *clientConn) turnTime() monotime.Micros { return c.listener.server.host.TurnTime }

// isIdle says whether the client awaits nothing: no response, and no message that is left over.
func (c *clientConn) isIdle() bool {
	return len(c.inFlight) == 0 && c.Out.Len() == 0 && !c.deferred
}

// isReadTimedOut says whether the client has taken too long to send its first message, or the rest of one.
func (c *clientConn) isReadTimedOut(now monotime.Micros) bool {
	if !c.sentResponse && len(c.inFlight) == 0 && now-c.establishedAt >= firstMessageTimeout {
		return true
	}
	return c.partialSince != 0 && now-c.partialSince >= partialMessageTimeout
}

// Ready writes what it can, and reads and handles what has come.
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
	c.processMessages()
}

// readNow reads what has come though epoll has not reported it, the client's close too.
func (c *clientConn) readNow() {
	//lint:ignore SA4000 each call reads: the second finds the end behind the last bytes
	if c.state == clientOpen && !(c.readInput() && c.readInput()) {
		c.handlePeerClose()
		return
	}
	c.Ready(unix.EPOLLIN)
}

// processMessages handles the messages that have come whole, as far as one turn goes and unless the client leaves too
// many responses unread.
func (c *clientConn) processMessages() {
	for processed := 0; !c.Closed && c.state == clientOpen && !c.isOutputBlocked(); processed++ {
		if processed >= maxMessagesPerTurn {
			c.deferMessages()
			break
		}
		if !c.processMessage() {
			c.awaitInput()
			return
		}
	}
	if !c.Closed && c.state != clientLingering {
		c.UpdateInterest(c.wantsInput())
	}
}

// isOutputBlocked says whether the client leaves too many responses unread.
func (c *clientConn) isOutputBlocked() bool { return c.Out.Len() > pauseReadingAbove }

// wantsInput says whether input is to be read: as messages, or to be discarded.
func (c *clientConn) wantsInput() bool {
	return c.state != clientOpen || !c.isOutputBlocked() && !c.deferred
}

// deferMessages leaves the messages that are left over to the next turn.
func (c *clientConn) deferMessages() {
	if !c.deferred {
		c.deferred = true
		c.listener.deferred = append(c.listener.deferred, c)
	}
}

// processMessage handles the next message; it returns false where none has come whole.
func (c *clientConn) processMessage() bool {
	message, ok, err := thrift.Next(c.In)
	if ok || err != nil {
		c.receivedMessage, c.partialSince, c.lastActivity = true, 0, c.turnTime()
	}
	var exception *thrift.Exception
	switch {
	case errors.As(err, &exception):
		c.counters().UnusableRequests++
		c.respond(exception.Reply())
	case err != nil:
		c.counters().Malformed++
		slog.Debug("malformed client message", slog.Any("error", err))
		c.closeAfterResponses()
	case !ok:
		return c.decryptMore()
	default:
		c.dispatch(message)
	}
	return true
}

// awaitInput waits for the rest of a message, or for the next one.
func (c *clientConn) awaitInput() {
	if c.In.Len() > 0 && c.partialSince == 0 {
		c.partialSince = c.turnTime()
	}
	if len(c.In.Space()) == 0 {
		c.listener.closeLargest()
	}
	c.UpdateInterest(true)
}
