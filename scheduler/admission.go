package scheduler

import (
	"slices"

	"chutechute/internal/monotime"
)

const (
	// expiryMargin is how long before the client's timeout a queued query is answered: the sweep must come back to it.
	expiryMargin = 2 * sweepInterval
	// quotaBurst is the seconds of a tenant's quota that may come at once; at least one query a second counts.
	quotaBurst = 2.0
	// firstTryTolerance is the part of the client timeout, as a divisor, that the time left of first tries varies by.
	firstTryTolerance = 50
)

// tenant is one tenant's traffic through this gateway: a token bucket.
type tenant struct {
	Tenant
	tokens   float64 // queries
	filledAt monotime.Micros
}

// withinQuota takes a query out of the tenant's quota, of which this gateway has the share. It reports false where none
// is left.
func (t *tenant) withinQuota(now monotime.Micros, share float64) bool {
	if t.Quota <= 0 {
		return true
	}
	rate := t.Quota * share
	t.tokens = min(max(rate, 1)*quotaBurst, t.tokens+rate*float64(now-t.filledAt)/float64(monotime.Second))
	t.filledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// overQuota reports whether an arriving query is over its tenant's quota: by the fleet's budgets where one bounds which
// of the tenant's queries come first, and else by this gateway's share of the quota.
func (s *Scheduler) overQuota(q *query) bool {
	if bounded, over := s.budgets.overQuota(s.now, q); bounded {
		return over
	}
	return !s.tenants[q.Tenant].withinQuota(s.now, s.traffic.share(s.now))
}

// isRetryPastObjective recognises a client's retry whose latency objective has passed: it goes last, so that a storm of
// retries does not take the slots of first tries. A retry has less time left than first tries of its class, but more
// than a client that is short of time from the start. Its objective counts from when its client first asked.
func (s *Scheduler) isRetryPastObjective(q *query) bool {
	c, timeLeft := q.class, q.Deadline-s.now
	if timeLeft <= c.ClientTimeout { // no usual client waits longer
		c.longestTimeLeft = max(c.longestTimeLeft, timeLeft)
	}
	if timeLeft < c.longestTimeLeft-c.ClientTimeout/firstTryTolerance && timeLeft > c.LatencyObjective {
		q.firstRequestedAt = min(s.now, q.Deadline-c.ClientTimeout)
	}
	return s.now > q.objective()
}

// expireQueries answers queued queries that can no longer finish in time. Those that have only just arrived get
// their chance of an engine first, as an estimate inflated by an overload must not reject all queries that could
// measure it anew; only one whose client times out before the next sweep is answered at once.
func (s *Scheduler) expireQueries() {
	pressed := s.underPressure()
	for _, q := range slices.Clone(s.queue.queries) {
		finish := s.now + monotime.Micros(q.executionTime())
		if s.now > q.Deadline-expiryMargin || q.arrivedAt < s.now && finish > q.latestFinish(pressed) {
			s.expire(q)
		}
	}
}

// expire answers a queued query that can no longer finish in time. Of one with an attempt in flight only the hedged
// request is given up.
func (s *Scheduler) expire(q *query) {
	if q.inFlight > 0 {
		s.queue.remove(q, queryDispatched)
		return
	}
	s.answerUnserved(q)
}

// latestFinish returns the time by which a queued query must be able to finish. Under pressure that is its latency
// objective, since slots go first to what can still be of full value; what an overload has added to the estimated
// execution time is allowed on top, or short queries would be rejected at once.
func (q *query) latestFinish(pressed bool) monotime.Micros {
	c := q.class
	if pressed {
		inflated := q.executionTime() - q.estimate()*min(c.bestRatio, c.meanLatency/c.meanEstimate)
		return min(q.dueAt, q.objective()+monotime.Micros(inflated), q.Deadline-expiryMargin)
	}
	return min(q.dueAt, q.arrivedAt+c.ClientTimeout, q.Deadline-expiryMargin)
}

// answerUnserved gives the final answer to a query that was not served: a Reject where that is truthful.
func (s *Scheduler) answerUnserved(q *query) {
	after := min(s.cfg.Limits.MaxRetryAfter, monotime.Micros(q.executionTime()))
	if q.canReject() {
		s.do(Reject{ID: q.ID, RetryAfter: after})
	} else {
		s.do(Fail{ID: q.ID})
	}
	s.closeQuery(q)
}

// rejectOverBudget answers queued queries at once that a budget of the fleet has no capacity for, with the time until
// it will have some.
func (s *Scheduler) rejectOverBudget() {
	for _, q := range slices.Clone(s.queue.queries) {
		b, after := s.budgets.exhausted(s.now, q)
		switch {
		case b == nil:
		case q.canReject():
			if after == 0 {
				after = monotime.Micros(q.executionTime())
			}
			s.do(Reject{ID: q.ID, Budget: b.Name, RetryAfter: min(s.cfg.Limits.MaxRetryAfter, after)})
			s.closeQuery(q)
		default:
			s.answerUnserved(q)
		}
	}
}
