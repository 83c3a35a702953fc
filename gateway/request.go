package gateway

import (
	"chutechute/identity"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
	"chutechute/statement"
)

// responseMargin is how long before its client's timeout a request's final response is due. It covers the delays of the
// event loop and the network.
const responseMargin = 60 * monotime.Millisecond

// NoPriority is the priority of requests if the engines do not support priorities.
const NoPriority = -1

// Call is a request as its client sent it. ID, IdempotencyKey and Statement are forwarded to engines unchanged. If
// statements are read (see Core.ConfigureStatements), Class may be empty, and Submit fills in the class, the estimated
// work and the memory where they are missing.
type Call struct {
	ID             string // chosen by the client; unique among open requests
	Class          string
	Tenant         string // empty: none, or the tenant of the caller's identity
	OrderKey       string // if the class is ordered, requests with the same key run in order
	IdempotencyKey string
	ClientTimeout  monotime.Micros // client timeout, counted from the last byte of the request
	EstimatedWork  monotime.Micros // estimated work on one thread; 0: not reported
	MemoryMB       float64         // estimated memory in megabytes; 0: not reported
	Statement      []byte
	TableGroup     int // of the statement; set by Submit
	Credentials    Credentials

	// The values that the client reported, before Submit filled in the missing ones; 0: not reported.
	reportedCostMS   float64
	reportedMemoryMB float64
}

// size returns the bytes of the statement and the keys, which an open request keeps. Its other texts are short.
func (c *Call) size() int { return len(c.Statement) + len(c.OrderKey) + len(c.IdempotencyKey) }

// Credentials are the credentials of a request's caller. They are used only if callers are identified (see
// Core.ConfigureIdentity).
type Credentials struct {
	Token         string
	Certificate   *identity.Certificate // client certificate of the connection; nil without one
	ClientAddress uint64                // address of the client, as a number
	WallTime      monotime.Micros       // system clock, which may jump, since the Unix epoch
}

// Responder receives the final response to one request. The core calls exactly one of its methods, exactly once, and
// possibly from within Submit. If the request is canceled before, the core calls none of them.
type Responder interface {
	// Respond delivers the rows of the result.
	Respond(rows []byte)
	// Reject reports that nothing of the request has run or will run, and that the client may retry after a delay.
	Reject(retryAfter monotime.Micros)
	// Fail reports that the request has no result. It may have run or may still run.
	Fail()
}

// discardResponse is the Responder of a request that has no client waiting for it.
type discardResponse struct{}

func (discardResponse) Respond([]byte)         {}
func (discardResponse) Reject(monotime.Micros) {}
func (discardResponse) Fail()                  {}

// Request is an open request. A request is open from Submit until it has got its final response or was canceled, and
// none of its attempts is in flight.
type Request struct {
	*Call
	// Priority is the request's priority as sent to engines; NoPriority if they do not support priorities.
	Priority int

	schedulerID   uint64
	sequence      uint64 // number of the request, in the order of arrival
	responder     Responder
	receivedAt    monotime.Micros
	deadline      monotime.Micros // when the final response is due
	deadlineTimer *timer
	finished      bool // it has got its final response, or no client waits for one
	// clientDisconnected is set if the request continues, only with the attempts that were started, after its client
	// has disconnected.
	clientDisconnected bool
	caller             identity.Caller       // zero value if callers are not identified
	completion         *statement.Completion // what was read from the statement; nil if only its table group was read
	registration       *Registration         // nil if the request is not registered in the idempotency store
	waitingEvent       *scheduler.Request    // waits for others of its order key (see keyOrder); nil if it does not

	keepConnection   bool    // Attempt.KeepConnection of its attempts
	holdsOrderKey    bool    // requests of the same order key wait for its end
	grantMB          float64 // Attempt.GrantMB of its later attempts
	attempts         []*Attempt
	attemptsInFlight int
	// attemptsBeforeScheduled is the number of attempts before the request was last passed to the scheduler, which
	// numbers attempts from there.
	attemptsBeforeScheduled int
}

// newRequest returns a request that is not open yet.
func (c *Core) newRequest(now monotime.Micros, call *Call, responder Responder) *Request {
	c.lastSequence++
	return &Request{
		Call:        call,
		Priority:    NoPriority,
		schedulerID: c.schedulerID(c.lastSequence),
		sequence:    c.lastSequence,
		responder:   responder,
		receivedAt:  now,
		deadline:    now + call.ClientTimeout - responseMargin,
	}
}

