package scheduler

import (
	"testing"

	"chutechute/internal/monotime"
)

// capacityAfter returns the part of its full capacity that an engine has at an age within its warm-up.
func capacityAfter(rules Rules, age monotime.Micros) float64 {
	return rules.InitialCapacity + (1-rules.InitialCapacity)*float64(age)/float64(rules.WarmUp)
}

// Rule 4: the work that all front ends send to an engine that is warming up stays within the work budget of any window.
func TestWorkForAnEngineWarmingUpStaysWithinItsBudget(t *testing.T) {
	cfg := testConfig()
	update := completeUpdate("a")
	update.Endpoints[0].Started = monotime.Second
	sched := newTestScheduler(t, cfg, update)
	sent := 0
	for now := 2 * monotime.Second; now < 12*monotime.Second; now += monotime.Second { // long enough to include its turns
		var events []Event
		for i := range 200 {
			events = append(events, newRequest(uint64(now)+uint64(i), 0, now))
		}
		sent = max(sent, len(startedAttempts(sched.Step(now, events))))
	}
	workEach := cfg.Classes[0].LatencyObjective // the class's mean work before any measurement
	rules := cfg.Rules
	budget := rules.OverloadMultiple * rules.InitialCapacity * 4 * float64(rules.OverloadWindow) / float64(cfg.FrontEnds)
	if work := float64(sent) * float64(workEach); sent == 0 || work > budget {
		t.Fatalf("sent %d queries with %d of work each, budget %.0f", sent, workEach, budget)
	}
}

// Guards against a work budget that keeps its initial value while the engine's capacity grows (incident ie86a9c).
func TestWarmUpBudgetGrowsWithTime(t *testing.T) {
	update := completeUpdate("a")
	update.Endpoints[0].Started = monotime.Second
	sent := func(from monotime.Micros) (n int) {
		sched := newTestScheduler(t, testConfig(), update)
		for now := from; now < from+4*monotime.Second; now += monotime.Second { // long enough to include its turn
			var events []Event
			for i := range 200 {
				events = append(events, newRequest(uint64(now)+uint64(i), 0, now))
			}
			n += len(startedAttempts(sched.Step(now, events)))
		}
		return n
	}
	if early, late := sent(monotime.Second), sent(8*monotime.Second); late <= early {
		t.Fatalf("%d attempts at the start of the warm-up, %d near its end, want more", early, late)
	}
}

// Guards against new engines that stay idle during their warm-up: with many front ends, an even part of the work budget
// is less than one query (incident ib5a1e9). Front ends that take turns do send such an engine work, and never more in
// any window than the rule allows.
func TestFrontEndsTakeTurnsOnAnEngineWarmingUp(t *testing.T) {
	const n = 100
	cfg := testConfig()
	cfg.FrontEnds = n
	update := completeUpdate("a")
	update.Endpoints[0].Started = 2 * monotime.Second
	var all []*Scheduler
	for rank := range n {
		cfg.Rank = rank
		all = append(all, newTestScheduler(t, cfg, update))
	}
	type sentQuery struct {
		at   monotime.Micros
		work float64
	}
	var got []sentQuery
	id := uint64(0)
	for now := 2 * monotime.Second; now < 8*monotime.Second; now += monotime.Second / 10 {
		for _, sched := range all {
			for class := range cfg.Classes {
				id++
				r := newRequest(id, class, now)
				for _, s := range startedAttempts(sched.Step(now, []Event{r})) {
					c := cfg.Classes[sched.queries[s.ID].Request.Class]
					got = append(got, sentQuery{now, float64(c.LatencyObjective) * float64(c.Threads)})
				}
			}
		}
	}
	maxUse := 0.0 // largest part of the budget that was used in a window
	for _, from := range got {
		sum := 0.0
		for _, s := range got {
			if s.at >= from.at && s.at < from.at+cfg.Rules.OverloadWindow {
				sum += s.work
			}
		}
		capacity := capacityAfter(cfg.Rules, from.at-2*monotime.Second)
		maxUse = max(maxUse, sum/(cfg.Rules.OverloadMultiple*capacity*4*float64(cfg.Rules.OverloadWindow)))
	}
	if len(got) == 0 || maxUse > 1 {
		t.Fatalf("%d attempts, at most %.2f of the budget used in a window", len(got), maxUse)
	}
}

