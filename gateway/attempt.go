package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// EngineClient carries out attempts and health checks. The core calls it from one goroutine; its answers must come from
// the same goroutine, and may come from within the call.
type EngineClient interface {
	// Start sends an attempt to its engine or, if it is AlreadyRunning, polls the engine for it. It is called once for
	// each attempt, and is answered by one Core.AttemptEnded; Core.ReportProgress may come before.
	Start(a *Attempt)
	// Cancel ends a started attempt early. It is called at most once for each attempt. Core.AttemptEnded follows, once
	// it is known that the attempt no longer runs.
	Cancel(a *Attempt)
	// SetPriority passes the current priority of an attempt in flight, Attempt.Priority, to its engine.
	SetPriority(a *Attempt)
	// HealthCheck polls an engine for its load. It is answered by one Core.HealthCheckEnded.
	HealthCheck(engine string)
}

// attemptState is a state of an attempt. An attempt passes the states in order and may skip some.
type attemptState int

const (
	attemptAuthorizing attemptState = iota // the idempotency store has not answered yet whether it may start
	attemptInFlight                        // it was passed to the engine client
	attemptCanceling                       // the engine client is canceling it
	attemptEnded
)

// Attempt is one execution of a request on an engine.
type Attempt struct {
	*Request
	Engine         string
	Timeout        monotime.Micros // how long the front end waits for it
	GrantMB        float64         // the memory that it may use, in megabytes; 0: the engine chooses
	StartBy        monotime.Micros // no byte of its start may be written at or after this time; 0: no such bound
	AlreadyRunning bool            // another front end started it: its engine is polled for it, and nothing is started
	// RequiresConfirmedEnd requires that the end of the attempt is certain, and not concluded from the state of a
	// connection: a second execution does harm, or others wait for the end. An attempt has ended once its engine
	// says so, has received its cancellation, or has not been polled for it for 2 s.
	RequiresConfirmedEnd bool
	// WorkUsed is the work on one thread that the engine reported; 0 if it reports none.
	WorkUsed monotime.Micros
	// MemoryUsedMB is the memory in megabytes that the engine reported; 0 if it reports none.
	MemoryUsedMB float64

	number       int // among the attempts of its request, from 0
	state        attemptState
	startedAt    monotime.Micros
	timeoutTimer *timer           // nil if only the request's deadline ends it
	cancelReason scheduler.Result // why it was canceled, once it was
}

// startAttempt starts an attempt of a request, as soon as the idempotency store allows it where the request is
// registered there.
func (c *Core) startAttempt(start scheduler.StartAttempt) {
	r := c.open[start.ID]
	if r == nil {
		return
	}
	a := &Attempt{
		Request:              r,
		Engine:               start.Engine,
		Timeout:              r.deadline - c.now,
		GrantMB:              r.grantMB,
		StartBy:              start.StartBy,
		RequiresConfirmedEnd: r.strictAttempts,
		number:               len(r.attempts),
		state:                attemptInFlight,
		startedAt:            c.now,
	}
	if start.Timeout > 0 && start.Timeout < a.Timeout {
		a.Timeout = start.Timeout
		a.timeoutTimer = c.timers.schedule(c.now+a.Timeout, func() { c.cancelAttempt(a, scheduler.TimedOut) })
	}
	c.addAttempt(a)
	c.counters.Sent++
	c.trace.attemptStarted(a)
	if r.registration != nil {
		c.authorizeAttempt(a)
		return
	}
	c.engines.Start(a)
}

// addAttempt adds an attempt to its request and counts it as in flight.
func (c *Core) addAttempt(a *Attempt) {
	a.Request.attempts = append(a.Request.attempts, a)
	a.Request.attemptsInFlight++
	c.attemptsInFlight++
}

// cancelAttempts cancels all attempts of a request that have not ended.
func (c *Core) cancelAttempts(r *Request, reason scheduler.Result) {
	for _, a := range r.attempts {
		c.cancelAttempt(a, reason)
	}
}