// schedulerID returns an ID that is unique among the requests of this process and that differs between processes.
func (c *Core) schedulerID(sequence uint64) uint64 {
	const oddMultiplier = 0x9e3779b97f4a7c15 // as it is odd, all products differ
	return c.idSeed ^ sequence*oddMultiplier
}

// openRequest adds a request to the open requests and sets its deadline timer.
func (c *Core) openRequest(r *Request) {
	c.open[r.schedulerID] = r
	c.openIDs[r.ID] = true
	c.requestBytes += r.size()
	r.deadlineTimer = c.timers.schedule(r.deadline, func() { c.expire(r) })
}

// closeIfDone closes a request that is finished and has no attempt in flight.
func (c *Core) closeIfDone(r *Request) {
	if !r.finished || r.attemptsInFlight > 0 || c.open[r.schedulerID] != r {
		return
	}
	delete(c.open, r.schedulerID)
	delete(c.openIDs, r.ID)
	c.requestBytes -= r.size()
	c.callers.release(r.caller)
	c.timers.cancel(r.deadlineTimer)
	c.releaseRegistration(r)
	c.scheduleNextOfKey(r)
}

// Cancel ends a request whose client has disconnected: its Responder is no longer called, and its attempts are
// canceled. An attempt of a registered request that was started goes on, because a repeat will request its outcome, but
// no further attempt is started.
// Cancel has no effect on a request that has got its final response.
func (c *Core) Cancel(r *Request) {
	if c.applyingActions {
		// The scheduler has already decided on this request in this step. Its remaining actions are applied first.
		c.deferredCancels = append(c.deferredCancels, r)
		return
	}
	if r.finished {
		return
	}
	c.counters.CanceledRequests++
	if r.registration.outlivesClient() {
		c.continueWithoutClient(r)
		return
	}
	r.finished = true
	c.addEvent(scheduler.ClientDisconnected{ID: r.schedulerID})
	c.cancelAttempts(r, scheduler.Canceled)
	c.closeIfDone(r)
}

// continueWithoutClient lets the started attempts of a registered request go on after its client has disconnected. The
// request ends with the last of them.
func (c *Core) continueWithoutClient(r *Request) {
	r.responder = discardResponse{}
	if r.registration.committed || r.clientDisconnected {
		return
	}
	r.clientDisconnected = true
	c.addEvent(scheduler.ClientDisconnected{ID: r.schedulerID})
	for _, a := range r.attempts {
		if a.state == attemptAuthorizing {
			c.cancelAttempt(a, scheduler.Canceled)
		}
	}
	if r.attemptsInFlight == 0 {
		r.finished = true
		c.closeIfDone(r)
	}
}

// respond delivers a request's rows to its client.
func (c *Core) respond(now monotime.Micros, r *Request, rows []byte) {
	r.finished = true
	c.counters.Served++
	c.trace.requestAnswered(r, "served", now)
	r.responder.Respond(rows)
}

// reject rejects a request; its client may retry after the duration retryAfter.
func (c *Core) reject(r *Request, retryAfter monotime.Micros) {
	r.finished = true
	c.counters.Rejected++
	c.trace.requestAnswered(r, "refused", c.now)
	r.responder.Reject(retryAfter)
}

// fail answers a request without a result; it may have run.
func (c *Core) fail(r *Request) {
	r.finished = true
	c.counters.Failed++
	c.trace.requestAnswered(r, "failed", c.now)
	r.responder.Fail()
}

// setAttemptParameters sets the memory grant of a request's later attempts, and the request's priority.
func (c *Core) setAttemptParameters(p scheduler.AttemptParameters) {
	if r := c.open[p.ID]; r != nil {
		r.grantMB = p.GrantMB
		c.setPriority(r, p.Priority)
	}
}

// setPriority changes a request's priority and sends it to the engines of the attempts in flight.
func (c *Core) setPriority(r *Request, priority int) {
	if !c.settings.Priorities || r.Priority == priority {
		return
	}
	r.Priority = priority
	for _, a := range r.attempts {
		if a.state == attemptInFlight {
			c.engines.SetPriority(a)
		}
	}
}
