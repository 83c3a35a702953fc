package idempotencyclient

import (
	"chutechute/fleet/idempotency"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// Commit commits the rows of a request as its outcome. All that wait for the record get what is committed.
func (c *Client) Commit(now monotime.Micros, registration *gateway.Registration, rows []byte) {
	c.now = now
	t := recordOf(registration)
	t.removeRegistration(registration)
	t.addRegistration(registration) // it gets what is committed after all others
	c.complete(t, idempotency.Served, rows)
}

// Release ends a request's part in its record without rows. No attempt of it runs or will start; ran says whether one
// may have run.
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
	case isLast && t.registerProposal != 0: // its response ends the record
	case wasDispatched && ran:
		c.complete(t, idempotency.Failed, nil)
	case wasDispatched && !isLast && t.phase == idempotency.Waiting:
		c.register(t, false) // the next request here gets the place in the queue
	case t.isOwner() && (wasDispatched || isLast):
		c.complete(t, idempotency.Unregistered, nil)
	case isLast:
		c.close(t)
		if !t.registered {
			c.registerNext(t)
		}
	}
}

// complete proposes an outcome; Unregistered removes the record, as nothing of the request ran.
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
	case outcome == idempotency.Unregistered && len(t.registrations) > 0: // another request came meanwhile
		t.phase = idempotency.Unregistered
		c.register(t, false)
	case outcome == idempotency.Unregistered:
		c.close(t)
	default: // the record expired and was evicted since
		c.finish(t, false, nil)
	}
}
