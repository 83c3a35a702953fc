package idempotencyclient

import (
	"bytes"
	"log/slog"

	"chutechute/fleet/idempotency"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// Register registers a request that this front end received. One of the registration's methods is called later, unless
// the registration is released first.
func (c *Client) Register(now monotime.Micros, registration *gateway.Registration) {
	c.now = now
	if t := c.tracked[registration.Call().IdempotencyKey]; t != nil {
		t.addRegistration(registration)
		return // the next Tick compares the statements, as the gateway must not be called back from within Register
	}
	t := newTrackedRecord(registration)
	c.track(t)
	c.register(t, false)
}

// register proposes a Register for the oldest request of a record. The response also returns the record's state, so
// this serves as a poll. With takeOver, this front end becomes the owner if no attempt was authorized.
func (c *Client) register(t *trackedRecord, takeOver bool) {
	if t.registerProposal != 0 || t.completing || len(t.registrations) == 0 || c.mustWaitToRegister(t) {
		return
	}
	t.nextPoll = c.now + c.config.PollInterval
	registration := t.registrations[0]
	request := registration.Call()
	command := &idempotency.Command{
		Op:              idempotency.Register,
		IdempotencyKey:  t.idempotencyKey,
		OrderKey:        request.OrderKey,
		Tenant:          request.Tenant,
		Class:           request.Class,
		StatementDigest: t.statementDigest,
		RequestID:       request.ID,
		ClientTimeout:   uint64(max(1, registration.Deadline()-c.now)),
		TakeOver:        takeOver,
	}
	t.registerProposal = c.propose(command, func(response idempotency.Response, committed bool) {
		t.registerProposal = 0
		c.handleRegistered(t, response, committed, takeOver)
	})
}

// handleRegistered handles the response to a Register.
func (c *Client) handleRegistered(t *trackedRecord, response idempotency.Response, committed, takeOver bool) {
	isFirstResponse := !t.registered
	t.registered = true
	for _, registration := range t.registrations {
		registration.StoreAnswered = true
	}
	isOwner := committed && response.Status == idempotency.OK && response.Owner == c.config.Incarnation
	if isOwner && takeOver && !t.isOwner() && response.Phase == idempotency.Waiting {
		c.TakenOver++
		slog.Info("unstarted request taken over", slog.String("idempotency_key", t.idempotencyKey),
			slog.Uint64("epoch", response.Epoch))
	}
	t.update(response, isOwner)
	c.setFirstIndex(t, response.Index)
	if len(t.registrations) == 0 {
		c.closeReleased(t)
	} else {
		c.advance(t, response, committed)
	}
	c.restoreOrder(t.orderKey)
	if isFirstResponse {
		c.registerNext(t)
	}
}

// closeReleased closes a record whose requests were all released while its Register was pending.
func (c *Client) closeReleased(t *trackedRecord) {
	if t.isOwner() && t.phase == idempotency.Waiting {
		c.complete(t, idempotency.Unregistered, nil)
		return
	}
	c.close(t)
}

// advance continues with a record according to the response to a Register.
func (c *Client) advance(t *trackedRecord, response idempotency.Response, committed bool) {
	switch {
	case !committed:
		c.rejectAll(t)
	case response.Status == idempotency.Conflict:
		c.Conflicts++
		slog.Warn("request rejected: idempotency key reused with another statement, order key or class",
			slog.String("idempotency_key", t.idempotencyKey), slog.String("request_id", t.registrations[0].Call().ID))
		c.rejectAll(t)
	case response.Status == idempotency.CapacityExceeded:
		slog.Warn("request rejected: registry at capacity", slog.String("idempotency_key", t.idempotencyKey))
		c.rejectAll(t)
	case response.Phase.Finished():
		c.finish(t, response.Phase == idempotency.Served, response.Rows)
	case t.isOwner():
		c.advanceOwned(t, response)
	default:
		c.waitForOwner(t, response)
	}
}

// advanceOwned continues with a record that this front end owns.
func (c *Client) advanceOwned(t *trackedRecord, response idempotency.Response) {
	switch {
	case t.phase == idempotency.Waiting && response.FirstInQueue:
		if t.waitsForEarlier = c.mustWaitToStart(t); t.waitsForEarlier {
			return
		}
		if response.OwnerRequestID != t.registrations[0].Call().ID {
			c.register(t, false) // that request was released; the registry needs the timeout of the next one
			return
		}
		t.dispatched = t.registrations[0]
		t.dispatched.Schedule()
	case t.phase == idempotency.Started && t.dispatched == nil:
		if t.ownership == ownerAfterStart {
			c.takeOver(t, response)
			return
		}
		// The dispatched request was released before any attempt ran. The next request registers again.
		c.complete(t, idempotency.Unregistered, nil)
	}
}

// waitForOwner waits for the outcome of a request that another front end owns. If no attempt was authorized and the
// owner is presumed dead, it takes the request over.
func (c *Client) waitForOwner(t *trackedRecord, response idempotency.Response) {
	if !t.countedAsWaiting {
		t.countedAsWaiting = true
		c.WaitsForOwner++
	}
	if response.Phase == idempotency.Waiting && c.proposer.PresumedDead(response.Owner) {
		c.register(t, true)
	}
}

// rejectOtherStatements rejects the requests of a record that have another statement. Each request is checked once.
func (c *Client) rejectOtherStatements(t *trackedRecord) {
	var conflicting []*gateway.Registration
	for _, registration := range t.registrations {
		if registration.StatementChecked {
			continue
		}
		registration.StatementChecked = true
		if !bytes.Equal(statementDigest(registration.Call().Statement), t.statementDigest) {
			conflicting = append(conflicting, registration)
		}
	}
	for _, registration := range conflicting {
		c.Conflicts++
		slog.Warn("request rejected: idempotency key reused with another statement",
			slog.String("idempotency_key", t.idempotencyKey), slog.String("request_id", registration.Call().ID))
		t.removeRegistration(registration)
		registration.Reject(c.now, c.config.RetryAfter)
	}
}
