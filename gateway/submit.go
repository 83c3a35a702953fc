package gateway

import (
	"errors"
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// Errors that Submit returns. Their texts may be sent to clients.
var (
	ErrUnknownClass     = errors.New("unknown class")
	ErrUnknownTenant    = errors.New("unknown tenant")
	ErrNoTimeLeft       = errors.New("no time left")
	ErrDuplicateID      = errors.New("a request with that id is open")
	ErrNoIdempotencyKey = errors.New("no idempotency key in a keyed class")
)

// Indexes of the class and the tenant of a request that does not name one.
const (
	noClass  = -1
	noTenant = -1
)

// Submit opens a request whose last byte arrived at now. The responder gets the final response; it is not called if
// Submit returns an error. A request that exceeds the limits is rejected at once, without an error.
//
// The error is one of the Err variables, an error of package statement with the prefix "statement: ", or an
// *identity.Denied.
func (c *Core) Submit(now monotime.Micros, call *Call, responder Responder) (*Request, error) {
	caller, err := c.callers.identify(now, call)
	if err != nil {
		return nil, err
	}
	call.Credentials = Credentials{} // not needed any more, and possibly large
	class, err := c.validate(call)
	if err != nil {
		return nil, err
	}
	completion, err := c.statements.complete(call, class)
	if err != nil {
		return nil, fmt.Errorf("statement: %w", err)
	}
	if err := c.callers.admit(now, caller, call); err != nil {
		return nil, err
	}
	c.counters.Submitted++
	r := c.newRequest(now, call, responder)
	r.caller, r.completion = caller, completion
	if !c.hasCapacity(call) {
		c.reject(r, overloadRetryAfter)
		c.callers.release(caller)
		return r, nil
	}
	event := c.requestEvent(r, class)
	r.keepConnection = c.keepConnection(event)
	r.holdsOrderKey = c.settings.Classes[event.Class].Ordered && call.OrderKey != ""
	c.openRequest(r)
	c.schedule(now, r, event)
	return r, nil
}

// RejectUnqueued rejects a request that was not submitted, because its adapter has no memory in which it could wait.
func (c *Core) RejectUnqueued(responder Responder) {
	c.counters.Rejected++
	responder.Reject(overloadRetryAfter)
}

// validate checks a request and returns the index of its class; noClass if the class is to be read from the statement.
func (c *Core) validate(call *Call) (class int, err error) {
	class, known := c.settings.ClassIndex[call.Class]
	if call.Class == "" && c.statements.completesRequests {
		class = noClass
	} else if !known {
		return noClass, ErrUnknownClass
	}
	if _, known := c.settings.TenantIndex[call.Tenant]; call.Tenant != "" && !known {
		return noClass, ErrUnknownTenant
	}
	if call.ClientTimeout <= 0 {
		return noClass, ErrNoTimeLeft
	}
	if call.IdempotencyKey == "" && !c.statements.completesRequests &&
		c.settings.Classes[class].Effect == scheduler.IdempotentByKey {
		return noClass, ErrNoIdempotencyKey // without a key, engines cannot recognize repeats
	}
	if c.openIDs[call.ID] {
		return noClass, ErrDuplicateID
	}
	return class, nil
}

// hasCapacity reports whether the limits allow a further request.
func (c *Core) hasCapacity(call *Call) bool {
	return len(c.open) < c.limits.MaxOpen && c.requestBytes+call.size() <= c.limits.MaxRequestBytes
}

// requestEvent returns the event that passes a request to the scheduler.
func (c *Core) requestEvent(r *Request, class int) scheduler.Request {
	tenant := noTenant
	if r.Tenant != "" {
		tenant = c.settings.TenantIndex[r.Tenant]
	}
	event := scheduler.Request{
		ID:            r.schedulerID,
		Class:         class,
		Tenant:        tenant,
		Key:           r.OrderKey,
		Deadline:      r.deadline,
		EstimatedWork: r.EstimatedWork,
		MemoryMB:      r.MemoryMB,
		TableGroup:    r.TableGroup,
	}
	if r.completion != nil {
		event.Class = r.completion.Class
		event.NonIdempotent = r.completion.NonIdempotent
		event.NoRetry = r.completion.SingleAttempt
		event.OwnEstimate = r.completion.CostEstimated
		event.MeasureLatency = true
	}
	return event
}

// keepConnection reports whether a second execution of a request would do harm, or other requests wait for its end (see
// Attempt.KeepConnection).
func (c *Core) keepConnection(event scheduler.Request) bool {
	class := &c.settings.Classes[event.Class]
	return event.NonIdempotent || class.Effect != scheduler.Idempotent || class.Ordered
}
