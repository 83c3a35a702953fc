package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// EngineClient carries out attempts and health checks. The core calls it from one goroutine. It must call back into the
// core from the same goroutine, and may do so before its own method returns.
type EngineClient interface {
	// Start sends an attempt to its engine or, if the attempt is AlreadyRunning, polls the engine for it. The core calls
	// it once for each attempt. The EngineClient reports the end by one call of Core.AttemptEnded, and may call
	// Core.ReportProgress before.
	Start(a *Attempt)
	// Cancel ends a started attempt early. The core calls it at most once for each attempt. The EngineClient
	// calls Core.AttemptEnded once it is known that the attempt no longer runs: the engine has reported the end, has
	// received the cancellation, or, unless the attempt RequiresConfirmedEnd, has not been polled for it for 2 s. The
	// state of a connection proves nothing about an attempt that was sent.
	Cancel(a *Attempt)
	// SetPriority sends the changed priority of an attempt in flight, Attempt.Priority, to its engine.
	SetPriority(a *Attempt)
	// HealthCheck requests an engine's load report. The EngineClient reports the result by one call of
	// Core.HealthCheckEnded.
	HealthCheck(engine string)
}

// attemptState is the state of an attempt. An attempt goes through the states in this order and may skip some.
type attemptState int

const (
	attemptAuthorizing attemptState = iota // waits for the idempotency store's authorization to start
	attemptInFlight                        // passed to the engine client
	attemptCanceling                       // being canceled by the engine client
	attemptEnded
)

// Attempt is one execution of a request on an engine.
type Attempt struct {
	*Request
	Engine         string
	Timeout        monotime.Micros // after which the front end cancels it, counted from its start
	GrantMB        float64         // memory that it may use, in megabytes; 0: the engine chooses
	StartBy        monotime.Micros // no byte of its start request may be written at or after this time; 0: no such bound
	AlreadyRunning bool            // another front end started it: the engine is only polled for it
	// KeepConnection requires that no connection in use by the attempt is closed just to free its descriptor, because a
	// second execution would do harm or other requests wait for the end of this one.
	KeepConnection bool
	// RequiresConfirmedEnd is set if other requests wait, by the order of their key, for the end of the attempt. It ends
	// only once its engine has reported the end, has received the cancellation, or is removed: a query that completed
	// and has not been polled since counts as running until then.
	RequiresConfirmedEnd bool
	// WorkUsed is the work that the engine reported, as time on one thread; 0 without a report.
	WorkUsed monotime.Micros
	// MemoryUsedMB is the memory that the engine reported, in megabytes; 0 without a report.
	MemoryUsedMB float64

	number       int // of the attempt within its request, from 0
	state        attemptState
	startedAt    monotime.Micros
	timeoutTimer *timer           // nil if only the request's deadline limits it
	cancelReason scheduler.Result // set once it was canceled
}

// schedulerNumber returns the number that the scheduler has given the attempt. It is negative, and unknown to the
// scheduler, if the request was passed to the scheduler again since.
func (a *Attempt) schedulerNumber() int { return a.number - a.Request.attemptsBeforeScheduled }

// attemptOf returns the attempt with a number that the scheduler has given it, or nil.
func (r *Request) attemptOf(schedulerNumber int) *Attempt {
	if i := r.attemptsBeforeScheduled + schedulerNumber; i < len(r.attempts) {
		return r.attempts[i]
	}
	return nil
}

// startAttempt starts an attempt of a request. If the request is registered in the idempotency store, the attempt
// starts once the store has authorized it.
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
		KeepConnection:       r.keepConnection,
		RequiresConfirmedEnd: r.holdsOrderKey,
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

// cancelAttempt cancels an attempt, unless it has ended or is being canceled. The reason becomes its result, unless it
// succeeds before the cancellation takes effect or is known never to have run.
func (c *Core) cancelAttempt(a *Attempt, reason scheduler.Result) {
	switch a.state {
	case attemptAuthorizing:
		// It was not passed to the engine client, and will not be.
		c.AttemptEnded(c.now, a, scheduler.NotSent, nil, nil)
	case attemptInFlight:
		a.state, a.cancelReason = attemptCanceling, reason
		c.engines.Cancel(a)
	}
}

// AttemptEnded reports how an attempt ended, with its rows if it succeeded, and with the engine's load report or nil.
// A timeout alone does not end an attempt: it stays in flight until the engine is known to have received the
// cancellation, and a result that arrives before that is still delivered. A second report on an attempt has no effect.
func (c *Core) AttemptEnded(now monotime.Micros, a *Attempt, result scheduler.Result, rows []byte,
	load *scheduler.LoadReport) {
	if a.state == attemptEnded {
		return
	}
	if a.AlreadyRunning && result.NeverRan() {
		// That the engine was not reached proves nothing about an attempt that runs there. The attempt has certainly
		// ended after the abandon timeout.
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
		Attempt:      a.schedulerNumber(),
		Engine:       a.Engine,
		Result:       result,
		Elapsed:      elapsed,
		Final:        final,
		Load:         load,
		WorkUsed:     a.WorkUsed,
		MemoryUsedMB: a.MemoryUsedMB,
	})
	if final { // the other attempt, of a hedged request, is no longer needed
		c.cancelAttempts(a.Request, scheduler.Canceled)
	}
	c.closeIfDone(a.Request)
}

// applyResult delivers the rows of an attempt that succeeded. For a registered request whose attempt failed, it records
// whether the attempt may have run. It reports whether the scheduler has nothing more to do for the request.
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
	if (a.AlreadyRunning || a.clientDisconnected && a.Request.attemptsInFlight == 0) && result != scheduler.Succeeded {
		a.finished = true // the scheduler does not have the request, and no client waits for it
	}
	return final
}

// ReportProgress passes an engine's progress report on an attempt in flight to the scheduler. It has no effect unless
// the settings configure progress reports.
func (c *Core) ReportProgress(a *Attempt, kind scheduler.ProgressKind, value float64) {
	if a.state != attemptInFlight || c.settings.ProgressInterval <= 0 {
		return
	}
	c.counters.ProgressReports++
	c.addEvent(scheduler.ProgressReport{
		ID:      a.schedulerID,
		Attempt: a.schedulerNumber(),
		Engine:  a.Engine,
		Kind:    kind,
		Value:   value,
	})
}

// countResult counts the result of an attempt.
func (c *Core) countResult(result scheduler.Result) {
	counts := c.counters
	switch result {
	case scheduler.Succeeded:
		counts.Done++
	case scheduler.Errored:
		counts.Errored++
	case scheduler.Rejected:
		counts.RejectedByEngine++
	case scheduler.TimedOut:
		counts.TimedOut++
	case scheduler.NoConnection:
		counts.NoConnection++
	case scheduler.Reset:
		counts.Reset++
	case scheduler.Canceled:
		counts.CanceledAttempts++
	case scheduler.NotSent:
		counts.NotSent++
	}
}
