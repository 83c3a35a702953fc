package scheduler

import (
	"testing"

	"chutechute/internal/monotime"
)

// Rule 1: a query that no engine can take is answered before its client times out, even if the sweep timer is the only
// event.
func TestQueuedQueryIsRejectedBeforeItsClientTimesOut(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	now := monotime.Second
	actions := sched.Step(now, []Event{newRequest(1, 0, now)})
	for len(rejectedIDs(actions)) == 0 && now < 10*monotime.Second {
		now += sweepInterval
		actions = sched.Step(now, []Event{Timer{Token: "sweep"}})
	}
	if now >= 5*monotime.Second {
		t.Fatalf("no answer by time %d", now)
	}
	if got := startedAttempts(sched.Step(now+1, []Event{completeUpdate("a")})); len(got) != 0 {
		t.Fatalf("attempts after the final answer: %v", got)
	}
}

// Guards against queueing a request that arrives just before its client times out: at the next sweep it is too late for
// any answer (incident i347ad8).
func TestQueryThatWouldExpireBeforeTheNextSweepIsRejectedAtOnce(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	r := newRequest(1, 0, monotime.Second)
	r.Deadline = monotime.Second + 5000
	if got := rejectedIDs(sched.Step(monotime.Second, []Event{r})); len(got) != 1 {
		t.Fatalf("rejected %v, want query 1 at once", got)
	}
}

// A queued query is rejected once it can no longer finish within ten times its execution time, and not before.
func TestQueuedQueryExpiresAtItsDeadline(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	sched.classes[0].meanLatency, sched.classes[0].meanEstimate = 100_000, 1
	sched.Step(0, []Event{newRequest(1, 0, 0)})
	if got := rejectedIDs(sched.Step(900_000, []Event{Timer{Token: "sweep"}})); len(got) != 0 {
		t.Fatal("rejected while it could still finish")
	}
	if got := rejectedIDs(sched.Step(901_000, []Event{Timer{Token: "sweep"}})); len(got) != 1 {
		t.Fatal("not rejected once it could not finish")
	}
}

// Guards against an overload in which clients' retries whose latency objective has passed take the concurrency slots
// (incident id2e2b5).
func TestRetryPastItsLatencyObjectiveGoesLast(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	sched.lastRejectedAt = 2 * monotime.Second // puts the scheduler under pressure
	usage := &sched.endpoints.engines[0].usage
	usage.attempts, usage.threads = 9, 9
	retry := newRequest(2, 0, 2*monotime.Second)
	retry.Deadline -= 2 * monotime.Second // its client first sent the query two seconds ago
	now := 2 * monotime.Second
	sched.Step(now, []Event{newRequest(1, 0, now), retry, newRequest(3, 0, now)})
	usage.attempts, usage.threads = 0, 0
	first := sched.nextQuery()
	if first == nil || first.ID == 2 || !sched.queries[2].deprioritized || sched.queries[3].deprioritized {
		t.Fatalf("first pick %+v, want query 1 or 3, and only query 2 deprioritized", first)
	}
}

// Guards against treating requests of clients with short timeouts as retries. A retry past its latency objective still
// goes last.
func TestShortClientTimeoutIsNotTakenForARetry(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	shortTimeout, retry := newRequest(2, 0, monotime.Second), newRequest(3, 0, monotime.Second)
	shortTimeout.Deadline = monotime.Second + sched.cfg.Classes[0].LatencyObjective/2
	retry.Deadline = monotime.Second + sched.cfg.Classes[0].LatencyObjective*2
	sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second), shortTimeout, retry})
	if sched.queries[2].deprioritized || !sched.queries[3].deprioritized {
		t.Fatalf("deprioritized: short timeout %v, retry %v",
			sched.queries[2].deprioritized, sched.queries[3].deprioritized)
	}
}

// Where a front end's share of a tenant's quota is below one query a second, queries that arrive slowly enough are
// still within quota.
func TestQuotaBelowOneQueryASecondStillLetsQueriesThrough(t *testing.T) {
	cfg := testConfig()
	cfg.FrontEnds, cfg.Tenants = 200, []Tenant{{Name: "t", Share: 1, Quota: 70}}
	sched := newTestScheduler(t, cfg, EndpointUpdate{Kind: UpdateComplete})
	for i := range uint64(5) {
		now := monotime.Micros(10*i+10) * monotime.Second
		r := newRequest(i, 0, now)
		r.Tenant = 0
		sched.Step(now, []Event{r})
		if sched.queries[i].deprioritized {
			t.Fatalf("query %d, ten seconds after the previous one, counts as over quota", i)
		}
	}
}
