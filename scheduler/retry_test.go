package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// Rule 2: what follows a reset depends on what a second execution would do.
func TestRetryAfterResetDependsOnTheEffect(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeat     Effect
		scope      DedupeScope
		result     Result
		elapsed    monotime.Micros
		wantEngine string
		wantFail   bool
	}{
		{"safe goes on", Idempotent, ScopeAll, Reset, 1000, "b", false},
		{"unsafe fails", NonIdempotent, ScopeAll, Reset, 1000, "", true},
		{"unsafe goes on when it never ran", NonIdempotent, ScopeAll, NoConnection, 1000, "b", false},
		{"keyed goes to its zone", IdempotentByKey, ScopeZone, Errored, 1000, "c", false},
		{"keyed goes to its cell", IdempotentByKey, ScopeCell, Errored, 1000, "c", false},
		{"keyed fails after its window", IdempotentByKey, ScopeZone, Errored, 3 * monotime.Second, "", true},
		{"keyed for all fails after its window by a refusal", IdempotentByKey, ScopeAll, Errored, 3 * monotime.Second, "", false},
	} {
		cfg := testConfig()
		cfg.Classes[0].Effect, cfg.Classes[0].DedupeScope, cfg.Classes[0].DedupeWindow = c.repeat, c.scope, 2*monotime.Second
		update := completeUpdate("a")
		update.Entries[0].Zone, update.Entries[0].Cell = "north", 1
		sched := newTestScheduler(t, cfg, update)
		sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)})
		others := EndpointUpdate{Entries: []Endpoint{{Engine: "b", Kind: "k", Zone: "south", Cell: 2},
			{Engine: "c", Kind: "k", Zone: "north", Cell: 1}}}
		if c.wantEngine == "b" {
			others.Entries = others.Entries[:1]
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

// allResults is each end that an attempt may have, and whether it proves that nothing ran.
var allResults = map[Result]bool{Succeeded: false, Errored: false, Rejected: true, TimedOut: false, NoConnection: true, Reset: false,
	Canceled: false, NotSent: true}

// Over every end of an attempt and every effect of a class: what may have run is not sent again where a second
// execution does harm, nor called refused; what surely never ran is sent again whatever the effect; and no request
// has two attempts out.
func TestRetriesByEffectAndResult(t *testing.T) {
	for result, never := range allResults {
		assert.Equal(t, never, result.NeverRan(), "%d", result)
		for _, effect := range []Effect{Idempotent, IdempotentByKey, NonIdempotent} {
			for _, scope := range []DedupeScope{ScopeAll, ScopeZone, ScopeCell} {
				cfg := testConfig()
				cfg.Limits.HealthChecks = true
				cfg.Classes[0].Effect, cfg.Classes[0].DedupeScope, cfg.Classes[0].DedupeWindow = effect, scope, 2*monotime.Second
				update := completeUpdate("a", "b", "c")
				for i := range update.Entries { // each alone in its zone and cell
					update.Entries[i].Zone, update.Entries[i].Cell = string(rune('x'+i)), i
				}
				sched := newTestScheduler(t, cfg, update)
				first := startedAttempts(sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)}))
				require.Len(t, first, 1)
				var further []StartAttempt
				var actions []Action
				for now := monotime.Second; now < 3*monotime.Second; now += monotime.Second / 50 { // nothing while it is out
					events := []Event{Timer{Token: "sweep"}}
					if now == monotime.Second+monotime.Second/10 {
						events = append(events, newOutcome(1, 0, first[0].Engine, result, monotime.Second/10))
					}
					step := sched.Step(now, events)
					if now < monotime.Second+monotime.Second/10 {
						require.Empty(t, startedAttempts(step), "a second one beside the first")
					}
					further, actions = append(further, startedAttempts(step)...), append(actions, step...)
				}
				name := []any{"result %d, effect %d, scope %d", result, effect, scope}
				if result == Succeeded {
					assert.Empty(t, further, name...)
					continue
				}
				elsewhere := never || effect == Idempotent || effect == IdempotentByKey && scope == ScopeAll
				for _, s := range further {
					assert.True(t, elsewhere || effect == IdempotentByKey && s.Engine == first[0].Engine, name...)
					if effect == IdempotentByKey && !never {
						assert.Equal(t, 3*monotime.Second, s.StartBy, name...)
					} else {
						assert.Zero(t, s.StartBy, name...)
					}
				}
				assert.LessOrEqual(t, len(further), 1, name...)
				if elsewhere && (result != Rejected || len(rejectedIDs(actions)) == 0) { // a full engine is pressure, and may end it
					assert.Len(t, further, 1, name...)
				}
				if effect == NonIdempotent && !never {
					assert.Empty(t, further, name...)
					assert.Empty(t, rejectedIDs(actions), name...)
					assert.Contains(t, actions, Action(Fail{ID: 1}), name...)
				}
			}
		}
	}
}

