package server

import (
	"log/slog"

	"golang.org/x/sys/unix"

	"chutechute/internal/monotime"
)

const (
	maxDiscardedBytes = 1 << 20  // that are read from a connection after no more messages are taken
	discardBufferSize = 16 << 10 // bytes
	lingerTimeout     = 500 * monotime.Millisecond
)

// respond writes a response, as far as the connection takes it; the rest follows.
func (c *clientConn) respond(response []byte) {
	if c.Closed || c.state == clientLingering {
		return
	}
	c.sentResponse = true
	c.writeBytes(c.seal(response))
}

// writeBytes writes bytes as they go over the connection, after those that are still unwritten.
func (c *clientConn) writeBytes(b []byte) {
	if c.Closed || c.state == clientLingering || len(b) == 0 && c.Out.Len() == 0 {
		return
	}
	_, err := c.Out.Write(b)
	if err != nil && c.Out.Len()+len(b) <= c.listener.maxUnreadOutput() { // the budget of all clients is exhausted
		c.listener.closeLargest()
		if c.Closed {
			return
		}
		_, err = c.Out.Write(b)
	}
	if err != nil {
		slog.Warn("client does not read its responses", slog.Any("error", err))
		c.terminate()
		return
	}
	if err := c.Flush(); err != nil {
		c.terminate()
		return
	}
	c.UpdateInterest(c.wantsInput())
	c.halfCloseIfDrained()
}

// handlePeerClose follows the client's close, in the turn in which it has come: what is in flight is canceled, and
// what came before the close and was not taken yet never is, as nobody waits for its response. It is discarded,
// since a close over unread input would reset the connection under the responses that its client may still read.
func (c *clientConn) handlePeerClose() {
	if c.Closed || c.state == clientLingering {
		return
	}
	c.counters().ClientsDisconnected++
	c.state, c.lastActivity = clientLingering, c.turnTime()
	c.cancelInFlight()
	c.discardInput()
}

// closeAfterResponses closes the connection from this side once all that was taken on it has its response; no more
// messages are taken.
func (c *clientConn) closeAfterResponses() {
	if c.Closed || c.state != clientOpen {
		return
	}
	c.state, c.partialSince = clientDraining, 0
	c.In.Free()
	c.UpdateInterest(true)
	c.halfCloseIfDrained()
}

// halfCloseIfDrained half-closes a draining connection once all responses are written. It reads on for a moment: a
// close with input unread would reset it, and with it the responses that the client has not read yet.
func (c *clientConn) halfCloseIfDrained() {
	if c.Closed || c.state != clientDraining || len(c.inFlight) > 0 || c.Out.Len() > 0 {
		return
	}
	c.state, c.lastActivity = clientLingering, c.turnTime()
	if err := unix.Shutdown(c.FD, unix.SHUT_WR); err != nil {
		c.terminate()
		return
	}
	c.UpdateInterest(true)
	c.discardInput()
}

// abort closes a connection without the responses that its client awaits: they could not be read.
func (c *clientConn) abort() {
	c.cancelInFlight()
	c.Out.Free()
	c.closeAfterResponses()
}

// discardInput reads what comes after no more messages are taken, as far as maxDiscardedBytes, and closes the
// connection at its end.
func (c *clientConn) discardInput() {
	var buffer [discardBufferSize]byte
	for c.discardedBytes < maxDiscardedBytes {
		n, err := unix.Read(c.FD, buffer[:])
		if err == unix.EAGAIN || err == unix.EINTR {
			return
		}
		if err != nil || n == 0 {
			break
		}
		c.discardedBytes += n
	}
	if c.state != clientLingering && c.discardedBytes >= maxDiscardedBytes {
		c.discardedBytes = 0 // it goes on sending, but its responses are still to be written
		return
	}
	c.terminate()
}

// terminate closes the connection at once and cancels what is in flight.
func (c *clientConn) terminate() {
	if c.Closed {
		return
	}
	c.Close()
	delete(c.listener.clients, c)
	c.cancelInFlight()
}

// cancelInFlight cancels the requests in flight: nobody awaits their responses any more.
func (c *clientConn) cancelInFlight() {
	requests := c.inFlight
	c.inFlight = nil
	for _, request := range requests {
		c.listener.server.core.Cancel(request)
	}
}
