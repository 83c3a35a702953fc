package idempotencyclient

import (
	"log/slog"
	"slices"

	"chutechute/fleet/idempotency"
	"chutechute/internal/monotime"
)

// The requests of an order key run here in the order in which they were registered first. This front end registers them
// in the order in which it receives them; one that another front end has registered before has its earlier place. The
// registry's queue has the same order until the registry removes the record of an unstarted request, as it does for
// front ends that it presumes dead: the record's next Register puts it at the end of the queue.

// addToOrderKey adds a record to those of its order key, if it has one: by the index of its first registration, and
// behind all others if it is not registered yet.
func (c *Client) addToOrderKey(t *trackedRecord) {
	if t.orderKey == "" {
		return
	}
	records := c.byOrderKey[t.orderKey]
	i := len(records)
	for t.firstIndex != 0 && i > 0 && (records[i-1].firstIndex == 0 || records[i-1].firstIndex > t.firstIndex) {
		i--
	}
	c.byOrderKey[t.orderKey] = slices.Insert(slices.Clone(records), i, t)
}

// setFirstIndex records the index of a record's first registration; 0 means that there was none.
func (c *Client) setFirstIndex(t *trackedRecord, index uint64) {
	if index == 0 || t.firstIndex != 0 || t.orderKey == "" || t.closed {
		return
	}
	t.firstIndex = index
	c.byOrderKey[t.orderKey] = without(c.byOrderKey[t.orderKey], t)
	c.addToOrderKey(t)
}

// removeFromOrderKey removes a record from those of its order key, and polls for the next one that is first in the
// registry's queue and has waited for an earlier one here.
func (c *Client) removeFromOrderKey(t *trackedRecord) {
	if t.orderKey == "" {
		return
	}
	remaining := without(c.byOrderKey[t.orderKey], t)
	if len(remaining) == 0 {
		delete(c.byOrderKey, t.orderKey)
		return
	}
	c.byOrderKey[t.orderKey] = remaining
	for _, next := range remaining {
		if next.waitsForEarlier && next.dispatched == nil {
			c.register(next, false)
			return
		}
	}
}

// mustWaitToRegister reports whether an earlier request of the order key is not registered yet. A front end registers
// the requests of an order key in the order in which it received them, even if messages are lost or reordered.
func (c *Client) mustWaitToRegister(t *trackedRecord) bool {
	if t.registered {
		return false
	}
	for _, earlier := range c.byOrderKey[t.orderKey] {
		if earlier == t {
			return false
		}
		if !earlier.registered {
			return true
		}
	}
	return false
}

// registerNext registers the next request of the order key, which waited for the Register of this one.
func (c *Client) registerNext(t *trackedRecord) {
	for _, next := range c.byOrderKey[t.orderKey] {
		if next != t && !next.registered {
			c.register(next, false)
			return
		}
	}
}

// mustWaitToStart reports whether an earlier request of the order key has to end before this one starts, whatever the
// registry's queue says. It need not if another front end owns it and it is behind this one in the queue, or neither
// would ever start.
func (c *Client) mustWaitToStart(t *trackedRecord) bool {
	for _, earlier := range c.byOrderKey[t.orderKey] {
		if earlier == t {
			return false
		}
		if earlier.isOwner() || earlier.index < t.index {
			return true
		}
	}
	return false
}

// restoreOrder withdraws the requests of an order key that precede an earlier one of this front end in the registry's
// queue. They register again behind it.
func (c *Client) restoreOrder(orderKey string) {
	var lastIndex uint64 // the largest index of an earlier request that this front end owns
	for _, t := range c.byOrderKey[orderKey] {
		switch {
		case !t.isOwner():
		case t.index < lastIndex && t.canWithdraw(c.now):
			c.withdraw(t)
		default:
			lastIndex = max(lastIndex, t.index)
		}
	}
}

// canWithdraw reports whether this front end owns a record whose request was not started and can't start now, no
// command on it is pending, and it was not withdrawn within the poll interval: an index may be outdated.
func (t *trackedRecord) canWithdraw(now monotime.Micros) bool {
	return t.ownership == ownerBeforeStart && t.phase == idempotency.Waiting && t.dispatched == nil &&
		t.registerProposal == 0 && !t.completing && now >= t.nextWithdrawal
}

// withdraw removes the record of an unstarted request from the registry, and then registers the request again.
func (c *Client) withdraw(t *trackedRecord) {
	slog.Info("request registered again: the registry had it before an earlier one of its order key",
		slog.String("idempotency_key", t.idempotencyKey), slog.Uint64("index", t.index))
	t.registered = false
	t.loseOwnership()
	t.nextWithdrawal = c.now + c.config.PollInterval
	t.registerProposal = c.propose(unregister(t.idempotencyKey, t.epoch), func(idempotency.Response, bool) {
		t.registerProposal = 0
		if len(t.registrations) == 0 { // all were released meanwhile
			c.close(t)
			c.registerNext(t)
			return
		}
		c.register(t, false)
	})
}
