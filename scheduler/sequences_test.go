package scheduler

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"

	"chutechute/fleet/budget/account"
	"chutechute/internal/golden"
	"chutechute/internal/monotime"
)

// sequence feeds random events to a scheduler and computes a digest of the resulting actions.
type sequence struct {
	rng          *rand.Rand
	scheduler    *Scheduler
	cfg          Config
	now          monotime.Micros
	events       int
	nextID       uint64
	engines      []Endpoint
	inFlight     []sentAttempt
	attempts     map[uint64]int
	timers       []SetTimer
	healthChecks []string
	digest       hash.Hash
}

// sentAttempt is an attempt in flight on an engine.
type sentAttempt struct {
	id       uint64
	number   int
	engine   string
	at       monotime.Micros
	canceled bool
}

// sequenceConfig returns a configuration that depends on the seed: each feature of the scheduler is on with some seeds
// and off with others.
func sequenceConfig(seed uint64) Config {
	enabled := func(bit uint) bool { return seed>>bit&1 == 1 }
	cfg := Config{
		FrontEnds: 1 + int(seed%4)*20, Rank: int(seed % 3), Zone: "a",
		Kinds: []EngineKind{{Name: "small", Cores: 4, MemoryMB: 8000}, {Name: "large", Cores: 16, MemoryMB: 64000}},
		Classes: []Class{
			{Name: "lookup", LatencyObjective: monotime.Second / 2, ObjectiveStretch: 1.5,
				ClientTimeout: 4 * monotime.Second, PriorityWeight: 1, LateWeight: 0.2, Threads: 1, WaitsForTableGroup: true},
			{Name: "report", LatencyObjective: 4 * monotime.Second, ClientTimeout: 20 * monotime.Second,
				PriorityWeight: 5, Threads: 2, Streaming: enabled(0)},
			{Name: "load", LatencyObjective: 3 * monotime.Second, ObjectiveStretch: 2,
				ClientTimeout: 25 * monotime.Second, PriorityWeight: 4, LateWeight: 0.5, Threads: 1,
				Effect: IdempotentByKey, DedupeScope: DedupeScope(seed % 3), DedupeWindow: 20 * monotime.Second,
				Ordered: enabled(1), LocksTableGroup: true},
			{Name: "change", LatencyObjective: monotime.Second, ClientTimeout: 8 * monotime.Second,
				PriorityWeight: 2, Threads: 1, Effect: NonIdempotent},
			{Name: "zonal", LatencyObjective: monotime.Second, ClientTimeout: 6 * monotime.Second,
				PriorityWeight: 1, Threads: 1, Zones: []string{"a"}, Kinds: []string{"large"}},
		},
		Tenants: []Tenant{{Name: "desk", Share: 0.7, Quota: 60}, {Name: "batch", Share: 0.3, Quota: 25}},
		Limits: Limits{
			Cancel: !enabled(2), HealthChecks: enabled(3), HedgedRequests: enabled(4), RetryAfter: !enabled(1),
			MaxAttempts: 2 + int(seed%4), MaxRetryAfter: 2 * monotime.Second,
		},
		Rules: Rules{
			DiscoveryTimeout: monotime.Second, WarmUp: 8 * monotime.Second, InitialCapacity: 0.3,
			OverloadWindow: monotime.Second, OverloadMultiple: 2, DrainGrace: monotime.Second / 2,
			AnswerSlack: monotime.Second / 20, KeyQuietPeriod: monotime.Second,
			RetryBudget: enabled(2), MinRetries: 2, RetryRatio: 0.2, RetryBudgetWindow: 10 * monotime.Second,
		},
		PollEndpoints: enabled(3), MemoryGrants: enabled(0), Priorities: enabled(1), MaxGrantShare: 0.5,
		ReportsCost: enabled(2), HealthCheckCost: 0.01, CrossZoneCost: 0.1, OverQuotaWeight: 0.4,
		LoadReportsOnHealthChecks: enabled(3), LoadReportsOnResponses: enabled(0),
	}
	if enabled(4) {
		cfg.ProgressInterval = monotime.Second / 4
	}
	return cfg
}

func newSequence(t *testing.T, seed uint64) *sequence {
	cfg := sequenceConfig(seed)
	sched, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	s := &sequence{
		rng: rand.New(rand.NewPCG(seed, 3)), scheduler: sched, cfg: cfg, now: 5 * monotime.Second,
		attempts: map[uint64]int{}, digest: sha256.New(),
	}
	for i := range 12 {
		s.engines = append(s.engines, s.engine(i, 0))
	}
	s.step(EndpointUpdate{Kind: UpdateComplete, Endpoints: slices.Clone(s.engines)})
	return s
}

func (s *sequence) engine(i int, started monotime.Micros) Endpoint {
	return Endpoint{
		Engine: fmt.Sprintf("s-%08x", i), Zone: string(rune('a' + i%3)), Kind: s.cfg.Kinds[i%2].Name, Cell: i % 4,
		Started: started,
	}
}

