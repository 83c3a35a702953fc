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

const (
	scenarioCores  = 8 // of each engine
	scenarioLength = 30 * monotime.Second
)

// warmUpScenario describes a simulation, in virtual time, of a fleet of front ends under load while engines start.
type warmUpScenario struct {
	frontEnds, warmEngines, newEngines int
	skew                               float64         // Zipf exponent of the traffic over front ends; 0: even
	load                               float64         // traffic, as a part of the capacity of the warm engines
	maxUpdateDelay                     monotime.Micros // upper bound of the random delay of endpoint updates
	restarts                           bool            // all front ends restart during the simulation, a tenth at a time
	seed                               uint64
}

// scenarioClasses are the query classes, with their share of the traffic and the log-normal distribution of their work.
var scenarioClasses = []struct {
	class  Class
	share  float64
	work   float64 // mean, in core milliseconds
	spread float64 // standard deviation of its logarithm
}{
	{Class{Name: "look", LatencyObjective: monotime.Second, ObjectiveStretch: 1.5, ClientTimeout: 5 * monotime.Second,
		PriorityWeight: 1, Threads: 1}, 0.79, 180, 0.8},
	{Class{Name: "sum", LatencyObjective: 3 * monotime.Second, ObjectiveStretch: 2.5,
		ClientTimeout: 25 * monotime.Second, PriorityWeight: 7.5, Threads: 3}, 0.15, 4000, 0.9},
	{Class{Name: "load", LatencyObjective: 3 * monotime.Second, ObjectiveStretch: 2.5,
		ClientTimeout: 25 * monotime.Second, PriorityWeight: 5, Threads: 2, Effect: IdempotentByKey,
		DedupeWindow: 25 * monotime.Second, Ordered: true, LocksTableGroup: true}, 0.06, 3800, 0.6},
}

// scenarioEventKind is the kind of an event at a front end.
type scenarioEventKind int

const (
	deliverEvent scenarioEventKind = iota // the event is for the scheduler
	restartFrontEnd
	queryArrives
)

type scenarioEvent struct {
	at         monotime.Micros
	kind       scenarioEventKind
	frontEnd   int
	event      Event
	generation int // of the front end's process; events for an earlier process are dropped
}

// scenarioQueue is a heap of events, ordered by time.
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

// scenarioResult is the result of a simulation: the most work that an engine was sent in a window of its warm-up, as a
// part of what is allowed, and the priority weight of the queries that engines in their warm-up served in time, that
// other engines served in time, and that were requested.
type scenarioResult struct {
	maxBudgetUse                           float64
	servedWarmingUp, servedWarm, requested float64
}

// scenarioRun is the state of a running simulation.
type scenarioRun struct {
	warmUpScenario
	rng         *rand.Rand
	cfg         Config
	meanWork    float64 // core milliseconds a query
	rate        float64 // queries a second over all front ends
	engines     []Endpoint
	startedAt   map[string]monotime.Micros // of the new engines
	schedulers  []*Scheduler
	generations []int
	events      scenarioQueue
	lastID      uint64
	queries     map[uint64]scenarioQuery
	busyThreads map[string]float64    // by engine
	sent        map[string][]sentWork // by new engine
	result      scenarioResult
}

type scenarioQuery struct {
	class int
	work  float64 // core milliseconds
	at    monotime.Micros
}

// sentWork is the work of an attempt on an engine in its warm-up.
type sentWork struct {
	at   monotime.Micros
	work float64 // core milliseconds
}

func (scenario warmUpScenario) newRun() *scenarioRun {
	r := &scenarioRun{
		warmUpScenario: scenario,
		rng:            rand.New(rand.NewPCG(scenario.seed, 9)),
		startedAt:      map[string]monotime.Micros{},
		schedulers:     make([]*Scheduler, scenario.frontEnds),
		generations:    make([]int, scenario.frontEnds),
		queries:        map[uint64]scenarioQuery{},
		busyThreads:    map[string]float64{},
		sent:           map[string][]sentWork{},
	}
	r.cfg = Config{
		FrontEnds: scenario.frontEnds,
		Kinds:     []EngineKind{{Name: "k", Cores: scenarioCores, MemoryMB: 1 << 20}},
		Limits:    Limits{HealthChecks: true, MaxAttempts: 5, MaxRetryAfter: 2 * monotime.Second},
		Rules: Rules{
			WarmUp: 14 * monotime.Second, InitialCapacity: 0.32, OverloadWindow: monotime.Second, OverloadMultiple: 2,
			DrainGrace: monotime.Second / 2,
		},
	}
	for _, c := range scenarioClasses {
		r.cfg.Classes = append(r.cfg.Classes, c.class)
		r.meanWork += c.share * c.work
	}
	r.rate = scenario.load * float64(scenario.warmEngines) * scenarioCores * 1000 / r.meanWork
	r.cfg.Tenants = []Tenant{{Name: "t", Share: 1, Quota: r.rate / 0.82 * 0.9}}
	for i := range scenario.warmEngines + scenario.newEngines {
		e := Endpoint{Engine: fmt.Sprintf("s-%d", i), Kind: "k"}
		if i >= scenario.warmEngines {
			e.Started = 4*monotime.Second + monotime.Micros(i-scenario.warmEngines)*monotime.Second/2
			r.startedAt[e.Engine] = e.Started
		}
		r.engines = append(r.engines, e)
	}
	r.planFrontEnds()
	return r
}

