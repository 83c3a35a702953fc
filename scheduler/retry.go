package scheduler

import (
	"slices"

	"chutechute/internal/monotime"
)

const (
	// firstInFlightMeasure is the multiple of its estimated execution time at which the age of an attempt in flight
	// first counts as a latency measurement. It does so again at each doubling.
	firstInFlightMeasure = 2.0
	// maxLateness is the multiple of the latency objective after which a running query is canceled under pressure.
	maxLateness = 1.5
	// minTimeLeftToRetry is the multiple of its execution time that must be left until a query's deadline for a slow
	// attempt to be canceled and retried.
	minTimeLeftToRetry = 2
)

// retryBudget counts arrivals and retries at this front end if Rules.RetryBudget is set.
type retryBudget struct {
	arrivals slidingWindow
	retries  slidingWindow
}

func (r *retryBudget) countArrival(now monotime.Micros, rules *Rules) {
	if rules.RetryBudget {
		r.arrivals.dropBefore(r.arrivalsFrom(now, rules))
		r.arrivals.add(now, 1)
	}
}

// arrivalsFrom returns the start of the window in which arrivals count.
func (r *retryBudget) arrivalsFrom(now monotime.Micros, rules *Rules) monotime.Micros {
	return now - rules.RetryBudgetWindow + 1
}

func (r *retryBudget) countRetry(now monotime.Micros, rules *Rules) {
	if rules.RetryBudget {
		r.retries.add(now, 1)
	}
}

// allows reports whether the retry budget has capacity for a further retry.
func (r *retryBudget) allows(now monotime.Micros, rules *Rules) bool {
	if !rules.RetryBudget {
		return true
	}
	arrived := r.arrivals.since(r.arrivalsFrom(now, rules))
	return r.retries.since(now-rules.RetryBudgetWindow)+1 <= rules.MinRetries+rules.RetryRatio*arrived
}

// handleOutcome ends an attempt and closes, retries or answers its query.
func (s *Scheduler) handleOutcome(o Outcome) {
	q, a := s.findAttempt(o.ID, o.Attempt)
	if a == nil || !a.inFlight() {
		return
	}
	a.end(o.Result)
	a.releaseSlots()
	q.inFlight--
	a.engine.countAttempt(q, -1)
	s.learnFromOutcome(q, a, o)
	if q.keyQueue != nil && (o.Result == TimedOut || o.Result == Reset || o.Result == Canceled) {
		q.keyQueue.quietUntil, q.keyQueue.quietFor = s.now+s.cfg.Rules.KeyQuietPeriod+1, q
	}
	switch {
	case o.Final || q.state == queryAnswered:
		s.closeQuery(q)
	case q.inFlight > 0 || q.state == queryQueued:
	case s.mayRetry(q):
		s.queue.add(q)
	default:
		s.answerUnserved(q)
	}
}

// mayRetry reports whether a further attempt could still serve the query.
func (s *Scheduler) mayRetry(q *query) bool {
	if len(q.attempts) >= q.maxAttempts(&s.cfg.Limits) || s.now+expiryMargin >= q.Deadline {
		return false
	}
	return slices.ContainsFunc(s.endpoints.engines, func(e *engine) bool { return q.isSafeOn(e, s.now) })
}

// mayHedge reports whether a hedged request may be sent while the query's attempt is in flight: a second execution must
// do no harm, and no other query may wait for this one by the order of a key.
func (s *Scheduler) mayHedge(q *query) bool {
	return s.cfg.Limits.HedgedRequests && q.inFlight == 1 && q.effect() == Idempotent && !q.NoRetry && q.keyQueue == nil
}

// learnFromOutcome updates the estimates of the class and the health of the engine.
func (s *Scheduler) learnFromOutcome(q *query, a *attempt, o Outcome) {
	switch o.Result {
	case Succeeded:
		q.learnWork(o.WorkUsed)
		if q.MeasureLatency {
			s.emit(LatencyMeasurement{ID: q.ID, Elapsed: o.Elapsed, Slowdown: s.slowdown(q, a)})
		}
		s.recordLatency(q, a, float64(o.Elapsed))
		s.markSeen(a.engine)
	case Rejected:
		s.lastRejectedAt, a.engine.lastRejectedAt = s.now, s.now
		s.markSeen(a.engine)
	case Errored: // an engine that fails fast looks idle; the score counters that
		s.markSeen(a.engine)
		a.engine.health.recordRatio(errorScore, s.now)
	case NoConnection, Reset:
		s.eject(a.engine)
	case TimedOut: // a lower bound of the latency, without which an overload in which no attempt ends would go unnoticed
		s.recordLatency(q, a, max(float64(o.Elapsed), q.executionTime()))
	}
}

// checkAttempts checks all attempts in flight whose streamed response has not begun.
func (s *Scheduler) checkAttempts() {
	for _, q := range slices.Clone(s.inFlight) {
		for i := range q.attempts {
			if state := q.attempts[i].state; state == attemptRunning || state == attemptCanceling {
				s.checkAttempt(q, i)
			}
		}
	}
}

// checkAttempt takes the age of an attempt in flight as a measurement, hedges the attempt, and cancels it if it takes
// too long.
func (s *Scheduler) checkAttempt(q *query, number int) {
	a := &q.attempts[number]
	age := float64(s.now - a.sentAt)
	s.measureInFlight(q, a, age)
	if q.state == queryAnswered || a.state == attemptCanceling {
		return
	}
	s.updatePriority(q)
	timeout := q.class.timeoutFactor() * max(a.executionTime, q.executionTime())
	if q.state != queryQueued && age > timeout && s.mayHedge(q) && s.mayRetry(q) {
		s.queue.add(q)
	}
	if s.tooLateUnderPressure(q) {
		s.answerUnserved(q)
		return
	}
	if s.mayCancelToRetry(q) && age >= timeout*max(1, s.placement.relativeScore(a.engine)) {
		s.cancel(q, number)
	}
}

// measureInFlight records the age of an attempt in flight as a lower bound of its latency, at each doubling.
func (s *Scheduler) measureInFlight(q *query, a *attempt, age float64) {
	if age <= a.nextMeasure*a.executionTime {
		return
	}
	a.nextMeasure *= 2
	a.engine.health.recordRatio(age/a.executionTime, s.now)
	if age > q.executionTime() {
		q.class.learnLatency(q, age, s.now)
	}
}

// tooLateUnderPressure reports whether a running query is so late that it is to be canceled in favor of others.
func (s *Scheduler) tooLateUnderPressure(q *query) bool {
	return s.cfg.Limits.Cancel && s.underPressure() && q.canReject() &&
		float64(s.now-q.firstRequestedAt) > maxLateness*float64(q.objective()-q.firstRequestedAt)
}

// mayCancelToRetry reports whether a slow attempt, which may have a bad query plan, may be canceled and retried.
func (s *Scheduler) mayCancelToRetry(q *query) bool {
	timeLeft := float64(q.Deadline - s.now)
	return s.cfg.Limits.Cancel && q.effect() == Idempotent && timeLeft >= minTimeLeftToRetry*q.executionTime() &&
		len(q.attempts) < q.maxAttempts(&s.cfg.Limits)
}
