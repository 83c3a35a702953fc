package gateway

import (
	"cmp"
	"maps"
	"slices"

	"chutechute/scheduler"
)

// expire ensures that a request that has reached its deadline gets its final response.
func (c *Core) expire(r *Request) {
	if r.finished {
		return
	}
	c.counters.ExpiredRequests++
	if c.expireUnscheduled(r) || c.expireWaiting(r) {
		return
	}
	c.addEvent(scheduler.ClientDisconnected{ID: r.schedulerID, AnswerDue: true})
	c.cancelAttempts(r, scheduler.TimedOut)
}

// inOrderOfArrival returns all open requests.
func (c *Core) inOrderOfArrival() []*Request {
	bySequence := func(a, b *Request) int { return cmp.Compare(a.sequence, b.sequence) }
	return slices.SortedFunc(maps.Values(c.open), bySequence)
}

// ExpireAll expires all open requests as if they had reached their deadlines, in the order in which they arrived. A
// registered request that is running is not canceled: it is transferred to another front end, and its Responder gets
// Fail.
func (c *Core) ExpireAll() {
	for _, r := range c.inOrderOfArrival() {
		if !r.finished && r.registration.running() {
			c.counters.ExpiredRequests++
			c.idempotency.Transfer(c.now, r.registration)
			c.fail(r)
			continue
		}
		c.expire(r)
	}
}