// Guards against new engines that are nearly idle during their warm-up because turns come to front ends with nothing to
// send. Light queries need no turn but draw on a work credit, and the total over all front ends, however uneven their
// traffic, stays within the budget of any window.
func TestFleetUsesEnginesWarmingUp(t *testing.T) {
	cfg, update := largeEngineConfig(), completeUpdate("a", "b", "c")
	update.Endpoints[0].Started = 2 * monotime.Second
	all := newFleet(t, 80, cfg, update)
	type sentQuery struct {
		at   monotime.Micros
		work float64
	}
	var got []sentQuery
	id, light := uint64(0), 0.0
	for now := 2 * monotime.Second; now < 12*monotime.Second; now += monotime.Second / 20 {
		for rank, sched := range all {
			// One front end in eight has twenty times the traffic of the others.
			if rank%8 > 0 && (now/(monotime.Second/20)+monotime.Micros(rank))%20 > 0 {
				continue
			}
			id++
			r := newRequest(id, int(id%6/5), now)
			r.Tenant, r.TableGroup = 0, int(id%7)
			for _, s := range startedAttempts(sched.Step(now, []Event{r})) {
				if s.Engine == "a" {
					c := sched.queries[s.ID].class
					got = append(got, sentQuery{now, c.meanWork})
					if c == sched.classes[0] {
						light += c.meanWork
					}
				}
				sched.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Succeeded, monotime.Second/20)})
			}
		}
	}
	maxUse := 0.0 // largest part of the budget that was used in a window
	for i, from := range got {
		sum := 0.0
		for _, s := range got[i:] {
			if s.at < from.at+cfg.Rules.OverloadWindow {
				sum += s.work
			}
		}
		capacity := capacityAfter(cfg.Rules, from.at-2*monotime.Second)
		budget := cfg.Rules.OverloadMultiple * capacityUtilization * 8 * capacity * float64(cfg.Rules.OverloadWindow)
		maxUse = max(maxUse, sum/budget)
	}
	if maxUse > 1 {
		t.Errorf("%.2f of the budget used within a window, want at most 1", maxUse)
	}
	if perSecond := light / 10 / float64(monotime.Second); perSecond < 1 {
		t.Errorf("%.2f core seconds of light queries a second on a warming engine of 8 cores, want at least 1", perSecond)
	}
}

// Guards against all front ends sending to an engine at the end of its warm-up because it has received least so far.
func TestEngineIsNotFloodedAfterItsWarmUp(t *testing.T) {
	update := completeUpdate("a", "b", "c", "e")
	update.Endpoints[0].Started = 2 * monotime.Second
	cfg := largeEngineConfig()
	cfg.Limits.Cancel = false
	all := newFleet(t, 80, cfg, update)
	count, id := map[string]int{}, uint64(0)
	for now := 2 * monotime.Second; now < 14*monotime.Second; now += monotime.Second / 10 {
		for rank, sched := range all {
			id++
			r := newRequest(id, 0, now)
			r.TableGroup = int(id*7+uint64(rank)) % 13
			sched.Step(now, []Event{Timer{Token: "sweep"}})
			for _, s := range startedAttempts(sched.Step(now, []Event{r})) {
				if now > 12*monotime.Second {
					count[s.Engine]++
				}
				sched.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Succeeded, monotime.Second/20)})
			}
		}
	}
	others := (count["b"] + count["c"] + count["e"]) / 3
	if count["a"] > others*5/4 || count["a"] < others/3 {
		t.Fatalf("%d queries to the engine after its warm-up, %d to each of the others on average", count["a"], others)
	}
}
