package scheduler

import (
	"math"
	"reflect"
	"testing"

	"chutechute/internal/monotime"
)

// testConfig is a small site: two gateways, engines of four cores, a short and a long class.
func testConfig() Config {
	return Config{
		Gateways: 2,
		Kinds:    []EngineKind{{Name: "k", Cores: 4, MemoryMB: 1000}},
		Classes: []Class{
			{Name: "short", LatencyObjective: monotime.Second, ClientTimeout: 4 * monotime.Second, PriorityWeight: 1, Threads: 1},
			{Name: "long", LatencyObjective: 4 * monotime.Second, ClientTimeout: 30 * monotime.Second, PriorityWeight: 5, Threads: 2},
		},
		Limits: Limits{Cancel: true, MaxAttempts: 3, MaxRetryAfter: monotime.Second},
		Rules:  Rules{WarmUp: 10 * monotime.Second, InitialWarmth: 0.5, OverloadWindow: monotime.Second, OverloadMultiple: 2, DrainGrace: monotime.Second},
	}
}

func completeUpdate(names ...string) EndpointUpdate {
	l := EndpointUpdate{Kind: UpdateComplete}
	for _, n := range names {
		l.Entries = append(l.Entries, Endpoint{Engine: n, Kind: "k"})
	}
	return l
}

func newTestScheduler(t *testing.T, cfg Config, l EndpointUpdate) *Scheduler {
	t.Helper()
	d, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	d.Step(0, []Event{l})
	return d
}

func startedAttempts(actions []Action) []StartAttempt {
	var s []StartAttempt
	for _, a := range actions {
		if a, ok := a.(StartAttempt); ok {
			s = append(s, a)
		}
	}
	return s
}

func newRequest(id uint64, class int, now monotime.Micros) Request {
	return Request{ID: id, Class: class, Tenant: -1, Deadline: now + 4*monotime.Second}
}

// Rule 3: nothing goes to an engine that drains, is removed, or is missing from a complete list.
func TestNoAttemptGoesToAnEngineThatIsNotServing(t *testing.T) {
	for name, l := range map[string]EndpointUpdate{
		"draining": {Entries: []Endpoint{{Engine: "a", Kind: "k", State: Draining}}},
		"removed":  {Entries: []Endpoint{{Engine: "a", Kind: "k", State: Removed}}},
		"missing":  completeUpdate("b"),
	} {
		d := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
		got := startedAttempts(d.Step(monotime.Second, []Event{l, newRequest(1, 0, monotime.Second), newRequest(2, 0, monotime.Second)}))
		if len(got) != 2 || got[0].Engine != "b" || got[1].Engine != "b" {
			t.Errorf("%s: sends %v, want both to b", name, got)
		}
	}
}

func newOutcome(id uint64, attempt int, engine string, r Result, took monotime.Micros) Outcome {
	return Outcome{ID: id, Attempt: attempt, Engine: engine, Result: r, Elapsed: took, Final: r == Succeeded}
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

// Rule 1: a query that no engine can take is answered before the client gives up, by the sweep alone.
func TestQueuedQueryIsRejectedBeforeItsClientTimesOut(t *testing.T) {
	d := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	now := monotime.Second
	actions := d.Step(now, []Event{newRequest(1, 0, now)})
	for len(rejectedIDs(actions)) == 0 && now < 10*monotime.Second {
		now += sweepInterval
		actions = d.Step(now, []Event{Timer{Token: "sweep"}})
	}
	if now >= 5*monotime.Second {
		t.Fatalf("no answer by %d", now)
	}
	if got := startedAttempts(d.Step(now+1, []Event{completeUpdate("a")})); len(got) != 0 {
		t.Fatalf("sent after the answer: %v", got)
	}
}

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
		l := completeUpdate("a")
		l.Entries[0].Zone, l.Entries[0].Cell = "north", 1
		d := newTestScheduler(t, cfg, l)
		d.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)})
		others := EndpointUpdate{Entries: []Endpoint{{Engine: "b", Kind: "k", Zone: "south", Cell: 2},
			{Engine: "c", Kind: "k", Zone: "north", Cell: 1}}}
		if c.wantEngine == "b" {
			others.Entries = others.Entries[:1]
		}
		now := monotime.Second + c.elapsed
		actions := d.Step(now, []Event{others, newOutcome(1, 0, "a", c.result, c.elapsed)})
		got := ""
		for _, s := range startedAttempts(actions) {
			got = s.Engine
		}
		if got != c.wantEngine || (len(failedIDs(actions)) > 0) != c.wantFail {
			t.Errorf("%s: sent to %q, failed %v", c.name, got, failedIDs(actions))
		}
	}
}