// chance returns true with the given probability in percent.
func (s *sequence) chance(percent int) bool { return s.rng.IntN(100) < percent }

// randomBelow returns a random number from 0 to below the limit.
func (s *sequence) randomBelow(limit monotime.Micros) monotime.Micros { return s.rng.Int64N(limit) }

// step feeds events to the scheduler, adds the actions to the digest, and records attempts, health checks and timers.
func (s *sequence) step(events ...Event) {
	s.events += len(events)
	for _, a := range s.scheduler.Step(s.now, events) {
		tag := 0
		switch a := a.(type) {
		case StartAttempt:
			tag = 1
			s.inFlight = append(s.inFlight, sentAttempt{a.ID, s.attempts[a.ID], a.Engine, s.now, false})
			s.attempts[a.ID]++
		case AttemptParameters:
			tag = 2
		case Cancel:
			tag = 3
			for i := range s.inFlight {
				if s.inFlight[i].id == a.ID && s.inFlight[i].number == a.Attempt {
					s.inFlight[i].canceled = true
				}
			}
		case Reject:
			tag = 4
		case Fail:
			tag = 5
		case HealthCheck:
			tag = 6
			s.healthChecks = append(s.healthChecks, a.Engine)
		case Subscribe:
			tag = 7
		case FetchList:
			tag = 8
		case SetTimer:
			tag = 9
			s.timers = append(s.timers, a)
		case LatencyMeasurement:
			tag = 10
		case Log: // not a decision
			continue
		}
		fmt.Fprintf(s.digest, "%d %d %v\n", s.now, tag, a)
	}
}

// dueTimers returns the events of the timers that are due, in order of time.
func (s *sequence) dueTimers() (events []Event) {
	slices.SortStableFunc(s.timers, func(a, b SetTimer) int { return int(a.At - b.At) })
	for len(s.timers) > 0 && s.timers[0].At <= s.now {
		events = append(events, Timer{Token: s.timers[0].Token})
		s.timers = s.timers[1:]
	}
	return events
}

func (s *sequence) request() Event {
	s.nextID++
	class := s.rng.IntN(len(s.cfg.Classes))
	r := Request{
		ID: s.nextID, Class: class, Tenant: s.rng.IntN(3) - 1, TableGroup: s.rng.IntN(9),
		Deadline:      s.now + s.randomBelow(s.cfg.Classes[class].ClientTimeout),
		NonIdempotent: s.chance(3), NoRetry: s.chance(3), MeasureLatency: s.chance(10),
	}
	if class == 2 {
		r.Key = fmt.Sprintf("key-%d", s.rng.IntN(6))
	}
	if s.chance(40) {
		r.EstimatedWork, r.OwnEstimate = s.randomBelow(monotime.Second), s.chance(50)
	}
	if s.chance(20) {
		r.MemoryMB = float64(s.rng.IntN(4000))
	}
	return r
}

func (s *sequence) loadReport() *LoadReport {
	if !s.chance(50) {
		return nil
	}
	return &LoadReport{Utilization: s.rng.Float64(), Queue: float64(s.rng.IntN(20)), Memory: s.rng.Float64(), Disk: -1}
}

// outcome ends a random attempt in flight. Every fourth engine fails more often.
func (s *sequence) outcome() (events []Event) {
	if len(s.inFlight) == 0 {
		return nil
	}
	i := s.rng.IntN(len(s.inFlight))
	a := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	o := Outcome{ID: a.id, Attempt: a.number, Engine: a.engine, Elapsed: s.now - a.at, Load: s.loadReport()}
	good := 85
	if a.engine[len(a.engine)-1]%4 == 0 {
		good = 40
	}
	switch {
	case a.canceled && s.chance(90):
		o.Result = Canceled
	case s.chance(good):
		o.Final = true
		if s.cfg.ReportsCost {
			o.WorkUsed, o.MemoryUsedMB = s.randomBelow(monotime.Second), float64(s.rng.IntN(3000))
		}
	default:
		o.Result = Result(1 + s.rng.IntN(int(NotSent)))
	}
	return []Event{o}
}

// endpointUpdate returns a failed update, a list of all engines, or a change of one engine.
func (s *sequence) endpointUpdate() Event {
	i := s.rng.IntN(len(s.engines))
	switch s.rng.IntN(8) {
	case 0:
		return EndpointUpdate{Kind: UpdateFailed}
	case 1:
		return EndpointUpdate{Kind: UpdateComplete, Endpoints: slices.Clone(s.engines)}
	case 2:
		return EndpointUpdate{Kind: UpdateCached, Endpoints: slices.Clone(s.engines)}
	case 3, 4:
		s.engines[i].State = Draining
	case 5:
		s.engines[i].State = Removed
	default:
		s.engines[i] = s.engine(i, s.now-s.randomBelow(monotime.Second))
	}
	return EndpointUpdate{Kind: UpdateChanges, Endpoints: []Endpoint{s.engines[i]}}
}

