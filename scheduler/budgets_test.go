package scheduler

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// newTestSchedulerWithBudget is a gateway that was told of budgets, with all of each leased to it.
func newTestSchedulerWithBudget(t *testing.T, cfg Config, update EndpointUpdate, rule BudgetRule, m account.Amount, subjects ...string) *Scheduler {
	t.Helper()
	sched := newTestScheduler(t, cfg, update)
	if len(subjects) == 0 {
		subjects = []string{""}
	}
	ev := BudgetGrant{Rules: []BudgetRule{rule}, Until: 1000 * monotime.Second}
	for _, s := range subjects {
		ev.Leased = append(ev.Leased, BudgetAmount{rule.Name, s, m})
	}
	sched.Step(0, []Event{ev})
	return sched
}

func newRequests(first uint64, n, class int, now monotime.Micros) (list []Event) {
	for i := range n {
		list = append(list, newRequest(first+uint64(i), class, now))
	}
	return list
}

// Without a rule, whatever else it is told, a gateway decides exactly as one that was told nothing.
func TestGrantWithoutRulesChangesNothing(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "x", Share: 1, Quota: 40}}
	cfg.Limits.HealthChecks = true
	update := completeUpdate("a", "b", "c")
	update.Entries[2].Started = monotime.Second
	plain, told := newTestScheduler(t, cfg, update), newTestScheduler(t, cfg, update)
	rng := rand.New(rand.NewPCG(1, 2))
	var out []StartAttempt
	for now := monotime.Second; now < 20*monotime.Second; now += monotime.Micros(rng.IntN(40_000)) {
		var events []Event
		if rng.IntN(2) == 0 {
			r := newRequest(uint64(now), rng.IntN(2), now)
			r.Tenant, r.Group = 0, rng.IntN(5)
			events = append(events, r)
		}
		if len(out) > 0 && rng.IntN(2) == 0 {
			events = append(events, newOutcome(out[0].ID, 0, out[0].Engine, Result(rng.IntN(5)), monotime.Micros(rng.IntN(int(monotime.Second)))))
			out = out[1:]
		}
		if rng.IntN(5) == 0 {
			events = append(events, Timer{Token: "sweep"})
		}
		want := plain.Step(now, events)
		got := told.Step(now, append([]Event{BudgetGrant{Until: now + monotime.Second, Leased: []BudgetAmount{{"x", "", account.Amount{Capacity: 1}}}}}, events...))
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("at %d: %v instead of %v", now, got, want)
		}
		out = append(out, startedAttempts(want)...)
	}
}

// What a rate has no room for is refused at once, each told a time of his own at which there will be room, and who
// comes back then is let in.
func TestRateBudgetRejectsWithRetryAfter(t *testing.T) {
	rule := BudgetRule{Name: "r", Kind: account.Rate, Class: -1, Tenant: -1}
	sched := newTestSchedulerWithBudget(t, testConfig(), completeUpdate("a", "b"), rule, account.Amount{Capacity: 2000, Rate: 10_100}) // 9.999 by a clock that may be fast
	sched.Step(monotime.Second, nil)
	actions := sched.Step(2*monotime.Second, newRequests(1, 5, 0, 2*monotime.Second))
	if n := len(startedAttempts(actions)); n != 2 {
		t.Fatalf("%d sends of a burst of 2", n)
	}
	var after []monotime.Micros
	for _, a := range actions {
		if r, ok := a.(Reject); ok {
			after = append(after, r.After)
			if r.Budget != "r" {
				t.Errorf("refused for %q", r.Budget)
			}
		}
	}
	if len(after) != 3 {
		t.Fatalf("refused %v", after)
	}
	now := 2 * monotime.Second
	for i, a := range after {
		if want := monotime.Micros(i+1) * monotime.Second / 10; a < want || a > want+want/50 {
			t.Errorf("the one in place %d is told %d, not about %d", i, a, want)
		}
		if n := len(startedAttempts(sched.Step(now+a, newRequests(uint64(20+i), 1, 0, now+a)))); n != 1 {
			t.Errorf("who came back after %d was not let in", a)
		}
	}
	for _, s := range startedAttempts(actions) {
		if s.StartBy != 2*monotime.Second+maxStartDelay {
			t.Errorf("may be begun until %d", s.StartBy)
		}
	}
}

// A lease that has ended lets nothing go, and a static part goes on.
func TestExpiredLeaseLeavesTheStaticAmount(t *testing.T) {
	rule := BudgetRule{Name: "r", Kind: account.Rate, Class: -1, Tenant: -1}
	sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
	sched.Step(0, []Event{BudgetGrant{Rules: []BudgetRule{rule}, Until: 5 * monotime.Second, Leased: []BudgetAmount{{"r", "", account.Amount{Capacity: 9000, Rate: 9000}}},
		Static: []BudgetAmount{{"r", "", account.Amount{Capacity: 1000, Rate: 1000}}}}})
	if n := len(startedAttempts(sched.Step(5*monotime.Second-1, newRequests(1, 20, 0, 5*monotime.Second)))); n != 10 {
		t.Errorf("%d sends before the lease's end", n)
	}
	if n := len(startedAttempts(sched.Step(7*monotime.Second, newRequests(30, 20, 0, 7*monotime.Second)))); n != 1 {
		t.Errorf("%d sends without a lease", n)
	}
}

