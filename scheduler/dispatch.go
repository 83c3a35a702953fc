package scheduler

import (
	"slices"

	"chutechute/internal/monotime"
)

// Priorities of attempts, as AttemptParameters.Priority has them.
const (
	lowestPriority = iota // past the latency objective, or over quota
	usualPriority
	lockPriority // locks a table group, for which others wait
	highPriority // more than half as much weight for its work as the class with most
)

// release starts attempts of queued queries by group EDF for as long as engines can be found.
func (s *Scheduler) release() {
	s.expireQueries()
	var passedOver []*query
	for {
		q := s.nextQuery()
		if q == nil {
			break
		}
		if e := s.choose(q); e != nil {
			s.start(q, e)
			continue
		}
		q.state = queryPassedOver
		passedOver = append(passedOver, q)
		q.class.blocked = q.class.blocked || q.interchangeable() // without an engine for one there is none for its like
	}
	for _, q := range passedOver {
		q.state, q.class.blocked, q.demandRecorded = queryQueued, false, true
	}
	if len(s.budgets.list) > 0 {
		s.rejectOverBudget()
	}
}

// mayStart reports whether the rules that hold for any engine allow an attempt of the query.
func (s *Scheduler) mayStart(q *query) bool {
	if q.state == queryAnswered || len(q.attempts) >= q.maxAttempts(&s.cfg.Limits) || q.inFlight > 0 && !s.mayHedge(q) {
		return false
	}
	if q.keyQueue != nil && !q.keyQueue.mayRun(q, s.now) {
		return false
	}
	return len(q.attempts) == 0 || s.retries.allows(s.now, &s.cfg.Rules)
}

// mayStartOn is the guard of every attempt on an engine: drains, placement, effects, warm-up and budgets.
func (s *Scheduler) mayStartOn(q *query, e *engine) bool {
	return e.serving() && !q.hasAttemptOn(e) && allows(q.class.Zones, e.Zone) && allows(q.class.Kinds, e.Kind) &&
		q.mayRepeatOn(e, s.now) && s.hasWarmUpCapacity(q, e) && s.budgets.affords(s.now, q, e)
}

// allows reports whether a list of names, all names if it is empty, has the name.
func allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

// start starts an attempt. Every attempt passes here, after mayStart and mayStartOn.
func (s *Scheduler) start(q *query, e *engine) {
	if len(q.attempts) > 0 {
		s.retries.countRetry(s.now, &s.cfg.Rules)
	}
	e.warmUp.countAttempt(s.now, q.class.meanWork)
	a := attempt{
		engine: e, zone: e.Zone, cell: e.Cell, sentAt: s.now,
		executionTime: q.executionTime(), nextMeasure: firstInFlightMeasure,
	}
	startBy, maxDuration := s.budgets.spend(s.now, q, &a, e)
	startBy = earlier(startBy, q.dedupeUntil())
	q.attempts = append(q.attempts, a)
	q.inFlight++
	e.countAttempt(q, 1)
	s.placement.countSend(e, q.class.Threads, len(s.endpoints.engines))
	e.lastSentAt = s.now
	s.queue.remove(q, queryDispatched)
	if len(q.attempts) == 1 {
		s.inFlight = append(s.inFlight, q)
	}
	s.updatePriority(q)
	timeout := earlier(s.attemptTimeout(q, a.executionTime), maxDuration)
	s.do(StartAttempt{ID: q.ID, Engine: e.Engine, Timeout: timeout, StartBy: startBy})
}

// attemptTimeout returns the timeout of an attempt, 0 without one. What can't be canceled must end by itself, unless a
// hedged request goes beside it.
func (s *Scheduler) attemptTimeout(q *query, executionTime float64) monotime.Micros {
	if l := &s.cfg.Limits; !l.Cancel && !l.HedgedRequests && q.effect() == Idempotent {
		return monotime.Micros(q.class.timeoutFactor() * executionTime)
	}
	return 0
}

// earlier returns the earlier of two times or the shorter of two durations, of which 0 is none.
func earlier(a, b monotime.Micros) monotime.Micros {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// updatePriority sends the query's priority where engines heed it and it has changed.
func (s *Scheduler) updatePriority(q *query) {
	if p := s.priority(q); s.cfg.Priorities && q.priority != p {
		q.priority = p
		s.do(AttemptParameters{ID: q.ID, Priority: p})
	}
}

// priority favours classes of much weight for their work, then those that lock table groups, and drops what is past
// its latency objective.
func (s *Scheduler) priority(q *query) int {
	highest := 0.0
	for _, c := range s.classes {
		highest = max(highest, c.PriorityWeight/c.meanWork)
	}
	switch {
	case q.deprioritized || s.now > q.objective():
		return lowestPriority
	case q.class.LocksTableGroup:
		return lockPriority
	case q.class.PriorityWeight/q.class.meanWork > highest/2:
		return highPriority
	}
	return usualPriority
}

// closeQuery forgets a query once it is answered and no attempt of it is in flight; else it cancels these.
func (s *Scheduler) closeQuery(q *query) {
	s.queue.remove(q, queryAnswered)
	if q.inFlight > 0 {
		if s.cfg.Limits.Cancel {
			for i := range q.attempts {
				s.cancel(q, i)
			}
		}
		return
	}
	delete(s.queries, q.ID)
	s.inFlight = removeQuery(s.inFlight, q)
	s.queue.removeFromKey(q, s.now)
}

// cancel cancels an attempt that is running; one whose response has begun is let go on.
func (s *Scheduler) cancel(q *query, number int) {
	if a := &q.attempts[number]; a.state == attemptRunning {
		a.state = attemptCanceling
		s.do(Cancel{ID: q.ID, Attempt: number})
	}
}