// cancelAttempt cancels an attempt, unless it has ended or is being canceled. The reason becomes its result if nothing
// better comes of it.
func (c *Core) cancelAttempt(a *Attempt, reason scheduler.Result) {
	switch a.state {
	case attemptAuthorizing:
		// The engine client has not got it and will not get it.
		c.AttemptEnded(c.now, a, scheduler.NotSent, nil, nil)
	case attemptInFlight:
		a.state, a.cancelReason = attemptCanceling, reason
		c.engines.Cancel(a)
	}
}

// AttemptEnded reports how an attempt ended, with its rows if it succeeded and the engine's load report, nil without
// one. A timeout alone is not the end of an attempt: it is in flight until the engine is known to have received the
// cancellation. A result that came before that is still delivered. A second report on the same attempt has no effect.
func (c *Core) AttemptEnded(now monotime.Micros, a *Attempt, result scheduler.Result, rows []byte,
	load *scheduler.LoadReport) {
	if a.state == attemptEnded {
		return
	}
	if a.AlreadyRunning && result.NeverRan() {
		// The engine was not reached, which proves nothing about what runs there: it ends once nobody polls for it.
		c.timers.schedule(now+AbandonTimeout, func() { c.AttemptEnded(c.now, a, scheduler.Reset, nil, nil) })
		return
	}
	if a.state == attemptCanceling && result != scheduler.Succeeded && !result.NeverRan() {
		result = a.cancelReason
	}
	a.state = attemptEnded
	a.Request.attemptsInFlight--
	c.attemptsInFlight--
	c.timers.cancel(a.timeoutTimer)
	elapsed := now - a.startedAt
	c.countResult(result)
	c.trace.attemptEnded(a, result, elapsed)
	final := c.applyResult(now, a, result, rows)
	c.addEvent(scheduler.Outcome{
		ID:           a.schedulerID,
		Attempt:      a.number,
		Engine:       a.Engine,
		Result:       result,
		Elapsed:      elapsed,
		Final:        final,
		Load:         load,
		WorkUsed:     a.WorkUsed,
		MemoryUsedMB: a.MemoryUsedMB,
	})
	if final { // hedged requests are not needed any more
		c.cancelAttempts(a.Request, scheduler.Canceled)
	}
	c.closeIfDone(a.Request)
}

// applyResult delivers the rows of an attempt that succeeded and notes what one that failed means for its registration.
// It reports whether the scheduler has nothing more to do for the request.
func (c *Core) applyResult(now monotime.Micros, a *Attempt, result scheduler.Result, rows []byte) (final bool) {
	final = a.finished
	switch {
	case result == scheduler.Succeeded && a.registration != nil:
		final = true
		c.commit(now, a, rows)
	case result == scheduler.Succeeded && !a.finished:
		final = true
		c.statements.addServed(a.Request)
		c.respond(now, a.Request, rows)
	case a.registration != nil && !result.NeverRan():
		a.registration.attemptMayHaveRun = true
	}
	if a.AlreadyRunning && result != scheduler.Succeeded {
		a.finished = true // the scheduler does not know the request, and no client waits for it
	}
	return final
}

// ReportProgress passes a progress report of an engine on an attempt in flight to the scheduler. A report has no effect
// where engines are not configured to send any.
func (c *Core) ReportProgress(a *Attempt, kind scheduler.ProgressKind, value float64) {
	if a.state != attemptInFlight || c.settings.ProgressInterval <= 0 {
		return
	}
	c.counters.Notes++
	c.addEvent(scheduler.ProgressReport{
		ID:      a.schedulerID,
		Attempt: a.number,
		Engine:  a.Engine,
		Kind:    kind,
		Value:   value,
	})
}

// countResult counts the result of an attempt.
func (c *Core) countResult(result scheduler.Result) {
	count := c.counters
	switch result {
	case scheduler.Succeeded:
		count.Done++
	case scheduler.Errored:
		count.Errored++
	case scheduler.Rejected:
		count.Full++
	case scheduler.TimedOut:
		count.TimedOut++
	case scheduler.NoConnection:
		count.NoConnection++
	case scheduler.Reset:
		count.Reset++
	case scheduler.Canceled:
		count.Dropped++
	case scheduler.NotSent:
		count.NotSent++
	}
}
