package scheduler

import (
	"fmt"
	"testing"

	"chutechute/internal/monotime"
)

// newFleet is many gateways in one process: tests feed all of them and look at the sum of what they send.
func newFleet(t *testing.T, n int, cfg Config, l EndpointUpdate) []*Scheduler {
	t.Helper()
	cfg.Gateways = n
	var all []*Scheduler
	for rank := range n {
		cfg.Rank = rank
		d, err := New(cfg, uint64(rank)+1)
		if err != nil {
			t.Fatal(err)
		}
		d.Step(monotime.Second, []Event{l})
		all = append(all, d)
	}
	return all
}

// largeEngineConfig is a site of large engines, whose long queries take most of a second's work of a cold engine.
func largeEngineConfig() Config {
	cfg := testConfig()
	cfg.Kinds[0].Cores = 8
	cfg.Classes[0].LatencyObjective, cfg.Classes[1].LatencyObjective = monotime.Second/10, monotime.Second
	cfg.Limits.HealthChecks = true
	cfg.Tenants = []Tenant{{Name: "x", Share: 1, Quota: 200}}
	return cfg
}

// Found on join+vast: new engines stood nearly idle until they were warm, as an even part of their budget is less than
// one query and a turn came to gateways with nothing to send. Light queries trickle, and the sum over all gateways,
// however uneven, stays within the budget of any span.
func TestFleetUsesEnginesWarmingUp(t *testing.T) {
	cfg, l := largeEngineConfig(), completeUpdate("a", "b", "c")
	l.Entries[0].Started = 2 * monotime.Second
	all := newFleet(t, 80, cfg, l)
	type sent struct {
		at   monotime.Micros
		work float64
	}
	var got []sent
	id, light := uint64(0), 0.0
	for now := 2 * monotime.Second; now < 12*monotime.Second; now += monotime.Second / 20 {
		for rank, d := range all {
			if rank%8 > 0 && (now/(monotime.Second/20)+monotime.Micros(rank))%20 > 0 { // one of eight asks twenty times as often
				continue
			}
			id++
			r := newRequest(id, int(id%6/5), now)
			r.Tenant, r.Group = 0, int(id%7)
			for _, s := range startedAttempts(d.Step(now, []Event{r})) {
				if s.Engine == "a" {
					c := d.queries[s.ID].class
					got = append(got, sent{now, c.meanWork})
					if c == d.classes[0] {
						light += c.meanWork
					}
				}
				d.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Succeeded, monotime.Second/20)})
			}
		}
	}
	most := 0.0
	for i, from := range got {
		sum := 0.0
		for _, s := range got[i:] {
			if s.at < from.at+cfg.Rules.OverloadWindow {
				sum += s.work
			}
		}
		warmth := cfg.Rules.InitialWarmth + (1-cfg.Rules.InitialWarmth)*float64(from.at-2*monotime.Second)/float64(cfg.Rules.WarmUp)
		most = max(most, sum/(cfg.Rules.OverloadMultiple*capacityUtilization*8*warmth*float64(cfg.Rules.OverloadWindow)))
	}
	if most > 1 {
		t.Errorf("%.2f of the budget within a span", most)
	}
	if perSecond := light / 10 / float64(monotime.Second); perSecond < 1 {
		t.Errorf("%.2f core seconds of light queries a second on a cold engine of 8 cores", perSecond)
	}
}