// Rule 4: what all gateways together send a cold engine within the rule's span stays under its budget.
func TestWorkForAnEngineWarmingUpStaysWithinItsBudget(t *testing.T) {
	cfg := testConfig()
	l := completeUpdate("a")
	l.Entries[0].Started = monotime.Second
	d := newTestScheduler(t, cfg, l)
	sent := 0
	for now := 2 * monotime.Second; now < 12*monotime.Second; now += monotime.Second { // its turns among them
		var events []Event
		for i := range 200 {
			events = append(events, newRequest(uint64(now)+uint64(i), 0, now))
		}
		sent = max(sent, len(startedAttempts(d.Step(now, events))))
	}
	usual := cfg.Classes[0].LatencyObjective // nothing is known of the class yet
	budget := cfg.Rules.OverloadMultiple * cfg.Rules.InitialWarmth * 4 * float64(cfg.Rules.OverloadWindow) / float64(cfg.Gateways)
	if work := float64(sent) * float64(usual); sent == 0 || work > budget {
		t.Fatalf("sent %d queries of %d, budget %.0f", sent, usual, budget)
	}
}

// Rule 5: queries of one key run singly and in order, and after a doubtful end others wait.
func TestQueriesOfOneKeyRunOneAtATimeInOrder(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Ordered, cfg.Rules.KeyQuietPeriod = true, monotime.Second
	d := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	first, second := newRequest(1, 0, monotime.Second), newRequest(2, 0, monotime.Second)
	first.Key, second.Key = "x", "x"
	got := startedAttempts(d.Step(monotime.Second, []Event{first, second}))
	if len(got) != 1 || got[0].ID != 1 {
		t.Fatalf("sends %v, want the first alone", got)
	}
	d.Step(monotime.Second+10, []Event{ClientDisconnected{ID: 1}})
	got = startedAttempts(d.Step(monotime.Second+20, []Event{newOutcome(1, 0, got[0].Engine, Canceled, 20)}))
	if len(got) != 0 {
		t.Fatalf("sends %v within the quiet time", got)
	}
	got = startedAttempts(d.Step(2*monotime.Second+40, []Event{Timer{Token: "sweep"}}))
	if len(got) != 1 || got[0].ID != 2 {
		t.Fatalf("sends %v, want the second", got)
	}
}

// Rule 6: a bound class waits or is refused rather than go elsewhere.
func TestZoneConstraintIsKeptWithoutAnEngineInTheZone(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Zones = []string{"north"}
	d := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	if got := startedAttempts(d.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)})); len(got) != 0 {
		t.Fatalf("sent %v outside its zone", got)
	}
}

// Rule 7: further attempts stay within the stated budget.
func TestRetriesStayWithinTheRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Rules.RetryBudget, cfg.Rules.MinRetries, cfg.Rules.RetryRatio, cfg.Rules.RetryBudgetWindow = true, 1, 0.1, monotime.Second
	d := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	now, extra := monotime.Second, 0
	var events []Event
	for i := range 10 {
		events = append(events, newRequest(uint64(i), 0, now))
	}
	firsts := startedAttempts(d.Step(now, events))
	for _, s := range firsts {
		now += 1000
		extra += len(startedAttempts(d.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Errored, 1000)})))
	}
	if len(firsts) < 4 || extra != 2 {
		t.Fatalf("%d further attempts after %d sends, want 2", extra, len(firsts))
	}
}

// Group EDF differs from EDF (1, due first, is not the smallest of its group) and from SJF (3 is smallest).
func TestGroupEDFPicksTheShortestOfTheFirstGroup(t *testing.T) {
	d := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	d.classes[0].meanLatency, d.classes[0].meanEstimate = 1, 1
	at := func(id uint64, cost, now monotime.Micros) {
		r := newRequest(id, 0, now)
		r.EstimatedWork = cost
		d.Step(now, []Event{r})
	}
	at(1, 100_000, 0)      // due at 1.0 s, its group reaches to 1.4 s
	at(2, 90_000, 400_000) // due at 1.3 s
	at(3, 80_000, 700_000) // due at 1.5 s
	if q := d.nextQuery(); q == nil || q.ID != 2 {
		t.Fatalf("picked %+v, want 2", q)
	}
}

