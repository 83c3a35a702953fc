package idempotencyclient

import (
	"chutechute/fleet/idempotency"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// Authorize proposes to authorize an attempt. It calls authorized once, but not after the request was released. If the
// attempt is not authorized, the request is also suspended.
func (c *Client) Authorize(
	now monotime.Micros, registration *gateway.Registration, attempt int, engine string,
	authorized func(now monotime.Micros, ok bool),
) {
	c.now = now
	t := recordOf(registration)
	command := &idempotency.Command{
		Op:             idempotency.AuthorizeAttempt,
		IdempotencyKey: t.idempotencyKey,
		Epoch:          t.epoch,
		Attempt:        uint64(attempt),
		Engine:         engine,
		RequestID:      registration.Call().ID,
	}
	c.propose(command, func(response idempotency.Response, committed bool) {
		if t.dispatched != registration || t.closed {
			return
		}
		t.phase = response.Phase
		if committed && response.Status == idempotency.OK {
			authorized(c.now, true)
			return
		}
		t.loseOwnership()
		authorized(c.now, false)
		registration.Suspend()
		c.register(t, false)
	})
}

// OutcomeUnknown reports whether an attempt of the request may have started, according to the registry's responses
// since the request arrived. Earlier responses may be outdated: in the simulation with seed 43 a request failed as one
// that may have run, while another front end had delivered its rows meanwhile. A request for which the registry has not
// responded yet is therefore rejected, as on a front end that does not track the record.
func (c *Client) OutcomeUnknown(registration *gateway.Registration) bool {
	t := recordOf(registration)
	startedElsewhere := t.phase == idempotency.Started && t.ownership != ownerBeforeStart
	return registration.StoreAnswered && (startedElsewhere || t.phase.Finished() || t.completing)
}
