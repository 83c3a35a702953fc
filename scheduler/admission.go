package scheduler

import (
	"slices"

	"chutechute/internal/monotime"
)

const (
	// expiryMargin is how long before its client's deadline a queued query is answered at the latest. It spans two
	// sweeps, so that a sweep answers the query in time.
	expiryMargin = 2 * sweepInterval
	// quotaBurst is the burst of a tenant's quota, in seconds of its rate; the rate counts as at least one query a
	// second.
	quotaBurst = 2.0
	// firstTryToleranceDivisor divides the client timeout. The result is by how much the time left to clients' first
	// tries may vary.
	firstTryToleranceDivisor = 50
)

// tenant is the token bucket of one tenant's traffic through this front end.
type tenant struct {
	Tenant
	tokens   float64 // queries
	filledAt monotime.Micros
}

// withinQuota takes a token for one query from this front end's share of the tenant's quota. It reports false if there
// is none.
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

// overQuota reports whether an arriving query is over its tenant's quota. Budgets of the fleet that deprioritize the
// tenant's queries decide that where there are any, otherwise this front end's share of the quota does.
func (s *Scheduler) overQuota(q *query) bool {
	if bounded, over := s.budgets.overQuota(s.now, q); bounded {
		return over
	}
	return !s.tenants[q.Tenant].withinQuota(s.now, s.traffic.share(s.now))
}

// isRetryPastObjective reports whether a query is a client's retry whose latency objective has passed. Such queries
// come after all others, so that a retry storm does not take the capacity for first tries. A query counts as a retry if
// it has less time left than first tries of its class have, but more than its latency objective, because a client with
// less may just have a short deadline. The objective of a retry counts from its client's first try.
func (s *Scheduler) isRetryPastObjective(q *query) bool {
	c, timeLeft := q.class, q.Deadline-s.now
	if timeLeft <= c.ClientTimeout { // ignores clients with an unusually long deadline
		c.longestTimeLeft = max(c.longestTimeLeft, timeLeft)
	}
	if timeLeft < c.longestTimeLeft-c.ClientTimeout/firstTryToleranceDivisor && timeLeft > c.LatencyObjective {
		q.firstRequestedAt = min(s.now, q.Deadline-c.ClientTimeout)
	}
	return s.now > q.objective()
}

// expireQueries answers queued queries that can no longer finish in time. A query that arrived in the current step is
// answered only if its deadline is within expiryMargin; otherwise it is first offered to the engines, because an
// estimate inflated by an overload would reject all queries whose latencies could correct it.
func (s *Scheduler) expireQueries() {
	underPressure := s.underPressure()
	for _, q := range slices.Clone(s.queue.queries) {
		finish := s.now + monotime.Micros(q.executionTime())
		if s.now > q.Deadline-expiryMargin || q.arrivedAt < s.now && finish > q.latestFinish(underPressure) {
			s.expire(q)
		}
	}
}

// expire answers a queued query that can no longer finish in time. If an attempt is in flight, the query is only
// removed from the queue, which drops the hedged request that it waited for.
func (s *Scheduler) expire(q *query) {
	if q.inFlight > 0 {
		s.queue.remove(q, queryDispatched)
		return
	}
	s.answerUnserved(q)
}

// latestFinish returns the time by which a queued query must be able to finish. Under pressure that is at most its
// latency objective, so that capacity goes to queries that can still have their full value. The amount by which the
// overload inflates the estimated execution time is added to the objective, or short queries would be rejected at once.
func (q *query) latestFinish(underPressure bool) monotime.Micros {
	c := q.class
	if underPressure {
		inflated := q.executionTime() - q.estimate()*min(c.bestRatio, c.meanLatency/c.meanEstimate)
		return min(q.edfDeadline, q.objective()+monotime.Micros(inflated), q.Deadline-expiryMargin)
	}
	return min(q.edfDeadline, q.arrivedAt+c.ClientTimeout, q.Deadline-expiryMargin)
}

// answerUnserved gives the final answer to a query that was not served: a Reject if a retry by the client does no harm,
// otherwise a Fail.
func (s *Scheduler) answerUnserved(q *query) {
	after := min(s.cfg.Limits.MaxRetryAfter, monotime.Micros(q.executionTime()))
	if q.canReject() {
		s.emit(Reject{ID: q.ID, RetryAfter: after})
	} else {
		s.emit(Fail{ID: q.ID})
	}
	s.closeQuery(q)
}

// rejectOverBudget answers the queued queries for which a budget of the fleet has no capacity. A Reject carries the
// time until the budget will have some.
func (s *Scheduler) rejectOverBudget() {
	for _, q := range slices.Clone(s.queue.queries) {
		b, after := s.budgets.exhausted(s.now, q)
		switch {
		case b == nil:
		case q.canReject():
			if after == 0 {
				after = monotime.Micros(q.executionTime())
			}
			s.emit(Reject{ID: q.ID, Budget: b.Name, RetryAfter: min(s.cfg.Limits.MaxRetryAfter, after)})
			s.closeQuery(q)
		default:
			s.answerUnserved(q)
		}
	}
}