// Found by incident i347ad8: a retry that arrives just before its client gives up was held until the next
// sweep, too late for any answer.
func TestQueryThatWouldExpireBeforeTheNextSweepIsRejectedAtOnce(t *testing.T) {
	d := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	r := newRequest(1, 0, monotime.Second)
	r.Deadline = monotime.Second + 5000
	if got := rejectedIDs(d.Step(monotime.Second, []Event{r})); len(got) != 1 {
		t.Fatalf("refused %v, want the query at once", got)
	}
}

// Found on big-2: with nothing ended for a second the price sank, pressure went off and all held went at once.
// Twice the share must bind without any pressure.
func TestTwiceTheShareBindsWithoutPressure(t *testing.T) {
	d := newTestScheduler(t, testConfig(), completeUpdate("a"))
	var events []Event
	for i := range 50 {
		events = append(events, newRequest(uint64(i), 0, monotime.Second))
	}
	got := len(startedAttempts(d.Step(monotime.Second, events)))
	if want := int(math.Ceil(unpressuredFactor * pressuredThreadsPerCore * 4 / 2)); got != want {
		t.Fatalf("sent %d at once, want %d", got, want)
	}
}

// Without pressure the share does not bind; a full refusal makes it bind.
func TestRejectionByAnEngineMakesTheShareBind(t *testing.T) {
	d := newTestScheduler(t, testConfig(), completeUpdate("a"))
	share := int(math.Ceil(pressuredThreadsPerCore * 4 / 2))
	var events []Event
	for i := range share + 1 {
		events = append(events, newRequest(uint64(i), 0, monotime.Second))
	}
	if got := len(startedAttempts(d.Step(monotime.Second, events))); got != share+1 {
		t.Fatalf("sent %d without pressure, want %d", got, share+1)
	}
	d.Step(monotime.Second+1000, []Event{newOutcome(0, 0, "a", Rejected, 1000)})
	if got := startedAttempts(d.Step(monotime.Second+2000, []Event{newRequest(99, 0, monotime.Second+2000)})); len(got) != 0 {
		t.Fatalf("sent %v past the share under pressure", got)
	}
}

// Found on budapest's busy days: queries that time out must count, or a jam in which nothing ends goes unseen.
func TestTimeoutRaisesTheExecutionTimeEstimate(t *testing.T) {
	d := newTestScheduler(t, testConfig(), completeUpdate("a"))
	d.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)})
	c := d.classes[0]
	c.meanLatency = 0.1 * float64(monotime.Second)
	before := c.meanLatency
	d.Step(5*monotime.Second, []Event{newOutcome(1, 0, "a", TimedOut, 4*monotime.Second)})
	if c.meanLatency <= before {
		t.Fatalf("price went from %.0f to %.0f", before, c.meanLatency)
	}
}

// An ExecTime inflated by a jam, with nothing sent that could measure it, must sink back.
func TestInflatedEstimateDecaysWithoutMeasurements(t *testing.T) {
	d := newTestScheduler(t, testConfig(), completeUpdate("a"))
	d.Step(0, []Event{newRequest(1, 0, 0)})
	d.Step(1, []Event{newOutcome(1, 0, "a", Succeeded, 100_000)})
	c := d.classes[0]
	c.bestRatio, c.meanLatency = 0.1*float64(monotime.Second), 100*float64(monotime.Second)
	for now := monotime.Second; now < 20*monotime.Second; now += sweepInterval {
		d.Step(now, []Event{Timer{Token: "sweep"}})
	}
	if c.meanLatency > float64(monotime.Second) {
		t.Fatalf("price stays at %.0f", c.meanLatency)
	}
}

// Found by incident id2e2b5: in overload the places went to retries whose aim had passed.
func TestRetryPastItsLatencyObjectiveGoesLast(t *testing.T) {
	d := newTestScheduler(t, testConfig(), completeUpdate("a"))
	d.lastRejectedAt = 2 * monotime.Second // pressure
	d.endpoints.engines[0].usage.attempts, d.endpoints.engines[0].usage.threads = 9, 9
	retry := newRequest(2, 0, 2*monotime.Second)
	retry.Deadline -= 2 * monotime.Second // its client first asked two seconds ago
	d.Step(2*monotime.Second, []Event{newRequest(1, 0, 2*monotime.Second), retry, newRequest(3, 0, 2*monotime.Second)})
	d.endpoints.engines[0].usage.attempts, d.endpoints.engines[0].usage.threads = 0, 0
	first := d.nextQuery()
	if first == nil || first.ID == 2 || !d.queries[2].deprioritized || d.queries[3].deprioritized {
		t.Fatalf("first is %+v", first)
	}
}