// Places are held until an attempt is over for certain, and what waits for one goes then.
func TestConcurrencySlotsAreReleasedAtTheOutcome(t *testing.T) {
	rule := BudgetRule{Name: "p", Kind: account.Concurrency, Class: 0, Tenant: -1, Overflow: QueueOverflow, MaxAttemptDuration: 3 * monotime.Second}
	sched := newTestSchedulerWithBudget(t, testConfig(), completeUpdate("a", "b"), rule, account.Amount{Capacity: 2000})
	got := startedAttempts(sched.Step(monotime.Second, newRequests(1, 4, 0, monotime.Second)))
	if len(got) != 2 || got[0].Timeout == 0 || got[0].Timeout > 3*monotime.Second {
		t.Fatalf("sends %v of two places", got)
	}
	if n := sched.BudgetDemands(monotime.Second); len(n) != 1 || n[0].Want != 4000 || n[0].InUse != 2000 {
		t.Errorf("demand %v", n)
	}
	if n := len(startedAttempts(sched.Step(monotime.Second+1000, newRequests(9, 1, 1, monotime.Second)))); n != 1 {
		t.Errorf("%d sends of a class that takes no places", n)
	}
	sched.Step(monotime.Second+2000, []Event{BudgetGrant{Until: 1000 * monotime.Second, Leased: []BudgetAmount{{"p", "", account.Amount{Capacity: 1000}}}}})
	if n := len(startedAttempts(sched.Step(monotime.Second+3000, []Event{newOutcome(got[0].ID, 0, got[0].Engine, Succeeded, 1000)}))); n != 0 {
		t.Errorf("%d sends while all places that are left are held", n)
	}
	if n := len(startedAttempts(sched.Step(monotime.Second+4000, []Event{newOutcome(got[1].ID, 0, got[1].Engine, TimedOut, 1000)}))); n != 1 {
		t.Errorf("%d sends with a place free", n)
	}
}

// A budget that is not in force yet holds nothing back, and counts what runs, so that it is known when it comes
// into force.
func TestCountOnlyBudgetCountsWithoutBinding(t *testing.T) {
	rule := BudgetRule{Name: "p", Kind: account.Concurrency, Class: -1, Tenant: -1, Overflow: QueueOverflow, CountOnly: true}
	sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
	sched.Step(0, []Event{BudgetGrant{Rules: []BudgetRule{rule}}})
	got := startedAttempts(sched.Step(monotime.Second, newRequests(1, 4, 0, monotime.Second)))
	if len(got) != 4 {
		t.Fatalf("%d sends of 4", len(got))
	}
	rule.CountOnly = false
	sched.Step(monotime.Second+1000, []Event{BudgetGrant{Rules: []BudgetRule{rule}, Until: 1000 * monotime.Second, Leased: []BudgetAmount{{"p", "", account.Amount{Capacity: 4000}}}}})
	if n := len(startedAttempts(sched.Step(monotime.Second+2000, newRequests(9, 1, 0, monotime.Second)))); n != 0 {
		t.Errorf("%d sends with all places held", n)
	}
	if n := len(startedAttempts(sched.Step(monotime.Second+3000, []Event{newOutcome(got[0].ID, 0, got[0].Engine, Succeeded, 1000)}))); n != 1 {
		t.Errorf("%d sends with a place free", n)
	}
}

// Each engine's threads are divided: past the part of one, queries go to another, and nothing is left to a guess at
// this gateway's part of the traffic.
func TestThreadBudgetOfEachEngine(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 40
	rule := BudgetRule{Name: "t", Kind: account.Concurrency, Class: -1, Tenant: -1, EachEngine: true, Unit: Threads, Overflow: QueueOverflow}
	sched := newTestSchedulerWithBudget(t, cfg, completeUpdate("a", "b"), rule, account.Amount{Capacity: 4000}, "a", "b")
	count := map[string]int{}
	for _, s := range startedAttempts(sched.Step(monotime.Second, newRequests(1, 12, 0, monotime.Second))) {
		count[s.Engine]++
	}
	if count["a"] != 4 || count["b"] != 4 {
		t.Errorf("sends %v, of 4 threads each", count)
	}
}

