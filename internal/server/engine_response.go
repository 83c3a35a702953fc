package server

import (
	"errors"
	"log/slog"

	"chutechute/internal/monotime"
	"chutechute/internal/rest"
	"chutechute/scheduler"
)

// statusNoNews is the HTTP status (202) of the response to a poll that has no news of the query.
const statusNoNews = 202

// callOutcome is what a response says of the request that it belongs to.
type callOutcome struct {
	result   scheduler.Result // where the query has ended
	ended    bool
	reusable bool // the connection may carry another call
}

// readResponses reads what has come and handles the responses that have come whole.
func (c *engineConn) readResponses() {
	more, err := c.readInput()
	if err != nil {
		c.failMalformed(err)
		return
	}
	if c.state != engineBusy && c.In.Len() > 0 {
		// It is a second copy, or a part of one: what follows it could be taken for the next query's response.
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

// logUnexpected logs that an engine has sent something though no call is in flight.
func (c *engineConn) logUnexpected() {
	sinceLast := c.pool.server.host.Clock.Now() - c.lastActivity
	slog.Debug("unexpected bytes from engine",
		slog.String("engine", c.engine.name),
		slog.Float64("duration_ms", microsToMillis(sinceLast)))
}

// checkPartialResponse fails a connection that can't get the rest of its response.
func (c *engineConn) checkPartialResponse(more bool) {
	isPartial := c.In.Len() > 0
	switch {
	case c.Closed:
	case !more:
		c.fail(isPartial)
	case len(c.In.Space()) == 0: // the buffer budget of all engines is exhausted
		c.fail(isPartial)
	case isPartial && c.partialSince == 0:
		c.partialSince = c.pool.turnTime()
	}
}

// failMalformed fails a connection on which something came that is no response to its call.
func (c *engineConn) failMalformed(cause error) {
	c.pool.counters().MalformedResponses++
	slog.Debug("malformed engine response", slog.String("engine", c.engine.name), slog.Any("error", cause))
	c.fail(true)
}

// handleResponse takes a whole response; the request's next call goes out at once over the same connection.
func (c *engineConn) handleResponse(response rest.Response, more bool) {
	request := c.request
	c.engine.lastSeen, c.engine.resetCount = c.pool.turnTime(), 0
	outcome, err := callOutcome{result: scheduler.Succeeded}, error(nil)
	if request != nil {
		outcome.result, outcome.ended, err = request.query.HandleResponse(response)
	}
	if errors.Is(err, rest.ErrStaleResponse) { // what the DELETE ends may still run: it goes again over another connection
		c.pool.counters().MalformedResponses++
		c.fail(false)
		return
	}
	if err != nil {
		c.failMalformed(err)
		return
	}
	c.markIdle(response)
	outcome.reusable = c.isReusable(response, more)
	if request == nil {
		c.endAbandonedPoll()
		c.release(outcome.reusable)
		return
	}
	request.connection, request.resumeCount = nil, 0
	c.pool.counters().MalformedFacts += response.MalformedHeaders
	if note := request.query.Progress(); note != nil && !request.isHealthCheck() && !outcome.ended {
		c.pool.server.core.ReportProgress(request.attempt, note.Kind, note.Value)
	}
	if isUnknownToEngine(request, outcome) {
		request.logDebug("query unknown to engine")
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

// markIdle notes that the call has its response.
func (c *engineConn) markIdle(response rest.Response) {
	now := c.pool.turnTime()
	// A response without news, before it is time for one, may be a copy of the last response, with the one to this call
	// still to come.
	if response.Status == statusNoNews && now-c.lastActivity < longPollDuration-longPollTolerance {
		c.staleResponsePossible = true
	}
	c.state, c.request, c.lastActivity, c.partialSince = engineIdle, nil, now, 0
}

// isReusable says whether the connection may carry another call after a response.
func (c *engineConn) isReusable(response rest.Response, more bool) bool {
	isAffordable := c.pool.server.freeDescriptors() >= 0 || !c.pool.isReplaceable(c)
	return more && !response.Close && c.In.Len() == 0 && c.Out.Len() == 0 && isAffordable && c.PeerIdle()
}

// endAbandonedPoll notes that the poll of a request that has left the connection has its response: the request
// counts as polled until now.
func (c *engineConn) endAbandonedPoll() {
	if request := c.abandonedPoll; request != nil {
		c.abandonedPoll = nil
		request.lastPolled = c.pool.turnTime()
	}
}

// isUnknownToEngine says whether the engine has ended a query of which it knows nothing, though it may run later or
// elsewhere: what the engine has not read of the POST may still come, or another process has it.
func isUnknownToEngine(request *engineRequest, outcome callOutcome) bool {
	if !outcome.ended || !request.startUnconfirmed || request.finalDeleteSent {
		return false
	}
	return outcome.result == scheduler.Errored || outcome.result == scheduler.Canceled
}

// continueRequest ends a request, or sends its next call.
func (c *engineConn) continueRequest(request *engineRequest, outcome callOutcome) {
	switch {
	case outcome.ended:
		c.release(outcome.reusable)
		c.pool.finish(request, outcome.result)
	case outcome.reusable && request.query.Polling() && len(c.engine.waiters) > 0:
		// Only one whose end is awaited waits its turn: pages to fetch and DELETEs would reach the client late.
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

// microsToMillis converts a duration to milliseconds.
func microsToMillis(micros monotime.Micros) float64 {
	return float64(micros) / float64(monotime.Millisecond)
}
