package scheduler

import (
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"chutechute/internal/monotime"
)

// Scheduler is one gateway's decisions; it shares nothing with others.
type Scheduler struct {
	cfg     Config
	rng     *rand.Rand
	now     monotime.Micros
	actions []Action

	engines   []*engine // in order of first sight
	byName    map[string]*engine
	orders    map[int][]*engine // per table group, rebuilt after list changes
	classes   []*class
	tenants   []*tenant
	queries   map[uint64]*query
	queued    []*query // in order of arrival
	inFlight  []*query // with attempts out, in order of send
	keyQueues map[string]*keyQueue

	arrivals, retries slidingWindow              // for the attempt budget
	arrivalRate       decayingRate               // of arrivals
	quota             float64                    // of all tenants, queries a second over all gateways
	lastRejectedAt    monotime.Micros            // last full refusal
	hasLockWaiters    bool                       // some class stands still behind loads
	medianSlowness    float64                    // slowness of the ready engines
	concurrencySlots  float64                    // threads that this gateway may have in hand where nothing is told
	ready             int                        // engines neither gone nor ejected
	meanLoad          float64                    // their load
	popularity        popularity                 // table groups
	nextHealthCheck   map[string]monotime.Micros // when the next probe may go, by zone
	threadsPerCore    float64                    // threads a core that this gateway may run
	recentWeight      float64                    // nearly 1 where engines hold less than a thread each, as far as known
	sweepTimerSet     bool                       // the sweep timer is set
	started           bool
	startedAt         monotime.Micros
	sends             int // so far

	budgets budgets // of the fleet

	subscribeAt      monotime.Micros // when to ask for the list again
	subscribeTimerAt monotime.Micros // the last timer set for it
	failedUpdates    int             // failed calls for the list in a row
}

// attempt finds an attempt of a query; nil where either is unknown.
func (d *Scheduler) attempt(id uint64, i int) (*query, *attempt) {
	if q := d.queries[id]; q != nil && i >= 0 && i < len(q.attempts) {
		return q, &q.attempts[i]
	}
	return nil, nil
}

// engine is one query engine as this gateway sees it.
type engine struct {
	Endpoint
	hash          uint64
	cores         float64
	memoryMB      float64
	gone          bool    // draining or removed
	threads       int     // own threads in hand
	byClass       []int   // the same, by class
	attempts      int     // own attempts in hand
	recentThreads float64 // threads sent lately, as of send recentAt
	recentAt      int
	tableLocks    map[int]int // own loads in hand, by table group

	slowness            float64 // decayed latency over ExecTime
	slownessAt          monotime.Micros
	warmUpFrom          monotime.Micros // start of the cold span
	warmingUp           bool
	warmUpWork          slidingWindow   // work sent while cold
	credit              workCredit      // for light queries while cold
	ejected             bool            // ejected
	ejectedAt           monotime.Micros // since when
	lastSeenAt          monotime.Micros // last sign of life
	healthCheckInFlight bool            // a probe is out
	warmUpAssumed       bool            // cold as far as its absence tells, not the list
	probationAt         monotime.Micros // when the next trial may go
	backoff             monotime.Micros
	grantedMB           float64         // memory of own attempts in hand, as told
	lastRejectedAt      monotime.Micros // last full refusal
	lastSentAt          monotime.Micros // last send
}

// class is what this gateway has learned of a query class.
type class struct {
	Class
	meanLatency, meanEstimate   float64 // decayed sums: their ratio prices a query
	bestRatio                   float64 // lowest ratio seen, drifting up
	measuredAt                  monotime.Micros
	longestTimeLeft             monotime.Micros // time left of first tries
	estimateError               float64         // usual error of a price, as a share of it
	blocked                     bool            // in this release no engine can take one
	ownEstimates                bool            // some of its costs are the gateway's own estimates
	inFlight                    int             // attempts out
	unavailableThreads          int             // threads of them on engines that are out or gone
	meanWork                    float64         // usual work of one query
	reportedWork, estimatedWork float64         // decayed sums of what queries took, as engines tell, and of what was told of them
}

