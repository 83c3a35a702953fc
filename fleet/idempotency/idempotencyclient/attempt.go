package idempotencyclient

import (
	"chutechute/fleet/idempotency"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// Authorize proposes that an attempt may start. It calls authorized once, or never after the request was released. If
// the attempt is denied, the request is suspended as well.
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

// OutcomeUnknown reports whether some attempt of the request may have started, by what the registry has answered since
// the request came. What it had answered before may be out of date: a request that the registry has not answered is
// rejected, as at a front end that knows nothing of the record, and does not fail as one that may have run, while rows
// of it were delivered elsewhere meanwhile (simulation, seed 43).
func (c *Client) OutcomeUnknown(registration *gateway.Registration) bool {
	t := recordOf(registration)
	startedElsewhere := t.phase == idempotency.Started && t.ownership != ownerBeforeStart
	return registration.StoreAnswered && (startedElsewhere || t.phase.Finished() || t.completing)
}
