package scheduler

import (
	"math"
	"testing"

	"chutechute/internal/monotime"
)

// Rule 6: a query of a class that is restricted to zones is queued or rejected, but never sent to another zone.
func TestZoneConstraintIsKeptWithoutAnEngineInTheZone(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Zones = []string{"north"}
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	if got := startedAttempts(sched.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)})); len(got) != 0 {
		t.Fatalf("sent %v outside its zone", got)
	}
}

// A table group's queries go to the first two engines of its hash order. They spill to the next engine when the load of
// both exceeds 1.25 times the mean plus one query.
func TestGroupStaysOnItsPreferredEnginesAndSpillsUnderLoad(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b", "c", "e"))
	order := sched.placement.hashOrder(0, sched.endpoints.engines)
	q := &query{class: sched.classes[0]}
	if got := sched.chooseEngine(q); got != order[0] {
		t.Fatalf("with idle engines got %s, want the first, %s", got.Engine, order[0].Engine)
	}
	order[0].usage.threads = 1
	if got := sched.chooseEngine(q); got != order[1] {
		t.Fatalf("got %s, want the less loaded second, %s", got.Engine, order[1].Engine)
	}
	order[0].usage.threads, order[1].usage.threads = 7, 7
	if got := sched.chooseEngine(q); got != order[2] {
		t.Fatalf("got %s, want the spill to the third, %s", got.Engine, order[2].Engine)
	}
}

// Queries of a class that waits for locks avoid an engine on which a query of this front end locks their table group.
func TestLockWaitersAvoidEnginesThatHoldTheLock(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].WaitsForTableGroup, cfg.Classes[1].LocksTableGroup = true, true
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b", "c"))
	locker := newRequest(1, 1, 0)
	locker.Deadline = 20 * monotime.Second
	locked := startedAttempts(sched.Step(0, []Event{locker}))[0].Engine
	for id := uint64(2); id < 8; id++ {
		for _, s := range startedAttempts(sched.Step(1000, []Event{newRequest(id, 0, 1000)})) {
			if s.Engine == locked {
				t.Fatalf("query %d went to the engine that holds the lock", id)
			}
		}
	}
}

// Guards against starting the whole queue at once. When no attempt ends for a second, estimates decay and no pressure
// is detected; then attempts are still bounded by twice this front end's share.
func TestTwiceTheShareBindsWithoutPressure(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	var events []Event
	for i := range 50 {
		events = append(events, newRequest(uint64(i), 0, monotime.Second))
	}
	got := len(startedAttempts(sched.Step(monotime.Second, events)))
	if want := int(math.Ceil(unpressuredFactor * pressuredThreadsPerCore * 4 / 2)); got != want {
		t.Fatalf("sent %d at once, want %d", got, want)
	}
}

// Attempts are bounded by this front end's share under pressure, and by twice the share otherwise. A rejection by an
// engine counts as pressure.
func TestRejectionByAnEngineMakesTheShareBind(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	share := int(math.Ceil(pressuredThreadsPerCore * 4 / 2))
	var events []Event
	for i := range share + 1 {
		events = append(events, newRequest(uint64(i), 0, monotime.Second))
	}
	if got := len(startedAttempts(sched.Step(monotime.Second, events))); got != share+1 {
		t.Fatalf("sent %d without pressure, want %d", got, share+1)
	}
	sched.Step(monotime.Second+1000, []Event{newOutcome(0, 0, "a", Rejected, 1000)})
	now := monotime.Second + 2000
	if got := startedAttempts(sched.Step(now, []Event{newRequest(99, 0, now)})); len(got) != 0 {
		t.Fatalf("sent %v beyond the share under pressure", got)
	}
}

// Guards against one long query that uses up a front end's share and delays its short queries.
func TestLongQueriesTakeNoSlotsFromShortOnes(t *testing.T) {
	cfg := testConfig()
	cfg.FrontEnds = 50
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	sched.classes[0].meanLatency, sched.classes[0].meanEstimate = 100_000, 1
	sched.classes[1].meanLatency, sched.classes[1].meanEstimate = 4_000_000, 1
	long := newRequest(1, 1, monotime.Second)
	long.Deadline += 20 * monotime.Second
	secondLong := long
	secondLong.ID = 2
	sched.Step(monotime.Second, []Event{long})
	got := startedAttempts(sched.Step(monotime.Second, []Event{secondLong, newRequest(3, 0, monotime.Second)}))
	if len(got) != 1 || got[0].ID != 3 {
		t.Fatalf("attempts %v, want only the short query", got)
	}
}

// Guards against dividing concurrency slots evenly: busy front ends would reject queries that the fleet has capacity
// for.
func TestConcurrencySlotsFollowTheShareOfTraffic(t *testing.T) {
	cfg := largeEngineConfig()
	cfg.FrontEnds = 50
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b", "c", "e"))
	now := monotime.Second
	for id := range uint64(1000) { // half of what quotas allow in total
		now += monotime.Second / 100
		for _, s := range startedAttempts(sched.Step(now, []Event{newRequest(id, 0, now)})) {
			sched.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Succeeded, 1000)})
		}
	}
	even := unpressuredFactor * pressuredThreadsPerCore * 4 * 8 / 50
	if sched.placement.slots < 5*even {
		t.Fatalf("%.1f slots for half of the traffic, want five times the even share of %.1f", sched.placement.slots, even)
	}
}

// Guards against attempts on unresponsive engines that take up the concurrency slots for responsive ones.
func TestEjectedEnginesTakeNoConcurrencySlots(t *testing.T) {
	cfg := largeEngineConfig()
	cfg.FrontEnds = 50
	sched := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	fill := func(from uint64, now monotime.Micros) (n int) {
		for id := from; id < from+40; id++ {
			n += len(startedAttempts(sched.Step(now, []Event{newRequest(id, 0, now)})))
		}
		return n
	}
	before := fill(0, monotime.Second)
	for _, q := range sched.queries {
		for _, a := range q.attempts {
			sched.Step(monotime.Second+1, []Event{EngineUnresponsive{Engine: a.engine.Engine}})
			sched.endpoints.byName[a.engine.Engine].health.ejected = a.engine.Engine == "a"
		}
	}
	unresponsive := sched.endpoints.byName["a"].usage.threads
	if after := fill(100, monotime.Second+2); unresponsive == 0 || after == 0 {
		t.Fatalf("%d started, with %d threads on the unresponsive engine, then %d", before, unresponsive, after)
	}
}

// Two hundred front ends that start together do not all send their first query of a table group to the same engine.
func TestFirstQueriesOfAFleetAreSpread(t *testing.T) {
	count := map[string]int{}
	now := 2 * monotime.Second
	for rank, sched := range newFleet(t, 200, largeEngineConfig(), completeUpdate("a", "b", "c", "e")) {
		for _, s := range startedAttempts(sched.Step(now, []Event{newRequest(uint64(rank), 0, now)})) {
			count[s.Engine]++
		}
	}
	largest := 0
	for _, n := range count {
		largest = max(largest, n)
	}
	if largest > 140 {
		t.Fatalf("one engine got %d of 200 first queries, want at most 140", largest)
	}
}