// Found by incident ie86a9c: a cold engine's budget grows as it warms.
func TestWarmUpBudgetGrowsWithTime(t *testing.T) {
	l := completeUpdate("a")
	l.Entries[0].Started = monotime.Second
	sent := func(from monotime.Micros) (n int) {
		d := newTestScheduler(t, testConfig(), l)
		for now := from; now < from+4*monotime.Second; now += monotime.Second { // its turn among them
			var events []Event
			for i := range 200 {
				events = append(events, newRequest(uint64(now)+uint64(i), 0, now))
			}
			n += len(startedAttempts(d.Step(now, events)))
		}
		return n
	}
	if early, late := sent(monotime.Second), sent(8*monotime.Second); late <= early {
		t.Fatalf("%d sends at the start, %d when nearly warm", early, late)
	}
}

// A refused connection ejects an engine; one trial after the backoff, and its answer brings it back.
func TestEjectedEngineReturnsAfterOneProbationRequest(t *testing.T) {
	d := newTestScheduler(t, testConfig(), completeUpdate("a"))
	d.Step(0, []Event{completeUpdate("a", "b")})
	d.eject(d.endpoints.byName["b"])
	now := minEjectionBackoff - 1
	for id := range uint64(3) {
		for _, s := range startedAttempts(d.Step(now, []Event{newRequest(id, 0, now)})) {
			if s.Engine == "b" {
				t.Fatal("sent to an ejected engine before its trial")
			}
		}
	}
	now = 2 * minEjectionBackoff
	trials := 0
	for id := uint64(10); id < 14; id++ {
		for _, s := range startedAttempts(d.Step(now, []Event{newRequest(id, 0, now)})) {
			if s.Engine == "b" {
				trials++
				defer func(id uint64) {
					d.Step(now+1000, []Event{newOutcome(id, 0, "b", Succeeded, 1000)})
					if d.endpoints.byName["b"].health.ejected {
						t.Error("an answer did not bring the engine back")
					}
				}(s.ID)
			}
		}
	}
	if trials != 1 {
		t.Fatalf("%d trials at once, want 1", trials)
	}
}

// A class that waits passes over an engine on which this gateway loads its table group.
func TestLockWaitersAvoidEnginesThatHoldTheLock(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].WaitsForTableGroup, cfg.Classes[1].LocksTableGroup = true, true
	d := newTestScheduler(t, cfg, completeUpdate("a", "b", "c"))
	load := newRequest(1, 1, 0)
	load.Deadline = 20 * monotime.Second
	at := startedAttempts(d.Step(0, []Event{load}))[0].Engine
	for id := uint64(2); id < 8; id++ {
		for _, s := range startedAttempts(d.Step(1000, []Event{newRequest(id, 0, 1000)})) {
			if s.Engine == at {
				t.Fatalf("query %d went behind the load", id)
			}
		}
	}
}

// The same events give the same actions, also with another instance stepped in between.
func TestSameEventsCallForTheSameActions(t *testing.T) {
	run := func(between bool) (all []Action) {
		d := newTestScheduler(t, testConfig(), completeUpdate("a", "b", "c"))
		other := newTestScheduler(t, testConfig(), completeUpdate("x", "y"))
		for i := range 300 {
			now := monotime.Micros(i) * 3000
			r := newRequest(uint64(i), i%2, now)
			r.Group = i % 5
			events := []Event{r, Timer{Token: "sweep"}}
			if i > 9 {
				if q := d.queries[uint64(i-9)]; q != nil && q.inFlight > 0 {
					events = append(events, newOutcome(q.ID, 0, q.attempts[0].engine.Engine, Result(i%3), 20_000))
				}
			}
			if between {
				other.Step(now, []Event{newRequest(uint64(i), 0, now)})
			}
			all = append(all, d.Step(now, events)...)
		}
		return all
	}
	if one, two := run(false), run(true); !reflect.DeepEqual(one, two) || len(one) < 300 {
		t.Fatalf("%d actions, then %d, or they differ", len(one), len(two))
	}
}

