package scheduler

import (
	"testing"

	"chutechute/internal/monotime"
)

// Rule 4: what all gateways together send a cold engine within the rule's span stays under its budget.
func TestWorkForAnEngineWarmingUpStaysWithinItsBudget(t *testing.T) {
	cfg := testConfig()
	update := completeUpdate("a")
	update.Entries[0].Started = monotime.Second
	sched := newTestScheduler(t, cfg, update)
	sent := 0
	for now := 2 * monotime.Second; now < 12*monotime.Second; now += monotime.Second { // its turns among them
		var events []Event
		for i := range 200 {
			events = append(events, newRequest(uint64(now)+uint64(i), 0, now))
		}
		sent = max(sent, len(startedAttempts(sched.Step(now, events))))
	}
	usual := cfg.Classes[0].LatencyObjective // nothing is known of the class yet
	budget := cfg.Rules.OverloadMultiple * cfg.Rules.InitialWarmth * 4 * float64(cfg.Rules.OverloadWindow) / float64(cfg.Gateways)
	if work := float64(sent) * float64(usual); sent == 0 || work > budget {
		t.Fatalf("sent %d queries of %d, budget %.0f", sent, usual, budget)
	}
}

// Found by incident ie86a9c: a cold engine's budget grows as it warms.
func TestWarmUpBudgetGrowsWithTime(t *testing.T) {
	update := completeUpdate("a")
	update.Entries[0].Started = monotime.Second
	sent := func(from monotime.Micros) (n int) {
		sched := newTestScheduler(t, testConfig(), update)
		for now := from; now < from+4*monotime.Second; now += monotime.Second { // its turn among them
			var events []Event
			for i := range 200 {
				events = append(events, newRequest(uint64(now)+uint64(i), 0, now))
			}
			n += len(startedAttempts(sched.Step(now, events)))
		}
		return n
	}
	if early, late := sent(monotime.Second), sent(8*monotime.Second); late <= early {
		t.Fatalf("%d sends at the start, %d when nearly warm", early, late)
	}
}

// Found by incident ib5a1e9: with many gateways an even part of a cold engine's budget is below one query, and
// replacements stood idle until warm. In turns they get work, and never more in any span than the rule allows.
func TestGatewaysTakeTurnsOnAnEngineWarmingUp(t *testing.T) {
	const n = 100
	cfg := testConfig()
	cfg.Gateways = n
	update := completeUpdate("a")
	update.Entries[0].Started = 2 * monotime.Second
	var all []*Scheduler
	for rank := range n {
		cfg.Rank = rank
		all = append(all, newTestScheduler(t, cfg, update))
	}
	type sent struct {
		at   monotime.Micros
		work float64
	}
	var got []sent
	id := uint64(0)
	for now := 2 * monotime.Second; now < 8*monotime.Second; now += monotime.Second / 10 {
		for _, sched := range all {
			for class := range cfg.Classes {
				id++
				r := newRequest(id, class, now)
				for _, s := range startedAttempts(sched.Step(now, []Event{r})) {
					k := cfg.Classes[sched.queries[s.ID].Request.Class]
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

// Found on join+vast: new engines stood nearly idle until they were warm, as an even part of their budget is less than
// one query and a turn came to gateways with nothing to send. Light queries trickle, and the sum over all gateways,
// however uneven, stays within the budget of any span.
func TestFleetUsesEnginesWarmingUp(t *testing.T) {
	cfg, update := largeEngineConfig(), completeUpdate("a", "b", "c")
	update.Entries[0].Started = 2 * monotime.Second
	all := newFleet(t, 80, cfg, update)
	type sent struct {
		at   monotime.Micros
		work float64
	}
	var got []sent
	id, light := uint64(0), 0.0
	for now := 2 * monotime.Second; now < 12*monotime.Second; now += monotime.Second / 20 {
		for rank, sched := range all {
			if rank%8 > 0 && (now/(monotime.Second/20)+monotime.Micros(rank))%20 > 0 { // one of eight asks twenty times as often
				continue
			}
			id++
			r := newRequest(id, int(id%6/5), now)
			r.Tenant, r.Group = 0, int(id%7)
			for _, s := range startedAttempts(sched.Step(now, []Event{r})) {
				if s.Engine == "a" {
					c := sched.queries[s.ID].class
					got = append(got, sent{now, c.meanWork})
					if c == sched.classes[0] {
						light += c.meanWork
					}
				}
				sched.Step(now, []Event{newOutcome(s.ID, 0, s.Engine, Succeeded, monotime.Second/20)})
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
	update := completeUpdate("a", "b", "c", "e")
	update.Entries[0].Started = 2 * monotime.Second
	cfg := largeEngineConfig()
	cfg.Limits.Cancel = false
	all := newFleet(t, 80, cfg, update)
	count, id := map[string]int{}, uint64(0)
	for now := 2 * monotime.Second; now < 14*monotime.Second; now += monotime.Second / 10 {
		for rank, sched := range all {
			id++
			r := newRequest(id, 0, now)
			r.Group = int(id*7+uint64(rank)) % 13
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
		t.Fatalf("%d to the engine that has become warm, %d to others on average", count["a"], others)
	}
}
