package scheduler

import (
	"testing"

	"chutechute/internal/monotime"
)

// testConfig returns a small site: two gateways, engines of four cores, a short and a long class.
func testConfig() Config {
	return Config{
		Gateways: 2,
		Kinds:    []EngineKind{{Name: "k", Cores: 4, MemoryMB: 1000}},
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

// keyedClassConfig returns testConfig with a long class that is idempotent by key; the short one is idempotent.
func keyedClassConfig() Config {
	cfg := testConfig()
	long := &cfg.Classes[1]
	long.Effect, long.DedupeScope, long.DedupeWindow = IdempotentByKey, ScopeAll, 25*monotime.Second
	return cfg
}

// largeEngineConfig returns a site of large engines. A long query takes most of what an engine that starts can do in a
// second.
func largeEngineConfig() Config {
	cfg := testConfig()
	cfg.Kinds[0].Cores = 8
	cfg.Classes[0].LatencyObjective, cfg.Classes[1].LatencyObjective = monotime.Second/10, monotime.Second
	cfg.Limits.HealthChecks = true
	cfg.Tenants = []Tenant{{Name: "x", Share: 1, Quota: 200}}
	return cfg
}

// completeUpdate returns an update that lists just the named engines, all serving.
func completeUpdate(names ...string) EndpointUpdate {
	update := EndpointUpdate{Kind: UpdateComplete}
	for _, n := range names {
		update.Endpoints = append(update.Endpoints, Endpoint{Engine: n, Kind: "k"})
	}
	return update
}

// newTestScheduler returns a scheduler that knows the engines of the update at time 0.
func newTestScheduler(t *testing.T, cfg Config, update EndpointUpdate) *Scheduler {
	t.Helper()
	sched, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	sched.Step(0, []Event{update})
	return sched
}

// newFleet returns n gateways of one site: tests feed all of them and look at the sum of what they send.
func newFleet(t *testing.T, n int, cfg Config, update EndpointUpdate) []*Scheduler {
	t.Helper()
	cfg.Gateways = n
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

// newRequest returns a request whose client waits for four seconds.
func newRequest(id uint64, class int, now monotime.Micros) Request {
	return Request{ID: id, Class: class, Tenant: -1, Deadline: now + 4*monotime.Second}
}

// newOutcome returns an outcome; a success is final.
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
