package scheduler

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// newTestSchedulerWithBudget returns a scheduler with one budget in force, with the amount leased to it of each
// subject.
func newTestSchedulerWithBudget(
	t *testing.T, cfg Config, update EndpointUpdate, rule BudgetRule, amount account.Amount, subjects ...string,
) *Scheduler {
	t.Helper()
	sched := newTestScheduler(t, cfg, update)
	if len(subjects) == 0 {
		subjects = []string{""}
	}
	grant := BudgetGrant{Rules: []BudgetRule{rule}, Until: 1000 * monotime.Second}
	for _, s := range subjects {
		grant.Leased = append(grant.Leased, BudgetAmount{rule.Name, s, amount})
	}
	sched.Step(0, []Event{grant})
	return sched
}

// lease returns a grant of one budget without subjects, leased until a time.
func lease(until monotime.Micros, budget string, amount account.Amount, rules ...BudgetRule) BudgetGrant {
	return BudgetGrant{Rules: rules, Until: until, Leased: []BudgetAmount{{budget, "", amount}}}
}

// newRequests returns n requests of a class, with IDs from first on.
func newRequests(first uint64, n, class int, now monotime.Micros) (list []Event) {
	for i := range n {
		list = append(list, newRequest(first+uint64(i), class, now))
	}
	return list
}

// A gateway that is granted amounts without rules decides exactly as one without a grant.
func TestGrantWithoutRulesChangesNothing(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "x", Share: 1, Quota: 40}}
	cfg.Limits.HealthChecks = true
	update := completeUpdate("a", "b", "c")
	update.Endpoints[2].Started = monotime.Second
	plain, granted := newTestScheduler(t, cfg, update), newTestScheduler(t, cfg, update)
	rng := rand.New(rand.NewPCG(1, 2))
	var inFlight []StartAttempt
	for now := monotime.Second; now < 20*monotime.Second; now += monotime.Micros(rng.IntN(40_000)) {
		var events []Event
		if rng.IntN(2) == 0 {
			r := newRequest(uint64(now), rng.IntN(2), now)
			r.Tenant, r.TableGroup = 0, rng.IntN(5)
			events = append(events, r)
		}
		if len(inFlight) > 0 && rng.IntN(2) == 0 {
			a, result, elapsed := inFlight[0], Result(rng.IntN(5)), monotime.Micros(rng.IntN(int(monotime.Second)))
			events = append(events, newOutcome(a.ID, 0, a.Engine, result, elapsed))
			inFlight = inFlight[1:]
		}
		if rng.IntN(5) == 0 {
			events = append(events, Timer{Token: "sweep"})
		}
		want := plain.Step(now, events)
		grant := lease(now+monotime.Second, "x", account.Amount{Capacity: 1})
		got := granted.Step(now, append([]Event{grant}, events...))
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("at %d: %v instead of %v", now, got, want)
		}
		inFlight = append(inFlight, startedAttempts(want)...)
	}
}

// What a rate has no capacity for is rejected at once, each with a time of its own at which there will be some, and a
// retry at that time is served.
func TestRateBudgetRejectsWithRetryAfter(t *testing.T) {
	rule := BudgetRule{Name: "r", Kind: account.Rate, Class: -1, Tenant: -1}
	amount := account.Amount{Capacity: 2000, Rate: 10_100} // 9.999 by a clock that may be fast
	sched := newTestSchedulerWithBudget(t, testConfig(), completeUpdate("a", "b"), rule, amount)
	sched.Step(monotime.Second, nil)
	actions := sched.Step(2*monotime.Second, newRequests(1, 5, 0, 2*monotime.Second))
	if n := len(startedAttempts(actions)); n != 2 {
		t.Fatalf("%d sends of a burst of 2", n)
	}
	var after []monotime.Micros
	for _, a := range actions {
		if r, ok := a.(Reject); ok {
			after = append(after, r.RetryAfter)
			if r.Budget != "r" {
				t.Errorf("rejected for %q", r.Budget)
			}
		}
	}
	if len(after) != 3 {
		t.Fatalf("rejected %v", after)
	}
	now := 2 * monotime.Second
	for i, a := range after {
		if want := monotime.Micros(i+1) * monotime.Second / 10; a < want || a > want+want/50 {
			t.Errorf("retry-after %d is %d, not about %d", i, a, want)
		}
		if n := len(startedAttempts(sched.Step(now+a, newRequests(uint64(20+i), 1, 0, now+a)))); n != 1 {
			t.Errorf("the retry after %d was not served", a)
		}
	}
	for _, s := range startedAttempts(actions) {
		if s.StartBy != 2*monotime.Second+maxStartDelay {
			t.Errorf("may be started by %d", s.StartBy)
		}
	}
}

