package gateway

import (
	"slices"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// keyOrder holds the open requests of each order key in the order in which they arrived. The scheduler keeps that order
// among the requests that it has. It gets a registered request later than it arrived, so that an unregistered one of
// the same key that arrived after it has to wait here.
type keyOrder map[string][]*Request

// add appends a request to those of its key.
func (k keyOrder) add(r *Request) { k[r.OrderKey] = append(k[r.OrderKey], r) }

// remove removes a request from those of its key, if it is among them.
func (k keyOrder) remove(r *Request) {
	requests := k[r.OrderKey]
	i := slices.Index(requests, r)
	if i < 0 {
		return
	}
	k[r.OrderKey] = slices.Delete(requests, i, i+1)
	if len(requests) == 1 {
		delete(k, r.OrderKey)
	}
}

// hasRegistered reports whether a registered request of the key is open.
func (k keyOrder) hasRegistered(key string) bool {
	return slices.ContainsFunc(k[key], func(r *Request) bool { return r.registration != nil })
}

// schedule passes a request that has arrived to the scheduler, or leaves that to the idempotency store or to the end of
// the registered requests of its order key.
func (c *Core) schedule(now monotime.Micros, r *Request, event scheduler.Request) {
	isOrdered := r.holdsOrderKey && c.idempotency != nil
	mustWait := isOrdered && c.keyOrder.hasRegistered(r.OrderKey)
	if isOrdered {
		c.keyOrder.add(r)
	}
	switch {
	case c.register(now, r, event):
	case mustWait:
		waiting := event // a copy, so that the event of other requests stays on the stack
		r.waitingEvent = &waiting
	default:
		c.addEvent(event)
	}
}

// scheduleNextOfKey passes the requests that waited for the end of a registered one to the scheduler, as far as no
// other registered one arrived before them.
func (c *Core) scheduleNextOfKey(ended *Request) {
	c.keyOrder.remove(ended)
	for _, r := range c.keyOrder[ended.OrderKey] {
		if r.registration != nil {
			return
		}
		if r.waitingEvent != nil {
			c.addEvent(*r.waitingEvent)
			r.waitingEvent = nil
		}
	}
}

// expireWaiting rejects a request that has reached its deadline and still waits for a registered one of its order key.
// It returns false for all other requests.
func (c *Core) expireWaiting(r *Request) bool {
	if r.waitingEvent == nil {
		return false
	}
	c.reject(r, overloadRetryAfter)
	c.closeIfDone(r)
	return true
}
