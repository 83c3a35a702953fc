package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/monotime"
)

// warmUpScenario is a day on which engines start cold under a whole fleet, in virtual time.
type warmUpScenario struct {
	frontEnds, warmEngines, newEngines int
	skew                               float64         // of traffic: the exponent of Zipf's law over the fronts; 0: even
	load                               float64         // of what the warm engines can do
	maxUpdateDelay                     monotime.Micros // the most by which the lists of some fronts come late
	restarts                           bool            // all fronts are started anew in the middle, a tenth at a time
	seed                               uint64
}

// coldKind is one of the classes, with its mix and work in core milliseconds.
var scenarioClasses = []struct {
	class  Class
	share  float64
	work   float64
	spread float64 // sigma of its logarithm
}{
	{Class{Name: "look", LatencyObjective: monotime.Second, ObjectiveStretch: 1.5, ClientTimeout: 5 * monotime.Second, PriorityWeight: 1, Threads: 1}, 0.79, 180, 0.8},
	{Class{Name: "sum", LatencyObjective: 3 * monotime.Second, ObjectiveStretch: 2.5, ClientTimeout: 25 * monotime.Second, PriorityWeight: 7.5, Threads: 3}, 0.15, 4000, 0.9},
	{Class{Name: "load", LatencyObjective: 3 * monotime.Second, ObjectiveStretch: 2.5, ClientTimeout: 25 * monotime.Second, PriorityWeight: 5, Threads: 2, Effect: IdempotentByKey,
		DedupeWindow: 25 * monotime.Second, Ordered: true, LocksTableGroup: true}, 0.06, 3800, 0.6},
}

type scenarioEvent struct {
	at         monotime.Micros
	frontEnd   int
	event      Event
	generation int // of the front: what a restart has forgotten does not come
}

type scenarioQueue []scenarioEvent

func (q scenarioQueue) Len() int { return len(q) }

func (q scenarioQueue) Less(i, j int) bool { return q[i].at < q[j].at }

func (q scenarioQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *scenarioQueue) Push(x any) { *q = append(*q, x.(scenarioEvent)) }

