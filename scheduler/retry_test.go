package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// Rule 2: after an outcome that leaves open whether the query ran, its effect decides whether it is retried, rejected
// or failed.
func TestRetryAfterResetDependsOnTheEffect(t *testing.T) {
	for _, c := range []struct {
		name       string
		effect     Effect
		scope      DedupeScope
		result     Result
		elapsed    monotime.Micros
		wantEngine string
		wantFail   bool
	}{
		{"idempotent is retried", Idempotent, ScopeAll, Reset, 1000, "b", false},
		{"non-idempotent fails", NonIdempotent, ScopeAll, Reset, 1000, "", true},
		{"non-idempotent is retried when it never ran", NonIdempotent, ScopeAll, NoConnection, 1000, "b", false},
		{"by key is retried in its zone", IdempotentByKey, ScopeZone, Errored, 1000, "c", false},
		{"by key is retried in its cell", IdempotentByKey, ScopeCell, Errored, 1000, "c", false},
		{"by key fails after its window", IdempotentByKey, ScopeZone, Errored, 3 * monotime.Second, "", true},
		{"by key at all engines is rejected after its window", IdempotentByKey, ScopeAll, Errored,
			3 * monotime.Second, "", false},
	} {
		cfg := testConfig()
		class := &cfg.Classes[0]
		class.Effect, class.DedupeScope, class.DedupeWindow = c.effect, c.scope, 2*monotime.Second
		update := completeUpdate("a")
		update.Endpoints[0].Zone, update.Endpoints[0].Cell = "north", 1
		sched := newTestScheduler(t, cfg, update)
		sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)})
		others := EndpointUpdate{Endpoints: []Endpoint{{Engine: "b", Kind: "k", Zone: "south", Cell: 2},
			{Engine: "c", Kind: "k", Zone: "north", Cell: 1}}}
		if c.wantEngine == "b" {
			others.Endpoints = others.Endpoints[:1]
		}
		now := monotime.Second + c.elapsed
		actions := sched.Step(now, []Event{others, newOutcome(1, 0, "a", c.result, c.elapsed)})
		got := ""
		for _, s := range startedAttempts(actions) {
			got = s.Engine
		}
		if got != c.wantEngine || (len(failedIDs(actions)) > 0) != c.wantFail {
			t.Errorf("%s: sent to %q, failed %v", c.name, got, failedIDs(actions))
		}
	}
}

// allResults maps each result of an attempt to whether it proves that the attempt never ran.
var allResults = map[Result]bool{
	Succeeded: false, Errored: false, Rejected: true, TimedOut: false,
	NoConnection: true, Reset: false, Canceled: false, NotSent: true,
}

