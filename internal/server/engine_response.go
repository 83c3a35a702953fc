package server

import (
	"errors"
	"log/slog"

	"chutechute/internal/monotime"
	"chutechute/internal/rest"
	"chutechute/scheduler"
)

// statusStillRunning is the HTTP status of a response which says that the query is still running.
const statusStillRunning = 202

// callOutcome says how the request continues after a response.
type callOutcome struct {
	result   scheduler.Result // of the query, if it has ended
	ended    bool
	reusable bool // the connection may carry another call
	overdue  bool // the engine was unresponsive, and reads what arrived meanwhile on several connections in any order
}

// readResponses reads input and handles the responses that were received completely.
func (c *engineConn) readResponses() {
	more, err := c.readInput()
	if err != nil {
		c.failMalformed(err)
		return
	}
	if c.state != engineBusy && c.In.Len() > 0 {
		// This is a duplicate response or part of one. What follows could be mistaken for the response to the next
		// query.
		c.logUnexpected()
		c.failMalformed(nil)
		return
	}
	for !c.Closed && c.In.Len() > 0 {
		response, ok, err := rest.NextResponse(c.In)
		if err != nil {
			c.failMalformed(err)
			return
		}
		if !ok {
			break
		}
		c.handleResponse(response, more)
	}
	c.checkPartialResponse(more)
}

// logUnexpected logs that an engine sent data while no call was in flight.
func (c *engineConn) logUnexpected() {
	sinceLast := c.pool.server.host.Clock.Now() - c.lastActivity
	slog.Debug("unexpected bytes from engine",
		slog.String("engine", c.engine.name),
		slog.Float64("duration_ms", microsToMillis(sinceLast)))
}

// checkPartialResponse fails a connection that cannot receive the rest of its response.
func (c *engineConn) checkPartialResponse(more bool) {
	isPartial := c.In.Len() > 0
	switch {
	case c.Closed:
	case !more:
		c.fail(isPartial)
	case len(c.In.Space()) == 0: // the buffer budget that all engine connections share is exhausted
		c.fail(isPartial)
	case isPartial && c.partialSince == 0:
		c.partialSince = c.pool.turnTime()
	}
}

// failMalformed fails a connection after malformed or unexpected input.
func (c *engineConn) failMalformed(cause error) {
	c.pool.counters().MalformedResponses++
	slog.Debug("malformed engine response", slog.String("engine", c.engine.name), slog.Any("error", cause))
	c.fail(true)
}

// handleResponse handles a complete response. The request's next call is sent at once, over the same connection if that
// is reusable.
func (c *engineConn) handleResponse(response rest.Response, more bool) {
	request := c.request
	c.engine.lastSeen = c.pool.turnTime()
	outcome, err := callOutcome{result: scheduler.Succeeded}, error(nil)
	if request != nil {
		outcome.result, outcome.ended, err = request.query.HandleResponse(response)
	}
	if errors.Is(err, rest.ErrStaleResponse) { // the call may not have arrived, so another connection repeats it
		c.pool.counters().MalformedResponses++
		c.fail(false)
		return
	}
	if err != nil {
		c.failMalformed(err)
		return
	}
	outcome.overdue = c.pool.turnTime()-c.lastActivity >= responseTimeout
	c.markIdle(response)
	outcome.reusable = c.isReusable(response, more)
	if request == nil {
		c.endAbandonedPoll()
		c.release(outcome.reusable)
		return
	}
	request.connection, request.resumeCount = nil, 0
	c.pool.counters().MalformedHeaders += response.MalformedHeaders
	if progress := request.query.Progress(); progress != nil && !request.isHealthCheck() && !outcome.ended {
		c.pool.server.core.ReportProgress(request.attempt, progress.Kind, progress.Value)
	}
	if isUnknownToEngine(request, outcome) {
		request.logDebug("query unknown to engine")
		if request.finalDeleteSent {
			c.pool.repeatFinalDelete(request)
		}
		c.release(outcome.reusable)
		return
	}
	if outcome.ended && outcome.result == scheduler.Errored {
		request.logDebug("query failed on engine", slog.Int("status", response.Status))
	}
	request.startUnconfirmed = false
	if !outcome.ended && request.cancelAfterStart {
		request.query.Cancel()
	}
	c.continueRequest(request, outcome)
}

// markIdle records that the call has its response.
func (c *engineConn) markIdle(response rest.Response) {
	now := c.pool.turnTime()
	// A "still running" response that arrives before longPollDuration has passed may be a duplicate of the previous
	// response. In that case the actual response to this call is still to come.
	if response.Status == statusStillRunning && now-c.lastActivity < longPollDuration-longPollTolerance {
		c.staleResponsePossible = true
	}
	c.state, c.request, c.lastActivity, c.partialSince = engineIdle, nil, now, 0
}

// isReusable reports whether the connection may carry another call after a response.
func (c *engineConn) isReusable(response rest.Response, more bool) bool {
	mayStayOpen := c.pool.server.availableDescriptors() >= 0 || !c.pool.isReplaceable(c)
	return more && !response.Close && c.In.Len() == 0 && c.Out.Len() == 0 && mayStayOpen && c.PeerIdle()
}

// endAbandonedPoll records the response to the poll of a request that was detached from the connection. The request
// counts as polled until now.
func (c *engineConn) endAbandonedPoll() {
	if request := c.abandonedPoll; request != nil {
		c.abandonedPoll = nil
		request.lastPolled = c.pool.turnTime()
	}
}

// isUnknownToEngine reports whether the engine ended a query that it does not know and that may still run: the engine
// may read the POST later, or another process may have received it. The response to a last DELETE excludes that unless
// it is overdue.
func isUnknownToEngine(request *engineRequest, outcome callOutcome) bool {
	if !outcome.ended || !request.startUnconfirmed || request.finalDeleteSent && !outcome.overdue {
		return false
	}
	return outcome.result == scheduler.Errored || outcome.result == scheduler.Canceled
}

// continueRequest ends a request or sends its next call.
func (c *engineConn) continueRequest(request *engineRequest, outcome callOutcome) {
	switch {
	case outcome.ended:
		c.release(outcome.reusable)
		c.pool.finish(request, outcome.result)
	case outcome.reusable && request.query.Polling() && len(c.engine.waiters) > 0:
		// Only polls take turns: waiting would delay fetches of result pages and DELETEs, and thus the client's
		// response.
		c.engine.enqueue(request)
		c.release(true)
	case outcome.reusable:
		request.assign(c)
		c.send()
	default:
		c.terminate()
		c.pool.sendNext(request)
	}
}

// microsToMillis converts microseconds to milliseconds.
func microsToMillis(micros monotime.Micros) float64 {
	return float64(micros) / float64(monotime.Millisecond)
}
