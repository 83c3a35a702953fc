package gateway

import "chutechute/internal/monotime"

// AbandonTimeout is the time after which an engine that is not polled for a query has certainly stopped it, unless it
// has completed: engines stop it after 2 s; 250 ms are added for a poll that is under way, and 100 ms as a margin.
const AbandonTimeout = 2350 * monotime.Millisecond

// Takeover describes a running request of another front end that this one takes over.
type Takeover struct {
	RequestID      string // under which the engine runs the query
	Engine         string // engine that runs the query
	IdempotencyKey string
	OrderKey       string // if the class is ordered, requests with the same key run in order
	Class          string
	ClientTimeout  monotime.Micros // how long to wait for the result
}

// TakeOver takes over a request that another front end has started. Its engine is polled for the running attempt; no
// attempt is started. The idempotency store gets the outcome as for any other request. TakeOver returns nil if a
// request with that ID is open here.
func (c *Core) TakeOver(now monotime.Micros, t Takeover) *Registration {
	if c.openIDs[t.RequestID] {
		return nil
	}
	call := &Call{ID: t.RequestID, IdempotencyKey: t.IdempotencyKey, OrderKey: t.OrderKey, Class: t.Class,
		ClientTimeout: t.ClientTimeout}
	r := c.newRequest(now, call, discardResponse{})
	r.registration = &Registration{core: c, request: r, scheduled: true, attemptStarted: true, attemptMayHaveRun: true}
	c.openRequest(r)
	a := &Attempt{
		Request:              r,
		Engine:               t.Engine,
		Timeout:              r.deadline - now,
		AlreadyRunning:       true,
		KeepConnection:       true,
		RequiresConfirmedEnd: t.OrderKey != "",
		state:                attemptInFlight,
		startedAt:            now,
	}
	c.addAttempt(a)
	c.engines.Start(a)
	return r.registration
}