// planFrontEnds starts all front ends and schedules their endpoint updates, restarts and random arrivals of queries.
func (r *scenarioRun) planFrontEnds() {
	weights, sum := make([]float64, r.frontEnds), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -r.skew)
		sum += weights[i]
	}
	for i := range r.schedulers {
		r.startFrontEnd(i, monotime.Second)
		for _, e := range r.engines {
			if e.Started > 0 {
				at := e.Started + monotime.Second/2 + r.rng.Int64N(r.maxUpdateDelay+1)
				r.push(scenarioEvent{at: at, frontEnd: i, event: EndpointUpdate{Endpoints: []Endpoint{e}}})
			}
		}
		if r.restarts {
			at := 8*monotime.Second + monotime.Micros(i*10/r.frontEnds)*monotime.Second/4
			r.push(scenarioEvent{at: at, kind: restartFrontEnd, frontEnd: i})
		}
		rate := r.rate * weights[i] / sum
		for at := monotime.Second; at < scenarioLength; {
			at += max(1, monotime.Micros(r.rng.ExpFloat64()/rate*float64(monotime.Second)))
			r.push(scenarioEvent{at: at, kind: queryArrives, frontEnd: i})
		}
	}
}

func (r *scenarioRun) push(e scenarioEvent) { heap.Push(&r.events, e) }

// startFrontEnd starts a front end that has learned nothing yet and sends it the engines that have started by then.
func (r *scenarioRun) startFrontEnd(i int, now monotime.Micros) {
	r.cfg.Rank = i
	sched, err := New(r.cfg, r.seed<<20|uint64(r.generations[i])<<10|uint64(i))
	if err != nil {
		panic(err)
	}
	r.schedulers[i] = sched
	update := EndpointUpdate{Kind: UpdateComplete}
	for _, e := range r.engines {
		if e.Started <= now {
			update.Endpoints = append(update.Endpoints, e)
		}
	}
	r.push(scenarioEvent{at: now, frontEnd: i, event: update, generation: r.generations[i]})
}

// run runs the simulation. An engine slows down in proportion when it runs more threads than it has cores; during its
// warm-up it has fewer cores.
func (scenario warmUpScenario) run() scenarioResult {
	r := scenario.newRun()
	for len(r.events) > 0 && r.events[0].at < scenarioLength {
		next := heap.Pop(&r.events).(scenarioEvent)
		event := next.event
		switch {
		case next.kind == restartFrontEnd:
			r.generations[next.frontEnd]++
			r.startFrontEnd(next.frontEnd, next.at)
			continue
		case next.kind == queryArrives:
			event = r.randomQuery(next.at)
		case next.generation != r.generations[next.frontEnd]:
			if o, ok := event.(Outcome); ok {
				r.busyThreads[o.Engine] -= float64(scenarioClasses[r.queries[o.ID].class].class.Threads)
			}
			continue
		}
		if o, ok := event.(Outcome); ok {
			r.finish(o, next.at)
		}
		for _, action := range r.schedulers[next.frontEnd].Step(next.at, []Event{event}) {
			r.perform(action, next.at, next.frontEnd)
		}
	}
	r.measureBudgetUse()
	return r.result
}

// randomQuery returns a random query that arrives now.
func (r *scenarioRun) randomQuery(now monotime.Micros) Request {
	x, class := r.rng.Float64(), 0
	for x > scenarioClasses[class].share && class < 2 {
		x -= scenarioClasses[class].share
		class++
	}
	c := scenarioClasses[class]
	work := c.work * math.Exp(r.rng.NormFloat64()*c.spread-c.spread*c.spread/2)
	r.lastID++
	r.queries[r.lastID] = scenarioQuery{class, work, now}
	r.result.requested += c.class.PriorityWeight
	return Request{
		ID: r.lastID, Class: class, Tenant: 0, Key: fmt.Sprint(r.lastID), Deadline: now + c.class.ClientTimeout,
		EstimatedWork: max(1, monotime.Micros(work*1000)), TableGroup: r.rng.IntN(40),
	}
}