// Found on join+vast: at the end of the cold span all gateways turned to the engine that had had the least, with four
// times what it can take.
func TestEngineIsNotFloodedAfterItsWarmUp(t *testing.T) {
	l := completeUpdate("a", "b", "c", "e")
	l.Entries[0].Started = 2 * monotime.Second
	cfg := largeEngineConfig()
	cfg.Limits.Cancel = false
	all := newFleet(t, 80, cfg, l)
	count, id := map[string]int{}, uint64(0)
	for now := 2 * monotime.Second; now < 14*monotime.Second; now += monotime.Second / 10 {
		for rank, d := range all {
			id++
			r := newRequest(id, 0, now)
			r.Group = int(id*7+uint64(rank)) % 13
			d.Step(now, []Event{Timer{Token: "sweep"}})
			for _, s := range startedAttempts(d.Step(now, []Event{r})) {
				if now > 12*monotime.Second {
					count[s.Engine]++
				}
				d.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Succeeded, monotime.Second/20)})
			}
		}
	}
	others := (count["b"] + count["c"] + count["e"]) / 3
	if count["a"] > others*5/4 || count["a"] < others/3 {
		t.Fatalf("%d to the engine that has become warm, %d to others on average", count["a"], others)
	}
}

// Found on zone+vast: places were divided evenly, so busy gateways refused what the fleet had room for.
func TestConcurrencySlotsFollowTheShareOfTraffic(t *testing.T) {
	cfg := largeEngineConfig()
	cfg.Gateways = 50
	d := newTestScheduler(t, cfg, completeUpdate("a", "b", "c", "e"))
	now := monotime.Second
	for id := range uint64(1000) { // half of all that quotas allow
		now += monotime.Second / 100
		for _, s := range startedAttempts(d.Step(now, []Event{newRequest(id, 0, now)})) {
			d.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Succeeded, 1000)})
		}
	}
	even := unpressuredFactor * pressuredThreadsPerCore * 4 * 8 / 50
	if d.placement.slots < 5*even {
		t.Fatalf("%.1f places for a quarter of the traffic, %.1f for an even part", d.placement.slots, even)
	}
}

// Found on zone+vast: what silent engines held took the places of queries for those that answer.
func TestEjectedEnginesTakeNoConcurrencySlots(t *testing.T) {
	cfg := largeEngineConfig()
	cfg.Gateways = 50
	d := newTestScheduler(t, cfg, completeUpdate("a", "b"))
	fill := func(from uint64, now monotime.Micros) (n int) {
		for id := from; id < from+40; id++ {
			n += len(startedAttempts(d.Step(now, []Event{newRequest(id, 0, now)})))
		}
		return n
	}
	before := fill(0, monotime.Second)
	for _, q := range d.queries {
		for _, a := range q.attempts {
			d.Step(monotime.Second+1, []Event{EngineUnresponsive{Engine: a.engine.Engine}})
			d.endpoints.byName[a.engine.Engine].health.ejected = a.engine.Engine == "a"
		}
	}
	lost := d.endpoints.byName["a"].usage.threads
	if again := fill(100, monotime.Second+2); lost == 0 || again == 0 {
		t.Fatalf("%d sent, %d of them to the lost engine, then %d", before, lost, again)
	}
}

// A table group of much of the traffic has a home for each engine's worth of it; any other has two.
func TestPopularGroupHasMoreHomeEngines(t *testing.T) {
	p := newPopularity()
	if got := p.homeEngines(1, 30); got != 2 {
		t.Fatalf("%d homes for a group never seen", got)
	}
	for i := range 5000 {
		group := 100 + i%50
		if i%10 == 0 {
			group = 1
		}
		p.add(group)
	}
	if hot, cold := p.homeEngines(1, 30), p.homeEngines(101, 30); hot != 4 || cold != 2 {
		t.Fatalf("%d homes for a tenth of the traffic over 30 engines, %d for a fiftieth", hot, cold)
	}
}