// Nothing is spent of a lease that has expired; the static amount stays.
func TestExpiredLeaseLeavesTheStaticAmount(t *testing.T) {
	rule := BudgetRule{Name: "r", Kind: account.Rate, Class: -1, Tenant: -1}
	sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
	grant := lease(5*monotime.Second, "r", account.Amount{Capacity: 9000, Rate: 9000}, rule)
	grant.Static = []BudgetAmount{{"r", "", account.Amount{Capacity: 1000, Rate: 1000}}}
	sched.Step(0, []Event{grant})
	if n := len(startedAttempts(sched.Step(5*monotime.Second-1, newRequests(1, 20, 0, 5*monotime.Second)))); n != 10 {
		t.Errorf("%d sends before the lease expired", n)
	}
	if n := len(startedAttempts(sched.Step(7*monotime.Second, newRequests(30, 20, 0, 7*monotime.Second)))); n != 1 {
		t.Errorf("%d sends without a lease", n)
	}
}

// A concurrency slot is released at the outcome of its attempt, and a query that waits for one goes then.
func TestConcurrencySlotsAreReleasedAtTheOutcome(t *testing.T) {
	rule := BudgetRule{Name: "p", Kind: account.Concurrency, Class: 0, Tenant: -1, Overflow: QueueOverflow,
		MaxAttemptDuration: 3 * monotime.Second}
	sched := newTestSchedulerWithBudget(t, testConfig(), completeUpdate("a", "b"), rule, account.Amount{Capacity: 2000})
	got := startedAttempts(sched.Step(monotime.Second, newRequests(1, 4, 0, monotime.Second)))
	if len(got) != 2 || got[0].Timeout == 0 || got[0].Timeout > 3*monotime.Second {
		t.Fatalf("sends %v of two slots", got)
	}
	if n := sched.BudgetDemands(monotime.Second); len(n) != 1 || n[0].Demand != 4000 || n[0].InUse != 2000 {
		t.Errorf("demand %v", n)
	}
	if n := len(startedAttempts(sched.Step(monotime.Second+1000, newRequests(9, 1, 1, monotime.Second)))); n != 1 {
		t.Errorf("%d sends of a class that takes no slots", n)
	}
	sched.Step(monotime.Second+2000, []Event{lease(1000*monotime.Second, "p", account.Amount{Capacity: 1000})})
	first := newOutcome(got[0].ID, 0, got[0].Engine, Succeeded, 1000)
	if n := len(startedAttempts(sched.Step(monotime.Second+3000, []Event{first}))); n != 0 {
		t.Errorf("%d sends while all slots that are left are in use", n)
	}
	second := newOutcome(got[1].ID, 0, got[1].Engine, TimedOut, 1000)
	if n := len(startedAttempts(sched.Step(monotime.Second+4000, []Event{second}))); n != 1 {
		t.Errorf("%d sends with a free slot", n)
	}
}

