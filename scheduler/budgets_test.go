package scheduler

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// newTestSchedulerWithBudget returns a scheduler with one budget in force, of which it has a lease of the amount for
// each subject, or for the whole budget if no subjects are named.
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

// lease returns a grant of the rules, with a lease of one budget without subjects that expires at until.
func lease(until monotime.Micros, budget string, amount account.Amount, rules ...BudgetRule) BudgetGrant {
	return BudgetGrant{Rules: rules, Until: until, Leased: []BudgetAmount{{budget, "", amount}}}
}

// newRequests returns n requests of a class, with consecutive IDs from first on.
func newRequests(first uint64, n, class int, now monotime.Micros) (list []Event) {
	for i := range n {
		list = append(list, newRequest(first+uint64(i), class, now))
	}
	return list
}

// A front end with a lease but no budget rules decides exactly as one without a grant.
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
			t.Fatalf("at %d: actions %v, want %v", now, got, want)
		}
		inFlight = append(inFlight, startedAttempts(want)...)
	}
}

// Queries beyond a rate budget are rejected at once, each with a different Retry-After, and a retry at that time is
// served.
func TestRateBudgetRejectsWithRetryAfter(t *testing.T) {
	rule := BudgetRule{Name: "r", Kind: account.Rate, Class: -1, Tenant: -1}
	amount := account.Amount{Capacity: 2000, Rate: 10_100} // 9.999 queries a second after the allowance for clock drift
	sched := newTestSchedulerWithBudget(t, testConfig(), completeUpdate("a", "b"), rule, amount)
	sched.Step(monotime.Second, nil)
	actions := sched.Step(2*monotime.Second, newRequests(1, 5, 0, 2*monotime.Second))
	if n := len(startedAttempts(actions)); n != 2 {
		t.Fatalf("%d attempts, want the burst of 2", n)
	}
	var after []monotime.Micros
	for _, a := range actions {
		if r, ok := a.(Reject); ok {
			after = append(after, r.RetryAfter)
			if r.Budget != "r" {
				t.Errorf("rejected for budget %q, want budget r", r.Budget)
			}
		}
	}
	if len(after) != 3 {
		t.Fatalf("rejected with Retry-After %v, want three rejections", after)
	}
	now := 2 * monotime.Second
	for i, a := range after {
		if want := monotime.Micros(i+1) * monotime.Second / 10; a < want || a > want+want/50 {
			t.Errorf("Retry-After %d is %d, want about %d", i, a, want)
		}
		if n := len(startedAttempts(sched.Step(now+a, newRequests(uint64(20+i), 1, 0, now+a)))); n != 1 {
			t.Errorf("the retry after %d was not served", a)
		}
	}
	for _, s := range startedAttempts(actions) {
		if s.StartBy != 2*monotime.Second+maxStartDelay {
			t.Errorf("StartBy is %d, want maxStartDelay after the attempt was decided", s.StartBy)
		}
	}
}

// Nothing is spent from an expired lease; the static amount remains available.
func TestExpiredLeaseLeavesTheStaticAmount(t *testing.T) {
	rule := BudgetRule{Name: "r", Kind: account.Rate, Class: -1, Tenant: -1}
	sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
	grant := lease(5*monotime.Second, "r", account.Amount{Capacity: 9000, Rate: 9000}, rule)
	grant.Static = []BudgetAmount{{"r", "", account.Amount{Capacity: 1000, Rate: 1000}}}
	sched.Step(0, []Event{grant})
	if n := len(startedAttempts(sched.Step(5*monotime.Second-1, newRequests(1, 20, 0, 5*monotime.Second)))); n != 10 {
		t.Errorf("%d attempts before the lease expired, want 10", n)
	}
	if n := len(startedAttempts(sched.Step(7*monotime.Second, newRequests(30, 20, 0, 7*monotime.Second)))); n != 1 {
		t.Errorf("%d attempts without a lease, want 1", n)
	}
}

// The outcome of an attempt releases its concurrency slot, and a queued query starts in the same step.
func TestConcurrencySlotsAreReleasedAtTheOutcome(t *testing.T) {
	rule := BudgetRule{Name: "p", Kind: account.Concurrency, Class: 0, Tenant: -1, Overflow: QueueOverflow,
		MaxAttemptDuration: 3 * monotime.Second}
	sched := newTestSchedulerWithBudget(t, testConfig(), completeUpdate("a", "b"), rule, account.Amount{Capacity: 2000})
	got := startedAttempts(sched.Step(monotime.Second, newRequests(1, 4, 0, monotime.Second)))
	if len(got) != 2 || got[0].Timeout == 0 || got[0].Timeout > 3*monotime.Second {
		t.Fatalf("attempts %v, want two that time out within MaxAttemptDuration", got)
	}
	if n := sched.BudgetDemands(monotime.Second); len(n) != 1 || n[0].Demand != 4000 || n[0].InUse != 2000 {
		t.Errorf("demands %v, want one of 4000 with 2000 in use", n)
	}
	if n := len(startedAttempts(sched.Step(monotime.Second+1000, newRequests(9, 1, 1, monotime.Second)))); n != 1 {
		t.Errorf("%d attempts of a class that does not count towards the budget, want 1", n)
	}
	sched.Step(monotime.Second+2000, []Event{lease(1000*monotime.Second, "p", account.Amount{Capacity: 1000})})
	first := newOutcome(got[0].ID, 0, got[0].Engine, Succeeded, 1000)
	if n := len(startedAttempts(sched.Step(monotime.Second+3000, []Event{first}))); n != 0 {
		t.Errorf("%d attempts while all slots of the reduced lease are in use, want 0", n)
	}
	second := newOutcome(got[1].ID, 0, got[1].Engine, TimedOut, 1000)
	if n := len(startedAttempts(sched.Step(monotime.Second+4000, []Event{second}))); n != 1 {
		t.Errorf("%d attempts with a free slot, want 1", n)
	}
}

