// Package scheduler makes the decisions of a front end: which queued query is sent next, to which engine, and what is
// rejected, retried, canceled or ejected.
//
// A Scheduler serves one front end. New builds it from its configuration; Step takes the events of one instant and
// returns the actions to take. It does no I/O, starts no goroutine, reads no clock and shares no state with other
// instances, so the same events always give the same actions.
//
// The files, in the order in which they process a query:
//
//   - estimate.go estimates its execution time; its group EDF deadline is ten times that after its arrival.
//   - queue.go queues it and picks the next query by group EDF: the group with the earliest deadlines first, and the
//     shortest query first within the group.
//   - placement.go chooses an engine by the hash order of the query's table group, and spills to later engines under
//     load. slowstart.go, health.go and budgets.go exclude engines that are warming up, ejected or over a budget.
//   - dispatch.go starts and cancels attempts and closes queries; retry.go retries and hedges.
//   - admission.go rejects queries that can no longer finish in time or are over a budget; pressure.go detects an
//     overload.
//
// Group EDF and its constants are from Bavishi's paper "Revisiting Query Scheduling Policies for Lambda Functions".
package scheduler

import (
	"math/rand/v2"

	"chutechute/internal/monotime"
)

const (
	// sweepInterval is the time between sweeps while queries are queued or in flight.
	sweepInterval = 20 * monotime.Second / 1000
	// sweepToken is the token of the timer that triggers a sweep.
	sweepToken = "sweep"
)

// Scheduler makes the decisions of one front end. It is not safe for concurrent use.
type Scheduler struct {
	cfg     Config
	rng     *rand.Rand
	now     monotime.Micros // of the current step
	actions []Action        // of the current step

	classes  []*class          // by index in cfg.Classes
	tenants  []*tenant         // by index in cfg.Tenants
	queries  map[uint64]*query // open ones, by Request.ID
	inFlight []*query          // open queries with at least one attempt, ordered by their first

	endpoints endpoints
	queue     queue
	placement placement
	traffic   traffic
	retries   retryBudget
	health    healthChecker
	budgets   budgets

	lastRejectedAt monotime.Micros // when an engine last rejected an attempt
	sweepTimerSet  bool
	stepped        bool            // the first step is complete
	firstStepAt    monotime.Micros // 0 until then
}

// New returns a front end's scheduler. The seed determines all random choices.
func New(cfg Config, seed uint64) (*Scheduler, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		queries:        map[uint64]*query{},
		endpoints:      newEndpoints(),
		queue:          newQueue(),
		placement:      newPlacement(),
		health:         newHealthChecker(),
		lastRejectedAt: -pressureDuration,
	}
	s.budgets.cfg = &s.cfg
	for _, c := range cfg.Classes {
		s.classes = append(s.classes, newClass(c))
		s.placement.hasLockWaiters = s.placement.hasLockWaiters || c.WaitsForTableGroup
	}
	for _, t := range cfg.Tenants {
		s.tenants = append(s.tenants, &tenant{Tenant: t, tokens: t.Quota})
	}
	s.traffic = newTraffic(&cfg)
	return s, nil
}

// Step processes the events of one instant and returns the actions to take. now is in microseconds of a monotonic
// clock. The result is valid until the next call.
func (s *Scheduler) Step(now monotime.Micros, events []Event) []Action {
	s.now, s.actions = now, nil
	for _, event := range events {
		s.apply(event)
	}
	s.updateStatistics()
	s.dispatchQueued()
	s.keepSubscribed()
	if !s.stepped {
		s.stepped, s.firstStepAt = true, now
	}
	if !s.sweepTimerSet && (len(s.queue.queries) > 0 || len(s.inFlight) > 0) {
		s.sweepTimerSet = true
		s.emit(SetTimer{At: now + sweepInterval, Token: sweepToken})
	}
	return s.actions
}

// emit appends an action to the result of the current step.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) apply(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		s.updateEndpoints(event)
	case Request:
		s.handleRequest(event)
	case RequestNonIdempotent:
		if q := s.queries[event.ID]; q != nil {
			q.NonIdempotent = true
		}
	case Outcome:
		s.handleOutcome(event)
	case Started:
		if _, a := s.findAttempt(event.ID, event.Attempt); a != nil {
			a.startStreaming()
			s.markSeen(a.engine)
		}
	case ProgressReport:
		if _, a := s.findAttempt(event.ID, event.Attempt); a != nil {
			s.markSeen(a.engine)
		}
	case ClientDisconnected:
		s.handleClientDisconnected(event)
	case EngineUnresponsive:
		if e := s.endpoints.byName[event.Engine]; e != nil {
			s.eject(e)
		}
	case HealthCheckResult:
		if e := s.endpoints.byName[event.Engine]; e != nil {
			s.handleHealthCheckResult(e, event.Result)
		}
	case BudgetGrant:
		s.budgets.grant(s.now, event)
	case Timer:
		if event.Token == sweepToken {
			s.sweepTimerSet = false
			s.sweep()
		}
	}
}

// handleClientDisconnected answers a request whose final answer is due and closes any other request without an answer.
func (s *Scheduler) handleClientDisconnected(event ClientDisconnected) {
	q := s.queries[event.ID]
	switch {
	case q == nil:
	case event.AnswerDue && q.state != queryAnswered:
		s.answerUnserved(q)
	default:
		s.closeQuery(q)
	}
}

// findAttempt returns an attempt and its query, or nil if either is unknown.
func (s *Scheduler) findAttempt(id uint64, number int) (*query, *attempt) {
	if q := s.queries[id]; q != nil && number >= 0 && number < len(q.attempts) {
		return q, &q.attempts[number]
	}
	return nil, nil
}

// sweep does the periodic work: it forgets idle keys, sends health checks, decays estimates and scores, ends warm-ups
// and checks running attempts. It runs every sweepInterval while queries are queued or in flight.
func (s *Scheduler) sweep() {
	s.queue.dropIdleKeys(s.now)
	s.sendHealthChecks()
	for _, c := range s.classes {
		c.decay(s.now)
	}
	for _, e := range s.endpoints.engines {
		s.endWarmUp(e)
		e.health.decayScore(s.now)
	}
	s.checkAttempts()
}