// Two hundred gateways that start together do not send their first query of a group to one engine.
func TestFirstQueriesOfAFleetAreSpread(t *testing.T) {
	count := map[string]int{}
	for rank, d := range newFleet(t, 200, largeEngineConfig(), completeUpdate("a", "b", "c", "e")) {
		for _, s := range startedAttempts(d.Step(2*monotime.Second, []Event{newRequest(uint64(rank), 0, 2*monotime.Second)})) {
			count[s.Engine]++
		}
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	if most > 140 {
		t.Fatalf("one engine got %d of 200 first queries", most)
	}
}

// Found on zone+vast: each of 13 engines of a lost zone was tried by each gateway with queries that clients waited for.
func TestZoneIsEjectedAfterTwoUnresponsiveEngines(t *testing.T) {
	var l EndpointUpdate
	l.Kind = UpdateComplete
	for i := range 6 {
		l.Entries = append(l.Entries, Endpoint{Engine: fmt.Sprint("e", i), Zone: []string{"x", "y"}[i%2], Kind: "k"})
	}
	d := newTestScheduler(t, largeEngineConfig(), l)
	out := func(zone string) (n int) {
		for _, e := range d.endpoints.inZone(zone) {
			if e.health.ejected {
				n++
			}
		}
		return n
	}
	d.Step(2*monotime.Second, []Event{EngineUnresponsive{Engine: "e0"}})
	if out("x") != 1 {
		t.Fatalf("%d out after one was not heard", out("x"))
	}
	d.Step(2*monotime.Second+1000, []Event{EngineUnresponsive{Engine: "e2"}})
	if out("x") != 3 || out("y") != 0 {
		t.Fatalf("%d of the lost zone out, %d of the other", out("x"), out("y"))
	}
	probes := map[string]int{}
	for now := 2*monotime.Second + 2000; now < 3*monotime.Second; now += sweepInterval {
		for _, a := range d.Step(now, []Event{Timer{Token: "sweep"}}) {
			if p, ok := a.(HealthCheck); ok {
				probes[p.Engine]++
			}
		}
	}
	if len(probes) == 0 || len(probes) > 3 {
		t.Fatalf("probes %v in a second", probes)
	}
	for name := range probes {
		d.Step(4*monotime.Second, []Event{HealthCheckResult{Engine: name, Result: Succeeded}})
		e := d.endpoints.byName[name]
		if e.health.ejected || e.warmUp.state != warmUpAssumed {
			t.Fatalf("an engine that is heard after two seconds: out %v, cold %v", e.health.ejected, e.warmUp.active())
		}
	}
	d.Step(4*monotime.Second+maxDiscoveryDelay, []Event{Timer{Token: "sweep"}})
	for _, e := range d.endpoints.engines {
		if e.warmUp.active() {
			t.Fatal("still held for cold when the list would have told")
		}
	}
}

// One that is heard of beside others that are silent is no sign of a lost zone.
func TestZoneWithAResponsiveEngineIsNotEjected(t *testing.T) {
	d := newTestScheduler(t, largeEngineConfig(), completeUpdate("a", "b", "c", "e"))
	d.Step(2*monotime.Second, []Event{EngineUnresponsive{Engine: "a"}, newRequest(1, 0, 2*monotime.Second)})
	s := startedAttempts(d.Step(2*monotime.Second, []Event{newRequest(2, 0, 2*monotime.Second)}))
	d.Step(2*monotime.Second+1000, []Event{newOutcome(2, 0, s[0].Engine, Succeeded, 1000)})
	d.Step(2*monotime.Second+2000, []Event{EngineUnresponsive{Engine: "b"}})
	for _, e := range d.endpoints.engines {
		if e.health.ejected != (e.Engine == "a" || e.Engine == "b") {
			t.Fatalf("%s: out %v", e.Engine, e.health.ejected)
		}
	}
}

// An engine that fails at once looks idle: its errors count as slowness, so that it gets less.
func TestErrorsRaiseTheOutlierScore(t *testing.T) {
	d := newTestScheduler(t, largeEngineConfig(), completeUpdate("a", "b"))
	e := d.endpoints.byName["a"]
	q := &query{class: d.classes[0], attempts: []attempt{{engine: e}}}
	for range 20 {
		d.learnFromOutcome(q, &q.attempts[0], Outcome{Result: Errored})
	}
	if d.survey(); d.size(e) > 0.6*e.cores {
		t.Fatalf("worth %.1f of %.0f cores", d.size(e), e.cores)
	}
}
