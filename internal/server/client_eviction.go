package server

import (
	"log/slog"

	"chutechute/internal/monotime"
)

const (
	newConnectionGrace  = 1000 * monotime.Millisecond // within which a new connection is expected to send
	maxEvictionAttempts = 8
)

// evictionRank is how well a connection can be done without; the highest is closed first.
type evictionRank int

const (
	notEvictable       evictionRank = iota // requests are in flight
	evictNewConnection                     // is expected to send
	evictIdle
	evictPartialMessage // a message has been left incomplete
	evictSilent         // nothing was received for a while
	evictLingering      // is as good as closed
)

// evict closes the connection that can best be done without, and says whether there was one. What has come on it is
// read first, since a request may be on its way: the protocol counts it as taken, and others of its key wait for its
// end.
func (l *clientListener) evict() bool {
	for range maxEvictionAttempts {
		c := l.evictionCandidate()
		if c == nil {
			return false
		}
		c.readNow()
		isFree := c.isIdle() && c.partialSince != l.server.host.TurnTime
		switch {
		case c.state == clientLingering || isFree && l.server.freeDescriptors() <= 0:
			c.terminate()
		case isFree: // to close it at once could reset it, with the responses that its client has not read yet
			c.closeAfterResponses()
			return true
		}
		if c.Closed {
			return true
		}
	}
	return false
}

// evictionCandidate returns the connection of the highest rank; of several, the one that has been inactive longest. It
// returns nil where none may be closed.
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

// silentConnections counts the connections on which nothing was received yet.
func (l *clientListener) silentConnections() (count int) {
	for c := range l.clients {
		if !c.receivedMessage && c.state != clientLingering {
			count++
		}
	}
	return count
}

// evictionRank returns how well the connection can be done without. One that is new is about to send, unless such
// connections take half of the capacity: then it is crowded.
func (c *clientConn) evictionRank(crowded bool) evictionRank {
	isOld := c.turnTime()-c.lastActivity >= newConnectionGrace
	switch {
	case c.state == clientLingering:
		return evictLingering
	case !c.isIdle():
		return notEvictable
	case !c.receivedMessage && (isOld || crowded):
		return evictSilent
	case c.receivedMessage && c.partialSince != 0:
		return evictPartialMessage
	case c.receivedMessage:
		return evictIdle
	}
	return evictNewConnection
}

// closeLargest closes the client that has the most bytes buffered, where the buffer budget is exhausted.
func (l *clientListener) closeLargest() {
	var largest *clientConn
	for c := range l.clients {
		if largest == nil || c.bufferedBytes() > largest.bufferedBytes() {
			largest = c
		}
	}
	if largest != nil {
		l.server.host.Counters.ClosedForBuffers++
		slog.Warn("client buffers exhausted, closing the largest connection")
		largest.terminate()
	}
}

// bufferedBytes returns the size of the connection's buffers.
func (c *clientConn) bufferedBytes() int { return c.In.Cap() + c.Out.Cap() }
