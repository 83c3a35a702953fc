package scheduler

import (
	"testing"

	"chutechute/internal/monotime"
)

// testConfig returns the configuration of a small site: two front ends, engines with four cores, and a short and a
// long query class.
func testConfig() Config {
	return Config{
		FrontEnds: 2,
		Kinds:     []EngineKind{{Name: "k", Cores: 4, MemoryMB: 1000}},
		Classes: []Class{
			{Name: "short", LatencyObjective: monotime.Second, ClientTimeout: 4 * monotime.Second,
				PriorityWeight: 1, Threads: 1},
			{Name: "long", LatencyObjective: 4 * monotime.Second, ClientTimeout: 30 * monotime.Second,
				PriorityWeight: 5, Threads: 2},
		},
		Limits: Limits{Cancel: true, MaxAttempts: 3, MaxRetryAfter: monotime.Second},
		Rules: Rules{
			WarmUp: 10 * monotime.Second, InitialCapacity: 0.5,
			OverloadWindow: monotime.Second, OverloadMultiple: 2,
			DrainGrace: monotime.Second,
		},
	}
}

// keyedClassConfig returns testConfig with its long class idempotent by key; the short class stays idempotent.
func keyedClassConfig() Config {
	cfg := testConfig()
	long := &cfg.Classes[1]
	long.Effect, long.DedupeScope, long.DedupeWindow = IdempotentByKey, ScopeAll, 25*monotime.Second
	return cfg
}

// largeEngineConfig returns testConfig with engines of eight cores and short latency objectives. A long query takes
// most of the work that an engine can do in a second at the start of its warm-up.
func largeEngineConfig() Config {
	cfg := testConfig()
	cfg.Kinds[0].Cores = 8
	cfg.Classes[0].LatencyObjective, cfg.Classes[1].LatencyObjective = monotime.Second/10, monotime.Second
	cfg.Limits.HealthChecks = true
	cfg.Tenants = []Tenant{{Name: "x", Share: 1, Quota: 200}}
	return cfg
}

// completeUpdate returns a complete update that lists the named engines as serving.
func completeUpdate(names ...string) EndpointUpdate {
	update := EndpointUpdate{Kind: UpdateComplete}
	for _, n := range names {
		update.Endpoints = append(update.Endpoints, Endpoint{Engine: n, Kind: "k"})
	}
	return update
}

// newTestScheduler returns a scheduler that has received the update at time 0.
func newTestScheduler(t *testing.T, cfg Config, update EndpointUpdate) *Scheduler {
	t.Helper()
	sched, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	sched.Step(0, []Event{update})
	return sched
}

// newFleet returns the schedulers of the n front ends of one site. Tests feed events to all of them and check the total
// of what they send.
func newFleet(t *testing.T, n int, cfg Config, update EndpointUpdate) []*Scheduler {
	t.Helper()
	cfg.FrontEnds = n
	var all []*Scheduler
	for rank := range n {
		cfg.Rank = rank
		sched, err := New(cfg, uint64(rank)+1)
		if err != nil {
			t.Fatal(err)
		}
		sched.Step(monotime.Second, []Event{update})
		all = append(all, sched)
	}
	return all
}

// newRequest returns a request whose client times out after four seconds.
func newRequest(id uint64, class int, now monotime.Micros) Request {
	return Request{ID: id, Class: class, Tenant: -1, Deadline: now + 4*monotime.Second}
}

// newOutcome returns the outcome of an attempt. A success is the final answer to its request.
func newOutcome(id uint64, attempt int, engine string, result Result, elapsed monotime.Micros) Outcome {
	return Outcome{ID: id, Attempt: attempt, Engine: engine, Result: result, Elapsed: elapsed, Final: result == Succeeded}
}

func startedAttempts(actions []Action) (started []StartAttempt) {
	for _, a := range actions {
		if a, ok := a.(StartAttempt); ok {
			started = append(started, a)
		}
	}
	return started
}

func rejectedIDs(actions []Action) (ids []uint64) {
	for _, a := range actions {
		if r, ok := a.(Reject); ok {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

func failedIDs(actions []Action) (ids []uint64) {
	for _, a := range actions {
		if r, ok := a.(Fail); ok {
			ids = append(ids, r.ID)
		}
	}
	return ids
}