// The window in which engines drop a repeat counts from the first send that may have run, not from the last, and it
// bounds the write as well as the decision.
func TestDedupeWindowCountsFromTheFirstAttemptThatMayHaveRun(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.MaxAttempts, cfg.Limits.HealthChecks = 9, true
	cfg.Classes[0].Effect, cfg.Classes[0].DedupeWindow = IdempotentByKey, monotime.Second
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b", "c"))
	s := startedAttempts(sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)}))
	require.Len(t, s, 1)
	assert.Zero(t, s[0].StartBy)
	s = startedAttempts(sched.Step(monotime.Second+monotime.Second/10, []Event{newOutcome(1, 0, s[0].Engine, NoConnection, monotime.Second/10)}))
	require.Len(t, s, 1, "nothing ran: this is the first")
	assert.Zero(t, s[0].StartBy)
	s = startedAttempts(sched.Step(monotime.Second*16/10, []Event{newOutcome(1, 1, s[0].Engine, Errored, monotime.Second/2)}))
	require.Len(t, s, 1)
	assert.Equal(t, monotime.Second*21/10, s[0].StartBy)
	s = startedAttempts(sched.Step(monotime.Second*20/10, []Event{newOutcome(1, 2, s[0].Engine, Errored, monotime.Second*4/10)}))
	require.Len(t, s, 1)
	assert.Equal(t, monotime.Second*21/10, s[0].StartBy)
	for now := monotime.Second * 21 / 10; now < 4*monotime.Second; now += monotime.Second / 50 {
		events := []Event{Timer{Token: "sweep"}}
		if now == monotime.Second*21/10 {
			events = append(events, newOutcome(1, 3, s[0].Engine, Errored, monotime.Second/10))
		}
		assert.Empty(t, startedAttempts(sched.Step(now, events)))
	}
}

// A query that may not run twice is not sent again once it may have run, whatever its class says, and it is failed
// then, not refused. Where it is known not to have run it may go elsewhere, unless it is to go once only.
func TestNonIdempotentAndNoRetryRequests(t *testing.T) {
	for _, c := range []struct {
		name           string
		class          int
		unsafe, single bool
		result         Result
		again          bool
		refused        bool
	}{
		{"safe, reset", 0, false, false, Reset, true, false},
		{"unsafe in a safe class, reset", 0, true, false, Reset, false, false},
		{"unsafe in a safe class, error", 0, true, false, Errored, false, false},
		{"unsafe in a safe class, full", 0, true, false, Rejected, true, false},
		{"keyed, reset", 1, false, false, Reset, true, false},
		{"unsafe in a keyed class, reset", 1, true, false, Reset, false, false},
		{"unsafe in a keyed class, timed out", 1, true, false, TimedOut, false, false},
		{"unsafe in a keyed class, no connection", 1, true, false, NoConnection, true, false},
		{"single, full", 0, true, true, Rejected, false, true},
		{"single, no connection", 1, true, true, NoConnection, false, true},
		{"single, reset", 0, true, true, Reset, false, false},
	} {
		sched := newTestScheduler(t, keyedClassConfig(), completeUpdate("a", "b", "c"))
		for id := uint64(100); id < 150; id++ { // prices come down to what queries take
			sched.Step(monotime.Second/2, []Event{newRequest(id, c.class, monotime.Second/2)})
			e := sched.queries[id].attempts[0].engine.Engine
			sched.Step(monotime.Second/2, []Event{newOutcome(id, 0, e, Succeeded, monotime.Second/20)})
		}
		r := newRequest(1, c.class, monotime.Second)
		r.NonIdempotent, r.NoRetry = c.unsafe, c.single
		first := startedAttempts(sched.Step(monotime.Second, []Event{r}))
		if len(first) != 1 {
			t.Fatalf("%s: sends %v", c.name, first)
		}
		var again []StartAttempt
		var refused, failed []uint64
		events := []Event{newOutcome(1, 0, first[0].Engine, c.result, monotime.Second/10)}
		for now := monotime.Second + monotime.Second/10; now < 6*monotime.Second; now += sweepInterval {
			actions := sched.Step(now, events)
			again, refused = append(again, startedAttempts(actions)...), append(refused, rejectedIDs(actions)...)
			failed = append(failed, failedIDs(actions)...)
			events = []Event{Timer{Token: "sweep"}}
		}
		if got := len(again) > 0; got != c.again {
			t.Errorf("%s: sent again %v, want %v", c.name, got, c.again)
		}
		if !c.again && (len(refused) != map[bool]int{true: 1}[c.refused] || len(refused)+len(failed) != 1) {
			t.Errorf("%s: refused %v, failed %v", c.name, refused, failed)
		}
	}
}

