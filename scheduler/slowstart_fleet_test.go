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

// warmUpScenario is a day on which engines start under a whole fleet, in virtual time.
type warmUpScenario struct {
	frontEnds, warmEngines, newEngines int
	skew                               float64         // exponent of Zipf's law of traffic over front ends; 0: even
	load                               float64         // of what the warm engines can do
	maxUpdateDelay                     monotime.Micros // by which updates of some front ends are late
	restarts                           bool            // all front ends restart in the middle, a tenth at a time
	seed                               uint64
}

// scenarioClasses is the classes with their part of the traffic and their work.
var scenarioClasses = []struct {
	class  Class
	share  float64
	work   float64 // mean, in core milliseconds
	spread float64 // sigma of its logarithm
}{
	{Class{Name: "look", LatencyObjective: monotime.Second, ObjectiveStretch: 1.5, ClientTimeout: 5 * monotime.Second,
		PriorityWeight: 1, Threads: 1}, 0.79, 180, 0.8},
	{Class{Name: "sum", LatencyObjective: 3 * monotime.Second, ObjectiveStretch: 2.5,
		ClientTimeout: 25 * monotime.Second, PriorityWeight: 7.5, Threads: 3}, 0.15, 4000, 0.9},
	{Class{Name: "load", LatencyObjective: 3 * monotime.Second, ObjectiveStretch: 2.5,
		ClientTimeout: 25 * monotime.Second, PriorityWeight: 5, Threads: 2, Effect: IdempotentByKey,
		DedupeWindow: 25 * monotime.Second, Ordered: true, LocksTableGroup: true}, 0.06, 3800, 0.6},
}

// scenarioEventKind is what happens to a front end.
type scenarioEventKind int

const (
	deliverEvent scenarioEventKind = iota // an event of the scheduler
	restartFrontEnd
	queryArrives
)

type scenarioEvent struct {
	at         monotime.Micros
	kind       scenarioEventKind
	frontEnd   int
	event      Event
	generation int // of the front end: what was on its way to an earlier one is lost
}

// scenarioQueue is a heap of events by time.
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

// scenarioResult is what a day came to: the most that an engine was sent in a window of its warm-up, as a part of what
// is allowed, and the weight of the queries served in time by engines in their warm-up and by others, of all requested.
type scenarioResult struct {
	maxBudgetUse                           float64
	servedWarmingUp, servedWarm, requested float64
}

// scenarioRun is a day that is being played.
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

func (day warmUpScenario) newRun() *scenarioRun {
	r := &scenarioRun{
		warmUpScenario: day,
		rng:            rand.New(rand.NewPCG(day.seed, 9)),
		startedAt:      map[string]monotime.Micros{},
		schedulers:     make([]*Scheduler, day.frontEnds),
		generations:    make([]int, day.frontEnds),
		queries:        map[uint64]scenarioQuery{},
		busyThreads:    map[string]float64{},
		sent:           map[string][]sentWork{},
	}
	r.cfg = Config{
		Gateways: day.frontEnds,
		Kinds:    []EngineKind{{Name: "k", Cores: scenarioCores, MemoryMB: 1 << 20}},
		Limits:   Limits{HealthChecks: true, MaxAttempts: 5, MaxRetryAfter: 2 * monotime.Second},
		Rules: Rules{
			WarmUp: 14 * monotime.Second, InitialCapacity: 0.32, OverloadWindow: monotime.Second, OverloadMultiple: 2,
			DrainGrace: monotime.Second / 2,
		},
	}
	for _, c := range scenarioClasses {
		r.cfg.Classes = append(r.cfg.Classes, c.class)
		r.meanWork += c.share * c.work
	}
	r.rate = day.load * float64(day.warmEngines) * scenarioCores * 1000 / r.meanWork
	r.cfg.Tenants = []Tenant{{Name: "t", Share: 1, Quota: r.rate / 0.82 * 0.9}}
	for i := range day.warmEngines + day.newEngines {
		e := Endpoint{Engine: fmt.Sprintf("s-%d", i), Kind: "k"}
		if i >= day.warmEngines {
			e.Started = 4*monotime.Second + monotime.Micros(i-day.warmEngines)*monotime.Second/2
			r.startedAt[e.Engine] = e.Started
		}
		r.engines = append(r.engines, e)
	}
	r.planFrontEnds()
	return r
}

