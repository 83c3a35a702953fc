// Package scheduler makes the decisions of a gateway in front of query engines: which queued query goes next, to
// which engine, and what is rejected, retried, canceled or ejected.
//
// A Scheduler is one gateway: New builds it from its configuration, and Step takes the events of one instant and
// returns the actions that they call for. It does no input or output, starts no goroutine, reads no clock and shares
// nothing with other instances, so that the same events give the same actions.
//
// A query's way through the files:
//
//   - estimate.go estimates its execution time; its group EDF deadline is ten times that.
//   - queue.go queues it and picks the next one by group EDF (earliest deadline first within groups of similar
//     deadlines, shortest first within a group).
//   - placement.go chooses an engine: the hash order of the query's table group, with spill under load; slowstart.go,
//     health.go and budgets.go hold back from engines that are warming up, ejected, or over a budget.
//   - dispatch.go starts, cancels and closes attempts; retry.go retries and hedges.
//   - admission.go rejects what can no longer finish in time or is over a budget; pressure.go recognises an overload.
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
	// sweepToken is the token of the timer that calls for a sweep.
	sweepToken = "sweep"
)

// Scheduler is one gateway's decisions. It is not safe for concurrent use.
type Scheduler struct {
	cfg     Config
	rng     *rand.Rand
	now     monotime.Micros // of the current step
	actions []Action        // of the current step

	classes  []*class  // by index in cfg.Classes
	tenants  []*tenant // by index in cfg.Tenants
	queries  map[uint64]*query
	inFlight []*query // with at least one attempt, in order of the first

	endpoints endpoints
	queue     queue
	placement placement
	traffic   traffic
	retries   retryBudget
	health    healthChecker
	budgets   budgets

	lastRejectedAt monotime.Micros // when an engine last rejected an attempt
	sweepTimerSet  bool
	stepped        bool            // the first step is done
	firstStepAt    monotime.Micros // 0 until then
}

// New builds a gateway's scheduler. All random choices follow from the seed.
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
		lastRejectedAt: -rejectionMemory,
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

// Step takes the events of one instant, in microseconds of a clock that never goes back, and returns what to do. The
// result is valid until the next call.
func (s *Scheduler) Step(now monotime.Micros, events []Event) []Action {
	s.now, s.actions = now, nil
	for _, event := range events {
		s.apply(event)
	}
	s.survey()
	s.release()
	s.keepSubscribed()
	if !s.stepped {
		s.stepped, s.firstStepAt = true, now
	}
	if !s.sweepTimerSet && (len(s.queue.queries) > 0 || len(s.inFlight) > 0) {
		s.sweepTimerSet = true
		s.do(SetTimer{At: now + sweepInterval, Token: sweepToken})
	}
	return s.actions
}

// do adds an action to the result of the current step.
func (s *Scheduler) do(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) apply(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		s.updateEndpoints(event)
	case Request:
		s.request(event)
	case Outcome:
		s.outcome(event)
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
		s.clientDisconnected(event)
	case EngineUnresponsive:
		if e := s.endpoints.byName[event.Engine]; e != nil {
			s.eject(e)
		}
	case HealthCheckResult:
		if e := s.endpoints.byName[event.Engine]; e != nil {
			s.healthCheckResult(e, event.Result)
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

// clientDisconnected answers a request whose answer is due, and closes any other without one.
func (s *Scheduler) clientDisconnected(event ClientDisconnected) {
	q := s.queries[event.ID]
	switch {
	case q == nil:
	case event.AnswerDue && q.state != queryAnswered:
		s.answerUnserved(q)
	default:
		s.closeQuery(q)
	}
}

// findAttempt returns an attempt and its query; nil where either is unknown.
func (s *Scheduler) findAttempt(id uint64, number int) (*query, *attempt) {
	if q := s.queries[id]; q != nil && number >= 0 && number < len(q.attempts) {
		return q, &q.attempts[number]
	}
	return nil, nil
}

// sweep does what time alone brings about. It runs each sweepInterval while queries are queued or in flight.
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
	s.watchAttempts()
}