// tenant is one tenant's traffic through this gateway.
type tenant struct {
	Tenant
	tokens float64
	at     monotime.Micros
}

// query is a request that this gateway has taken.
type query struct {
	Request
	class          *class
	arrivedAt      monotime.Micros
	firstAskedAt   monotime.Micros // when its client first asked
	dueAt          monotime.Micros // group EDF deadline
	deprioritized  bool            // goes last: beyond its tenant's share, or a retry past its aim
	answered       bool            // the final answer is out
	queued         bool
	keyQueue       *keyQueue
	attempts       []attempt
	inFlight       int  // attempts without outcome
	demandRecorded bool // what it asks of engines' budgets is noted
	priority       int
}

// attempt is one send of a query.
type attempt struct {
	engine        *engine
	sentAt        monotime.Micros
	executionTime float64 // ExecTime at the send
	inFlight      bool
	neverRan      bool // proven never to have run
	streaming     bool
	canceled      bool
	planned       bool              // canceled for a bad plan
	slots         []concurrencySlot // of the fleet's budgets
	nextMeasure   float64           // next multiple of ExecTime that counts as a measure
	zone          string
	cell          int
}

// keyQueue is the queue of one key in ordered classes.
type keyQueue struct {
	queries    []*query
	quietUntil monotime.Micros // no other query before this time
	quietFor   *query
}

// slidingWindow sums what happened within a moving span.
type slidingWindow struct {
	at     []monotime.Micros
	amount []float64
}

// add records an amount at a time.
func (w *slidingWindow) add(at monotime.Micros, amount float64) {
	w.at = append(w.at, at)
	w.amount = append(w.amount, amount)
}

// since drops what is older than from and sums the rest.
func (w *slidingWindow) since(from monotime.Micros) float64 {
	k := 0
	for k < len(w.at) && w.at[k] < from {
		k++
	}
	w.at, w.amount = w.at[k:], w.amount[k:]
	sum := 0.0
	for _, a := range w.amount {
		sum += a
	}
	return sum
}

// workCredit is work that may be sent, growing at a rate. So that many gateways with little each don't wait for their
// first query's worth together, each starts at a phase of its own.
type workCredit struct {
	left  float64
	at    monotime.Micros
	phase float64 // of the first query's work that is there from the start
}

// accrue adds what the span since the last call brings, at a rate in work a microsecond, up to what one query takes.
func (c *workCredit) accrue(now monotime.Micros, rate, work float64) {
	c.left += c.phase*work + rate*float64(now-c.at)
	c.left, c.at, c.phase = min(c.left, max(work, rate*float64(monotime.Second))), now, 0
}

// rateSpan is the span over which a rate is measured: long enough for a gateway with a few queries a second, and for a
// surge of some seconds not to count as the usual.
const rateSpan = 10 * monotime.Second

// decayingRate is a decayed count of events.
type decayingRate struct {
	value float64 // a second, as of last
	last  monotime.Micros
}

func (r *decayingRate) at(now monotime.Micros) float64 {
	if r.last == 0 {
		return r.value // as expected at the start
	}
	return r.value * math.Exp(-float64(now-r.last)/float64(rateSpan))
}

func (r *decayingRate) add(now monotime.Micros) {
	r.value, r.last = r.at(now)+float64(monotime.Second)/float64(rateSpan), now
}

// countLost counts the threads of each class on engines that are out or gone: what they hold takes no place where
// something gets done.
func (d *Scheduler) countLost() {
	for i, c := range d.classes {
		c.unavailableThreads = 0
		for _, e := range d.engines {
			if (e.ejected || e.gone) && i < len(e.byClass) {
				c.unavailableThreads += e.byClass[i]
			}
		}
	}
}

// recent is the threads sent to the engine, fading over the sends of recentMost rounds of the engines.
func (d *Scheduler) recent(e *engine) float64 {
	return e.recentThreads * math.Exp(float64(e.recentAt-d.sends)/(recentMost*float64(len(d.engines))))
}