// A budget that is not in force yet allows every attempt, but counts those in flight, so that they use its slots when
// it comes into force.
func TestCountOnlyBudgetCountsWithoutBinding(t *testing.T) {
	rule := BudgetRule{Name: "p", Kind: account.Concurrency, Class: -1, Tenant: -1, Overflow: QueueOverflow,
		CountOnly: true}
	sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
	sched.Step(0, []Event{BudgetGrant{Rules: []BudgetRule{rule}}})
	got := startedAttempts(sched.Step(monotime.Second, newRequests(1, 4, 0, monotime.Second)))
	if len(got) != 4 {
		t.Fatalf("%d attempts, want 4", len(got))
	}
	rule.CountOnly = false
	sched.Step(monotime.Second+1000, []Event{lease(1000*monotime.Second, "p", account.Amount{Capacity: 4000}, rule)})
	if n := len(startedAttempts(sched.Step(monotime.Second+2000, newRequests(9, 1, 0, monotime.Second)))); n != 0 {
		t.Errorf("%d attempts with all slots in use, want 0", n)
	}
	first := newOutcome(got[0].ID, 0, got[0].Engine, Succeeded, 1000)
	if n := len(startedAttempts(sched.Step(monotime.Second+3000, []Event{first}))); n != 1 {
		t.Errorf("%d attempts with a free slot, want 1", n)
	}
}

// With a budget that divides the threads of each engine, queries beyond the amount for one engine go to another, and
// the bound from this front end's estimated share of the traffic does not apply.
func TestThreadBudgetOfEachEngine(t *testing.T) {
	cfg := testConfig()
	cfg.FrontEnds = 40
	rule := BudgetRule{Name: "t", Kind: account.Concurrency, Class: -1, Tenant: -1, PerEngine: true, Unit: Threads,
		Overflow: QueueOverflow}
	amount := account.Amount{Capacity: 4000}
	sched := newTestSchedulerWithBudget(t, cfg, completeUpdate("a", "b"), rule, amount, "a", "b")
	count := map[string]int{}
	for _, s := range startedAttempts(sched.Step(monotime.Second, newRequests(1, 12, 0, monotime.Second))) {
		count[s.Engine]++
	}
	if count["a"] != 4 || count["b"] != 4 {
		t.Errorf("attempts by engine %v, want 4 on each", count)
	}
}

// With a budget that divides the work for an engine that is warming up, this front end sends up to its amount, and
// neither work credit nor turns apply.
func TestWarmUpWindowBudget(t *testing.T) {
	cfg := testConfig()
	cfg.FrontEnds = 40
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
	maxUse := 0.0 // largest part of the amount that was sent in a window
	for from := range spent {
		sum := monotime.Micros(0)
		for at, n := range spent {
			if at >= from && at < from+monotime.Second {
				sum += n
			}
		}
		// The leased amount is for the capacity at the engine's start; it grows with the capacity.
		amount := 3 * float64(monotime.Second) * capacityAfter(cfg.Rules, from) / cfg.Rules.InitialCapacity
		maxUse = max(maxUse, float64(sum)/amount)
	}
	if maxUse > 1 || maxUse < 0.6 {
		t.Errorf("%.2f of the amount sent within a window, want 0.6 to 1", maxUse)
	}
}

// A retry budget of the fleet bounds retries but not first attempts.
func TestRetryBudgetOfTheFleet(t *testing.T) {
	rule := BudgetRule{Name: "f", Kind: account.Rate, Class: -1, Tenant: -1, Retries: true, Overflow: QueueOverflow}
	amount := account.Amount{Capacity: 2000, Rate: 1}
	sched := newTestSchedulerWithBudget(t, testConfig(), completeUpdate("a", "b", "c"), rule, amount)
	now := 20000 * monotime.Second // late enough for the burst to be full in spite of the tiny rate
	sched.Step(now, []Event{lease(now+1000*monotime.Second, "f", account.Amount{Capacity: 2000, Rate: 1000})})
	now += 3 * monotime.Second
	first := startedAttempts(sched.Step(now, newRequests(1, 6, 0, now)))
	if len(first) != 6 {
		t.Fatalf("%d first attempts, want 6", len(first))
	}
	var events []Event
	for _, s := range first {
		events = append(events, newOutcome(s.ID, 0, s.Engine, Errored, 1000))
	}
	if n := len(startedAttempts(sched.Step(now+1000, events))); n != 2 {
		t.Errorf("%d retries, want 2", n)
	}
}

// A tenant's queries over a budget with DeprioritizeOverflow go last and are not rejected.
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
		t.Errorf("%d rejected, want 0", n)
	}
	over := 0
	for _, q := range sched.queries {
		if q.deprioritized {
			over++
		}
	}
	if over != 2 {
		t.Errorf("%d of 5 queries deprioritized, want the 2 over the budget of 3", over)
	}
}

// A budget for health checks bounds how many are sent.
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
			t.Errorf("rate %d: health check sent %v", rate, checked)
		}
	}
}

// BenchmarkAfford measures the cost of spending from a budget, which allocates no memory.
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
