package server

import (
	"log/slog"

	"chutechute/internal/monotime"
)

const (
	newConnectionGrace  = 1000 * monotime.Millisecond // in which a new connection is expected to send a message
	maxEvictionAttempts = 8
)

// evictionRank says how expendable a connection is. The connection with the highest rank is closed first.
type evictionRank int

const (
	notEvictable       evictionRank = iota // it has requests in flight
	evictNewConnection                     // it is expected to send its first message soon
	evictIdle
	evictPartialMessage // a message is incomplete
	evictSilent         // it has sent no complete message for a while
	evictLingering      // it is already closing
)

// evict closes the most expendable connection and reports whether it closed one. It reads the connection's input first,
// since a request may be in transit: the protocol counts a request that has arrived as accepted, and other requests
// with its key wait for its end.
func (l *clientListener) evict() bool {
	for range maxEvictionAttempts {
		c := l.evictionCandidate()
		if c == nil {
			return false
		}
		c.readNow()
		isClosable := c.isIdle() && c.partialSince != l.server.host.TurnTime
		switch {
		case c.state == clientLingering || isClosable && l.server.availableDescriptors() <= 0:
			c.terminate()
		case isClosable: // closing it at once could reset it and destroy responses that the client has not read yet
			c.closeAfterResponses()
			return true
		}
		if c.Closed {
			return true
		}
	}
	return false
}

// evictionCandidate returns the connection with the highest rank and, among several, the one that has been inactive
// longest. It returns nil if no connection may be closed.
func (l *clientListener) evictionCandidate() *clientConn {
	crowded := l.silentConnections() > l.maxClients/2
	var candidate *clientConn
	highest := notEvictable
	for c := range l.clients {
		rank := c.evictionRank(crowded)
		if rank == notEvictable {
			continue
		}
		if rank > highest || rank == highest && c.lastActivity < candidate.lastActivity {
			candidate, highest = c, rank
		}
	}
	return candidate
}

// silentConnections returns the number of connections that have not sent a complete message.
func (l *clientListener) silentConnections() (count int) {
	for c := range l.clients {
		if !c.receivedMessage && c.state != clientLingering {
			count++
		}
	}
	return count
}

// evictionRank returns the rank of the connection. A new connection is expected to send soon and ranks low, unless
// crowded is set: then connections without a message take more than half of the capacity.
func (c *clientConn) evictionRank(crowded bool) evictionRank {
	graceExpired := c.turnTime()-c.lastActivity >= newConnectionGrace
	switch {
	case c.state == clientLingering:
		return evictLingering
	case !c.isIdle():
		return notEvictable
	case !c.receivedMessage && (graceExpired || crowded):
		return evictSilent
	case c.receivedMessage && c.partialSince != 0:
		return evictPartialMessage
	case c.receivedMessage:
		return evictIdle
	}
	return evictNewConnection
}

// closeLargest closes the connection with the largest buffers. It is called when the buffer budget is exhausted. A
// connection with requests in flight, which would be lost, is closed only if there is no other one that takes at least
// half of an even share of the budget.
func (l *clientListener) closeLargest() {
	var largest *clientConn
	for c := range l.clients {
		if largest == nil || c.isCheaperToClose(largest) {
			largest = c
		}
	}
	if largest != nil {
		l.server.host.Counters.ClosedForBuffers++
		slog.Warn("client buffers exhausted, closing the largest connection")
		largest.terminate()
	}
}

// isCheaperToClose reports whether the connection is closed rather than another one when the buffer budget is
// exhausted.
func (c *clientConn) isCheaperToClose(other *clientConn) bool {
	if isIdle := c.isIdleWithShare(); isIdle != other.isIdleWithShare() {
		return isIdle
	}
	return c.bufferedBytes() > other.bufferedBytes()
}

// isIdleWithShare reports whether the connection has no request in flight and takes at least half of an even share of
// the buffer budget of all clients. Buffers double as they grow, so those of equal clients differ by up to that factor.
func (c *clientConn) isIdleWithShare() bool {
	evenShare := c.listener.bufferBudget.Max / len(c.listener.clients)
	return len(c.inFlight) == 0 && c.bufferedBytes() >= evenShare/2
}

// bufferedBytes returns the size of the connection's buffers and queued messages in bytes.
func (c *clientConn) bufferedBytes() int { return c.In.Cap() + c.Out.Cap() + c.queue.bytes }
