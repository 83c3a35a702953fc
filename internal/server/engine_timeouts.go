package server

import (
	"chutechute/gateway"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

const (
	// responseTimeout is when the response to a call is overdue: an engine responds to each within 250 ms.
	responseTimeout = 300 * monotime.Millisecond
	// silenceTimeout is when an engine counts as unresponsive: it stands still for 600 ms at most.
	silenceTimeout = 1000 * monotime.Millisecond
	// overtakenGrace is how much later a call counts as lost whose response is overdue while others got theirs.
	overtakenGrace = 50 * monotime.Millisecond
	// partialResponseTimeout is for the rest of a response: it comes at one go.
	partialResponseTimeout = 100 * monotime.Millisecond
	// abandonTimeout is when an engine has abandoned a query that is not polled.
	abandonTimeout     = gateway.AbandonTimeout
	healthCheckTimeout = 250 * monotime.Millisecond
	// bufferIdleTimeout is when an idle connection lets go of its buffers.
	bufferIdleTimeout = 1000 * monotime.Millisecond
)

// tick handles what time alone brings: dials and calls that took too long, queries that engines have abandoned by now,
// and idle connections, which are closed well before the engine closes them so that no POST meets a closing one.
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

// checkConnection closes a connection that is past a timeout.
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

// checkEngine sends the requests that wait for a connection, as far as there are reusable ones, and forgets an engine
// that is removed once nothing of it is left.
func (p *enginePool) checkEngine(name string, e *engine) {
	for len(e.waiters) > 0 && e.hasReusable(p.turnTime()) {
		p.sendWaiting(e)
	}
	if e.removed && e.connectionCount == 0 && e.requestCount == 0 {
		delete(p.engines, name)
	}
}

// checkRequest ends a request that is past a timeout, and dials again for one that has no connection.
func (p *enginePool) checkRequest(request *engineRequest) {
	now := p.turnTime()
	switch {
	case request.isHealthCheck() && now-request.startedAt >= healthCheckTimeout:
		p.finish(request, scheduler.TimedOut)
	case request.isAbandonable() && now-request.lastPolled >= abandonTimeout:
		p.handleAbandoned(request)
	case request.redialAt != 0 && now >= request.redialAt:
		request.redialAt = 0
		p.sendNext(request)
	}
}

// handleAbandoned ends a request whose query the engine has abandoned by now. Where its POST is unconfirmed a last
// DELETE goes first: if the POST has come late after all, this ends it.
func (p *enginePool) handleAbandoned(request *engineRequest) {
	if request.connection != nil {
		request.connection.terminate()
		request.connection = nil
	}
	if !request.startUnconfirmed || request.finalDeleteSent {
		p.finish(request, scheduler.Reset)
		return
	}
	request.finalDeleteSent = true
	request.lastPolled = p.turnTime() - abandonTimeout + silenceTimeout
	request.query.Cancel()
	p.dial(request)
}
