package server

import (
	"log/slog"

	"chutechute/gateway"
	"chutechute/internal/monotime"
	"chutechute/internal/rest"
	"chutechute/scheduler"
)

// engineRequest is an attempt of a query or a health check, with the state of its HTTP calls. The calls may use several
// connections in turn, since an engine does not bind a query to a connection.
type engineRequest struct {
	attempt    *gateway.Attempt // nil for a health check
	engine     *engine
	query      *rest.Query
	connection *engineConn // nil if it has none
	startedAt  monotime.Micros
	lastPolled monotime.Micros // the latest time at which the engine may have received a call for it; 0: never

	startSent        bool // part of the POST may have reached the engine
	startUnconfirmed bool // the engine may not have read the POST yet, and may still read it later
	connectionReset  bool // the engine closed the last connection
	cancelAfterStart bool // the DELETE follows the response to the POST
	finalDeleteSent  bool // a last DELETE is in flight, though the POST is unconfirmed
	isWaiting        bool // it is in the engine's queue for a connection
	finished         bool

	resumeCount int             // calls in a row without a usable response
	redialCount int             // connections in a row that broke before they carried anything
	redialAt    monotime.Micros // when to dial again after a connection could not be established; 0: not scheduled
}

// newStatementRequest returns the request for an attempt.
func newStatementRequest(attempt *gateway.Attempt, e *engine, now monotime.Micros) *engineRequest {
	start := rest.Start{
		ID:             attempt.ID,
		Class:          attempt.Class,
		IdempotencyKey: attempt.IdempotencyKey,
		Statement:      attempt.Statement,
		Timeout:        attempt.Timeout,
		GrantMB:        attempt.GrantMB,
		Priority:       attempt.Priority,
	}
	request := &engineRequest{
		attempt:   attempt,
		engine:    e,
		query:     rest.NewQuery(e.address.String(), start),
		startedAt: now,
	}
	if attempt.AlreadyRunning { // the engine may not have received the start yet, or may never receive it
		request.startSent, request.startUnconfirmed, request.lastPolled = true, true, now
		request.query.Resume()
	}
	return request
}

// isHealthCheck reports whether the request is a health check, which belongs to no attempt.
func (r *engineRequest) isHealthCheck() bool { return r.attempt == nil }

// keepsConnection reports whether the request's connection must not be closed just to free its descriptor.
func (r *engineRequest) keepsConnection() bool { return r.attempt != nil && r.attempt.KeepConnection }

// requiresConfirmedEnd reports whether the attempt ends only once its engine has confirmed that. A removed engine has
// ended with all its queries.
func (r *engineRequest) requiresConfirmedEnd() bool {
	return r.attempt != nil && r.attempt.RequiresConfirmedEnd && !r.engine.removed
}

// isStartExpired reports whether it is too late to write the start. It reads the clock again, since the process may
// have been paused since this turn began, and other front ends may already count the attempt as expired.
func (r *engineRequest) isStartExpired() bool {
	return r != nil && r.attempt != nil && r.attempt.StartBy != 0 && r.query.StartPending() &&
		r.engine.readClock() >= r.attempt.StartBy
}

// isCallUnderWay reports whether a call of the request is in flight, or waits for a connection.
func (r *engineRequest) isCallUnderWay() bool {
	return r.connection != nil || r.isWaiting || r.redialAt != 0
}

// awaitsResponse reports whether the engine has accepted the connection that carries the request's call.
func (r *engineRequest) awaitsResponse() bool {
	return r.connection != nil && !r.connection.isConnecting()
}

// isAbandonable reports whether the engine will abandon the query unless it is polled again.
func (r *engineRequest) isAbandonable() bool {
	return r.startSent && (r.connection == nil || r.cancelAfterStart || r.query.Canceling())
}

// logDebug logs an event of a request with the state of its calls, at debug level. Health checks are not logged.
func (r *engineRequest) logDebug(message string, attributes ...any) {
	if r.isHealthCheck() {
		return
	}
	slog.Debug(message, append(attributes,
		slog.String("request_id", r.attempt.ID),
		slog.String("engine", r.engine.name),
		slog.Bool("start_sent", r.startSent),
		slog.Bool("start_pending", r.query.StartPending()),
		slog.Bool("start_unconfirmed", r.startUnconfirmed),
		slog.Bool("canceling", r.query.Canceling()),
		slog.Int("resume_count", r.resumeCount))...)
}

// assign assigns a connection to the request for its next call.
func (r *engineRequest) assign(c *engineConn) {
	c.request, r.connection = r, c
}

// detach detaches the request from its connection and returns the connection, or nil if there was none.
func (r *engineRequest) detach() *engineConn {
	c := r.connection
	if c != nil {
		c.request, r.connection = nil, nil
	}
	return c
}

// register adds a request to those in flight.
func (p *enginePool) register(request *engineRequest) {
	p.requests[request] = struct{}{}
	request.engine.requestCount++
	if !request.isHealthCheck() {
		p.requestByAttempt[request.attempt] = request
	}
}

// unregister removes a finished request from those in flight.
func (p *enginePool) unregister(request *engineRequest) {
	delete(p.requests, request)
	request.engine.requestCount--
	request.finished = true
	if !request.isHealthCheck() {
		delete(p.requestByAttempt, request.attempt)
	}
}

// finish ends a request and reports its result to the core.
func (p *enginePool) finish(request *engineRequest, result scheduler.Result) {
	if request.finished {
		return
	}
	if c := request.detach(); c != nil && c.isConnecting() {
		c.terminate()
	}
	p.unregister(request)
	core, now := p.server.core, p.turnTime()
	if request.isHealthCheck() {
		elapsed := now - request.startedAt
		core.HealthCheckEnded(request.engine.name, result, elapsed, request.query.Load())
		return
	}
	if p.server.cfg.Settings.ReportsCost {
		cost := request.query.Cost()
		request.attempt.WorkUsed, request.attempt.MemoryUsedMB = cost.Work, cost.MemoryMB
	}
	core.AttemptEnded(now, request.attempt, result, request.query.Rows(), request.query.Load())
}