func (q *scenarioQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// scenarioResult is what a day came to: the most that a cold engine got within a span of the rule, as a part of
// what is allowed, and the worth served in time on cold and warm engines, of all that was asked.
type scenarioResult struct {
	maxBudgetUse                           float64
	servedWarmingUp, servedWarm, requested float64
}

// play runs the day. An engine has cores for what it holds and slows down beyond; a cold one has fewer.
func (day warmUpScenario) play() (res scenarioResult) {
	const cores, length = 8, 30 * monotime.Second
	rng := rand.New(rand.NewPCG(day.seed, 9))
	cfg := Config{Gateways: day.frontEnds, Kinds: []EngineKind{{Name: "k", Cores: cores, MemoryMB: 1 << 20}},
		Limits: Limits{HealthChecks: true, MaxAttempts: 5, MaxRetryAfter: 2 * monotime.Second},
		Rules:  Rules{WarmUp: 14 * monotime.Second, InitialWarmth: 0.32, OverloadWindow: monotime.Second, OverloadMultiple: 2, DrainGrace: monotime.Second / 2}}
	mean := 0.0
	for _, m := range scenarioClasses {
		cfg.Classes = append(cfg.Classes, m.class)
		mean += m.share * m.work
	}
	total := day.load * float64(day.warmEngines) * cores * 1000 / mean // queries a second
	cfg.Tenants = []Tenant{{Name: "t", Share: 1, Quota: total / 0.82 * 0.9}}
	parts, sum := make([]float64, day.frontEnds), 0.0
	for i := range parts {
		parts[i] = math.Pow(float64(i+1), -day.skew)
		sum += parts[i]
	}
	var q scenarioQueue
	fronts, gens := make([]*Scheduler, day.frontEnds), make([]int, day.frontEnds)
	var entries []Endpoint
	starts := map[string]monotime.Micros{}
	for i := range day.warmEngines + day.newEngines {
		e := Endpoint{Engine: fmt.Sprintf("s-%d", i), Kind: "k"}
		if i >= day.warmEngines {
			e.Started = 4*monotime.Second + monotime.Micros(i-day.warmEngines)*monotime.Second/2
			starts[e.Engine] = e.Started
		}
		entries = append(entries, e)
	}
	list := func(now monotime.Micros) (update EndpointUpdate) {
		update.Kind = UpdateComplete
		for _, e := range entries {
			if e.Started <= now {
				update.Entries = append(update.Entries, e)
			}
		}
		return update
	}
	begin := func(i int, now monotime.Micros) {
		cfg.Rank = i
		sched, err := New(cfg, day.seed<<20|uint64(gens[i])<<10|uint64(i))
		if err != nil {
			panic(err)
		}
		fronts[i] = sched
		heap.Push(&q, scenarioEvent{now, i, list(now), gens[i]})
	}
	for i := range fronts {
		begin(i, monotime.Second)
		for _, e := range entries {
			if e.Started > 0 {
				heap.Push(&q, scenarioEvent{e.Started + monotime.Second/2 + rng.Int64N(day.maxUpdateDelay+1), i, EndpointUpdate{Entries: []Endpoint{e}}, 0})
			}
		}
		if day.restarts {
			at := 8*monotime.Second + monotime.Micros(i*10/day.frontEnds)*monotime.Second/4
			heap.Push(&q, scenarioEvent{at, i, nil, -1})
		}
		rate := total * parts[i] / sum
		for at := monotime.Second; at < length; {
			at += max(1, monotime.Micros(rng.ExpFloat64()/rate*float64(monotime.Second)))
			heap.Push(&q, scenarioEvent{at, i, Request{}, -2})
		}
	}
	type asked struct {
		class int
		work  float64
		at    monotime.Micros
	}
	queries, id, busy := map[uint64]asked{}, uint64(0), map[string]float64{}
	type sent struct {
		at   monotime.Micros
		work float64
	}
	got := map[string][]sent{}
	for len(q) > 0 && q[0].at < length {
		ev := heap.Pop(&q).(scenarioEvent)
		now, i := ev.at, ev.frontEnd
		event := ev.event
		switch {
		case ev.generation == -1:
			gens[i]++
			begin(i, now)
			continue
		case ev.generation == -2:
			x, class := rng.Float64(), 0
			for x > scenarioClasses[class].share && class < 2 {
				x -= scenarioClasses[class].share
				class++
			}
			m := scenarioClasses[class]
			work := m.work * math.Exp(rng.NormFloat64()*m.spread-m.spread*m.spread/2)
			id++
			queries[id] = asked{class, work, now}
			res.requested += m.class.PriorityWeight
			event = Request{ID: id, Class: class, Tenant: 0, Key: fmt.Sprint(id), Deadline: now + m.class.ClientTimeout, EstimatedWork: max(1, monotime.Micros(work*1000)),
				Group: rng.IntN(40)}
		case ev.generation != gens[i]:
			if o, ok := event.(Outcome); ok {
				busy[o.Engine] -= float64(scenarioClasses[queries[o.ID].class].class.Threads)
			}
			continue
		}
		if o, ok := event.(Outcome); ok {
			a := queries[o.ID]
			m := scenarioClasses[a.class]
			busy[o.Engine] -= float64(m.class.Threads)
			if now-a.at <= m.class.LatencyObjective+monotime.Micros(m.class.ObjectiveStretch*a.work*1000/float64(m.class.Threads)) {
				if from, cold := starts[o.Engine]; cold && now < from+cfg.Rules.WarmUp {
					res.servedWarmingUp += m.class.PriorityWeight
				} else {
					res.servedWarm += m.class.PriorityWeight
				}
			}
		}
		for _, action := range fronts[i].Step(now, []Event{event}) {
			switch a := action.(type) {
			case SetTimer:
				heap.Push(&q, scenarioEvent{a.At, i, Timer{Token: a.Token}, gens[i]})
			case HealthCheck:
				heap.Push(&q, scenarioEvent{now + 2000, i, HealthCheckResult{Engine: a.Engine, Result: Succeeded}, gens[i]})
			case StartAttempt:
				query := queries[a.ID]
				threads := float64(scenarioClasses[query.class].class.Threads)
				size := float64(cores)
				if from, cold := starts[a.Engine]; cold {
					size *= min(1, 0.32+0.68*float64(now-from)/float64(cfg.Rules.WarmUp))
					got[a.Engine] = append(got[a.Engine], sent{now, query.work})
				}
				busy[a.Engine] += threads
				took := monotime.Micros(query.work * 1000 / threads * max(1, busy[a.Engine]/size))
				heap.Push(&q, scenarioEvent{now + took, i, Outcome{ID: a.ID, Engine: a.Engine, Result: Succeeded, Elapsed: took, Final: true}, gens[i]})
			}
		}
	}
	for engine, list := range got {
		from := starts[engine]
		for i, first := range list {
			work, until := 0.0, min(first.at+cfg.Rules.OverloadWindow, from+cfg.Rules.WarmUp)
			for _, s := range list[i:] {
				if s.at < until {
					work += s.work
				}
			}
			warmth := min(1, 0.32+0.68*float64(first.at-from)/float64(cfg.Rules.WarmUp))
			n := cfg.Rules.OverloadMultiple * cores * warmth * float64(cfg.Rules.OverloadWindow) / 1000 / mean // of mean work
			res.maxBudgetUse = max(res.maxBudgetUse, work/mean/(n+2*math.Sqrt(n)+2))
		}
	}
	return res
}

// What all front ends together send to a cold engine within the span of the rule stays within what the settings
// allow it then and the scatter of that, however many and uneven they are, with empty memories and late lists; and
// cold engines serve all the same.
func TestFleetKeepsToWarmUpBudgets(t *testing.T) {
	for _, fronts := range []int{3, 20, 30, 80, 300} {
		for _, skew := range []float64{0, 0.9} {
			for _, restarts := range []bool{false, true} {
				for seed := range uint64(2) {
					day := warmUpScenario{frontEnds: fronts, warmEngines: max(6, fronts/10), newEngines: max(2, fronts/30), skew: skew, load: 0.9, maxUpdateDelay: 3 * monotime.Second,
						restarts: restarts, seed: seed + 1}
					t.Run(fmt.Sprintf("%+v", day), func(t *testing.T) {
						t.Parallel()
						res := day.play()
						t.Logf("%.2f of the bound, served of all %.3f on cold, %.3f on warm", res.maxBudgetUse, res.servedWarmingUp/res.requested, res.servedWarm/res.requested)
						assert.LessOrEqual(t, res.maxBudgetUse, 1.0)
						assert.Greater(t, res.servedWarmingUp/res.requested, 0.015) // of 0.05 that they have of all cores, by half while they last
						assert.Greater(t, (res.servedWarmingUp+res.servedWarm)/res.requested, 0.7)
					})
				}
			}
		}
	}
}
