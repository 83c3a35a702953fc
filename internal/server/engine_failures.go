package server

import (
	"log/slog"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

const (
	redialDelay = 100 * monotime.Millisecond
	maxResumes  = 3 // how often in a row a query is resumed on another connection
	maxRedials  = 2 // how many connections in a row may break unused
)

// handleNoConnection continues a request for which no connection could be established. refused reports whether the
// engine refused the connection.
//
// An attempt that was never sent never ran. Otherwise a connection that was not established proves nothing about the
// query, which is not bound to connections:
//
// A draining engine, or one at its connection limit, refuses new connections but continues its queries, so the request
// waits for one of the connections that are left. That none is left proves nothing either, since the network may have
// reset all of them at the same time.
//
// A process that has ended refuses connections too. The next one may be accepted by a new process, whose response that
// it does not know the query says nothing about the old process.
//
// So the engine is dialed again until it must have abandoned the query. When a single late connection ended these
// attempts, a DELETE stayed undelivered, and the next query with the same key started while the first was still
// running. When resets and a refusal ended them, idempotent queries ran on two engines at once.
func (p *enginePool) handleNoConnection(request *engineRequest, refused bool) {
	request.logDebug("no connection to engine", slog.Bool("refused", refused))
	e := request.engine
	request.connection = nil
	e.refusesConnections = refused
	if refused && request.connectionReset {
		request.startUnconfirmed = true // by the process that accepts the next connection
	}
	switch {
	case !request.startSent:
		p.finish(request, scheduler.NoConnection)
	case refused && e.establishedCount > 0:
		e.enqueue(request)
	default:
		request.redialAt = p.turnTime() + redialDelay
	}
}

// handleBrokenCall continues a request whose call got no readable response. malformed reports whether something else
// was received in its place. That does not show that the engine has received the call, since it may have followed an
// earlier response. Queries are not bound to connections and an engine sends its response again, so the query is polled
// or deleted over another connection. After more than maxResumes failures in a row the query is canceled.
func (p *enginePool) handleBrokenCall(request *engineRequest, malformed bool) {
	request.logDebug("engine call broken", slog.Bool("malformed", malformed))
	request.connection = nil
	request.connectionReset = !malformed
	request.lastPolled = p.turnTime() // the engine may have received the call until now
	request.resumeCount++
	switch {
	case request.isHealthCheck():
		p.finish(request, scheduler.Reset)
	case request.resumeCount <= maxResumes:
		p.resume(request)
	case !request.query.Canceling() && !request.startUnconfirmed:
		request.resumeCount = 0
		request.query.Cancel()
		p.sendNext(request)
	} // otherwise the engine abandons the query, which is no longer polled
}

// resume polls for a request over another connection.
//
// The broken connection does not prove that the start arrived. A machine that was unreachable closes its old
// connections when it returns; what was sent in the meantime is unread, or was read by a process that has ended. The
// response to a poll or a DELETE then proves nothing. What was received in place of the response to a POST may be a
// late duplicate of another response, which proves nothing about the POST either.
func (p *enginePool) resume(request *engineRequest) {
	request.startUnconfirmed = request.startUnconfirmed || request.query.StartPending()
	request.query.Resume()
	p.sendNext(request)
}

// handleUnresponsive continues a request whose call got no response in time. The machine may be lost, which only a new
// connection can show. If none is established, the request waits until the engine has abandoned the query.
//
// A query without a response for the second time is canceled: a poll may reach the engine late and prolong the query,
// so the response to a DELETE proves more than waiting does. If the POST has no response yet, the engine may still read
// it, so no DELETE is sent that could overtake it. A last DELETE is repeated later for the same reason.
func (p *enginePool) handleUnresponsive(request *engineRequest) {
	request.logDebug("engine unresponsive")
	p.server.core.EngineUnresponsive(request.engine.name)
	request.connection, request.connectionReset = nil, false
	request.resumeCount++
	if request.finalDeleteSent {
		p.repeatFinalDelete(request)
		return
	}
	if request.isHealthCheck() || request.startUnconfirmed || request.resumeCount > maxResumes {
		return // the engine abandons the query, which is no longer polled
	}
	switch {
	case request.query.StartPending():
		request.startUnconfirmed = true
		request.query.Resume()
	case request.resumeCount > 1:
		request.query.Cancel()
	}
	p.dial(request)
}

// redial continues a request whose connection broke before it carried any of the call. One failed connection says
// nothing about the engine, so another one is tried.
func (p *enginePool) redial(request *engineRequest) {
	request.connection = nil
	if request.startSent {
		p.handleBrokenCall(request, false)
		return
	}
	request.redialCount++
	if request.redialCount > maxRedials {
		p.handleNoConnection(request, false)
		return
	}
	p.sendNext(request)
}
