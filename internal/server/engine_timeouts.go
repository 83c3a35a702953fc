package server

import (
	"chutechute/gateway"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

const (
	// responseTimeout is the time after which the response to a call is overdue. An engine responds within 250 ms.
	responseTimeout = 300 * monotime.Millisecond
	// silenceTimeout is the time after which an engine counts as unresponsive. An engine pauses for at most 600 ms.
	silenceTimeout = 1000 * monotime.Millisecond
	// overtakenGrace is how long a call with an overdue response is still awaited after the engine has responded to
	// other calls.
	overtakenGrace = 50 * monotime.Millisecond
	// partialResponseTimeout limits the wait for the rest of a response, since an engine sends each response in one
	// piece.
	partialResponseTimeout = 100 * monotime.Millisecond
	// abandonTimeout is the time after which an engine has abandoned a query that is not polled.
	abandonTimeout     = gateway.AbandonTimeout
	healthCheckTimeout = 250 * monotime.Millisecond
	// bufferIdleTimeout is the time after which an idle connection frees its buffers.
	bufferIdleTimeout = 1000 * monotime.Millisecond
)

// tick handles timeouts: of dials and calls, of queries that engines must have abandoned by now, and of idle
// connections. An idle connection is closed after half the time after which the engine would close it, so that no POST
// is sent over a connection that is being closed.
func (p *enginePool) tick() {
	for c := range p.connections {
		p.checkConnection(c)
	}
	for name, e := range p.engines {
		p.checkEngine(name, e)
	}
	for request := range p.requests {
		p.checkRequest(request)
	}
}

// checkConnection closes a connection that has timed out, and frees the buffers of an idle one.
func (p *enginePool) checkConnection(c *engineConn) {
	now, settings := p.turnTime(), p.server.cfg.Settings
	age := now - c.lastActivity
	request := c.request
	switch {
	case c.isConnecting() && age >= settings.DialTimeout:
		c.terminate()
		if request != nil {
			p.handleNoConnection(request, false)
		}
	case c.state == engineBusy && c.partialSince != 0 && now-c.partialSince >= partialResponseTimeout:
		c.fail(true)
	case c.state == engineBusy && (age >= silenceTimeout || c.isOvertaken(now)):
		c.terminate()
		if request != nil {
			p.handleUnresponsive(request)
		}
	case c.state == engineIdle && age >= settings.ConnIdle/2:
		c.terminate()
	case c.state == engineIdle && age >= bufferIdleTimeout:
		c.FreeBuffers()
	}
}

// checkEngine sends waiting requests over the connections that are reusable by now, or the first of them over a new
// connection if there is none. It deletes a removed engine once that has no connections and no requests.
func (p *enginePool) checkEngine(name string, e *engine) {
	for len(e.waiters) > 0 && e.hasReusable(p.turnTime()) {
		p.sendWaiting(e)
	}
	if e.connectionCount == 0 {
		p.sendWaiting(e)
	}
	if e.removed && e.connectionCount == 0 && e.requestCount == 0 {
		delete(p.engines, name)
	}
}

// checkRequest ends a request that has timed out, and dials again for one that could not get a connection.
func (p *enginePool) checkRequest(request *engineRequest) {
	now := p.turnTime()
	switch {
	case request.isHealthCheck() && now-request.startedAt >= healthCheckTimeout:
		p.finish(request, scheduler.TimedOut)
	case request.redialAt != 0 && now >= request.redialAt:
		request.redialAt = 0
		p.sendNext(request)
	case request.isAbandonable() && now-request.lastPolled >= abandonTimeout:
		p.handleAbandoned(request)
	}
}

// handleAbandoned continues a request whose query the engine must have stopped by now. That ends the attempt, with two
// exceptions. If the start is unconfirmed, the engine may read it later. If the end must be confirmed, a query that
// completed before it was abandoned counts as running until its engine has reported the end or has received a DELETE.
// Such an attempt ends with the response to a last DELETE, or once the engine is removed: its process has then ended.
//
// An unconfirmed start can still be read by an engine that accepts connections and does not respond, so an attempt with
// one ends with the response to a last DELETE too. If no connection can be established, the machine is unreachable, or
// no process listens. The connection that carried the start has been reset, so the start no longer arrives, and an
// attempt whose end needs no confirmation has ended.
func (p *enginePool) handleAbandoned(request *engineRequest) {
	mustConfirm := request.requiresConfirmedEnd()
	if mustConfirm && request.isCallUnderWay() ||
		request.finalDeleteSent && (request.awaitsResponse() || request.isWaiting) {
		return // the response, or the failure of the call, decides
	}
	if c := request.detach(); c != nil {
		c.terminate()
	}
	switch {
	case mustConfirm && request.finalDeleteSent:
		p.repeatFinalDelete(request)
	case request.finalDeleteSent || !mustConfirm && !request.startUnconfirmed:
		p.finish(request, scheduler.Reset)
	default:
		p.sendFinalDelete(request)
	}
}

// sendFinalDelete sends a last DELETE, which ends the query in case the POST arrived late or the query had completed.
func (p *enginePool) sendFinalDelete(request *engineRequest) {
	request.finalDeleteSent = true
	request.lastPolled = p.turnTime() - abandonTimeout + silenceTimeout
	request.query.Cancel()
	p.dial(request)
}

// repeatFinalDelete sends another last DELETE after the abandon timeout.
func (p *enginePool) repeatFinalDelete(request *engineRequest) {
	request.finalDeleteSent = false
	request.lastPolled = p.turnTime()
}
