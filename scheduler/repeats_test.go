package scheduler

import (
	"testing"

	"chutechute/internal/monotime"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// allResults is each end that an attempt may have, and whether it proves that nothing ran.
var allResults = map[Result]bool{Succeeded: false, Errored: false, Rejected: true, TimedOut: false, NoConnection: true, Reset: false,
	Canceled: false, NotSent: true}

// Over every end of an attempt and every effect of a class: what may have run is not sent again where a second execution does harm,
// nor called refused; what surely never ran is sent again whatever the effect; and no request has two attempts out.
func TestRetriesByEffectAndResult(t *testing.T) {
	for result, never := range allResults {
		assert.Equal(t, never, result.NeverRan(), "%d", result)
		for _, effect := range []Effect{Idempotent, IdempotentByKey, NonIdempotent} {
			for _, scope := range []DedupeScope{ScopeAll, ScopeZone, ScopeCell} {
				cfg := testConfig()
				cfg.Limits.HealthChecks = true
				cfg.Classes[0].Effect, cfg.Classes[0].DedupeScope, cfg.Classes[0].DedupeWindow = effect, scope, 2*monotime.Second
				l := completeUpdate("a", "b", "c")
				for i := range l.Entries { // each alone in its zone and cell
					l.Entries[i].Zone, l.Entries[i].Cell = string(rune('x'+i)), i
				}
				d := newTestScheduler(t, cfg, l)
				first := startedAttempts(d.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)}))
				require.Len(t, first, 1)
				var further []StartAttempt
				var actions []Action
				for now := monotime.Second; now < 3*monotime.Second; now += monotime.Second / 50 { // nothing while it is out
					events := []Event{Timer{Token: "sweep"}}
					if now == monotime.Second+monotime.Second/10 {
						events = append(events, newOutcome(1, 0, first[0].Engine, result, monotime.Second/10))
					}
					step := d.Step(now, events)
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

// The window in which engines drop a repeat counts from the first send that may have run, not from the last, and it bounds the
// write as well as the decision.
func TestDedupeWindowCountsFromTheFirstAttemptThatMayHaveRun(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.MaxAttempts, cfg.Limits.HealthChecks = 9, true
	cfg.Classes[0].Effect, cfg.Classes[0].DedupeWindow = IdempotentByKey, monotime.Second
	d := newTestScheduler(t, cfg, completeUpdate("a", "b", "c"))
	s := startedAttempts(d.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)}))
	require.Len(t, s, 1)
	assert.Zero(t, s[0].StartBy)
	s = startedAttempts(d.Step(monotime.Second+monotime.Second/10, []Event{newOutcome(1, 0, s[0].Engine, NoConnection, monotime.Second/10)}))
	require.Len(t, s, 1, "nothing ran: this is the first")
	assert.Zero(t, s[0].StartBy)
	s = startedAttempts(d.Step(monotime.Second*16/10, []Event{newOutcome(1, 1, s[0].Engine, Errored, monotime.Second/2)}))
	require.Len(t, s, 1)
	assert.Equal(t, monotime.Second*21/10, s[0].StartBy)
	s = startedAttempts(d.Step(monotime.Second*20/10, []Event{newOutcome(1, 2, s[0].Engine, Errored, monotime.Second*4/10)}))
	require.Len(t, s, 1)
	assert.Equal(t, monotime.Second*21/10, s[0].StartBy)
	for now := monotime.Second * 21 / 10; now < 4*monotime.Second; now += monotime.Second / 50 {
		events := []Event{Timer{Token: "sweep"}}
		if now == monotime.Second*21/10 {
			events = append(events, newOutcome(1, 3, s[0].Engine, Errored, monotime.Second/10))
		}
		assert.Empty(t, startedAttempts(d.Step(now, events)))
	}
}

// What queries took, as engines tell, puts the told work of their class right, and of that class alone; where they don't tell, or
// nonsense, what is told stands or is bounded.
func TestReportedWorkCorrectsEstimates(t *testing.T) {
	for name, c := range map[string]struct {
		spent    float64 // times what was told
		from, to float64
	}{"untold": {0, 1, 1}, "right": {1, 0.99, 1.01}, "twice": {2, 1.8, 2.01}, "half": {0.5, 0.49, 0.6}, "nonsense": {1e6, maxWorkBias, maxWorkBias}} {
		d := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
		for n := range uint64(100) {
			now := monotime.Second * monotime.Micros(n+1)
			r := newRequest(n, 0, now)
			r.EstimatedWork = monotime.Second / 5
			s := startedAttempts(d.Step(now, []Event{r}))
			require.Len(t, s, 1, name)
			o := newOutcome(n, 0, s[0].Engine, Succeeded, monotime.Second/5)
			o.WorkUsed = monotime.Micros(c.spent * float64(r.EstimatedWork))
			d.Step(now+monotime.Second/5, []Event{o})
		}
		q := &query{Request: Request{EstimatedWork: monotime.Second}, class: d.classes[0]}
		assert.GreaterOrEqual(t, q.expectedWork(), c.from*float64(monotime.Second), name)
		assert.LessOrEqual(t, q.expectedWork(), c.to*float64(monotime.Second), name)
		q.class = d.classes[1]
		assert.EqualValues(t, monotime.Second, q.expectedWork(), name)
	}
}

// A query that takes too long gets a second copy where the settings allow that and a second execution does no harm: one, on another
// engine, and the first of the two to end serves it. Else nothing goes beside the first.
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
		d := newTestScheduler(t, cfg, completeUpdate("a", "b"))
		for n := range uint64(20) { // a usual one takes 0.1 s
			s := startedAttempts(d.Step(monotime.Micros(n+1)*monotime.Second, []Event{newRequest(n, 0, monotime.Micros(n+1)*monotime.Second)}))
			require.Len(t, s, 1)
			d.Step(monotime.Micros(n+1)*monotime.Second+monotime.Second/10, []Event{newOutcome(n, 0, s[0].Engine, Succeeded, monotime.Second/10)})
		}
		r := newRequest(100, 0, 30*monotime.Second)
		r.Key, r.Deadline = "k", 70*monotime.Second
		first := startedAttempts(d.Step(30*monotime.Second, []Event{r}))
		require.Len(t, first, 1)
		var further []StartAttempt
		for now := 30 * monotime.Second; now < 35*monotime.Second; now += monotime.Second / 50 {
			further = append(further, startedAttempts(d.Step(now, []Event{Timer{Token: "sweep"}}))...)
		}
		require.Len(t, further, c.copies, name)
		if c.copies == 0 {
			continue
		}
		assert.NotEqual(t, first[0].Engine, further[0].Engine)
		assert.Zero(t, further[0].Timeout)
		d.Step(35*monotime.Second, []Event{newOutcome(100, 1, further[0].Engine, Succeeded, monotime.Second)})
		assert.Empty(t, rejectedIDs(d.Step(36*monotime.Second, []Event{Outcome{ID: 100, Engine: first[0].Engine, Result: Canceled, Elapsed: 6 * monotime.Second, Final: true}})))
		assert.Empty(t, d.queries, "nothing of it is left")
		assert.Empty(t, d.queue.queries)
	}
}