// For every result of an attempt, effect and dedupe scope: where a second execution would do harm, a query that may
// have run is neither retried nor rejected; a query that never ran is retried whatever its effect; and no request has
// two attempts in flight.
func TestRetriesByEffectAndResult(t *testing.T) {
	for result, neverRan := range allResults {
		assert.Equal(t, neverRan, result.NeverRan(), "%d", result)
		for _, effect := range []Effect{Idempotent, IdempotentByKey, NonIdempotent} {
			for _, scope := range []DedupeScope{ScopeAll, ScopeZone, ScopeCell} {
				cfg := testConfig()
				cfg.Limits.HealthChecks = true
				class := &cfg.Classes[0]
				class.Effect, class.DedupeScope, class.DedupeWindow = effect, scope, 2*monotime.Second
				update := completeUpdate("a", "b", "c")
				for i := range update.Endpoints { // each alone in its zone and cell
					update.Endpoints[i].Zone, update.Endpoints[i].Cell = string(rune('x'+i)), i
				}
				sched := newTestScheduler(t, cfg, update)
				first := startedAttempts(sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)}))
				require.Len(t, first, 1)
				var retries []StartAttempt
				var actions []Action
				for now := monotime.Second; now < 3*monotime.Second; now += monotime.Second / 50 {
					events := []Event{Timer{Token: "sweep"}}
					if now == monotime.Second+monotime.Second/10 {
						events = append(events, newOutcome(1, 0, first[0].Engine, result, monotime.Second/10))
					}
					step := sched.Step(now, events)
					if now < monotime.Second+monotime.Second/10 {
						require.Empty(t, startedAttempts(step), "a second attempt while the first is in flight")
					}
					retries, actions = append(retries, startedAttempts(step)...), append(actions, step...)
				}
				name := []any{"result %d, effect %d, scope %d", result, effect, scope}
				if result == Succeeded {
					assert.Empty(t, retries, name...)
					continue
				}
				elsewhere := neverRan || effect == Idempotent || effect == IdempotentByKey && scope == ScopeAll
				for _, s := range retries {
					assert.True(t, elsewhere || effect == IdempotentByKey && s.Engine == first[0].Engine, name...)
					if effect == IdempotentByKey && !neverRan {
						assert.Equal(t, 3*monotime.Second, s.StartBy, name...)
					} else {
						assert.Zero(t, s.StartBy, name...)
					}
				}
				assert.LessOrEqual(t, len(retries), 1, name...)
				// A rejection by an engine is pressure, under which the query may be rejected as well.
				if elsewhere && (result != Rejected || len(rejectedIDs(actions)) == 0) {
					assert.Len(t, retries, 1, name...)
				}
				if effect == NonIdempotent && !neverRan {
					assert.Empty(t, retries, name...)
					assert.Empty(t, rejectedIDs(actions), name...)
					assert.Contains(t, actions, Action(Fail{ID: 1}), name...)
				}
			}
		}
	}
}

// The dedupe window counts from the first attempt that may have run, not from the last. It bounds when an attempt may
// be written to the engine as well as when it may be decided.
func TestDedupeWindowCountsFromTheFirstAttemptThatMayHaveRun(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.MaxAttempts, cfg.Limits.HealthChecks = 9, true
	cfg.Classes[0].Effect, cfg.Classes[0].DedupeWindow = IdempotentByKey, monotime.Second
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b", "c"))
	const tenth = monotime.Second / 10
	s := startedAttempts(sched.Step(10*tenth, []Event{newRequest(1, 0, 10*tenth)}))
	require.Len(t, s, 1)
	assert.Zero(t, s[0].StartBy)
	s = startedAttempts(sched.Step(11*tenth, []Event{newOutcome(1, 0, s[0].Engine, NoConnection, tenth)}))
	require.Len(t, s, 1, "the first attempt never ran, so the window counts from this one")
	assert.Zero(t, s[0].StartBy)
	s = startedAttempts(sched.Step(16*tenth, []Event{newOutcome(1, 1, s[0].Engine, Errored, 5*tenth)}))
	require.Len(t, s, 1)
	assert.Equal(t, 21*tenth, s[0].StartBy)
	s = startedAttempts(sched.Step(20*tenth, []Event{newOutcome(1, 2, s[0].Engine, Errored, 4*tenth)}))
	require.Len(t, s, 1)
	assert.Equal(t, 21*tenth, s[0].StartBy)
	for now := 21 * tenth; now < 4*monotime.Second; now += monotime.Second / 50 {
		events := []Event{Timer{Token: "sweep"}}
		if now == 21*tenth {
			events = append(events, newOutcome(1, 3, s[0].Engine, Errored, tenth))
		}
		assert.Empty(t, startedAttempts(sched.Step(now, events)))
	}
}

