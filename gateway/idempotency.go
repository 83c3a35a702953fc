package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// IdempotencyStore keeps the idempotent requests of the whole fleet, those whose class is IdempotentByKey and that have
// an idempotency key: what it has committed outlives this process. It only holds requests and attempts back. Which
// engine a request goes to, and whether it is retried, stays the scheduler's decision. Without a store nothing of this
// is done.
//
// The core calls the store from one goroutine. The store calls the methods of a Registration, and the callbacks that it
// was passed, from the same goroutine, and only between the core's steps: never from within one of its own methods.
type IdempotencyStore interface {
	// Register adds a request that was submitted. At least one call of Owned, Suspend, Finish or Reject follows, unless
	// Release comes before.
	Register(now monotime.Micros, reg *Registration)
	// Authorize asks whether an attempt may start. The store calls granted once, or not at all after Release.
	Authorize(now monotime.Micros, reg *Registration, attempt int, engine string,
		granted func(now monotime.Micros, ok bool))
	// Commit submits a request's rows as its outcome, at most once. Finish follows with the outcome that was committed,
	// which may be another.
	Commit(now monotime.Micros, reg *Registration, rows []byte)
	// Release ends this front end's part in a request for which Commit was not called, once. None of its attempts is in
	// flight and none will start; ran tells whether one that ended may have run.
	Release(now monotime.Micros, reg *Registration, ran bool)
	// Transfer has another front end take over a request that runs, as this one shuts down. Release may follow and has
	// no effect then.
	Transfer(now monotime.Micros, reg *Registration)
	// OutcomeUnknown reports whether an attempt of the request may have started, on whichever front end.
	OutcomeUnknown(reg *Registration) bool
}

// Registration is a request in the idempotency store.
type Registration struct {
	// StoreState, Checked and Seen belong to the store; the core neither reads nor sets them.
	StoreState       any
	StatementChecked bool
	StoreAnswered    bool

	core      *Core
	request   *Request
	event     scheduler.Request // by which the scheduler learns of the request
	scheduled bool              // the scheduler has the request
	// These may hold together: an attempt was passed to the engine client; one that ended may have run; rows were
	// passed to the store.
	attemptStarted    bool
	attemptMayHaveRun bool
	committed         bool
}

// Call returns what the client sent.
func (reg *Registration) Call() *Call { return reg.request.Call }

// Deadline returns when the request's final response is due. None of its attempts starts later.
func (reg *Registration) Deadline() monotime.Micros { return reg.request.deadline }

// UseIdempotencyStore sets the store of idempotent requests. Requests that were submitted before stay unregistered.
func (c *Core) UseIdempotencyStore(store IdempotencyStore) { c.idempotency = store }

// register registers a request with the idempotency store, which tells when the scheduler may have it. It returns false
// if the request needs no registration, and the scheduler may have it at once.
func (c *Core) register(now monotime.Micros, r *Request, event scheduler.Request) bool {
	if c.idempotency == nil || r.IdempotencyKey == "" ||
		c.settings.Classes[event.Class].Effect != scheduler.IdempotentByKey {
		return false
	}
	r.registration = &Registration{core: c, request: r, event: event}
	c.idempotency.Register(now, r.registration)
	return true
}

// Schedule tells that the request is this front end's and the first of its key: the scheduler may have it. It has no
// effect where the scheduler has it already.
func (reg *Registration) Schedule() {
	if !reg.request.finished && !reg.scheduled {
		reg.scheduled = true
		reg.core.addEvent(reg.event)
	}
}

// Suspend tells that another front end owns the request, or that it is not the first of its key: the scheduler must
// drop it. Owned may follow.
func (reg *Registration) Suspend() {
	if reg.scheduled {
		reg.scheduled = false
		reg.core.addEvent(scheduler.ClientDisconnected{ID: reg.request.schedulerID})
	}
}

// Finish delivers the committed outcome of the request: its rows, or that it has none where served is false. It has no
// effect on a request that has got its final response.
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

// Reject rejects the request, of which nothing has run; its client may retry after the time after. It has no effect on
// a request that has got its final response.
func (reg *Registration) Reject(now, after monotime.Micros) {
	c, r := reg.core, reg.request
	if r.finished {
		return
	}
	reg.Suspend()
	c.now = now
	c.reject(r, after)
	c.closeIfDone(r)
}

// outlivesClient reports whether the request continues without its client: a repeat will ask for its outcome.
func (reg *Registration) outlivesClient() bool {
	return reg != nil && (reg.attemptStarted || reg.committed)
}

// mayHaveRun reports whether an attempt may have run or may still run, so that it would be untrue to reject the
// request.
func (reg *Registration) mayHaveRun() bool {
	return reg != nil && (reg.attemptMayHaveRun || reg.attemptStarted && reg.request.attemptsInFlight > 0)
}

// running reports whether an attempt was started and none has succeeded.
func (reg *Registration) running() bool {
	return reg != nil && reg.attemptStarted && !reg.committed
}

// expireUnscheduled answers, at its deadline, a registered request that the scheduler does not have, or not any more.
// It returns false for all others.
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

// authorizationLifetime is how long the store's permission to start an attempt is valid, from before it was asked for.
// It is less than how long a front end that takes over waits for a start of which the engine knows nothing (see package
// idempotency).
const authorizationLifetime = 1900 * monotime.Millisecond

// authorizeAttempt asks the store whether an attempt may start, and passes it to the engine client once it may. An
// attempt that was canceled meanwhile has ended, and does not start whatever the store answers.
func (c *Core) authorizeAttempt(a *Attempt) {
	a.state = attemptAuthorizing
	c.idempotency.Authorize(c.now, a.registration, a.number, a.Engine, func(now monotime.Micros, ok bool) {
		if a.state == attemptAuthorizing {
			c.startAuthorized(now, a, ok)
		}
	})
}

// startAuthorized starts an attempt that the store allowed, as long as its permission and its request's deadline allow.
func (c *Core) startAuthorized(now monotime.Micros, a *Attempt, allowed bool) {
	a.state = attemptInFlight
	if !allowed || now >= a.deadline {
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

// commit passes a request's rows to the store. Its client gets a response once an outcome is committed.
func (c *Core) commit(now monotime.Micros, a *Attempt, rows []byte) {
	reg := a.registration
	if reg.committed {
		return
	}
	reg.committed = true
	c.statements.addServed(a.Request)
	c.idempotency.Commit(now, reg, rows)
}

// releaseRegistration ends the registration of a request that is closed.
func (c *Core) releaseRegistration(r *Request) {
	if reg := r.registration; reg != nil && !reg.committed {
		c.idempotency.Release(c.now, reg, reg.attemptMayHaveRun)
	}
}