// A budget that is not in force yet holds nothing back, and counts what runs, so that it is known when it comes into
// force.
func TestCountOnlyBudgetCountsWithoutBinding(t *testing.T) {
	rule := BudgetRule{Name: "p", Kind: account.Concurrency, Class: -1, Tenant: -1, Overflow: QueueOverflow,
		CountOnly: true}
	sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
	sched.Step(0, []Event{BudgetGrant{Rules: []BudgetRule{rule}}})
	got := startedAttempts(sched.Step(monotime.Second, newRequests(1, 4, 0, monotime.Second)))
	if len(got) != 4 {
		t.Fatalf("%d sends of 4", len(got))
	}
	rule.CountOnly = false
	sched.Step(monotime.Second+1000, []Event{lease(1000*monotime.Second, "p", account.Amount{Capacity: 4000}, rule)})
	if n := len(startedAttempts(sched.Step(monotime.Second+2000, newRequests(9, 1, 0, monotime.Second)))); n != 0 {
		t.Errorf("%d sends with all slots in use", n)
	}
	first := newOutcome(got[0].ID, 0, got[0].Engine, Succeeded, 1000)
	if n := len(startedAttempts(sched.Step(monotime.Second+3000, []Event{first}))); n != 1 {
		t.Errorf("%d sends with a free slot", n)
	}
}

// A budget divides the threads of each engine: beyond the amount of one, queries go to another, and the estimate of
// this gateway's share of the traffic does not bind.
func TestThreadBudgetOfEachEngine(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 40
	rule := BudgetRule{Name: "t", Kind: account.Concurrency, Class: -1, Tenant: -1, PerEngine: true, Unit: Threads,
		Overflow: QueueOverflow}
	amount := account.Amount{Capacity: 4000}
	sched := newTestSchedulerWithBudget(t, cfg, completeUpdate("a", "b"), rule, amount, "a", "b")
	count := map[string]int{}
	for _, s := range startedAttempts(sched.Step(monotime.Second, newRequests(1, 12, 0, monotime.Second))) {
		count[s.Engine]++
	}
	if count["a"] != 4 || count["b"] != 4 {
		t.Errorf("sends %v, of 4 threads each", count)
	}
}

// A budget divides what an engine takes during its warm-up: it gets the amount of this gateway, and neither work credit
// nor turns bind.
func TestWarmUpWindowBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 40
	update := completeUpdate("a", "b")
	update.Endpoints[0].Started = monotime.Second
	rule := BudgetRule{Name: "c", Kind: account.Window, Window: monotime.Second, Class: -1, Tenant: -1,
		PerEngine: true, WarmingUp: true, Unit: Work, Overflow: QueueOverflow}
	sched := newTestSchedulerWithBudget(t, cfg, update, rule, account.Amount{Capacity: 3 * monotime.Second}, "a")
	sched.Step(monotime.Second, []Event{update})
	spent := map[monotime.Micros]monotime.Micros{}
	for now := 2 * monotime.Second; now < 6*monotime.Second; now += monotime.Second / 10 {
		started := startedAttempts(sched.Step(now, newRequests(uint64(now), 3, 0, now)))
		for len(started) > 0 {
			s := started[0]
			if s.Engine == "a" {
				spent[now] += monotime.Micros(sched.classes[0].meanWork)
			}
			outcome := newOutcome(s.ID, 0, s.Engine, Succeeded, monotime.Second)
			started = append(started[1:], startedAttempts(sched.Step(now, []Event{outcome}))...)
		}
	}
	maxUse := 0.0 // of the amount of a window
	for from := range spent {
		sum := monotime.Micros(0)
		for at, n := range spent {
			if at >= from && at < from+monotime.Second {
				sum += n
			}
		}
		// The amount is that of the start; it grows as the engine warms up.
		amount := 3 * float64(monotime.Second) * capacityAfter(cfg.Rules, from) / cfg.Rules.InitialCapacity
		maxUse = max(maxUse, float64(sum)/amount)
	}
	if maxUse > 1 || maxUse < 0.6 {
		t.Errorf("%.2f of the amount within a window", maxUse)
	}
}