// A non-idempotent query that may have run fails, whatever the effect of its class: it is neither retried nor rejected.
// One that never ran is retried, unless its client allows no retry.
func TestNonIdempotentAndNoRetryRequests(t *testing.T) {
	for _, c := range []struct {
		name                   string
		class                  int
		nonIdempotent, noRetry bool
		result                 Result
		retried                bool
		rejected               bool
	}{
		{"idempotent, reset", 0, false, false, Reset, true, false},
		{"non-idempotent in an idempotent class, reset", 0, true, false, Reset, false, false},
		{"non-idempotent in an idempotent class, error", 0, true, false, Errored, false, false},
		{"non-idempotent in an idempotent class, rejected", 0, true, false, Rejected, true, false},
		{"idempotent by key, reset", 1, false, false, Reset, true, false},
		{"non-idempotent in a class by key, reset", 1, true, false, Reset, false, false},
		{"non-idempotent in a class by key, timed out", 1, true, false, TimedOut, false, false},
		{"non-idempotent in a class by key, no connection", 1, true, false, NoConnection, true, false},
		{"no retry, rejected", 0, true, true, Rejected, false, true},
		{"no retry, no connection", 1, true, true, NoConnection, false, true},
		{"no retry, reset", 0, true, true, Reset, false, false},
	} {
		sched := newTestScheduler(t, keyedClassConfig(), completeUpdate("a", "b", "c"))
		for id := uint64(100); id < 150; id++ { // lowers the estimate to the actual execution time
			sched.Step(monotime.Second/2, []Event{newRequest(id, c.class, monotime.Second/2)})
			e := sched.queries[id].attempts[0].engine.Engine
			sched.Step(monotime.Second/2, []Event{newOutcome(id, 0, e, Succeeded, monotime.Second/20)})
		}
		r := newRequest(1, c.class, monotime.Second)
		r.NonIdempotent, r.NoRetry = c.nonIdempotent, c.noRetry
		first := startedAttempts(sched.Step(monotime.Second, []Event{r}))
		if len(first) != 1 {
			t.Fatalf("%s: attempts %v, want 1", c.name, first)
		}
		var retries []StartAttempt
		var rejected, failed []uint64
		events := []Event{newOutcome(1, 0, first[0].Engine, c.result, monotime.Second/10)}
		for now := monotime.Second + monotime.Second/10; now < 6*monotime.Second; now += sweepInterval {
			actions := sched.Step(now, events)
			retries = append(retries, startedAttempts(actions)...)
			rejected = append(rejected, rejectedIDs(actions)...)
			failed = append(failed, failedIDs(actions)...)
			events = []Event{Timer{Token: "sweep"}}
		}
		if got := len(retries) > 0; got != c.retried {
			t.Errorf("%s: retried %v, want %v", c.name, got, c.retried)
		}
		if !c.retried && (len(rejected) != map[bool]int{true: 1}[c.rejected] || len(rejected)+len(failed) != 1) {
			t.Errorf("%s: rejected %v, failed %v", c.name, rejected, failed)
		}
	}
}

// An attempt of a non-idempotent query has no timeout of its own: it can't be canceled, so it might run on after one.
func TestNonIdempotentAttemptsHaveNoTimeout(t *testing.T) {
	cfg := keyedClassConfig()
	cfg.Limits.Cancel = false
	for _, nonIdempotent := range []bool{false, true} {
		sched := newTestScheduler(t, cfg, completeUpdate("a"))
		r := newRequest(1, 0, monotime.Second)
		r.NonIdempotent = nonIdempotent
		s := startedAttempts(sched.Step(monotime.Second, []Event{r}))
		if len(s) != 1 || s[0].Timeout > 0 == nonIdempotent {
			t.Errorf("non-idempotent %v: attempts %v, want 1 with a timeout only if idempotent", nonIdempotent, s)
		}
	}
}