// finish ends an attempt on its engine and counts its query if it met the latency objective.
func (r *scenarioRun) finish(o Outcome, now monotime.Micros) {
	q := r.queries[o.ID]
	class := scenarioClasses[q.class].class
	r.busyThreads[o.Engine] -= float64(class.Threads)
	objective := class.LatencyObjective + monotime.Micros(class.ObjectiveStretch*q.work*1000/float64(class.Threads))
	if now-q.at > objective {
		return
	}
	if from, isNew := r.startedAt[o.Engine]; isNew && now < from+r.cfg.Rules.WarmUp {
		r.result.servedWarmingUp += class.PriorityWeight
	} else {
		r.result.servedWarm += class.PriorityWeight
	}
}

// perform executes an action of a front end.
func (r *scenarioRun) perform(action Action, now monotime.Micros, frontEnd int) {
	deliver := func(at monotime.Micros, event Event) {
		r.push(scenarioEvent{at: at, frontEnd: frontEnd, event: event, generation: r.generations[frontEnd]})
	}
	switch a := action.(type) {
	case SetTimer:
		deliver(a.At, Timer{Token: a.Token})
	case HealthCheck:
		deliver(now+2000, HealthCheckResult{Engine: a.Engine, Result: Succeeded})
	case StartAttempt:
		q := r.queries[a.ID]
		threads := float64(scenarioClasses[q.class].class.Threads)
		cores := float64(scenarioCores)
		if from, isNew := r.startedAt[a.Engine]; isNew {
			cores *= r.capacity(now - from)
			r.sent[a.Engine] = append(r.sent[a.Engine], sentWork{now, q.work})
		}
		r.busyThreads[a.Engine] += threads
		elapsed := monotime.Micros(q.work * 1000 / threads * max(1, r.busyThreads[a.Engine]/cores))
		deliver(now+elapsed, Outcome{ID: a.ID, Engine: a.Engine, Result: Succeeded, Elapsed: elapsed, Final: true})
	}
}

// capacity returns the part of its full capacity that a new engine has at an age.
func (r *scenarioRun) capacity(age monotime.Micros) float64 {
	return min(1, 0.32+0.68*float64(age)/float64(r.cfg.Rules.WarmUp))
}

// measureBudgetUse compares the work that new engines were sent in each window with what is allowed. Both are counted
// in queries of mean work. For random variation the bound is raised by two standard deviations of the number of
// allowed queries, and by two queries.
func (r *scenarioRun) measureBudgetUse() {
	rules := r.cfg.Rules
	for engine, list := range r.sent {
		from := r.startedAt[engine]
		for i, first := range list {
			work, until := 0.0, min(first.at+rules.OverloadWindow, from+rules.WarmUp)
			for _, s := range list[i:] {
				if s.at < until {
					work += s.work
				}
			}
			capacity := r.capacity(first.at - from)
			allowed := rules.OverloadMultiple * scenarioCores * capacity * float64(rules.OverloadWindow) / 1000
			queries := allowed / r.meanWork
			use := work / r.meanWork / (queries + 2*math.Sqrt(queries) + 2)
			r.result.maxBudgetUse = max(r.result.maxBudgetUse, use)
		}
	}
}

// The work that all front ends together send to an engine in any window of its warm-up stays within what the rules
// allow, plus random variation. That holds for any number of front ends, for uneven traffic, after restarts that lose
// what front ends have learned, and with late endpoint updates. The engines still serve queries during their warm-up.
func TestFleetKeepsToWarmUpBudgets(t *testing.T) {
	for _, frontEnds := range []int{3, 20, 30, 80, 300} {
		for _, skew := range []float64{0, 0.9} {
			for _, restarts := range []bool{false, true} {
				for seed := range uint64(2) {
					scenario := warmUpScenario{
						frontEnds: frontEnds, warmEngines: max(6, frontEnds/10), newEngines: max(2, frontEnds/30),
						skew: skew, load: 0.9, maxUpdateDelay: 3 * monotime.Second, restarts: restarts, seed: seed + 1,
					}
					t.Run(fmt.Sprintf("%+v", scenario), func(t *testing.T) {
						t.Parallel()
						res := scenario.run()
						warmingUp, warm := res.servedWarmingUp/res.requested, res.servedWarm/res.requested
						t.Logf("%.2f of the bound; served of all requested: %.3f by engines in warm-up, %.3f by others",
							res.maxBudgetUse, warmingUp, warm)
						assert.LessOrEqual(t, res.maxBudgetUse, 1.0)
						// Engines that start have 0.05 of all cores, and half of that during their warm-up.
						assert.Greater(t, warmingUp, 0.015)
						assert.Greater(t, (res.servedWarmingUp+res.servedWarm)/res.requested, 0.7)
					})
				}
			}
		}
	}
}
