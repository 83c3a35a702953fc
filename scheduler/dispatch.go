package scheduler

import (
	"slices"

	"chutechute/internal/monotime"
)

// Priorities of attempts, the values of AttemptParameters.Priority.
const (
	lowestPriority = iota // past the latency objective, or deprioritized
	normalPriority
	lockPriority // locks a table group, which other queries wait for
	highPriority // a ratio of priority weight to mean work above half the highest among the classes
)

// dispatchQueued answers expired queries, then starts attempts of queued queries in group EDF order until no engine is
// found for the remaining ones.
func (s *Scheduler) dispatchQueued() {
	s.expireQueries()
	var passedOver []*query
	for {
		q := s.nextQuery()
		if q == nil {
			break
		}
		if e := s.chooseEngine(q); e != nil {
			s.start(q, e)
			continue
		}
		q.state = queryPassedOver
		passedOver = append(passedOver, q)
		q.class.blocked = q.class.blocked || q.interchangeable() // there is no engine for the others of its class either
	}
	for _, q := range passedOver {
		q.state, q.class.blocked, q.demandRecorded = queryQueued, false, true
	}
	if len(s.budgets.list) > 0 {
		s.rejectOverBudget()
	}
}

// mayStart reports whether the rules that do not depend on the engine allow an attempt of the query.
func (s *Scheduler) mayStart(q *query) bool {
	if q.state == queryAnswered || len(q.attempts) >= q.maxAttempts(&s.cfg.Limits) || q.inFlight > 0 && !s.mayHedge(q) {
		return false
	}
	if q.keyQueue != nil && !q.keyQueue.mayRun(q, s.now) {
		return false
	}
	return len(q.attempts) == 0 || s.retries.allows(s.now, &s.cfg.Rules)
}

// mayStartOn reports whether the rules that depend on the engine allow an attempt of the query: the engine's state, the
// zones and kinds of the class, the query's effect, the engine's warm-up and the budgets.
func (s *Scheduler) mayStartOn(q *query, e *engine) bool {
	return e.serving() && !q.hasAttemptOn(e) && q.class.allowsEngine(e) &&
		q.isSafeOn(e, s.now) && s.hasWarmUpCapacity(q, e) && s.budgets.affords(s.now, q, e)
}

// allowsEngine reports whether the engine is in a zone and of a kind that the class allows.
func (c *class) allowsEngine(e *engine) bool {
	return allows(c.Zones, e.Zone) && allows(c.Kinds, e.Kind)
}

// allows reports whether the list contains the name; an empty list allows all names.
func allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

// start starts an attempt. All attempts are started here, after mayStart and mayStartOn have allowed them.
func (s *Scheduler) start(q *query, e *engine) {
	if len(q.attempts) > 0 {
		s.retries.countRetry(s.now, &s.cfg.Rules)
	}
	e.warmUp.countAttempt(s.now, q.class.meanWork)
	a := attempt{
		engine: e, engineStarted: e.Started, zone: e.Zone, cell: e.Cell, sentAt: s.now,
		executionTime: q.executionTime(), nextMeasure: firstInFlightMeasure,
	}
	startBy, maxDuration := s.budgets.spend(s.now, q, &a, e)
	startBy = earlier(startBy, q.dedupeUntil())
	q.attempts = append(q.attempts, a)
	q.inFlight++
	e.countAttempt(q, 1)
	s.placement.recordSend(e, q.class.Threads, len(s.endpoints.engines))
	e.lastSentAt = s.now
	s.queue.remove(q, queryDispatched)
	if len(q.attempts) == 1 {
		s.inFlight = append(s.inFlight, q)
	}
	s.updatePriority(q)
	timeout := earlier(s.attemptTimeout(q, a.executionTime), maxDuration)
	s.emit(StartAttempt{ID: q.ID, Engine: e.Engine, Timeout: timeout, StartBy: startBy})
}

// MayStillStart reports whether an attempt that was started, but has waited since and was not sent, may be sent now. If
// not, its Outcome has to be NotSent. Its engine, or what is known of it, may have changed, and the query may have been
// answered.
func (s *Scheduler) MayStillStart(id uint64, number int) bool {
	q, a := s.findAttempt(id, number)
	if a == nil || a.state != attemptRunning || q.state == queryAnswered {
		return false
	}
	e := a.engine
	return e.ready() && e.Started == a.engineStarted && q.class.allowsEngine(e)
}

// attemptTimeout returns the timeout of an attempt, 0 if it has none. Only idempotent queries whose attempts can be
// neither canceled nor hedged have one: a slow attempt must then end by itself before the query can be retried.
func (s *Scheduler) attemptTimeout(q *query, executionTime float64) monotime.Micros {
	if l := &s.cfg.Limits; !l.Cancel && !l.HedgedRequests && q.effect() == Idempotent {
		return monotime.Micros(q.class.timeoutFactor() * executionTime)
	}
	return 0
}

// earlier returns the earlier of two times or the shorter of two durations; 0 means no bound.
func earlier(a, b monotime.Micros) monotime.Micros {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// updatePriority sends the query's priority if it has changed and engines apply priorities.
func (s *Scheduler) updatePriority(q *query) {
	if p := s.priority(q); s.cfg.Priorities && q.priority != p {
		q.priority = p
		s.emit(AttemptParameters{ID: q.ID, Priority: p})
	}
}

// priority returns the priority of the query's attempts: lowest if it is deprioritized or past its latency objective;
// otherwise raised for classes that lock table groups, and highest for classes with a high ratio of weight to work.
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
	return normalPriority
}

// closeQuery marks a query as answered. It cancels the query's attempts in flight if Limits.Cancel allows that; a query
// without any is forgotten.
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

// cancel cancels a running attempt, unless its streamed response has begun.
func (s *Scheduler) cancel(q *query, number int) {
	if a := &q.attempts[number]; a.state == attemptRunning {
		a.state = attemptCanceling
		s.emit(Cancel{ID: q.ID, Attempt: number})
	}
}