// A budget of retries bounds retries and no first attempts.
func TestRetryBudgetOfTheFleet(t *testing.T) {
	rule := BudgetRule{Name: "f", Kind: account.Rate, Class: -1, Tenant: -1, Retries: true, Overflow: QueueOverflow}
	amount := account.Amount{Capacity: 2000, Rate: 1}
	sched := newTestSchedulerWithBudget(t, testConfig(), completeUpdate("a", "b", "c"), rule, amount)
	now := 20000 * monotime.Second // the burst is full, although the rate is nearly nothing
	sched.Step(now, []Event{lease(now+1000*monotime.Second, "f", account.Amount{Capacity: 2000, Rate: 1000})})
	now += 3 * monotime.Second
	first := startedAttempts(sched.Step(now, newRequests(1, 6, 0, now)))
	if len(first) != 6 {
		t.Fatalf("%d first attempts", len(first))
	}
	var events []Event
	for _, s := range first {
		events = append(events, newOutcome(s.ID, 0, s.Engine, Errored, 1000))
	}
	if n := len(startedAttempts(sched.Step(now+1000, events))); n != 2 {
		t.Errorf("%d retries of 2", n)
	}
}

// Where a budget bounds which of a tenant's queries come first, those over it go last and are not rejected.
func TestDeprioritizedQueriesGoLast(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "x", Share: 1, Quota: 1}}
	rule := BudgetRule{Name: "l", Kind: account.Rate, Class: -1, Tenant: -1, PerTenant: true,
		Overflow: DeprioritizeOverflow}
	amount := account.Amount{Capacity: 3000, Rate: 3000}
	sched := newTestSchedulerWithBudget(t, cfg, completeUpdate(), rule, amount, "x")
	var events []Event
	for i := range uint64(5) {
		r := newRequest(i+1, 0, 2*monotime.Second)
		r.Tenant = 0
		events = append(events, r)
	}
	if n := len(rejectedIDs(sched.Step(2*monotime.Second, events))); n != 0 {
		t.Errorf("%d rejected", n)
	}
	over := 0
	for _, q := range sched.queries {
		if q.deprioritized {
			over++
		}
	}
	if over != 2 {
		t.Errorf("%d go last of 5 where 3 are within the budget", over)
	}
}

// A budget of health checks bounds these.
func TestHealthCheckBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.HealthChecks = true
	rule := BudgetRule{Name: "p", Kind: account.Rate, Class: -1, Tenant: -1, HealthChecks: true,
		Overflow: QueueOverflow}
	for rate, want := range map[int64]bool{0: false, 1_000_000: true} {
		amount := account.Amount{Capacity: rate, Rate: rate}
		sched := newTestSchedulerWithBudget(t, cfg, completeUpdate("a", "b"), rule, amount)
		sched.Step(monotime.Second, []Event{EngineUnresponsive{Engine: "a"}, newRequest(1, 0, monotime.Second)})
		checked := false
		for now := monotime.Second; now < 4*monotime.Second; now += 20_000 {
			for _, a := range sched.Step(now, []Event{Timer{Token: "sweep"}}) {
				_, ok := a.(HealthCheck)
				checked = checked || ok
			}
		}
		if checked != want {
			t.Errorf("a rate of %d: checked %v", rate, checked)
		}
	}
}

// BenchmarkAfford shows the cost of spending from a budget, which takes no allocation.
func BenchmarkAfford(b *testing.B) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "x", Share: 1, Quota: 1}}
	sched, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	grant := BudgetGrant{
		Rules:  []BudgetRule{{Name: "r", Kind: account.Rate, Class: -1, Tenant: -1, PerTenant: true}},
		Until:  1 << 60,
		Leased: []BudgetAmount{{"r", "x", account.Amount{Capacity: 1e12, Rate: 1e12}}},
	}
	sched.Step(0, []Event{completeUpdate("a"), grant})
	q := &query{Request: Request{Tenant: 0}, class: sched.classes[0]}
	a := attempt{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sched.now = monotime.Micros(i)
		if sched.budgets.affords(sched.now, q, nil) {
			sched.budgets.spend(sched.now, q, &a, sched.endpoints.engines[0])
		}
	}
}
