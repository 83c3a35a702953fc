package gateway

import (
	"cmp"
	"maps"
	"slices"

	"chutechute/scheduler"
)

// expire ensures that a request whose deadline has come gets its final response.
func (c *Core) expire(r *Request) {
	if r.finished {
		return
	}
	c.counters.Expired++
	if c.expireUnscheduled(r) {
		return
	}
	c.addEvent(scheduler.ClientDisconnected{ID: r.schedulerID, AnswerDue: true})
	c.cancelAttempts(r, scheduler.TimedOut)
}

// ExpireAll expires all open requests, as at their deadlines, in the order in which they came. A registered request
// that runs is not canceled but transferred: another front end is to take it over, and its client gets Fail.
func (c *Core) ExpireAll() {
	bySequence := func(a, b *Request) int { return cmp.Compare(a.sequence, b.sequence) }
	for _, r := range slices.SortedFunc(maps.Values(c.open), bySequence) {
		if !r.finished && r.registration.running() {
			c.counters.Expired++
			c.idempotency.Transfer(c.now, r.registration)
			c.fail(r)
			continue
		}
		c.expire(r)
	}
}
