package server

import (
	"net/netip"
	"slices"

	"chutechute/internal/monotime"
)

// engine is one engine, by its id: another may come to have its address.
type engine struct {
	name      string
	address   netip.AddrPort
	draining  bool            // or removed, by the endpoint list
	removed   bool            // and forgotten once no connection and no request of it is left
	lastSeen  monotime.Micros // when it last responded to anything
	readClock func() monotime.Micros

	idle               []*engineConn // the last used one last
	connectionCount    int
	establishedCount   int // of the connections; those that are being dialled may all be refused
	requestCount       int
	waiters            []*engineRequest // for a connection, where no descriptor is left: first come first served
	refusesConnections bool             // it refused the last connection that was dialled

	// resetCount counts the connections that it closed under a call within resetWindow, since it last responded.
	resetCount       int
	resetWindowStart monotime.Micros
}

// closeIdle closes the idle connections.
func (e *engine) closeIdle() {
	for len(e.idle) > 0 {
		e.idle[0].terminate()
	}
}

// takeReusable takes the last used of the connections that may carry another query by now; nil where there is none.
func (e *engine) takeReusable() *engineConn {
	now := e.readClock()
	for i := len(e.idle) - 1; i >= 0; i = min(i, len(e.idle)) - 1 {
		c := e.idle[i]
		if !c.isRested(now) {
			continue
		}
		if !c.PeerIdle() {
			c.terminate() // which takes it out
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		c.staleResponsePossible = false
		return c
	}
	return nil
}

// hasReusable says whether a connection may carry another query by now.
func (e *engine) hasReusable(now monotime.Micros) bool {
	return slices.ContainsFunc(e.idle, func(c *engineConn) bool { return c.isRested(now) })
}

// removeIdle takes a connection out of the idle ones, if it is one.
func (e *engine) removeIdle(c *engineConn) {
	if i := slices.Index(e.idle, c); i >= 0 {
		e.idle = slices.Delete(e.idle, i, i+1)
	}
}

// enqueue puts a request at the end of the queue for a connection.
func (e *engine) enqueue(request *engineRequest) {
	if !request.isWaiting {
		request.isWaiting = true
		e.waiters = append(e.waiters, request)
	}
}

// dequeue takes the first unfinished request of the queue for a connection; nil where there is none.
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

// countReset counts a connection that the engine has closed under a call. Those that are closed all at once are noticed
// within resetWindow.
func (e *engine) countReset(now monotime.Micros) {
	if now-e.resetWindowStart > resetWindow {
		e.resetCount, e.resetWindowStart = 0, now
	}
	e.resetCount++
}
