package idempotencyclient

import (
	"log/slog"

	"chutechute/fleet/idempotency"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// Notify handles a notification that the record of the idempotency key may have changed.
func (c *Client) Notify(now monotime.Micros, idempotencyKey string) {
	c.now = now
	t := c.tracked[idempotencyKey]
	if t == nil {
		c.inspectUntracked(idempotencyKey)
		return
	}
	if t.dispatched == nil {
		c.register(t, false)
	}
}

// inspectUntracked inspects a record that is not tracked here. This front end may still be its owner, because of an
// OfferTransfer or a late duplicate of a command.
func (c *Client) inspectUntracked(idempotencyKey string) {
	command := &idempotency.Command{Op: idempotency.Inspect, IdempotencyKey: idempotencyKey}
	c.propose(command, func(response idempotency.Response, committed bool) {
		if !committed || response.Owner != c.config.Incarnation || c.tracked[idempotencyKey] != nil {
			return
		}
		switch response.Phase {
		case idempotency.Started:
			c.takeOverUntracked(idempotencyKey, response)
		case idempotency.Waiting:
			c.removeUntracked(idempotencyKey, response.Epoch)
		}
	})
}

// takeOverUntracked starts to track a record and takes its started attempt over.
func (c *Client) takeOverUntracked(idempotencyKey string, response idempotency.Response) {
	t := &trackedRecord{
		idempotencyKey:  idempotencyKey,
		orderKey:        response.OrderKey,
		statementDigest: response.StatementDigest,
		ownership:       ownerAfterStart,
		epoch:           response.Epoch,
		index:           response.Index,
		firstIndex:      response.Index,
		phase:           response.Phase,
		registered:      true,
	}
	c.track(t)
	c.takeOver(t, response)
	if t.dispatched == nil {
		c.close(t)
	}
}

// removeUntracked removes the record of a request that is no longer tracked here and never ran.
func (c *Client) removeUntracked(idempotencyKey string, epoch uint64) {
	c.propose(unregister(idempotencyKey, epoch), ignoreResponse)
}

// unregister returns the command that removes the record of a request that never ran.
func unregister(idempotencyKey string, epoch uint64) *idempotency.Command {
	return &idempotency.Command{
		Op:             idempotency.Complete,
		IdempotencyKey: idempotencyKey,
		Epoch:          epoch,
		Outcome:        idempotency.Unregistered,
	}
}

// takeOver has the gateway poll for an attempt that another front end started, after the registry has made this front
// end the owner.
func (c *Client) takeOver(t *trackedRecord, response idempotency.Response) {
	registration := c.takeoverHandler.TakeOver(c.now, gateway.Takeover{
		RequestID:      response.StartedRequestID,
		Engine:         response.Engine,
		IdempotencyKey: t.idempotencyKey,
		OrderKey:       response.OrderKey,
		Class:          response.Class,
		ClientTimeout:  monotime.Micros(response.ClientTimeout),
	})
	if registration == nil {
		return // an open request here has the same ID; the record expires
	}
	slog.Info("started request taken over", slog.String("idempotency_key", t.idempotencyKey),
		slog.String("engine", response.Engine), slog.String("request_id", response.StartedRequestID),
		slog.Uint64("epoch", response.Epoch))
	registration.StatementChecked = true
	t.addRegistration(registration)
	t.dispatched = registration
}

// Transfer ends this front end's ownership of a started request, which the leader then offers to another front end. An
// outcome from this front end has an effect only if it is committed before.
func (c *Client) Transfer(now monotime.Micros, registration *gateway.Registration) {
	c.now = now
	t := recordOf(registration)
	if t.dispatched != registration || t.completing || t.closed {
		return
	}
	slog.Info("started request transferred", slog.String("idempotency_key", t.idempotencyKey),
		slog.Uint64("epoch", t.epoch))
	command := &idempotency.Command{Op: idempotency.Transfer, IdempotencyKey: t.idempotencyKey, Epoch: t.epoch}
	c.propose(command, ignoreResponse)
}