// What is not safe has no time-out of its own: an attempt that can't be called off may run on.
func TestNonIdempotentAttemptsHaveNoTimeout(t *testing.T) {
	cfg := keyedClassConfig()
	cfg.Limits.Cancel = false
	for _, unsafe := range []bool{false, true} {
		sched := newTestScheduler(t, cfg, completeUpdate("a"))
		r := newRequest(1, 0, monotime.Second)
		r.NonIdempotent = unsafe
		if s := startedAttempts(sched.Step(monotime.Second, []Event{r})); len(s) != 1 || s[0].Timeout > 0 == unsafe {
			t.Errorf("unsafe %v: sends %v", unsafe, s)
		}
	}
}

// Where attempts cannot be called off, a safe query's attempt ends by itself and is tried elsewhere.
func TestAttemptsThatCannotBeCanceledHaveATimeout(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.Cancel = false
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	sched.classes[0].meanLatency, sched.classes[0].meanEstimate = 50_000, 1
	first := startedAttempts(sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)}))[0]
	if first.Timeout <= 50_000 || first.Timeout >= 4*monotime.Second {
		t.Fatalf("time-out %d", first.Timeout)
	}
	now := monotime.Second + first.Timeout
	next := startedAttempts(sched.Step(now, []Event{newOutcome(1, 0, first.Engine, TimedOut, first.Timeout)}))
	if len(next) != 1 || next[0].Engine == first.Engine {
		t.Fatalf("then %v", next)
	}
}

// Rule 7: further attempts stay within the stated budget.
func TestRetriesStayWithinTheRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Rules.RetryBudget, cfg.Rules.MinRetries, cfg.Rules.RetryRatio, cfg.Rules.RetryBudgetWindow = true, 1, 0.1, monotime.Second
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	now, extra := monotime.Second, 0
	var events []Event
	for i := range 10 {
		events = append(events, newRequest(uint64(i), 0, now))
	}
	firsts := startedAttempts(sched.Step(now, events))
	for _, s := range firsts {
		now += 1000
		extra += len(startedAttempts(sched.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Errored, 1000)})))
	}
	if len(firsts) < 4 || extra != 2 {
		t.Fatalf("%d further attempts after %d sends, want 2", extra, len(firsts))
	}
}

// A query that takes too long gets a second copy where the settings allow that and a second execution does no harm:
// one, on another engine, and the first of the two to end serves it. Else nothing goes beside the first.
func TestHedgedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		allowed, ordered bool
		repeat           Effect
		copies           int
	}{
		"safe": {true, false, Idempotent, 1}, "not allowed": {false, false, Idempotent, 0}, "keyed": {true, false, IdempotentByKey, 0},
		"unsafe": {true, false, NonIdempotent, 0}, "in order": {true, true, Idempotent, 0},
	} {
		cfg := testConfig()
		cfg.Limits.Cancel, cfg.Limits.HealthChecks, cfg.Limits.HedgedRequests = false, true, c.allowed
		cfg.Classes[0].Effect, cfg.Classes[0].DedupeWindow, cfg.Classes[0].Ordered = c.repeat, 25*monotime.Second, c.ordered
		cfg.Classes[0].ClientTimeout = 40 * monotime.Second
		sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
		for n := range uint64(20) { // a usual one takes 0.1 s
			s := startedAttempts(sched.Step(monotime.Micros(n+1)*monotime.Second, []Event{newRequest(n, 0, monotime.Micros(n+1)*monotime.Second)}))
			require.Len(t, s, 1)
			sched.Step(monotime.Micros(n+1)*monotime.Second+monotime.Second/10, []Event{newOutcome(n, 0, s[0].Engine, Succeeded, monotime.Second/10)})
		}
		r := newRequest(100, 0, 30*monotime.Second)
		r.Key, r.Deadline = "k", 70*monotime.Second
		first := startedAttempts(sched.Step(30*monotime.Second, []Event{r}))
		require.Len(t, first, 1)
		var further []StartAttempt
		for now := 30 * monotime.Second; now < 35*monotime.Second; now += monotime.Second / 50 {
			further = append(further, startedAttempts(sched.Step(now, []Event{Timer{Token: "sweep"}}))...)
		}
		require.Len(t, further, c.copies, name)
		if c.copies == 0 {
			continue
		}
		assert.NotEqual(t, first[0].Engine, further[0].Engine)
		assert.Zero(t, further[0].Timeout)
		sched.Step(35*monotime.Second, []Event{newOutcome(100, 1, further[0].Engine, Succeeded, monotime.Second)})
		assert.Empty(t, rejectedIDs(sched.Step(36*monotime.Second, []Event{Outcome{ID: 100, Engine: first[0].Engine, Result: Canceled, Elapsed: 6 * monotime.Second, Final: true}})))
		assert.Empty(t, sched.queries, "nothing of it is left")
		assert.Empty(t, sched.queue.queries)
	}
}