// An unusable Config is an error.
func TestNewRejectsInvalidConfig(t *testing.T) {
	noThreads := testConfig()
	noThreads.Classes[0].Threads = 0
	for name, cfg := range map[string]Config{"empty": {}, "no classes": {Gateways: 1}, "no threads": noThreads} {
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Where lists must be asked for, a failed call is made again though nothing else happens at an idle gateway.
func TestFailedSubscriptionIsRetriedByTimer(t *testing.T) {
	cfg := testConfig()
	cfg.PollEndpoints, cfg.Rules.ResponseTimeout = true, 10*monotime.Second
	d, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	d.Step(monotime.Second, []Event{EndpointUpdate{Kind: UpdateCached}})
	var at monotime.Micros
	for _, a := range d.Step(2*monotime.Second, []Event{EndpointUpdate{Kind: UpdateFailed}}) {
		if s, ok := a.(SetTimer); ok {
			at = s.At
		}
	}
	asked := false
	for _, a := range d.Step(at, []Event{Timer{Token: "list"}}) {
		_, ok := a.(Subscribe)
		asked = asked || ok
	}
	if at <= 2*monotime.Second || at > 7*monotime.Second || !asked {
		t.Fatalf("timer at %d, asked again %v", at, asked)
	}
}

// Where attempts cannot be called off, a safe query's attempt ends by itself and is tried elsewhere.
func TestAttemptsThatCannotBeCanceledHaveATimeout(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.Cancel = false
	d := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	d.classes[0].meanLatency, d.classes[0].meanEstimate = 50_000, 1
	first := startedAttempts(d.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second)}))[0]
	if first.Timeout <= 50_000 || first.Timeout >= 4*monotime.Second {
		t.Fatalf("time-out %d", first.Timeout)
	}
	now := monotime.Second + first.Timeout
	next := startedAttempts(d.Step(now, []Event{newOutcome(1, 0, first.Engine, TimedOut, first.Timeout)}))
	if len(next) != 1 || next[0].Engine == first.Engine {
		t.Fatalf("then %v", next)
	}
}

// A table group stays on the first two engines of its order, and spills past 1.25 times the mean plus one query.
func TestGroupStaysOnItsHomeEnginesAndSpillsUnderLoad(t *testing.T) {
	d := newTestScheduler(t, testConfig(), completeUpdate("a", "b", "c", "e"))
	order := d.placement.hashOrder(0, d.endpoints.engines)
	q := &query{class: d.classes[0]}
	if got := d.choose(q); got != order[0] {
		t.Fatalf("an idle order gives %s, want the first, %s", got.Engine, order[0].Engine)
	}
	order[0].usage.threads = 1
	if got := d.choose(q); got != order[1] {
		t.Fatalf("got %s, want the less loaded second, %s", got.Engine, order[1].Engine)
	}
	order[0].usage.threads, order[1].usage.threads = 7, 7
	if got := d.choose(q); got != order[2] {
		t.Fatalf("got %s, want the spill to the third, %s", got.Engine, order[2].Engine)
	}
}

// A held query is refused once it can no longer finish by ten times its ExecTime, and not before.
func TestQueuedQueryExpiresAtItsDeadline(t *testing.T) {
	d := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	d.classes[0].meanLatency, d.classes[0].meanEstimate = 100_000, 1
	d.Step(0, []Event{newRequest(1, 0, 0)})
	if got := rejectedIDs(d.Step(900_000, []Event{Timer{Token: "sweep"}})); len(got) != 0 {
		t.Fatal("refused while it could still finish")
	}
	if got := rejectedIDs(d.Step(901_000, []Event{Timer{Token: "sweep"}})); len(got) != 1 {
		t.Fatal("not refused once it could not finish")
	}
}

// Found on budapest-later big-1 (0.10): one report filled a gateway's part of the share and held up its look-ups.
func TestLongQueriesTakeNoSlotsFromShortOnes(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 50
	d := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	d.classes[0].meanLatency, d.classes[0].meanEstimate = 100_000, 1
	d.classes[1].meanLatency, d.classes[1].meanEstimate = 4_000_000, 1
	long := newRequest(1, 1, monotime.Second)
	long.Deadline += 20 * monotime.Second
	again := long
	again.ID = 2
	d.Step(monotime.Second, []Event{long})
	got := startedAttempts(d.Step(monotime.Second, []Event{again, newRequest(3, 0, monotime.Second)}))
	if len(got) != 1 || got[0].ID != 3 {
		t.Fatalf("sends %v, want the short query alone", got)
	}
}