// Where attempts can't be canceled, an attempt of an idempotent query times out and is retried on another engine.
func TestAttemptsThatCannotBeCanceledHaveATimeout(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.Cancel = false
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	sched.classes[0].meanLatency, sched.classes[0].meanEstimate = 50_000, 1
	first := startedAttempts(sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)}))[0]
	if first.Timeout <= 50_000 || first.Timeout >= 4*monotime.Second {
		t.Fatalf("timeout %d, want one between the execution time and the client's timeout", first.Timeout)
	}
	now := monotime.Second + first.Timeout
	next := startedAttempts(sched.Step(now, []Event{newOutcome(1, 0, first.Engine, TimedOut, first.Timeout)}))
	if len(next) != 1 || next[0].Engine == first.Engine {
		t.Fatalf("attempts after the timeout %v, want 1 on the other engine", next)
	}
}

// Rule 7: this front end's retries stay within its retry budget.
func TestRetriesStayWithinTheRetryBudget(t *testing.T) {
	cfg := testConfig()
	rules := &cfg.Rules
	rules.RetryBudget, rules.MinRetries, rules.RetryRatio, rules.RetryBudgetWindow = true, 1, 0.1, monotime.Second
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	now, retries := monotime.Second, 0
	var events []Event
	for i := range 10 {
		events = append(events, newRequest(uint64(i), 0, now))
	}
	first := startedAttempts(sched.Step(now, events))
	for _, s := range first {
		now += 1000
		retries += len(startedAttempts(sched.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Errored, 1000)})))
	}
	if len(first) < 4 || retries != 2 {
		t.Fatalf("%d retries after %d first attempts, want 2", retries, len(first))
	}
}

// A slow query gets one hedged request, on another engine, where that is allowed and a second execution does no harm.
// The first of the two attempts to succeed serves the query. Otherwise the first attempt stays the only one.
func TestHedgedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		allowed, ordered bool
		effect           Effect
		hedged           int
	}{
		"idempotent":        {true, false, Idempotent, 1},
		"not allowed":       {false, false, Idempotent, 0},
		"idempotent by key": {true, false, IdempotentByKey, 0},
		"non-idempotent":    {true, false, NonIdempotent, 0},
		"ordered":           {true, true, Idempotent, 0},
	} {
		cfg := testConfig()
		cfg.Limits.Cancel, cfg.Limits.HealthChecks, cfg.Limits.HedgedRequests = false, true, c.allowed
		class := &cfg.Classes[0]
		class.Effect, class.DedupeWindow, class.Ordered = c.effect, 25*monotime.Second, c.ordered
		class.ClientTimeout = 40 * monotime.Second
		sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
		for n := range uint64(20) { // a typical query takes 0.1 s
			now, elapsed := monotime.Micros(n+1)*monotime.Second, monotime.Second/10
			s := startedAttempts(sched.Step(now, []Event{newRequest(n, 0, now)}))
			require.Len(t, s, 1)
			sched.Step(now+elapsed, []Event{newOutcome(n, 0, s[0].Engine, Succeeded, elapsed)})
		}
		r := newRequest(100, 0, 30*monotime.Second)
		r.Key, r.Deadline = "k", 70*monotime.Second
		first := startedAttempts(sched.Step(30*monotime.Second, []Event{r}))
		require.Len(t, first, 1)
		var hedged []StartAttempt
		for now := 30 * monotime.Second; now < 35*monotime.Second; now += monotime.Second / 50 {
			hedged = append(hedged, startedAttempts(sched.Step(now, []Event{Timer{Token: "sweep"}}))...)
		}
		require.Len(t, hedged, c.hedged, name)
		if c.hedged == 0 {
			continue
		}
		assert.NotEqual(t, first[0].Engine, hedged[0].Engine)
		assert.Zero(t, hedged[0].Timeout)
		sched.Step(35*monotime.Second, []Event{newOutcome(100, 1, hedged[0].Engine, Succeeded, monotime.Second)})
		canceled := newOutcome(100, 0, first[0].Engine, Canceled, 6*monotime.Second)
		canceled.Final = true
		assert.Empty(t, rejectedIDs(sched.Step(36*monotime.Second, []Event{canceled})))
		assert.Empty(t, sched.queries, "the query is closed")
		assert.Empty(t, sched.queue.queries)
	}
}
