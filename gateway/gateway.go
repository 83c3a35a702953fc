// Package gateway is the core of a front end. It owns the open requests, their attempts and all timers. It turns calls,
// which know no protocol, into events of the scheduler, and the scheduler's actions into commands to its adapters: an
// EngineClient towards the engines, a Responder towards each client and, where there is one, an IdempotencyStore. It
// ensures that each request gets exactly one final response.
//
// The package does no I/O, reads no clock and starts no goroutine: the caller passes the current time, and all calls of
// one Core, and all callbacks into it, come from one goroutine. Times are in microseconds of a monotonic clock.
package gateway

import (
	"fmt"
	"log/slog"

	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// overloadRetryAfter is when a client may try again whose request was rejected for lack of capacity.
const overloadRetryAfter = 500 * monotime.Millisecond

// Limits bounds what a core may hold. A request beyond it is rejected.
type Limits struct {
	MaxOpen           int // open requests
	MaxStatementBytes int // bytes of the statements of open requests
}

// Core is the state of one front end.
type Core struct {
	settings    *settings.Settings
	scheduler   *scheduler.Scheduler
	engines     EngineClient
	idempotency IdempotencyStore // nil without one
	statements  statements
	callers     callers
	counters    *counters.Set
	trace       requestTrace
	denials     denialLog

	now    monotime.Micros
	timers timerQueue
	events []scheduler.Event // for the scheduler's next step

	limits           Limits
	idSeed           uint64
	lastSequence     uint64
	open             map[uint64]*Request // by scheduler ID
	openIDs          map[string]bool     // the clients' IDs of open requests
	statementBytes   int                 // of open requests
	attemptsInFlight int

	applyingActions bool
	deferredCancels []*Request // those that came while actions were applied
}

// New returns the core of one front end without requests or engines. The seed sets the scheduler's random choices and
// the IDs that it sees, which differ between processes with different seeds. The core counts in count. It returns an
// error if the settings are not valid.
func New(s *settings.Settings, seed uint64, limits Limits, engines EngineClient, count *counters.Set) (*Core, error) {
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
		counters:   count,
		trace:      newRequestTrace(),
		limits:     limits,
		idSeed:     seed,
		open:       map[uint64]*Request{},
		openIDs:    map[string]bool{},
	}, nil
}

// SetLimits replaces the limits. Open requests stay open, even beyond them.
func (c *Core) SetLimits(limits Limits) { c.limits = limits }

// HasEvents reports whether events wait for the next Step.
func (c *Core) HasEvents() bool { return len(c.events) > 0 }

// Idle reports whether no request is open and no attempt is in flight.
func (c *Core) Idle() bool { return len(c.open) == 0 && c.attemptsInFlight == 0 }

// NextTimer returns when the next timer is due; false if none is set.
func (c *Core) NextTimer() (monotime.Micros, bool) { return c.timers.next() }

// Step fires the timers that are due, passes all pending events to the scheduler and applies its actions, until no
// event is left. It must be called again when the time that Next returns has come, and while Pending is true.
func (c *Core) Step(now monotime.Micros) {
	c.now = now
	c.timers.fireDue(now)
	for len(c.events) > 0 {
		c.stepScheduler(now)
	}
}

// stepScheduler passes the pending events to the scheduler and applies its actions.
func (c *Core) stepScheduler(now monotime.Micros) {
	events := c.events
	c.events = nil
	c.applyingActions = true
	for _, action := range c.scheduler.Step(now, events) {
		c.apply(action)
	}
	c.applyingActions = false
	c.statements.discardServed()

	canceled := c.deferredCancels
	c.deferredCancels = nil
	for _, r := range canceled {
		c.Cancel(r)
	}
}

// apply carries out an action of the scheduler. An action on a request that is no longer open has no effect.
func (c *Core) apply(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.StartAttempt:
		c.startAttempt(a)
	case scheduler.AttemptParameters:
		c.setAttemptParameters(a)
	case scheduler.Cancel:
		if r := c.open[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			c.cancelAttempt(r.attempts[a.Attempt], scheduler.Canceled)
		}
	case scheduler.Reject:
		c.applyReject(a)
	case scheduler.Fail:
		if r := c.open[a.ID]; r != nil && !r.finished {
			c.fail(r)
			c.closeIfDone(r)
		}
	case scheduler.HealthCheck:
		c.counters.Probes++
		c.engines.HealthCheck(a.Engine)
	case scheduler.SetTimer:
		c.timers.schedule(a.At, func() { c.addEvent(scheduler.Timer{Token: a.Token}) })
	case scheduler.LatencyMeasurement:
		c.statements.learn(a, c.now)
	case scheduler.Log:
		slog.Info("scheduler event", slog.String("text", a.Text))
	}
}

// applyReject rejects a request, or fails it where rejecting it would claim that nothing of it has run.
func (c *Core) applyReject(a scheduler.Reject) {
	r := c.open[a.ID]
	if r == nil || r.finished {
		return
	}
	if r.registration.mayHaveRun() {
		c.fail(r)
	} else {
		if a.Budget != "" {
			c.denials.add(Denial{At: c.now, RequestID: r.ID, Budget: a.Budget, RetryAfter: a.RetryAfter})
		}
		c.reject(r, a.RetryAfter)
	}
	c.closeIfDone(r)
}

// addEvent adds an event for the scheduler's next step.
func (c *Core) addEvent(event scheduler.Event) { c.events = append(c.events, event) }
