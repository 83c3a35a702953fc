package scheduler

import (
	"testing"

	"chutechute/internal/monotime"
)

// Group EDF picks the shortest of the queries that are due soon after the earliest. Here plain EDF would pick query 1,
// the earliest, and shortest job first would pick query 3, which is not in the group.
func TestGroupEDFPicksTheShortestOfTheFirstGroup(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	sched.classes[0].meanLatency, sched.classes[0].meanEstimate = 1, 1
	arrive := func(id uint64, work, now monotime.Micros) {
		r := newRequest(id, 0, now)
		r.EstimatedWork = work
		sched.Step(now, []Event{r})
	}
	arrive(1, 100_000, 0)      // due at 1.0 s, its group extends to 1.4 s
	arrive(2, 90_000, 400_000) // due at 1.3 s
	arrive(3, 80_000, 700_000) // due at 1.5 s
	if q := sched.nextQuery(); q == nil || q.ID != 2 {
		t.Fatalf("picked %+v, want 2", q)
	}
}

// Rule 5: queries with the same order key run one at a time and in order. After an outcome that leaves open whether a
// query ran, the next one waits for the quiet period.
func TestQueriesOfOneKeyRunOneAtATimeInOrder(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Ordered, cfg.Rules.KeyQuietPeriod = true, monotime.Second
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	first, second := newRequest(1, 0, monotime.Second), newRequest(2, 0, monotime.Second)
	first.Key, second.Key = "x", "x"
	got := startedAttempts(sched.Step(monotime.Second, []Event{first, second}))
	if len(got) != 1 || got[0].ID != 1 {
		t.Fatalf("attempts %v, want only the first query", got)
	}
	sched.Step(monotime.Second+10, []Event{ClientDisconnected{ID: 1}})
	got = startedAttempts(sched.Step(monotime.Second+20, []Event{newOutcome(1, 0, got[0].Engine, Canceled, 20)}))
	if len(got) != 0 {
		t.Fatalf("attempts %v within the quiet period", got)
	}
	got = startedAttempts(sched.Step(2*monotime.Second+40, []Event{Timer{Token: "sweep"}}))
	if len(got) != 1 || got[0].ID != 2 {
		t.Fatalf("attempts %v, want the second query", got)
	}
}
