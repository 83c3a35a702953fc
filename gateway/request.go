package gateway

import (
	"chutechute/identity"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
	"chutechute/statement"
)

// responseMargin is how long before its client's timeout a request's final response is due: the time that the event
// loop and the network may take.
const responseMargin = 60 * monotime.Millisecond

// NoPriority is the priority of a request whose engines support none.
const NoPriority = -1

// Call is a request as its client sent it. ID, IdempotencyKey and Statement go to engines byte for byte. Class may be
// empty where statements are read (see Core.ReadStatements); Submit fills it in then, and the cost and the memory that
// are missing.
type Call struct {
	ID             string // chosen by the client, unique among open requests
	Class          string
	Tenant         string // empty: none, or that of the caller's identity
	OrderKey       string // requests of one key run in order, where their class is ordered
	IdempotencyKey string
	TTL            monotime.Micros // how long the client waits, from the last byte of the request
	EstimatedWork  monotime.Micros // estimated work on one thread; 0: not reported
	MemoryMB       float64         // estimated memory in megabytes; 0: not reported
	Statement      []byte
	TableGroup     int // the table group of the statement, which Submit sets
	Credentials    Credentials

	// What the client reported, before Submit filled in the rest; 0: not reported.
	reportedCostMS   float64
	reportedMemoryMB float64
}

// Credentials is what a call shows of its caller's identity. It counts only where callers are identified (see
// Core.IdentifyCallers).
type Credentials struct {
	Token         string
	Certificate   *identity.Certificate // the connection's; nil without one
	ClientAddress uint64                // the client's, as a number
	WallTime      monotime.Micros       // the time of the system's clock, which may jump, since the Unix epoch
}

// Responder receives the final response to one request. The core calls exactly one of its methods, exactly once, unless
// the request is canceled, in which case it calls none after Cancel. The call may come from within Submit.
type Responder interface {
	// Respond delivers the rows of the result.
	Respond(rows []byte)
	// Reject tells that nothing of the request has run or will run, and that the client may retry after a time.
	Reject(after monotime.Micros)
	// Fail tells that the request has no result. It may have run or may still run.
	Fail()
}

// discardResponse is the Responder of a request whose client does not wait.
type discardResponse struct{}

func (discardResponse) Respond([]byte)         {}
func (discardResponse) Reject(monotime.Micros) {}
func (discardResponse) Fail()                  {}

// Request is an open request: from Submit until it has got its final response, or was canceled, and none of its
// attempts is in flight.
type Request struct {
	*Call
	// Priority is what engines get to know of the request's priority; NoPriority where they support none.
	Priority int

	schedulerID   uint64
	sequence      uint64 // counts requests in the order in which they came
	responder     Responder
	receivedAt    monotime.Micros
	deadline      monotime.Micros // when the final response is due
	deadlineTimer *timer
	finished      bool                  // it has got its final response, or its client waits for none
	caller        identity.Caller       // the zero value where callers are not identified
	completion    *statement.Completion // what was read from the statement; nil where statements are not read
	registration  *Registration         // nil for requests that the idempotency store does not know

	strictAttempts   bool    // Attempt.Strict of its attempts
	grantMB          float64 // Attempt.GrantMB of its next attempts
	attempts         []*Attempt
	attemptsInFlight int
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
		deadline:    now + call.TTL - responseMargin,
	}
}

// schedulerID returns an ID that no other request of this process has, and that differs from process to process.
func (c *Core) schedulerID(sequence uint64) uint64 {
	const oddMultiplier = 0x9e3779b97f4a7c15 // odd, so that the product does not repeat
	return c.idSeed ^ sequence*oddMultiplier
}

// openRequest adds a request to the open ones and sets its deadline timer.
func (c *Core) openRequest(r *Request) {
	c.open[r.schedulerID] = r
	c.openIDs[r.ID] = true
	c.statementBytes += len(r.Statement)
	r.deadlineTimer = c.timers.schedule(r.deadline, func() { c.expire(r) })
}

// closeIfDone closes a request that is finished and has no attempt in flight.
func (c *Core) closeIfDone(r *Request) {
	if !r.finished || r.attemptsInFlight > 0 || c.open[r.schedulerID] != r {
		return
	}
	delete(c.open, r.schedulerID)
	delete(c.openIDs, r.ID)
	c.statementBytes -= len(r.Statement)
	c.callers.release(r.caller)
	c.timers.cancel(r.deadlineTimer)
	c.releaseRegistration(r)
}

// Cancel ends a request whose client no longer waits: its Responder is not called any more, and its attempts are
// canceled. A registered request of which an attempt was started continues, since a repeat will ask for its outcome.
// Cancel has no effect on a request that has got its final response.
func (c *Core) Cancel(r *Request) {
	if c.applyingActions {
		// The scheduler has decided already: its decisions on this request come first.
		c.deferredCancels = append(c.deferredCancels, r)
		return
	}
	if r.finished {
		return
	}
	c.counters.Cancelled++
	if r.registration.outlivesClient() {
		r.responder = discardResponse{}
		return
	}
	r.finished = true
	c.addEvent(scheduler.ClientDisconnected{ID: r.schedulerID})
	c.cancelAttempts(r, scheduler.Canceled)
	c.closeIfDone(r)
}

// respond gives a request its rows.
func (c *Core) respond(now monotime.Micros, r *Request, rows []byte) {
	r.finished = true
	c.counters.Served++
	c.trace.requestAnswered(r, "served", now)
	r.responder.Respond(rows)
}

// reject rejects a request; its client may retry after a time.
func (c *Core) reject(r *Request, retryAfter monotime.Micros) {
	r.finished = true
	c.counters.Refused++
	c.trace.requestAnswered(r, "refused", c.now)
	r.responder.Reject(retryAfter)
}

// fail tells a request's client that there is no result.
func (c *Core) fail(r *Request) {
	r.finished = true
	c.counters.Failed++
	c.trace.requestAnswered(r, "failed", c.now)
	r.responder.Fail()
}

// setAttemptParameters sets the memory grant of a request's next attempts and the request's priority.
func (c *Core) setAttemptParameters(p scheduler.AttemptParameters) {
	if r := c.open[p.ID]; r != nil {
		r.grantMB = p.GrantMB
		c.setPriority(r, p.Priority)
	}
}

// setPriority sets a request's priority, also for its attempts in flight.
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