// rules returns random budget rules of each kind that the settings allow.
func (s *sequence) rules() []BudgetRule {
	list := []BudgetRule{
		{Name: "attempts", Kind: account.Rate, Class: s.rng.IntN(6) - 1, Tenant: -1,
			Unit: BudgetUnit(s.rng.IntN(3)), Overflow: Overflow(s.rng.IntN(2))},
		{Name: "retries", Kind: account.Rate, Class: -1, Tenant: -1, Retries: true, RetryCredit: 100},
		{Name: "engines", Kind: account.Concurrency, MaxAttemptDuration: 10 * monotime.Second, Class: -1, Tenant: -1,
			PerEngine: true, Unit: Threads, Overflow: QueueOverflow},
		{Name: "tenants", Kind: account.Window, Window: 5 * monotime.Second, Class: -1, Tenant: -1,
			PerTenant: true, Unit: Work, Overflow: Overflow(s.rng.IntN(3))},
		{Name: "probes", Kind: account.Rate, Class: -1, Tenant: -1, HealthChecks: true},
	}
	switch s.rng.IntN(4) {
	case 0:
		list[2].WarmingUp = true
	case 1:
		list[2].EngineKind = s.cfg.Kinds[0].Name
	}
	for i := range list {
		list[i].CountOnly = s.chance(15)
	}
	return list
}

// budgetGrant returns a grant of random rules, with a lease of each and static amounts of some.
func (s *sequence) budgetGrant() Event {
	grant := BudgetGrant{Rules: s.rules(), Until: s.now + s.randomBelow(6*monotime.Second)}
	for _, r := range grant.Rules {
		subjects := []string{""}
		switch {
		case r.PerEngine:
			subjects = nil
			for _, e := range s.engines {
				subjects = append(subjects, e.Engine)
			}
		case r.PerTenant:
			subjects = []string{s.cfg.Tenants[0].Name, s.cfg.Tenants[1].Name}
		}
		for _, subject := range subjects {
			amount := account.Amount{Capacity: s.randomBelow(40_000), Rate: s.randomBelow(40_000)}
			grant.Leased = append(grant.Leased, BudgetAmount{r.Name, subject, amount})
		}
		if s.chance(50) {
			amount := account.Amount{Capacity: s.randomBelow(4_000), Rate: s.randomBelow(2_000)}
			grant.Static = append(grant.Static, BudgetAmount{r.Name, "", amount})
		}
	}
	return grant
}

// randomEvents returns the next events, drawn at random.
func (s *sequence) randomEvents() []Event {
	switch n := s.rng.IntN(200); {
	case n < 80:
		return []Event{s.request()}
	case n < 168:
		return s.outcome()
	case n < 174:
		return []Event{s.endpointUpdate()}
	case n < 180 && len(s.healthChecks) > 0:
		engine := s.healthChecks[0]
		s.healthChecks = s.healthChecks[1:]
		return []Event{HealthCheckResult{
			Engine: engine, Result: Result(s.rng.IntN(2) * s.rng.IntN(int(NotSent))),
			Elapsed: s.randomBelow(monotime.Second / 10), Load: s.loadReport(),
		}}
	case n < 182:
		return []Event{EngineUnresponsive{Engine: s.engines[s.rng.IntN(len(s.engines))].Engine}}
	case n < 186 && len(s.inFlight) > 0:
		a := s.inFlight[s.rng.IntN(len(s.inFlight))]
		return []Event{Started{ID: a.id, Attempt: a.number}}
	case n < 190 && len(s.inFlight) > 0:
		a := s.inFlight[s.rng.IntN(len(s.inFlight))]
		return []Event{ProgressReport{
			ID: a.id, Attempt: a.number, Engine: a.engine,
			Kind: ProgressKind(1 + s.rng.IntN(3)), Value: s.rng.Float64() * 3,
		}}
	case n < 194 && s.nextID > 0:
		return []Event{ClientDisconnected{ID: s.nextID - uint64(s.randomBelow(min(int64(s.nextID), 40))),
			AnswerDue: s.chance(50)}}
	case n < 196 && s.now > 20*monotime.Second:
		return []Event{s.budgetGrant()}
	}
	return s.dueTimers()
}

// Compares a digest of all actions on random sequences of events with the recorded one, so that renaming and
// restructuring code change no decision.
func TestDecisionsOnRandomSequences(t *testing.T) {
	const eventsPerSequence = 6500
	for seed := range uint64(16) {
		s := newSequence(t, seed)
		for s.events < eventsPerSequence {
			s.now += s.randomBelow(30_000)
			events := s.dueTimers()
			for range 1 + s.rng.IntN(3) {
				events = append(events, s.randomEvents()...)
			}
			s.step(events...)
			if s.chance(2) {
				fmt.Fprintln(s.digest, s.scheduler.BudgetDemands(s.now))
			}
		}
		for _, status := range s.scheduler.BudgetStatuses(s.now) {
			fmt.Fprintln(s.digest, status)
		}
		golden.Entry(t, "testdata/sequences.txt", fmt.Sprint("seed-", seed), fmt.Sprintf("%x", s.digest.Sum(nil)))
	}
}
