package scheduler

import (
	"slices"

	"chutechute/internal/monotime"
)

// queryState is where a query is.
type queryState uint8

const (
	queryQueued     queryState = iota // in the queue, maybe beside an attempt in flight
	queryPassedOver                   // in the queue, but no engine could be found in the current step
	queryDispatched                   // not in the queue: an attempt is in flight or has just ended
	queryAnswered                     // has its final answer; attempts may still be in flight
)

// query is a request in hand.
type query struct {
	Request
	class            *class
	arrivedAt        monotime.Micros
	firstRequestedAt monotime.Micros // when its client first sent it, as far as known
	dueAt            monotime.Micros // group EDF deadline
	keyQueue         *keyQueue       // nil if nothing orders it
	attempts         []attempt
	inFlight         int // attempts without outcome
	priority         int // last one sent, -1 before
	state            queryState
	deprioritized    bool // goes last: over its tenant's quota, or a retry past its latency objective
	demandRecorded   bool // its demand on budgets of engines is recorded
}

// attemptState is how far an attempt is.
type attemptState uint8

const (
	attemptRunning   attemptState = iota // sent, no response yet
	attemptCanceling                     // a Cancel was sent, its outcome is due
	attemptStreaming                     // its streamed response began: it is neither canceled nor watched
	attemptEnded                         // has its outcome, and may have run
	attemptNeverRan                      // has its outcome, which proves that it never ran
)

// attempt is one start of a query on an engine.
type attempt struct {
	engine        *engine
	sentAt        monotime.Micros
	executionTime float64 // estimated when it was sent, in microseconds
	state         attemptState
	slots         []concurrencySlot // of the fleet's budgets
	nextMeasure   float64           // multiple of executionTime at which it counts as a measurement while in flight
	zone          string            // of the engine when it was sent
	cell          int               // the same
}

func (a *attempt) inFlight() bool { return a.state != attemptEnded && a.state != attemptNeverRan }

func (a *attempt) startStreaming() {
	if a.inFlight() {
		a.state = attemptStreaming
	}
}

// end takes over the result of an attempt in flight.
func (a *attempt) end(result Result) {
	a.state = attemptEnded
	if result.NeverRan() {
		a.state = attemptNeverRan
	}
}

// hasAttemptOn reports whether an attempt of the query is in flight on the engine.
func (q *query) hasAttemptOn(e *engine) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.inFlight() && a.engine == e })
}

// interchangeable reports whether the query may go wherever any other interchangeable one of its class may.
func (q *query) interchangeable() bool { return len(q.attempts) == 0 && q.keyQueue == nil }

// effect returns what a second execution would do: that of the class, or worse.
func (q *query) effect() Effect {
	if q.NonIdempotent {
		return NonIdempotent
	}
	return q.class.Effect
}

// dedupeUntil returns until when engines recognise a further attempt as a duplicate; 0 where that does not matter.
// Engines forget a key some time after they were first sent what may have run. It bounds the write of the attempt as
// well as the decision, since a connection may come up late.
func (q *query) dedupeUntil() monotime.Micros {
	for _, a := range q.attempts {
		if a.state != attemptNeverRan && q.effect() == IdempotentByKey {
			return a.sentAt + q.class.DedupeWindow // the first is the earliest
		}
	}
	return 0
}

// mayRepeatOn reports whether an attempt on the engine can't make the query's effect happen twice.
func (q *query) mayRepeatOn(e *engine, now monotime.Micros) bool {
	for _, a := range q.attempts {
		if a.state == attemptNeverRan || q.effect() == Idempotent {
			continue
		}
		if q.effect() == NonIdempotent || !q.class.sharesKeys(&a, e) || now >= q.dedupeUntil() {
			return false
		}
	}
	return true
}

// sharesKeys reports whether the engine discards a duplicate of the attempt by its key.
func (c *class) sharesKeys(a *attempt, e *engine) bool {
	switch c.DedupeScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.zone == e.Zone
	case ScopeCell:
		return a.cell == e.Cell
	}
	return false
}

// canReject reports whether a Reject would be truthful: a retry by the client does no harm.
func (q *query) canReject() bool {
	if q.effect() == Idempotent || q.effect() == IdempotentByKey && q.class.DedupeScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.state != attemptNeverRan })
}

// objective returns the time until which a response has its full value.
func (q *query) objective() monotime.Micros {
	return q.firstRequestedAt + q.class.objectiveFor(q.expectedWork())
}

// maxAttempts returns how many attempts the query may have.
func (q *query) maxAttempts(limits *Limits) int {
	if q.NoRetry {
		return 1
	}
	return limits.MaxAttempts
}
