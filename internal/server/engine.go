package server

import (
	"net/netip"
	"slices"

	"chutechute/internal/monotime"
)

// engine is one engine, identified by its ID, since its address may later belong to another engine.
type engine struct {
	name      string
	address   netip.AddrPort
	draining  bool            // not serving according to the endpoint list; set for removed engines too
	removed   bool            // it is deleted once it has no connections and no requests
	lastSeen  monotime.Micros // when it last responded to any call
	readClock func() monotime.Micros

	idle               []*engineConn // in the order of their last use, the most recent last
	connectionCount    int
	establishedCount   int // those of connectionCount that are established; connections being dialed may all be refused
	requestCount       int
	waiters            []*engineRequest // requests that wait for a connection, first in, first out
	refusesConnections bool             // it refused the last dialed connection
}

// closeIdle closes the idle connections.
func (e *engine) closeIdle() {
	for len(e.idle) > 0 {
		e.idle[0].terminate()
	}
}

// takeReusable takes the most recently used idle connection that may carry another query now. It returns nil if there
// is none.
func (e *engine) takeReusable() *engineConn {
	now := e.readClock()
	for i := len(e.idle) - 1; i >= 0; i = min(i, len(e.idle)) - 1 {
		c := e.idle[i]
		if !c.reuseDelayElapsed(now) {
			continue
		}
		if !c.PeerIdle() {
			c.terminate() // also removes it from e.idle
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		c.staleResponsePossible = false
		return c
	}
	return nil
}

// hasReusable reports whether an idle connection may carry another query now.
func (e *engine) hasReusable(now monotime.Micros) bool {
	return slices.ContainsFunc(e.idle, func(c *engineConn) bool { return c.reuseDelayElapsed(now) })
}

// removeIdle removes a connection from the idle ones, if it is among them.
func (e *engine) removeIdle(c *engineConn) {
	if i := slices.Index(e.idle, c); i >= 0 {
		e.idle = slices.Delete(e.idle, i, i+1)
	}
}

// enqueue adds a request to the end of the queue for a connection.
func (e *engine) enqueue(request *engineRequest) {
	if !request.isWaiting {
		request.isWaiting = true
		e.waiters = append(e.waiters, request)
	}
}

// dequeue removes and returns the first unfinished request of the queue for a connection. It returns nil if there is
// none.
func (e *engine) dequeue() *engineRequest {
	for len(e.waiters) > 0 {
		request := e.waiters[0]
		e.waiters = e.waiters[1:]
		request.isWaiting = false
		if !request.finished {
			return request
		}
	}
	return nil
}
