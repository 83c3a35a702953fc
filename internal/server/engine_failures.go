package server

import (
	"log/slog"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

const (
	redialDelay = 100 * monotime.Millisecond
	resetWindow = 50 * monotime.Millisecond // connections that are closed all at once are noticed within it
	maxResumes  = 3                         // connections, one after another, on which a query is resumed
	maxRedials  = 2                         // connections that may break before they carry anything of a query
)

// handleNoConnection goes on with a request for which no connection could be established; refused says that the
// engine refused it.
//
// What was never sent never ran. An engine that drains refuses new connections and runs on, so the request waits
// for one of those that are left; that none is left proves nothing, as the last may have been reset on its way. A
// process that has ended has closed all connections at once, or is listed as removed, which is enough for what may
// run twice without harm, and for no other: there the key's next query was sent too early. Else a connection may
// have been established too late, and another may be in time: it is dialled again until the engine has abandoned
// the query by itself. A DELETE that was left undelivered for one late connection had the next of its key start
// while the query ran.
func (p *enginePool) handleNoConnection(request *engineRequest, refused bool) {
	request.logDebug("no connection to engine", slog.Bool("refused", refused))
	e := request.engine
	request.connection = nil
	e.refusesConnections = refused
	processMayHaveEnded := refused && request.connectionReset
	if processMayHaveEnded && request.attempt.RequiresConfirmedEnd {
		// Who accepts the next connection may be another process, without the query.
		request.startUnconfirmed = true
	}
	switch {
	case !request.startSent:
		p.finish(request, scheduler.NoConnection)
	case refused && e.establishedCount > 0:
		e.enqueue(request)
	case processMayHaveEnded && !request.attempt.RequiresConfirmedEnd && (e.removed || e.resetCount > 1):
		p.finish(request, scheduler.Reset)
		p.sendWaiting(e)
	default:
		request.redialAt = p.turnTime() + redialDelay
	}
}

// handleBrokenCall goes on with a request whose call has no readable response; arrived says that something came in
// its place, so that the call itself has arrived whole. No connection owns a query, and its engine sends its
// response again, so it is polled on another connection. One that has a malformed response again and again is
// canceled.
func (p *enginePool) handleBrokenCall(request *engineRequest, arrived bool) {
	request.logDebug("engine call broken", slog.Bool("arrived", arrived))
	request.connection = nil
	request.connectionReset = !arrived
	request.lastPolled = p.turnTime() // as far as its engine may know
	request.resumeCount++
	switch {
	case request.isHealthCheck():
		p.finish(request, scheduler.Reset)
	case arrived && request.query.Canceling():
		p.finish(request, scheduler.Canceled)
	case request.resumeCount <= maxResumes:
		p.resume(request)
	case !request.query.Canceling() && !request.startUnconfirmed:
		request.resumeCount = 0
		request.query.Cancel()
		p.sendNext(request)
	} // else the engine abandons it as it is not polled
}

// resume polls a request on another connection. A machine that was away closes its old connections when it is back,
// with what was sent meanwhile unread or read by a process that has ended; a poll, or a DELETE, then proves
// nothing. What came in place of a POST's response may be a late copy of another, which proves nothing of the POST
// either.
func (p *enginePool) resume(request *engineRequest) {
	request.startUnconfirmed = request.startUnconfirmed || request.query.StartPending()
	request.query.Resume()
	p.sendNext(request)
}

// handleUnresponsive goes on with a request whose call got no response in time. The machine may be gone, so only a new
// connection can tell; where none is established the query is left until its engine has abandoned it. One that gets no
// response twice is canceled: the poll may reach the engine late, so that waiting proves less than the response to a
// DELETE. A POST may still be read, and a DELETE is not to overtake it.
func (p *enginePool) handleUnresponsive(request *engineRequest) {
	request.logDebug("engine unresponsive")
	p.server.core.EngineUnresponsive(request.engine.name)
	request.connection, request.connectionReset = nil, false
	request.resumeCount++
	if request.isHealthCheck() || request.finalDeleteSent || request.startUnconfirmed ||
		request.resumeCount > maxResumes {
		return
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

// redial goes on with a request whose connection broke before it carried the call: one connection proves nothing of the
// engine, so another is tried.
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
