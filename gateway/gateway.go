// Package gateway is the core of a front end. It owns the open requests, their attempts and all timers. It converts
// requests, in a form independent of any wire protocol, into events for the scheduler, and the scheduler's actions into
// method calls on its adapters: an EngineClient for the engines, a Responder for each request's client and, optionally,
// an IdempotencyStore. It ensures that each request gets exactly one final response.
//
// The package does no I/O, reads no clock and starts no goroutine: the caller passes the current time. All calls to a
// Core, including the callbacks from its adapters, must come from one goroutine. Times are in microseconds of a
// monotonic clock.
package gateway

import (
	"fmt"
	"log/slog"

	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// overloadRetryAfter is how long a client should wait before it retries a request that was rejected for lack of
// capacity.
const overloadRetryAfter = 500 * monotime.Millisecond

// Limits bounds the open requests of a core. A request that would exceed a limit is rejected.
type Limits struct {
	MaxOpen         int // number of open requests
	MaxRequestBytes int // total size of the statements and keys of open requests
}

// Core is the state of one front end.
type Core struct {
	settings         *settings.Settings
	scheduler        *scheduler.Scheduler
	engines          EngineClient
	idempotency      IdempotencyStore // nil: requests are not registered
	statements       statements
	callers          callers
	counters         *counters.Set
	trace            requestTrace
	budgetRejections budgetRejectionLog

	now    monotime.Micros
	timers timerQueue
	events []scheduler.Event // to be passed to the scheduler in its next step

	limits           Limits
	idSeed           uint64
	lastSequence     uint64
	open             map[uint64]*Request // by Request.schedulerID
	openIDs          map[string]bool     // Call.ID of the open requests
	requestBytes     int                 // total size of the statements and keys of open requests
	attemptsInFlight int
	keyOrder         keyOrder

	applyingActions bool
	deferredCancels []*Request // requests canceled while actions were applied
}

// New returns the core of a front end that has no requests and knows no engines yet. The seed determines the
// scheduler's random choices and the request IDs that the scheduler gets, which differ between processes with
// different seeds. The core updates counterSet. New returns an error if the settings are invalid.
func New(s *settings.Settings, seed uint64, limits Limits, engines EngineClient,
	counterSet *counters.Set) (*Core, error) {
	sched, err := scheduler.New(s.Config, seed)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	reader, err := newStatements(s.Classes)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return &Core{
		settings:   s,
		scheduler:  sched,
		engines:    engines,
		statements: reader,
		counters:   counterSet,
		trace:      newRequestTrace(),
		limits:     limits,
		idSeed:     seed,
		open:       map[uint64]*Request{},
		openIDs:    map[string]bool{},
		keyOrder:   keyOrder{},
	}, nil
}

// SetLimits replaces the limits. Open requests stay open, even where they exceed the new limits.
func (c *Core) SetLimits(limits Limits) { c.limits = limits }

// HasEvents reports whether events are pending for the next Step.
func (c *Core) HasEvents() bool { return len(c.events) > 0 }

// Idle reports whether no request is open and no attempt is in flight.
func (c *Core) Idle() bool { return len(c.open) == 0 && c.attemptsInFlight == 0 }

// NextTimer returns the time at which the next timer is due. It returns false if no timer is set.
func (c *Core) NextTimer() (monotime.Micros, bool) { return c.timers.next() }

// Step fires the timers that are due, passes all pending events to the scheduler and applies the scheduler's actions,
// until no event is pending. The caller must call it again at the time that NextTimer returns, and whenever HasEvents
// is true.
func (c *Core) Step(now monotime.Micros) {
	c.now = now
	c.timers.fireDue(now)
	for len(c.events) > 0 {
		c.stepScheduler(now)
	}
}

// stepScheduler passes the pending events to the scheduler in one step and applies the actions of that step.
func (c *Core) stepScheduler(now monotime.Micros) {
	events := c.events
	c.events = nil
	c.applyingActions = true
	for _, action := range c.scheduler.Step(now, events) {
		c.applyAction(action)
	}
	c.applyingActions = false
	c.statements.discardServed()

	canceled := c.deferredCancels
	c.deferredCancels = nil
	for _, r := range canceled {
		c.Cancel(r)
	}
}

// applyAction carries out an action of the scheduler. An action on a request that is no longer open has no effect.
func (c *Core) applyAction(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.StartAttempt:
		c.startAttempt(a)
	case scheduler.AttemptParameters:
		c.setAttemptParameters(a)
	case scheduler.Cancel:
		c.cancelScheduled(a)
	case scheduler.Reject:
		c.applyReject(a)
	case scheduler.Fail:
		if r := c.open[a.ID]; r != nil && !r.finished {
			c.fail(r)
			c.closeIfDone(r)
		}
	case scheduler.HealthCheck:
		c.counters.HealthChecks++
		c.engines.HealthCheck(a.Engine)
	case scheduler.SetTimer:
		c.timers.schedule(a.At, func() { c.addEvent(scheduler.Timer{Token: a.Token}) })
	case scheduler.LatencyMeasurement:
		c.statements.learn(a, c.now)
	case scheduler.Log:
		slog.Info("scheduler event", slog.String("text", a.Text))
	}
}

// cancelScheduled cancels an attempt for the scheduler.
func (c *Core) cancelScheduled(cancel scheduler.Cancel) {
	r := c.open[cancel.ID]
	if r == nil {
		return
	}
	if a := r.attemptOf(cancel.Attempt); a != nil {
		c.cancelAttempt(a, scheduler.Canceled)
	}
}

// applyReject rejects a request, or fails it if an attempt may have run: a rejection promises that nothing has run.
func (c *Core) applyReject(a scheduler.Reject) {
	r := c.open[a.ID]
	if r == nil || r.finished {
		return
	}
	if r.registration.mayHaveRun() {
		c.fail(r)
	} else {
		if a.Budget != "" {
			c.budgetRejections.add(BudgetRejection{At: c.now, RequestID: r.ID, Budget: a.Budget, RetryAfter: a.RetryAfter})
		}
		c.reject(r, a.RetryAfter)
	}
	c.closeIfDone(r)
}

// addEvent queues an event for the scheduler's next step.
func (c *Core) addEvent(event scheduler.Event) { c.events = append(c.events, event) }
