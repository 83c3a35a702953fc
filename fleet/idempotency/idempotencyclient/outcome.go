package idempotencyclient

import (
	"chutechute/fleet/idempotency"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// Commit proposes the rows of a request as its outcome. All requests that wait for the record receive the outcome that
// is committed, which may be another one.
func (c *Client) Commit(now monotime.Micros, registration *gateway.Registration, rows []byte) {
	c.now = now
	t := recordOf(registration)
	t.removeRegistration(registration)
	t.addRegistration(registration) // moved to the end: it receives the outcome after all others
	c.complete(t, idempotency.Served, rows)
}

// Release ends the request's registration without rows. No attempt of the request is running or will start; ran reports
// whether one may have run.
func (c *Client) Release(now monotime.Micros, registration *gateway.Registration, ran bool) {
	c.now = now
	t := recordOf(registration)
	t.removeRegistration(registration)
	wasDispatched := t.dispatched == registration
	if wasDispatched {
		t.dispatched = nil
	}
	isLast := len(t.registrations) == 0
	switch {
	case t.completing || t.closed:
	case isLast && t.registerProposal != 0: // its response closes the record
	case wasDispatched && ran:
		c.complete(t, idempotency.Failed, nil)
	case wasDispatched && !isLast && t.phase == idempotency.Waiting:
		c.register(t, false) // the next request here gets this one's position in the queue
	case t.isOwner() && (wasDispatched || isLast):
		c.complete(t, idempotency.Unregistered, nil)
	case isLast:
		c.close(t)
		if !t.registered {
			c.registerNext(t)
		}
	}
}

// complete proposes an outcome. Unregistered removes the record of a request that never ran.
func (c *Client) complete(t *trackedRecord, outcome idempotency.Phase, rows []byte) {
	if t.completing {
		return
	}
	t.completing, t.completingSince = true, c.now
	command := &idempotency.Command{
		Op:             idempotency.Complete,
		IdempotencyKey: t.idempotencyKey,
		Epoch:          t.epoch,
		Outcome:        outcome,
		Rows:           rows,
	}
	t.completeProposal = c.propose(command, func(response idempotency.Response, committed bool) {
		c.handleCompleted(t, outcome, response, committed)
	})
}

// handleCompleted handles the response to a Complete.
func (c *Client) handleCompleted(
	t *trackedRecord, outcome idempotency.Phase, response idempotency.Response, committed bool,
) {
	t.completing = false
	t.loseOwnership()
	switch {
	case committed && response.Phase.Finished():
		c.Committed++
		c.finish(t, response.Phase == idempotency.Served, response.Rows)
	case outcome == idempotency.Unregistered && len(t.registrations) > 0: // another request arrived meanwhile
		t.phase = idempotency.Unregistered
		c.register(t, false)
	case outcome == idempotency.Unregistered:
		c.close(t)
	default: // the command was not committed or was rejected, or the record has expired and was removed
		c.finish(t, false, nil)
	}
}