// Found on jadwal-later rough-1: clients who come with little time are no retries; a late retry still goes last.
func TestShortClientTimeoutIsNotTakenForARetry(t *testing.T) {
	d := newTestScheduler(t, testConfig(), EndpointUpdate{Kind: UpdateComplete})
	hurried, retry := newRequest(2, 0, monotime.Second), newRequest(3, 0, monotime.Second)
	hurried.Deadline = monotime.Second + d.cfg.Classes[0].LatencyObjective/2
	retry.Deadline = monotime.Second + d.cfg.Classes[0].LatencyObjective*2
	d.Step(monotime.Second, []Event{newRequest(1, 0, monotime.Second), hurried, retry})
	if d.queries[2].deprioritized || !d.queries[3].deprioritized {
		t.Fatalf("hurried goes last %v, retry goes last %v", d.queries[2].deprioritized, d.queries[3].deprioritized)
	}
}

// Where a gateway's part of a tenant's share is below one query a second, its queries are still within it.
func TestQuotaBelowOneQueryASecondStillLetsQueriesThrough(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways, cfg.Tenants = 200, []Tenant{{Name: "t", Share: 1, Quota: 70}}
	d := newTestScheduler(t, cfg, EndpointUpdate{Kind: UpdateComplete})
	for i := range uint64(5) {
		now := monotime.Micros(10*i+10) * monotime.Second
		r := newRequest(i, 0, now)
		r.Tenant = 0
		d.Step(now, []Event{r})
		if d.queries[i].deprioritized {
			t.Fatalf("query %d, ten seconds after the last, is taken for more than its share", i)
		}
	}
}

// Found by incident ib5a1e9: with many gateways an even part of a cold engine's budget is below one query, and
// replacements stood idle until warm. In turns they get work, and never more in any span than the rule allows.
func TestGatewaysTakeTurnsOnAnEngineWarmingUp(t *testing.T) {
	const n = 100
	cfg := testConfig()
	cfg.Gateways = n
	l := completeUpdate("a")
	l.Entries[0].Started = 2 * monotime.Second
	var all []*Scheduler
	for rank := range n {
		cfg.Rank = rank
		all = append(all, newTestScheduler(t, cfg, l))
	}
	type sent struct {
		at   monotime.Micros
		work float64
	}
	var got []sent
	id := uint64(0)
	for now := 2 * monotime.Second; now < 8*monotime.Second; now += monotime.Second / 10 {
		for _, d := range all {
			for class := range cfg.Classes {
				id++
				r := newRequest(id, class, now)
				for _, s := range startedAttempts(d.Step(now, []Event{r})) {
					k := cfg.Classes[d.queries[s.ID].Request.Class]
					got = append(got, sent{now, float64(k.LatencyObjective) * float64(k.Threads)})
				}
			}
		}
	}
	most := 0.0
	for _, from := range got {
		sum := 0.0
		for _, s := range got {
			if s.at >= from.at && s.at < from.at+cfg.Rules.OverloadWindow {
				sum += s.work
			}
		}
		warmth := cfg.Rules.InitialWarmth + (1-cfg.Rules.InitialWarmth)*float64(from.at-2*monotime.Second)/float64(cfg.Rules.WarmUp)
		most = max(most, sum/(cfg.Rules.OverloadMultiple*warmth*4*float64(cfg.Rules.OverloadWindow)))
	}
	if len(got) == 0 || most > 1 {
		t.Fatalf("%d sends, %.2f of the budget at most", len(got), most)
	}
}

// Patience with a plan follows how far prices are off: short where estimates are good.
func TestMaxAttemptTimeFollowsTheEstimateError(t *testing.T) {
	patience := func(off monotime.Micros) float64 {
		d := newTestScheduler(t, testConfig(), completeUpdate("a"))
		now := monotime.Second
		for id := range uint64(100) {
			now += monotime.Second
			r := newRequest(id, 0, now)
			r.EstimatedWork = 100_000
			d.Step(now, []Event{r})
			took := 100_000 - off + 2*off*monotime.Micros(id%2)
			d.Step(now+took, []Event{newOutcome(id, 0, "a", Succeeded, took)})
		}
		return d.classes[0].timeoutFactor()
	}
	if good, rough := patience(5_000), patience(70_000); good > 2 || rough < 3 {
		t.Fatalf("patience %.1f with good prices, %.1f with rough ones", good, rough)
	}
}