// planFrontEnds starts all front ends and draws their updates, restarts and arrivals.
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

// startFrontEnd starts a front end with an empty memory and gives it the list of the engines as they are then.
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

// play runs the day. An engine has cores for the threads that it runs and slows down beyond; in its warm-up it has
// fewer.
func (day warmUpScenario) play() scenarioResult {
	r := day.newRun()
	for len(r.events) > 0 && r.events[0].at < scenarioLength {
		next := heap.Pop(&r.events).(scenarioEvent)
		event := next.event
		switch {
		case next.kind == restartFrontEnd:
			r.generations[next.frontEnd]++
			r.startFrontEnd(next.frontEnd, next.at)
			continue
		case next.kind == queryArrives:
			event = r.arrive(next.at)
		case next.generation != r.generations[next.frontEnd]:
			if o, ok := event.(Outcome); ok {
				r.busyThreads[o.Engine] -= float64(scenarioClasses[r.queries[o.ID].class].class.Threads)
			}
			continue
		}
		if o, ok := event.(Outcome); ok {
			r.end(o, next.at)
		}
		for _, action := range r.schedulers[next.frontEnd].Step(next.at, []Event{event}) {
			r.carryOut(action, next.at, next.frontEnd)
		}
	}
	r.measureBudgetUse()
	return r.result
}

// arrive draws a query.
func (r *scenarioRun) arrive(now monotime.Micros) Request {
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

// end ends an attempt at its engine and counts it if it is in time.
func (r *scenarioRun) end(o Outcome, now monotime.Micros) {
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

// carryOut carries out an action of a front end.
func (r *scenarioRun) carryOut(action Action, now monotime.Micros, frontEnd int) {
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

// capacity returns the part of its capacity that a new engine has at an age.
func (r *scenarioRun) capacity(age monotime.Micros) float64 {
	return min(1, 0.32+0.68*float64(age)/float64(r.cfg.Rules.WarmUp))
}

// measureBudgetUse compares what new engines were sent in each window with what is allowed and its scatter.
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

// What all front ends together send to an engine within a window of its warm-up stays within what the rules allow
// it then and the scatter of that, however many and uneven they are, with empty memories and late updates; and such
// engines serve queries all the same.
func TestFleetKeepsToWarmUpBudgets(t *testing.T) {
	for _, frontEnds := range []int{3, 20, 30, 80, 300} {
		for _, skew := range []float64{0, 0.9} {
			for _, restarts := range []bool{false, true} {
				for seed := range uint64(2) {
					day := warmUpScenario{
						frontEnds: frontEnds, warmEngines: max(6, frontEnds/10), newEngines: max(2, frontEnds/30),
						skew: skew, load: 0.9, maxUpdateDelay: 3 * monotime.Second, restarts: restarts, seed: seed + 1,
					}
					t.Run(fmt.Sprintf("%+v", day), func(t *testing.T) {
						t.Parallel()
						res := day.play()
						warmingUp, warm := res.servedWarmingUp/res.requested, res.servedWarm/res.requested
						t.Logf("%.2f of the bound, served of all %.3f in warm-ups, %.3f else", res.maxBudgetUse, warmingUp, warm)
						assert.LessOrEqual(t, res.maxBudgetUse, 1.0)
						// They have 0.05 of all cores, and half of that in their warm-up.
						assert.Greater(t, warmingUp, 0.015)
						assert.Greater(t, (res.servedWarmingUp+res.servedWarm)/res.requested, 0.7)
					})
				}
			}
		}
	}
}
