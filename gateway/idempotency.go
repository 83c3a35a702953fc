package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// IdempotencyStore keeps the state of the whole fleet's requests that have an idempotency key and a class that is
// IdempotentByKey. What it has committed outlives this process. The store only delays requests and attempts; the
// scheduler decides which engine a request goes to and whether it is retried. Without a store no request is registered.
//
// The core calls the store from one goroutine. The store must call the methods of a Registration, and the callbacks
// that it was passed, from the same goroutine and only between the core's steps, never from within one of its own
// methods.
type IdempotencyStore interface {
	// Register adds a request that was submitted. The store then calls at least one of the registration's methods
	// Schedule, Suspend, Finish and Reject, unless the core calls Release before.
	Register(now monotime.Micros, reg *Registration)
	// Authorize requests the authorization to start an attempt. The store calls authorized once, or not at all after
	// Release.
	Authorize(now monotime.Micros, reg *Registration, attempt int, engine string,
		authorized func(now monotime.Micros, ok bool))
	// Commit proposes a request's rows as its outcome. The core calls it at most once for each request. The store calls
	// Finish with the outcome that was committed, which may be a different one.
	Commit(now monotime.Micros, reg *Registration, rows []byte)
	// Release ends the registration of a request for which Commit was not called. The core calls it once, when none of
	// the request's attempts is in flight and none will start. ran reports whether an attempt that ended may have run.
	Release(now monotime.Micros, reg *Registration, ran bool)
	// Transfer makes another front end take over a running request because this one shuts down. A Release after it has
	// no effect.
	Transfer(now monotime.Micros, reg *Registration)
	// OutcomeUnknown reports whether an attempt of the request may have started on any front end.
	OutcomeUnknown(reg *Registration) bool
}

// Registration is a request in the idempotency store.
type Registration struct {
	// StoreState, StatementChecked and StoreAnswered belong to the store; the core neither reads nor sets them.
	StoreState       any
	StatementChecked bool
	StoreAnswered    bool

	core      *Core
	request   *Request
	event     scheduler.Request // passes the request to the scheduler
	scheduled bool              // the scheduler has the request
	// More than one of these may be true.
	attemptStarted    bool // an attempt was passed to the engine client
	attemptMayHaveRun bool // an attempt that ended may have run
	committed         bool // rows were passed to IdempotencyStore.Commit
}

// Call returns the request as its client sent it.
func (reg *Registration) Call() *Call { return reg.request.Call }

// Deadline returns when the request's final response is due. No attempt of the request starts later.
func (reg *Registration) Deadline() monotime.Micros { return reg.request.deadline }

// UseIdempotencyStore sets the idempotency store. Requests that were submitted before stay unregistered.
func (c *Core) UseIdempotencyStore(store IdempotencyStore) { c.idempotency = store }

// register registers a request in the idempotency store, which then decides when the request is passed to the
// scheduler. It returns false if the request needs no registration; the caller passes it to the scheduler at once.
func (c *Core) register(now monotime.Micros, r *Request, event scheduler.Request) bool {
	if c.idempotency == nil || r.IdempotencyKey == "" ||
		c.settings.Classes[event.Class].Effect != scheduler.IdempotentByKey {
		return false
	}
	r.registration = &Registration{core: c, request: r, event: event}
	c.idempotency.Register(now, r.registration)
	return true
}

// Schedule passes the request to the scheduler. The store calls it when this front end owns the request and the request
// is the first in the queue of its order key. It has no effect if the scheduler has the request already, or if no
// attempt of it may start any more.
func (reg *Registration) Schedule() {
	if !reg.request.finished && !reg.request.clientDisconnected && !reg.scheduled {
		reg.scheduled = true
		reg.request.attemptsBeforeScheduled = len(reg.request.attempts)
		reg.core.addEvent(reg.event)
	}
}

// Suspend removes the request from the scheduler. The store calls it when another front end owns the request, or when
// the request is not the first in the queue of its order key. Schedule may follow.
func (reg *Registration) Suspend() {
	if reg.scheduled {
		reg.scheduled = false
		reg.core.addEvent(scheduler.ClientDisconnected{ID: reg.request.schedulerID})
	}
}

