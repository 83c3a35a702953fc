package scheduler

import (
	"slices"

	"chutechute/internal/monotime"
)

// queryState is the state of a query.
type queryState uint8

const (
	queryQueued     queryState = iota // in the queue, possibly for a hedged request while an attempt is in flight
	queryPassedOver                   // in the queue, but no engine was found in the current step
	queryDispatched                   // not in the queue: an attempt is in flight or has just ended
	queryAnswered                     // has its final answer; attempts may still be in flight
)

// query is a request that is not closed yet.
type query struct {
	Request
	class            *class
	arrivedAt        monotime.Micros
	firstRequestedAt monotime.Micros // estimated time at which its client first sent it
	edfDeadline      monotime.Micros // group EDF deadline
	keyQueue         *keyQueue       // nil unless it is ordered by key
	attempts         []attempt
	inFlight         int // number of attempts without an outcome
	priority         int // last one sent to its engine, -1 before the first
	state            queryState
	deprioritized    bool // comes after all others: over its tenant's quota, or a retry past its latency objective
	demandRecorded   bool // its demand on per-engine budgets is recorded
}

// attemptState is the state of an attempt.
type attemptState uint8

const (
	attemptRunning   attemptState = iota // sent, no response yet
	attemptCanceling                     // a Cancel was sent, no outcome yet
	attemptStreaming                     // its streamed response began: it is no longer checked or canceled
	attemptEnded                         // has its outcome and may have run
	attemptNeverRan                      // has an outcome which proves that it never ran
)

// attempt is one sending of a query to an engine.
type attempt struct {
	engine        *engine
	engineStarted monotime.Micros // Endpoint.Started of the engine when it was chosen
	sentAt        monotime.Micros
	executionTime float64 // estimated when it was sent, in microseconds
	state         attemptState
	slots         []concurrencySlot // of the fleet's concurrency budgets
	nextMeasure   float64           // multiple of executionTime at which its age next counts as a latency measurement
	zone          string            // of the engine when it was sent
	cell          int               // of the engine when it was sent
}

func (a *attempt) inFlight() bool { return a.state != attemptEnded && a.state != attemptNeverRan }

func (a *attempt) startStreaming() {
	if a.inFlight() {
		a.state = attemptStreaming
	}
}

// end ends an attempt in flight with a result.
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

// interchangeable reports whether the query may be sent to the same engines as any other interchangeable query of its
// class.
func (q *query) interchangeable() bool { return len(q.attempts) == 0 && q.keyQueue == nil }

// effect returns the effect of the query: that of its class, unless the request itself is non-idempotent.
func (q *query) effect() Effect {
	if q.NonIdempotent {
		return NonIdempotent
	}
	return q.class.Effect
}

// dedupeUntil returns the time until which engines recognize a further attempt as a duplicate; 0 if there is no such
// limit. Engines forget a key one dedupe window after the first attempt that may have run. The limit holds for the
// write of the attempt as well as for the decision, because the connection may be established late.
func (q *query) dedupeUntil() monotime.Micros {
	for _, a := range q.attempts {
		if a.state != attemptNeverRan && q.effect() == IdempotentByKey {
			return a.sentAt + q.class.DedupeWindow // attempts are in order of sentAt
		}
	}
	return 0
}

// isSafeOn reports whether an attempt on the engine is certain not to cause the query's effect a second time.
func (q *query) isSafeOn(e *engine, now monotime.Micros) bool {
	for _, a := range q.attempts {
		if a.state == attemptNeverRan || q.effect() == Idempotent {
			continue
		}
		if q.effect() == NonIdempotent || !q.class.discardsDuplicate(&a, e) || now >= q.dedupeUntil() {
			return false
		}
	}
	return true
}

// discardsDuplicate reports whether the engine discards a duplicate of the attempt by its idempotency key.
func (c *class) discardsDuplicate(a *attempt, e *engine) bool {
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

// canReject reports whether the query may be answered with a Reject, that is, whether a retry by the client does no
// harm.
func (q *query) canReject() bool {
	if q.effect() == Idempotent || q.effect() == IdempotentByKey && q.class.DedupeScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.state != attemptNeverRan })
}

// objective returns the end of the query's latency objective, until which a response has its full value.
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