// A cold engine takes what the fleet's budget for it leaves to this gateway, and no trickles or turns are waited for.
func TestWarmUpWindowBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 40
	update := completeUpdate("a", "b")
	update.Entries[0].Started = monotime.Second
	rule := BudgetRule{Name: "c", Kind: account.Window, Window: monotime.Second, Class: -1, Tenant: -1, EachEngine: true, WarmingUp: true, Unit: Work, Overflow: QueueOverflow}
	sched := newTestSchedulerWithBudget(t, cfg, update, rule, account.Amount{Capacity: 3 * monotime.Second}, "a")
	sched.Step(monotime.Second, []Event{update})
	spent := map[monotime.Micros]monotime.Micros{}
	for now := 2 * monotime.Second; now < 6*monotime.Second; now += monotime.Second / 10 {
		list := startedAttempts(sched.Step(now, newRequests(uint64(now), 3, 0, now)))
		for len(list) > 0 {
			s := list[0]
			if s.Engine == "a" {
				spent[now] += monotime.Micros(sched.classes[0].meanWork)
			}
			list = append(list[1:], startedAttempts(sched.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Succeeded, monotime.Second)}))...)
		}
	}
	most := 0.0
	for from := range spent {
		sum := monotime.Micros(0)
		for at, n := range spent {
			if at >= from && at < from+monotime.Second {
				sum += n
			}
		}
		// The whole is the coldest's; it grows as the engine warms.
		warmth := cfg.Rules.InitialWarmth + (1-cfg.Rules.InitialWarmth)*float64(from)/float64(cfg.Rules.WarmUp)
		most = max(most, float64(sum)/(3*float64(monotime.Second)*warmth/cfg.Rules.InitialWarmth))
	}
	if most > 1 || most < 0.6 {
		t.Errorf("%.2f of the whole within a window", most)
	}
}

// Further attempts of the fleet are rationed; first ones are not.
func TestRetryBudgetOfTheFleet(t *testing.T) {
	rule := BudgetRule{Name: "f", Kind: account.Rate, Class: -1, Tenant: -1, Retries: true, Overflow: QueueOverflow}
	sched := newTestSchedulerWithBudget(t, testConfig(), completeUpdate("a", "b", "c"), rule, account.Amount{Capacity: 2000, Rate: 1})
	now := 20000 * monotime.Second // the burst is full: the clock of the test has a rate of nearly nothing
	sched.Step(now, []Event{BudgetGrant{Until: now + 1000*monotime.Second, Leased: []BudgetAmount{{"f", "", account.Amount{Capacity: 2000, Rate: 1000}}}}})
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
		t.Errorf("%d further attempts of 2", n)
	}
}

// Where a budget bounds who of a tenant comes first, what is beyond it goes last and is not refused.
func TestDeprioritizedQueriesGoLast(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "x", Share: 1, Quota: 1}}
	rule := BudgetRule{Name: "l", Kind: account.Rate, Class: -1, Tenant: -1, EachTenant: true, Overflow: DeprioritizeOverflow}
	sched := newTestSchedulerWithBudget(t, cfg, EndpointUpdate{Kind: UpdateComplete}, rule, account.Amount{Capacity: 3000, Rate: 3000}, "x")
	var events []Event
	for i := range uint64(5) {
		r := newRequest(i+1, 0, 2*monotime.Second)
		r.Tenant = 0
		events = append(events, r)
	}
	if n := len(rejectedIDs(sched.Step(2*monotime.Second, events))); n != 0 {
		t.Errorf("%d refused", n)
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

// Probes are rationed too.
func TestHealthCheckBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.HealthChecks = true
	rule := BudgetRule{Name: "p", Kind: account.Rate, Class: -1, Tenant: -1, HealthChecks: true, Overflow: QueueOverflow}
	for rate, want := range map[int64]bool{0: false, 1_000_000: true} {
		sched := newTestSchedulerWithBudget(t, cfg, completeUpdate("a", "b"), rule, account.Amount{Capacity: rate, Rate: rate})
		sched.Step(monotime.Second, []Event{EngineUnresponsive{Engine: "a"}, newRequest(1, 0, monotime.Second)})
		probed := false
		for now := monotime.Second; now < 4*monotime.Second; now += 20_000 {
			for _, a := range sched.Step(now, []Event{Timer{Token: "sweep"}}) {
				_, ok := a.(HealthCheck)
				probed = probed || ok
			}
		}
		if probed != want {
			t.Errorf("a rate of %d: probed %v", rate, probed)
		}
	}
}

// Spending takes no allocation.
func BenchmarkAfford(b *testing.B) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "x", Share: 1, Quota: 1}}
	sched, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	sched.Step(0, []Event{completeUpdate("a"), BudgetGrant{Rules: []BudgetRule{{Name: "r", Kind: account.Rate, Class: -1, Tenant: -1, EachTenant: true}},
		Until: 1 << 60, Leased: []BudgetAmount{{"r", "x", account.Amount{Capacity: 1e12, Rate: 1e12}}}}})
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
