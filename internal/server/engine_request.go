package server

import (
	"log/slog"

	"chutechute/gateway"
	"chutechute/internal/monotime"
	"chutechute/internal/rest"
	"chutechute/scheduler"
)

// engineRequest is an attempt of a query, or a health check, on its way through its calls over HTTP: over one
// connection after another, as no connection owns a query.
type engineRequest struct {
	attempt    *gateway.Attempt // nil for a health check
	engine     *engine
	query      *rest.Query
	connection *engineConn // nil while it has none
	startedAt  monotime.Micros
	lastPolled monotime.Micros // when the engine got a call for it last, as far as it may know; 0: never

	startSent        bool // some of the POST may have reached the engine
	startUnconfirmed bool // the POST may not have been read yet, and may be later
	connectionReset  bool // the last connection was closed by the engine
	cancelAfterStart bool // it is to be canceled once the POST has its response
	finalDeleteSent  bool // the DELETE that ends it, though the POST is unconfirmed, is in flight
	isWaiting        bool // in its engine's queue for a connection
	finished         bool

	resumeCount int             // connections that broke since the last response
	redialCount int             // connections that broke before they carried anything
	redialAt    monotime.Micros // when to dial again, as no connection came up; 0: not
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
	if attempt.AlreadyRunning { // it may not have come to its engine yet, or never will
		request.startSent, request.startUnconfirmed, request.lastPolled = true, true, now
		request.query.Resume()
	}
	return request
}

// isHealthCheck says whether the request asks for the engine's load only.
func (r *engineRequest) isHealthCheck() bool { return r.attempt == nil }

// isStrict says whether the request is of a query that must not run twice.
func (r *engineRequest) isStrict() bool { return r.attempt != nil && r.attempt.RequiresConfirmedEnd }

// isStartExpired says whether the start may not be written any more. It reads the clock anew: the process may have
// stood still since this turn began, and others may count the attempt as expired by now.
func (r *engineRequest) isStartExpired() bool {
	return r != nil && r.attempt != nil && r.attempt.StartBy != 0 && r.query.StartPending() &&
		r.engine.readClock() >= r.attempt.StartBy
}

// isAbandonable says whether the engine abandons the query by itself, unless it is polled again.
func (r *engineRequest) isAbandonable() bool {
	return r.startSent && (r.connection == nil || r.cancelAfterStart || r.query.Canceling())
}

// logDebug logs what befell a request's call, at debug level.
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

// assign gives a request's next call to a connection.
func (r *engineRequest) assign(c *engineConn) {
	c.request, r.connection = r, c
}

// detach takes a request off its connection, and returns the connection; nil where it had none.
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

// unregister takes a finished request out of those in flight.
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
