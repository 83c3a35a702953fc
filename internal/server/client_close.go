package server

import (
	"log/slog"

	"golang.org/x/sys/unix"

	"chutechute/internal/monotime"
)

const (
	maxDiscardedBytes = 1 << 20  // read and discarded from a connection that accepts no more messages
	discardBufferSize = 16 << 10 // bytes
	lingerTimeout     = 500 * monotime.Millisecond
)

// respond sends a response. What the socket does not accept now is written once it is writable.
func (c *clientConn) respond(response []byte) {
	if c.Closed || c.state == clientLingering {
		return
	}
	c.sentResponse = true
	c.writeBytes(c.seal(response))
}

// writeBytes sends bytes as they are, after those that are still unwritten. With TLS they are already encrypted.
func (c *clientConn) writeBytes(b []byte) {
	if c.Closed || c.state == clientLingering || len(b) == 0 && c.Out.Len() == 0 {
		return
	}
	_, err := c.Out.Write(b)
	if err != nil && c.Out.Len()+len(b) <= c.listener.maxUnreadOutput() { // the shared buffer budget is exhausted
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

// handlePeerClose handles the close of a connection by the client, in the turn in which it is read. The requests in
// flight are canceled, and messages that were received but not yet handled are dropped, since nobody waits for their
// responses. Unread input is read and discarded: closing the socket with unread input would reset the connection and
// destroy responses that the client may still read.
func (c *clientConn) handlePeerClose() {
	if c.Closed || c.state == clientLingering {
		return
	}
	c.counters().ClientsDisconnected++
	c.state, c.lastActivity = clientLingering, c.turnTime()
	c.cancelInFlight()
	c.discardInput()
}

// closeAfterResponses stops accepting messages and closes the connection once all accepted requests have their
// responses.
func (c *clientConn) closeAfterResponses() {
	if c.Closed || c.state != clientOpen {
		return
	}
	c.state, c.partialSince = clientDraining, 0
	c.In.Free()
	c.UpdateInterest(true)
	c.halfCloseIfDrained()
}

// halfCloseIfDrained half-closes a draining connection once all responses are written. Input is still read for up to
// lingerTimeout: closing the socket with unread input would reset the connection and destroy responses that the client
// has not read yet.
func (c *clientConn) halfCloseIfDrained() {
	if c.Closed || c.state != clientDraining || c.awaitsResponse() || c.Out.Len() > 0 {
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

// abort closes a connection without sending the pending responses, since the client could not read them.
func (c *clientConn) abort() {
	c.cancelInFlight()
	c.Out.Free()
	c.closeAfterResponses()
}

// discardInput reads and drops input of a connection that accepts no more messages. It closes the connection at the end
// of the input or after maxDiscardedBytes.
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
		c.discardedBytes = 0 // the client keeps sending, but has responses to receive
		return
	}
	c.terminate()
}

// terminate closes the connection at once and cancels its requests in flight.
func (c *clientConn) terminate() {
	if c.Closed {
		return
	}
	c.Close()
	delete(c.listener.clients, c)
	c.cancelInFlight()
}

// cancelInFlight cancels the requests in flight and drops the queued messages, since nobody waits for their responses.
func (c *clientConn) cancelInFlight() {
	c.dropQueued()
	requests := c.inFlight
	c.inFlight = nil
	for _, request := range requests {
		c.listener.server.core.Cancel(request)
	}
}