// inZone is the engines of a zone that are not gone.
func (d *Scheduler) inZone(name string) (list []*engine) {
	for _, e := range d.engines {
		if e.Zone == name && !e.gone {
			list = append(list, e)
		}
	}
	return list
}

// mayCopy says whether a second copy of a query may go beside the one that is out: where a second execution does no harm, and no
// order rests on its end.
func (d *Scheduler) mayCopy(q *query) bool {
	return d.cfg.Limits.HedgedRequests && q.inFlight == 1 && q.effect() == Idempotent && !q.NoRetry && q.keyQueue == nil
}

// hasAttemptOn says whether an attempt of the query is out on the engine.
func (q *query) hasAttemptOn(e *engine) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.inFlight && a.engine == e })
}

// lapsed ends a held query that can no longer finish; a copy is let go, and the query waits for the one that is out.
func (d *Scheduler) lapsed(q *query) {
	if q.inFlight > 0 {
		d.queued, q.queued = remove(d.queued, q), false
		return
	}
	d.end(q)
}

// remove takes q out of list, keeping the order.
func remove(list []*query, q *query) []*query {
	for i, other := range list {
		if other == q {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// subset is the engines that ok holds for, or all where there are none.
func subset(list []*engine, ok func(*engine) bool) []*engine {
	var some []*engine
	for _, e := range list {
		if ok(e) {
			some = append(some, e)
		}
	}
	if len(some) == 0 {
		return list
	}
	return some
}

// mix is the SplitMix64 finalizer.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// median is the lower median of a list that it may sort; 0 without any.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// book counts an attempt in hand, or out again with -1.
func (d *Scheduler) book(q *query, e *engine, n int) {
	e.attempts += n
	q.class.inFlight += n
	if q.class.LocksTableGroup {
		if e.tableLocks[q.Group] += n; e.tableLocks[q.Group] == 0 {
			delete(e.tableLocks, q.Group)
		}
	}
	e.threads += n * q.class.Threads
	for len(e.byClass) <= q.Request.Class {
		e.byClass = append(e.byClass, 0)
	}
	e.byClass[q.Request.Class] += n * q.class.Threads
	e.grantedMB += float64(n) * q.MemoryMB
}

// effect is what a second execution would do: that of the class, or worse.
func (q *query) effect() Effect {
	if q.NonIdempotent {
		return NonIdempotent
	}
	return q.class.Effect
}

// dedupeUntil is until when engines know a further attempt for a repeat: in keyed classes they forget the key some time after they
// were first sent what may have run; 0 where that does not matter. It bounds the decision and what of it is on its way: a connection
// may come up late.
func (q *query) dedupeUntil() monotime.Micros {
	for _, a := range q.attempts {
		if !a.neverRan && q.effect() == IdempotentByKey {
			return a.sentAt + q.class.DedupeWindow // the first is the earliest
		}
	}
	return 0
}

// earlier is the earlier of two times, of which 0 is none.
func earlier(a, b monotime.Micros) monotime.Micros {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// estimate is the told work, or one for all where none is told.
func (q *query) estimate() float64 {
	if q.EstimatedWork > 0 {
		return float64(q.EstimatedWork)
	}
	return 1
}

// expectedWork is the told work, put right by what queries of its class have taken, or the usual of its class.
func (q *query) expectedWork() float64 {
	if q.EstimatedWork > 0 {
		return float64(q.EstimatedWork) * q.class.bias()
	}
	return q.class.meanWork
}

// bias is how many times what is told the queries of a class take, as far as engines tell.
func (c *class) bias() float64 {
	if c.estimatedWork <= 0 {
		return 1
	}
	return min(maxWorkBias, max(1/maxWorkBias, c.reportedWork/c.estimatedWork))
}

const (
	biasSure    = 5   // usual queries that what is told is taken to be right for at the start
	maxWorkBias = 8.0 // times too much or too little is no estimate
)

// learnWork learns what a query has taken, as its engine says.
func (q *query) learnWork(spent monotime.Micros) {
	c := q.class
	if spent <= 0 || q.EstimatedWork <= 0 {
		return
	}
	if c.estimatedWork == 0 {
		c.reportedWork, c.estimatedWork = biasSure*c.meanWork, biasSure*c.meanWork
	}
	c.reportedWork += float64(spent) - decay*c.reportedWork
	c.estimatedWork += float64(q.EstimatedWork) - decay*c.estimatedWork
}

// objectiveFor is the aim of a query of the class with so much work.
func (c *class) objectiveFor(work float64) monotime.Micros {
	return c.LatencyObjective + monotime.Micros(c.ObjectiveStretch*work/float64(c.Threads))
}

// interchangeable queries of a class may go wherever any other of them may.
func (q *query) interchangeable() bool { return len(q.attempts) == 0 && q.keyQueue == nil }

func allowed(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

// threadsUpTo is the own threads on an engine of classes whose queries are no longer than this one's.
func (d *Scheduler) threadsUpTo(c *class, e *engine) (n int) {
	for i, threads := range e.byClass {
		if d.classes[i].meanWork <= c.meanWork {
			n += threads
		}
	}
	return n
}

const (
	popularSpan = 500 // queries that a group's share is measured over
	popularSeen = 50  // queries that are taken for seen at the start: the first of a group says little
)

// popularity counts queries by table group, decayed.
type popularity struct {
	count map[int]float64 // in units of weight
	total float64         // the same
	unit  float64         // of the last query: it grows, so that what came before decays
}

func newPopularity() popularity { return popularity{count: map[int]float64{}, unit: 1} }

func (p *popularity) add(group int) {
	if len(p.count) >= mostOrders { // clients may name any group
		*p = newPopularity()
	}
	if p.unit > 1e6 {
		maps.DeleteFunc(p.count, func(g int, n float64) bool {
			p.count[g] = n / p.unit
			return n < p.unit*1e-3
		})
		p.total, p.unit = p.total/p.unit, 1
	}
	p.unit *= 1 + 1.0/popularSpan
	p.count[group] += p.unit
	p.total += p.unit
}

// homeEngines is how many engines share a group's queries: two, and one more for each engine's worth of all queries that the
// group has.
func (p *popularity) homeEngines(group, engines int) int {
	return 2 + int(float64(engines)*p.count[group]/(p.total+popularSeen*p.unit))
}

// mostOrders bounds how many groups' orders are kept: clients may name any group.
const mostOrders = 4096

func (d *Scheduler) keepOrder(group int, order []*engine) {
	if len(d.orders) >= mostOrders {
		clear(d.orders)
	}
	d.orders[group] = order
}

// dropRemoved forgets engines that are removed and have nothing of this gateway in hand: one that comes back,
// or another at its address, starts anew.
func (d *Scheduler) dropRemoved() {
	d.engines = slices.DeleteFunc(d.engines, func(e *engine) bool {
		removed := e.gone && e.State == Removed && e.attempts == 0
		if removed {
			delete(d.byName, e.Engine)
		}
		return removed
	})
}

// dropLines forgets the lines of keys that nothing waits for any more.
func (d *Scheduler) dropLines() {
	maps.DeleteFunc(d.keyQueues, func(_ string, l *keyQueue) bool { return len(l.queries) == 0 && l.quietUntil <= d.now })
}

// ration counts for the attempt budget, where there is one.
func (d *Scheduler) ration(w *slidingWindow) {
	if d.cfg.Rules.RetryBudget {
		w.add(d.now, 1)
	}
}

func newEngine(name string) *engine {
	h := fnv.New64a()
	h.Write([]byte(name))
	return &engine{hash: h.Sum64(), slowness: 1, lastSeenAt: -1, cores: 1, lastRejectedAt: -fullMemory, lastSentAt: -fullPause, tableLocks: map[int]int{}}
}

// enqueue puts a query at the end of its key's line.
func (d *Scheduler) enqueue(q *query) {
	q.keyQueue = d.keyQueues[q.Key]
	if q.keyQueue == nil {
		q.keyQueue = &keyQueue{}
		d.keyQueues[q.Key] = q.keyQueue
	}
	q.keyQueue.queries = append(q.keyQueue.queries, q)
}
