package gateway

import "chutechute/internal/monotime"

// AbandonTimeout is how long an engine continues a query that nobody polls for: 2 s, and 250 ms for a poll that is on
// its way, with 100 ms to spare.
const AbandonTimeout = 2350 * monotime.Millisecond

// Takeover is a running request of another front end that this one is to take over.
type Takeover struct {
	RequestID      string // by which the engine knows the attempt
	Engine         string // that runs it
	IdempotencyKey string
	OrderKey       string // requests of one key run in order
	Class          string
	TTL            monotime.Micros // how long the result is waited for
}

// TakeOver takes over what another front end has started: its engine is polled for it, and nothing is started. The
// idempotency store gets its outcome as that of any other request. TakeOver returns nil if a request with that ID is
// open here.
func (c *Core) TakeOver(now monotime.Micros, t Takeover) *Registration {
	if c.openIDs[t.RequestID] {
		return nil
	}
	call := &Call{ID: t.RequestID, IdempotencyKey: t.IdempotencyKey, OrderKey: t.OrderKey, Class: t.Class, TTL: t.TTL}
	r := c.newRequest(now, call, discardResponse{})
	r.registration = &Registration{core: c, request: r, scheduled: true, attemptStarted: true, attemptMayHaveRun: true}
	c.openRequest(r)
	a := &Attempt{
		Request:              r,
		Engine:               t.Engine,
		Timeout:              r.deadline - now,
		AlreadyRunning:       true,
		RequiresConfirmedEnd: true,
		state:                attemptInFlight,
		startedAt:            now,
	}
	c.addAttempt(a)
	c.engines.Start(a)
	return r.registration
}