// Finish delivers the committed outcome of the request: its rows if served is true, otherwise a Fail. It has no effect
// on a request that has got its final response.
func (reg *Registration) Finish(now monotime.Micros, served bool, rows []byte) {
	c, r := reg.core, reg.request
	if r.finished {
		return
	}
	if !reg.committed {
		reg.Suspend()
	}
	c.now = now
	if served {
		c.respond(now, r, rows)
	} else {
		c.fail(r)
	}
	c.closeIfDone(r)
}

// Reject rejects the request, of which nothing has run. Its client may retry after the duration retryAfter. It has no
// effect on a request that has got its final response.
func (reg *Registration) Reject(now, retryAfter monotime.Micros) {
	c, r := reg.core, reg.request
	if r.finished {
		return
	}
	reg.Suspend()
	c.now = now
	c.reject(r, retryAfter)
	c.closeIfDone(r)
}

// outlivesClient reports whether the request continues after its client disconnects, because a repeat will request its
// outcome.
func (reg *Registration) outlivesClient() bool {
	return reg != nil && (reg.attemptStarted || reg.committed)
}

// mayHaveRun reports whether an attempt may have run or may still run. Such a request must not be rejected, since a
// rejection promises that nothing has run or will run.
func (reg *Registration) mayHaveRun() bool {
	return reg != nil && (reg.attemptMayHaveRun || reg.attemptStarted && reg.request.attemptsInFlight > 0)
}

// running reports whether an attempt was started and none has succeeded.
func (reg *Registration) running() bool {
	return reg != nil && reg.attemptStarted && !reg.committed
}

// expireUnscheduled answers a registered request that has reached its deadline and that the scheduler does not have, or
// no longer needs because its rows were committed. It returns false for all other requests.
func (c *Core) expireUnscheduled(r *Request) bool {
	reg := r.registration
	if reg == nil || reg.scheduled && !reg.committed {
		return false
	}
	if reg.committed || reg.mayHaveRun() || c.idempotency.OutcomeUnknown(reg) {
		c.fail(r)
	} else {
		c.reject(r, overloadRetryAfter)
	}
	c.closeIfDone(r)
	return true
}

// authorizationLifetime is how long the store's authorization to start an attempt is valid, counted from before it was
// requested. It must be shorter than the time that a front end that takes over a request waits while the engine does
// not know the attempt (see package idempotency).
const authorizationLifetime = 1900 * monotime.Millisecond

// authorizeAttempt requests the store's authorization for an attempt, and passes the attempt to the engine client once
// it is authorized. An attempt that was canceled meanwhile has ended and does not start, whatever the store answers.
func (c *Core) authorizeAttempt(a *Attempt) {
	a.state = attemptAuthorizing
	c.idempotency.Authorize(c.now, a.registration, a.number, a.Engine, func(now monotime.Micros, ok bool) {
		if a.state == attemptAuthorizing {
			c.startAuthorized(now, a, ok)
		}
	})
}

// startAuthorized passes an attempt to the engine client if the store has authorized it, its request's deadline has not
// passed, and the scheduler, which chose the engine before the wait, still allows it. The attempt may be started only
// before the deadline and while the authorization is valid.
func (c *Core) startAuthorized(now monotime.Micros, a *Attempt, authorized bool) {
	a.state = attemptInFlight
	if !authorized || now >= a.deadline || !c.scheduler.MayStillStart(a.schedulerID, a.schedulerNumber()) {
		c.AttemptEnded(now, a, scheduler.NotSent, nil, nil)
		return
	}
	a.registration.attemptStarted = true
	a.Timeout = min(a.Timeout, a.deadline-now)
	validUntil := min(a.deadline, a.startedAt+authorizationLifetime)
	if a.StartBy == 0 || validUntil < a.StartBy {
		a.StartBy = validUntil
	}
	c.engines.Start(a)
}

// commit passes a request's rows to the store. The client gets its response once an outcome is committed.
func (c *Core) commit(now monotime.Micros, a *Attempt, rows []byte) {
	reg := a.registration
	if reg.committed {
		return
	}
	reg.committed = true
	c.statements.addServed(a.Request)
	c.idempotency.Commit(now, reg, rows)
}

// releaseRegistration ends the registration of a closed request, unless its rows were passed to the store.
func (c *Core) releaseRegistration(r *Request) {
	if reg := r.registration; reg != nil && !reg.committed {
		c.idempotency.Release(c.now, reg, reg.attemptMayHaveRun)
	}
}
