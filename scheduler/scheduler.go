// The decisions. The types that go in and out are in api.go.
//
// Reading order: the constants; Step; request and price (ExecTime, deadline);
// release and next (group EDF); choose (hash order and spill); admissible (the rules' guards, passed by every
// send); outcome; then sweep: what time alone brings about.
package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

const (
	deadlineMultiplier  = 10.0 // the paper's deadline multiplier
	groupRange          = 0.4  // the paper's Gr
	spillFactor         = 1.25 // an engine above this multiple of the mean is passed over
	shareThreadsPerCore = 1.6  // threads a core, over all gateways, that an engine holds under pressure

	unpressuredShareFactor = 2.0 // times the share that binds without pressure too
	surge                  = 1.4 // times the quotas that clients ask for in an overload, retries included
	startSpread            = 8.0 // threads an engine up to which many gateways begin unalike: else all begin alike
	recentMost             = 4.0 // sends an engine that are looked back on: at full size few are in hand at once

	ownChoice  = 1.25 // times the told memory: what an engine grants of itself
	shareBurst = 2.0  // seconds of a tenant's share that may come at once, and two queries at least
	retrySlack = 50   // of the give-up time that a first try's time left may vary by

	decay               = 0.05            // weight of a new measure in a class's ratio: about the last 20 count
	clip                = 3.0             // times the price: the most that one measure counts
	engineDecay         = 0.15            // an engine is judged on fewer: it must show within a second or two
	bestDrift           = 0.01            // a second; lets the best ratio follow a lasting change
	pressureAt          = 2.0             // times the best ratio: beyond scatter, well before aims are missed
	guessedBest         = 0.5             // of a query's work over its threads: none takes less, where no cost is told
	bestOfAim           = 0.25            // of the aim at most is taken for the best, should we start under load
	fullMemory          = monotime.Second // a full refusal is of late, and without a measure a price sinks to the best
	fullPause           = sweepInterval   // between sends to an engine that was full of late
	staleDecay          = 0.98            // a sweep
	sweepInterval       = 20 * monotime.Second / 1000
	coldMargin          = 0.7  // of the cold budget is used: work is only known on average
	coldLight           = 0.5  // of the cold budget goes to light queries in a surge: their number scatters
	coldHeavy           = 0.45 // to heavy ones: their work does
	coldLot             = 0.1  // of it at most is a light query's work
	turnSpans           = 5    // of the rule: a turn that is long enough for most gateways to have a heavy query
	capacityUtilization = 0.85 // capacity is told as the rate that keeps cores this busy
	slowFrom            = 1.3  // an engine this much slower than the median counts as smaller
	slowMost            = 20.0
	errorSlow           = 3.0                 // ExecTimes that an error counts for
	slowFade            = 5 * monotime.Second // an unmeasured engine's slowness halves in this time
	markFrom            = 2.0                 // an attempt out this many ExecTimes counts as a measure, and at each doubling
	zoneLost            = 2                   // engines of a zone that are out, and none heard since
	awayFrom            = monotime.Second     // an engine out for longer may have started anew
	maxDiscoveryDelay   = 7 * monotime.Second // what the list has to tell is told by then
	minEjectionBackoff  = monotime.Second / 2
	maxEjectionBackoff  = 4 * monotime.Second
	lateMost            = 1.5 // aims after which a running query gives its place up under pressure
	planScatter         = 4.0 // usual errors of the price, beyond the price, that mark a bad plan
	askRetry            = monotime.Second / 4
)

// New builds a gateway.
func New(cfg Config, seed uint64) (*Scheduler, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	d := &Scheduler{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*engine{},
		orders: map[int][]*engine{}, queries: map[uint64]*query{}, keyQueues: map[string]*keyQueue{},
		popularity: newPopularity(), nextHealthCheck: map[string]monotime.Micros{},
		lastRejectedAt: -fullMemory, medianSlowness: 1}
	for _, c := range cfg.Classes {
		k := &class{Class: c, bestRatio: math.Inf(1), meanWork: float64(c.LatencyObjective) * float64(c.Threads), estimateError: 1}
		d.classes = append(d.classes, k)
		d.hasLockWaiters = d.hasLockWaiters || c.WaitsForTableGroup
	}
	for _, t := range cfg.Tenants {
		d.tenants = append(d.tenants, &tenant{Tenant: t, tokens: t.Quota})
		d.quota += t.Quota
	}
	d.arrivalRate.value = d.quota / float64(cfg.Gateways) // until there is a measure
	return d, nil
}

// Step takes the events of one instant and returns what to do; the result is valid until the next call.
func (d *Scheduler) Step(now monotime.Micros, events []Event) []Action {
	d.now, d.actions = now, nil
	for _, ev := range events {
		d.apply(ev)
	}
	d.survey()
	d.release()
	d.keepListed()
	if !d.started {
		d.started, d.startedAt = true, now
	}
	if !d.sweepTimerSet && (len(d.queued) > 0 || len(d.inFlight) > 0) {
		d.sweepTimerSet = true
		d.do(SetTimer{At: now + sweepInterval, Token: "sweep"})
	}
	return d.actions
}

func (d *Scheduler) do(a Action) { d.actions = append(d.actions, a) }

func (d *Scheduler) apply(ev Event) {
	switch ev := ev.(type) {
	case EndpointUpdate:
		d.list(ev)
	case Request:
		d.request(ev)
	case Outcome:
		d.outcome(ev)
	case Started:
		if _, a := d.attempt(ev.ID, ev.Attempt); a != nil {
			a.streaming = true
			d.markSeen(a.engine)
		}
	case ProgressReport:
		if _, a := d.attempt(ev.ID, ev.Attempt); a != nil {
			d.markSeen(a.engine)
		}
	case ClientDisconnected:
		if q := d.queries[ev.ID]; q != nil && ev.AnswerDue && !q.answered {
			d.end(q)
		} else if q != nil {
			d.closeQuery(q)
		}
	case EngineUnresponsive:
		if e := d.byName[ev.Engine]; e != nil {
			d.eject(e)
		}
	case HealthCheckResult:
		if e := d.byName[ev.Engine]; e != nil {
			e.healthCheckInFlight = false
			if ev.Result == Succeeded {
				d.markSeen(e)
			} else if e.ejected {
				d.eject(e)
			}
		}
	case BudgetGrant:
		d.amounts(ev)
	case Timer:
		if ev.Token == "sweep" {
			d.sweepTimerSet = false
			d.sweep()
		}
	}
}

// list takes over what a list says of the engines.
func (d *Scheduler) list(l EndpointUpdate) {
	if l.Kind == UpdateFailed {
		d.failedUpdates++
		wait := askRetry << min(d.failedUpdates, 4)
		d.subscribeAt = d.now + wait + d.rng.Int64N(wait)
		return
	}
	d.failedUpdates = 0
	if l.Kind != UpdateCached {
		d.subscribeAt = math.MaxInt64
	}
	listed := map[string]bool{}
	for _, en := range l.Entries {
		listed[en.Engine] = true
		d.entry(en)
	}
	for _, e := range d.engines {
		if l.Kind != UpdateChanges && !listed[e.Engine] {
			e.gone, e.State = true, Removed
		}
	}
	d.orders = map[int][]*engine{}
	d.dropRemoved()
}

func (d *Scheduler) entry(en Endpoint) {
	e := d.byName[en.Engine]
	if e == nil {
		e = newEngine(en.Engine)
		e.recentThreads, e.recentAt = d.rng.Float64()*startSpread*max(0, 1-2/float64(d.cfg.Gateways)), d.sends
		d.byName[en.Engine], d.engines = e, append(d.engines, e)
	}
	restarted := en.Started > 0 && en.Started != e.Started
	e.Endpoint, e.gone = en, en.State != Serving
	for _, k := range d.cfg.Kinds {
		if k.Name == en.Kind {
			e.cores, e.memoryMB = float64(k.Cores), k.MemoryMB
		}
	}
	if restarted && d.now < en.Started+d.cfg.Rules.WarmUp {
		d.startCold(e, en.Started, false)
		e.ejected, e.backoff, e.slowness = false, 0, 1
	}
}

// startCold begins an engine's cold span, supposed where its absence tells of that and not the list.
func (d *Scheduler) startCold(e *engine, from monotime.Micros, supposed bool) {
	e.warmingUp, e.warmUpFrom, e.warmUpAssumed = true, from, supposed
	e.credit = workCredit{at: d.now, phase: d.rng.Float64()}
}

// keepListed subscribes where lists must be asked for, and again after failures, by a timer of its own.
func (d *Scheduler) keepListed() {
	if d.cfg.PollEndpoints && d.now >= d.subscribeAt {
		d.subscribeAt = d.now + d.cfg.Rules.ResponseTimeout/2
		d.do(Subscribe{})
	}
	if d.cfg.PollEndpoints && d.subscribeAt < math.MaxInt64 && d.subscribeTimerAt != d.subscribeAt {
		d.subscribeTimerAt = d.subscribeAt
		d.do(SetTimer{At: d.subscribeAt, Token: "list"})
	}
}

// request takes a query in: its price, its deadline and its place in its key's line.
func (d *Scheduler) request(r Request) {
	c := d.classes[r.Class]
	q := &query{Request: r, class: c, arrivedAt: d.now, firstAskedAt: d.now, queued: true, priority: -1}
	c.ownEstimates = c.ownEstimates || r.EstimatedHere
	if c.meanEstimate == 0 { // the first query seeds the ratio to the class's aim
		c.meanEstimate, c.meanLatency = q.estimate(), float64(c.LatencyObjective)
	}
	q.dueAt = d.now + monotime.Micros(deadlineMultiplier*d.executionTime(q))
	d.arrivalRate.add(d.now)
	d.popularity.add(r.Group)
	d.ration(&d.arrivals)
	d.wants(q)
	if d.retryPastAim(q) || r.Tenant >= 0 && d.overShare(q) {
		q.deprioritized = true
		q.dueAt += c.ClientTimeout
	}
	if c.Ordered && r.Key != "" {
		d.enqueue(q)
	}
	// More than the client can wait for is no usual work, and may be made up.
	if r.EstimatedWork > 0 && r.EstimatedWork <= c.ClientTimeout*monotime.Micros(c.Threads) {
		c.meanWork += decay * (float64(r.EstimatedWork) - c.meanWork)
	}
	d.queries[r.ID], d.queued = q, append(d.queued, q)
}

// retryPastAim recognises a client's later try: it has less time left than first tries of its class, but
// more than a client that is short of time from the start. Its aim counts from when its client first asked;
// where that has passed it goes last, so that a storm of retries does not take the places of first tries.
func (d *Scheduler) retryPastAim(q *query) bool {
	c, left := q.class, q.Deadline-d.now
	if left <= c.ClientTimeout { // what waits longer is no usual client
		c.longestTimeLeft = max(c.longestTimeLeft, left)
	}
	if left < c.longestTimeLeft-c.ClientTimeout/retrySlack && left > c.LatencyObjective {
		q.firstAskedAt = min(d.now, q.Deadline-c.ClientTimeout)
	}
	return d.now > d.aim(q)
}

// executionTime is the query's ExecTime.
func (d *Scheduler) executionTime(q *query) float64 {
	return q.estimate() * q.class.meanLatency / q.class.meanEstimate
}

// overShare says whether a query is beyond its tenant's share: by the fleet's budgets where one bounds who of
// it comes first, and else by this gateway's part.
func (d *Scheduler) overShare(q *query) (over bool) {
	divided := false
	for _, b := range d.budgets.list {
		if b.Overflow != DeprioritizeOverflow || b.CountOnly || !b.EachTenant && b.Tenant != q.Tenant ||
			b.Class >= 0 && b.Class != q.Request.Class {
			continue
		}
		divided = true
		subject := ""
		if b.EachTenant {
			subject = d.cfg.Tenants[q.Tenant].Name
		}
		a, n := b.book.Account(d.now, subject), b.units(q)
		a.RecordDemand(d.now, n)
		if _, ok := a.Spend(d.now, n); !ok {
			a.Denied++
			over = true
		}
	}
	if !divided {
		return !d.withinShare(d.tenants[q.Tenant])
	}
	return over
}

// withinShare draws on the tenant's share of this gateway.
func (d *Scheduler) withinShare(t *tenant) bool {
	if t.Quota <= 0 {
		return true
	}
	rate := t.Quota * d.part()
	t.tokens = min(max(rate, 1)*shareBurst, t.tokens+rate*float64(d.now-t.at)/float64(monotime.Second))
	t.at = d.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// release sends held queries by group EDF for as long as engines can be found.
func (d *Scheduler) release() {
	d.refuseLapsed()
	var blocked []*query
	for {
		q := d.next()
		if q == nil {
			break
		}
		if e := d.choose(q); e != nil {
			d.send(q, e)
			continue
		}
		q.queued = false
		blocked = append(blocked, q)
		q.class.blocked = q.class.blocked || q.interchangeable() // no engine for one is none for its like
	}
	for _, q := range blocked {
		q.queued, q.class.blocked, q.demandRecorded = true, false, true
	}
	if len(d.budgets.list) > 0 {
		d.turnAway()
	}
}

// turnAway refuses at once what a budget of the fleet has no room for, and tells when it will have some.
func (d *Scheduler) turnAway() {
	for _, q := range slices.Clone(d.queued) {
		if b, after := d.short(q); b != nil && d.refusable(q) {
			if after == 0 {
				after = monotime.Micros(d.executionTime(q))
			}
			d.do(Reject{ID: q.ID, Budget: b.Name, After: min(d.cfg.Limits.MaxRetryAfter, after)})
			d.closeQuery(q)
		} else if b != nil {
			d.end(q)
		}
	}
}

// short is the first budget without room that turns queries away, and when it will have some.
func (d *Scheduler) short(q *query) (b *budget, after monotime.Micros) {
	for _, b := range d.budgets.list {
		if b.Overflow != RejectOverflow || b.EachEngine || b.CountOnly {
			continue
		}
		if a, n := d.charge(b, q, nil); a != nil && !a.CanSpend(d.now, n) && !a.AwaitsFirstLease(d.now) {
			a.Denied++
			return b, a.RetryAfter(d.now, n)
		}
	}
	return nil, 0
}

// next is the group EDF pick: the smallest ExecTime among those due soon after the earliest.
func (d *Scheduler) next() *query {
	first := d.pick(func(q, best *query) bool { return q.dueAt < best.dueAt })
	if first == nil {
		return nil
	}
	until := first.dueAt + monotime.Micros(groupRange*float64(first.dueAt-first.arrivedAt))
	return d.pick(func(q, best *query) bool {
		if in := q.dueAt <= until; in != (best.dueAt <= until) {
			return in
		}
		return d.executionTime(q) < d.executionTime(best)
	})
}

// pick is the first held query that comes before all others.
func (d *Scheduler) pick(before func(q, best *query) bool) *query {
	var best *query
	for _, q := range d.queued {
		if q.queued && !(q.class.blocked && q.interchangeable()) && d.hasPlace(q) && d.affords(q, nil) &&
			(best == nil || before(q, best)) {
			best = q
		}
	}
	return best
}

// hasPlace says whether a query may leave within the gateway's part of the fleet's share. That is over all
// engines, as an engine's is less than one query where there are many gateways, and leaves aside longer
// classes, so that one long query does not hold up short ones.
func (d *Scheduler) hasPlace(q *query) bool {
	if d.budgets.threads { // the fleet's threads are divided
		return true
	}
	threads := 0
	for _, c := range d.classes {
		if c.meanLatency <= q.class.meanLatency {
			threads += c.inFlight*c.Threads - c.unavailableThreads
		}
	}
	return threads == 0 || float64(threads) < d.concurrencySlots
}

// refuseLapsed turns away what can no longer finish. What has only just arrived gets its chance of an
// engine with room first: a price inflated by a jam must not refuse all that could measure it anew. Only
// one whose client gives up before the sweep could come back to it is answered at once.
func (d *Scheduler) refuseLapsed() {
	pressed := d.underPressure()
	for _, q := range slices.Clone(d.queued) {
		if d.now > q.Deadline-2*sweepInterval || q.arrivedAt < d.now && d.now+monotime.Micros(d.executionTime(q)) > d.lapse(q, pressed) {
			d.lapsed(q)
		}
	}
}

// lapse is the time by which a held query must be able to finish: under pressure that is its aim, since
// a place on an engine goes first to what can still earn its full worth.
func (d *Scheduler) lapse(q *query, pressed bool) monotime.Micros {
	if pressed { // by the best price: the one inflated by a jam would refuse short queries at once
		inflated := d.executionTime(q) - q.estimate()*min(q.class.bestRatio, q.class.meanLatency/q.class.meanEstimate)
		return min(q.dueAt, d.aim(q)+monotime.Micros(inflated), q.Deadline-2*sweepInterval)
	}
	return min(q.dueAt, q.arrivedAt+q.class.ClientTimeout, q.Deadline-2*sweepInterval)
}

// end gives the final answer to a query that was not served: a refusal where that is true.
func (d *Scheduler) end(q *query) {
	after := min(d.cfg.Limits.MaxRetryAfter, monotime.Micros(d.executionTime(q)))
	if d.refusable(q) {
		d.do(Reject{ID: q.ID, After: after})
	} else {
		d.do(Fail{ID: q.ID})
	}
	d.closeQuery(q)
}

// refusable says whether a retry would do no harm.
func (d *Scheduler) refusable(q *query) bool {
	if q.effect() == Idempotent || q.effect() == IdempotentByKey && q.class.DedupeScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.neverRan })
}

// closeQuery forgets a query once it is answered and nothing of it is out.
func (d *Scheduler) closeQuery(q *query) {
	q.answered = true
	d.queued, q.queued = remove(d.queued, q), false
	if q.inFlight > 0 {
		if d.cfg.Limits.Cancel {
			for i := range q.attempts {
				d.cancel(q, i)
			}
		}
		return
	}
	delete(d.queries, q.ID)
	d.inFlight = remove(d.inFlight, q)
	if q.keyQueue != nil {
		q.keyQueue.queries = remove(q.keyQueue.queries, q)
		if len(q.keyQueue.queries) == 0 && q.keyQueue.quietUntil <= d.now {
			delete(d.keyQueues, q.Key)
		}
	}
}

func (d *Scheduler) cancel(q *query, i int) {
	a := &q.attempts[i]
	if a.inFlight && !a.canceled && !a.streaming {
		a.canceled = true
		d.do(Cancel{ID: q.ID, Attempt: i})
	}
}

// choose walks the group's hash order: the least loaded of its homes, the first two and more for a popular
// group, and on past the spill mark.
func (d *Scheduler) choose(q *query) *engine {
	if !d.mayGo(q) {
		return nil
	}
	var able []*engine
	for _, e := range d.hashOrder(q.Group) {
		if (d.ready == 0 || !e.ejected || d.trial(q, e)) && d.admissible(q, e) && !d.pastShare(q, e) {
			able = append(able, e)
		}
	}
	able = d.prefer(q, able)
	turn := func(e *engine) bool { return e.warmingUp && d.cfg.Gateways > d.ready }
	if i := slices.IndexFunc(able, turn); i >= 0 {
		return able[i] // our turn: it gets nothing from those who are out of turn
	}
	if len(able) == 0 {
		return nil
	}
	for i, home := 1, d.popularity.homeEngines(q.Group, d.ready); i < min(home, len(able)); i++ {
		if d.load(able[i]) < d.load(able[0]) {
			able[0], able[i] = able[i], able[0]
		}
	}
	for _, e := range able {
		if d.load(e) <= spillFactor*d.meanLoad+float64(q.class.Threads)/d.size(e) {
			return e
		}
	}
	return able[0]
}

// prefer puts aside engines that this query has failed on, and those where its table group stands still
// behind a load, unless no other is left. Loads start further down the order than the first two, where the
// queries of their group go, each gateway at a place of its own.
func (d *Scheduler) prefer(q *query, able []*engine) []*engine {
	able = subset(able, func(e *engine) bool {
		return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.engine == e })
	})
	if !d.hasLockWaiters || !q.class.LocksTableGroup && !q.class.WaitsForTableGroup {
		return able
	}
	if q.class.LocksTableGroup && len(able) > 2 {
		start := len(able)/2 + int(q.ID%uint64(len(able)/2))
		able = slices.Concat(able[start:], able[:start])
	}
	return subset(able, func(e *engine) bool { return e.tableLocks[q.Group] == 0 })
}

// hashOrder is the rendezvous order of a table group, weighted by cores: the same at every gateway.
func (d *Scheduler) hashOrder(group int) []*engine {
	if order, ok := d.orders[group]; ok {
		return order
	}
	var order []*engine
	score := map[*engine]float64{}
	for _, e := range d.engines {
		if !e.gone {
			order = append(order, e)
			u := (float64(mix(e.hash^mix(uint64(group)))>>11) + 0.5) / (1 << 53)
			score[e] = -e.cores / math.Log(u)
		}
	}
	sort.Slice(order, func(i, j int) bool {
		if score[order[i]] != score[order[j]] {
			return score[order[i]] > score[order[j]]
		}
		return order[i].Engine < order[j].Engine
	})
	d.keepOrder(group, order)
	return order
}

// load is this gateway's own threads on the engine, a core, and, the thinner these are spread, what was sent
// lately: all gateways share the hash order, so what one would pile up, all would, and what each keeps even
// is even over all.
func (d *Scheduler) load(e *engine) float64 {
	return (float64(e.threads) + d.recentWeight*d.recent(e)) / d.size(e)
}

// size is the cores that an engine is worth: fewer while cold, or while slower than its peers.
func (d *Scheduler) size(e *engine) float64 {
	size := e.cores
	if r := d.relative(e); r > slowFrom {
		size /= r
	}
	return size * d.warmth(e)
}

// warmth is the part of its capacity that an engine has: a straight line over the cold span.
func (d *Scheduler) warmth(e *engine) float64 {
	if !e.warmingUp {
		return 1
	}
	age := float64(d.now-e.warmUpFrom) / float64(max(1, d.cfg.Rules.WarmUp))
	return min(1, d.cfg.Rules.InitialWarmth+(1-d.cfg.Rules.InitialWarmth)*max(0, age))
}

// relative is an engine's slowness against the median of the ready ones: what slows all is load.
func (d *Scheduler) relative(e *engine) float64 { return min(slowMost, e.slowness/d.medianSlowness) }

// survey takes stock of the ready engines once a step: their median slowness and mean load, how thinly
// threads are spread over them, and the share. That does not bind without pressure, but hardShare times it
// always does: a jam starts sooner than latency can tell of it.
func (d *Scheduler) survey() {
	var slow []float64
	d.countLost()
	threads, load, cores, sizes := 0, 0.0, 0.0, 0.0
	for _, e := range d.engines {
		if !e.gone && !e.ejected {
			slow = append(slow, e.slowness)
			size := d.size(e)
			threads, load, sizes = threads+e.threads, load+d.load(e)*size, sizes+size
			cores += e.cores * d.warmth(e)
		}
	}
	d.ready, d.meanLoad, d.medianSlowness = len(slow), load/max(sizes, 1), max(median(slow), 1e-9)
	d.recentWeight = 1 / (1 + float64(threads)/float64(max(1, d.ready)))
	d.threadsPerCore = shareThreadsPerCore * d.part()
	if !d.underPressure() {
		d.threadsPerCore *= unpressuredShareFactor
	}
	d.concurrencySlots = d.threadsPerCore * cores
}

// pastShare says whether the engine runs this gateway's part of its share, which longer classes do not take
// from shorter ones while no engine is full.
func (d *Scheduler) pastShare(q *query, e *engine) bool {
	if d.now-e.lastRejectedAt < fullMemory && d.now-e.lastSentAt < fullPause { // else what it refuses makes it look idle
		return true
	}
	full := e.memoryMB > 0 && ownChoice*e.grantedMB*shareThreadsPerCore >= e.memoryMB*d.threadsPerCore
	threads := e.threads
	if d.now-d.lastRejectedAt >= fullMemory {
		threads = d.threadsUpTo(q.class, e)
	}
	return e.attempts > 0 && (!d.budgets.threads && float64(threads) >= d.threadsPerCore*d.size(e) || full)
}

// underPressure is a full refusal of late, or a class's latency well above its best.
func (d *Scheduler) underPressure() bool {
	return d.now-d.lastRejectedAt < fullMemory || slices.ContainsFunc(d.classes, func(c *class) bool {
		return c.meanEstimate > 0 && c.meanLatency/c.meanEstimate > pressureAt*c.bestRatio
	})
}

// mayGo holds the rules that bind a query whatever the engine.
func (d *Scheduler) mayGo(q *query) bool {
	if q.answered || len(q.attempts) >= d.mostAttempts(q) || q.inFlight > 0 && !d.mayCopy(q) {
		return false
	}
	if q.keyQueue != nil && (q.keyQueue.queries[0] != q || q.keyQueue.quietUntil > d.now && q.keyQueue.quietFor != q) {
		return false
	}
	if r := d.cfg.Rules; len(q.attempts) > 0 && r.RetryBudget {
		taken := d.arrivals.since(d.now - r.RetryBudgetWindow + 1)
		return d.retries.since(d.now-r.RetryBudgetWindow)+1 <= r.MinRetries+r.RetryRatio*taken
	}
	return true
}

// admissible is the guard of every send: drains, placement, effects and the cold budget.
func (d *Scheduler) admissible(q *query, e *engine) bool {
	return !e.gone && !q.hasAttemptOn(e) && allowed(q.class.Zones, e.Zone) && allowed(q.class.Kinds, e.Kind) &&
		d.effectSafe(q, e) && d.coldRoom(q, e) && d.affords(q, e)
}

// affords says whether the fleet's budgets have room for an attempt: those of engines with one, and else all
// others. What is asked for first is noted as wanted.
func (d *Scheduler) affords(q *query, e *engine) bool {
	ok := true
	for _, b := range d.budgets.list {
		if a, n := d.charge(b, q, e); a != nil && !b.CountOnly && !a.CanSpend(d.now, n) {
			ok = false
			if e != nil && !q.demandRecorded {
				a.RecordDemand(d.now, n)
			}
		}
	}
	return ok
}

// mostAttempts is how often a query may be sent.
func (d *Scheduler) mostAttempts(q *query) int {
	if q.NoRetry {
		return 1
	}
	return d.cfg.Limits.MaxAttempts
}

// effectSafe says whether a send to e cannot make an effect happen twice.
func (d *Scheduler) effectSafe(q *query, e *engine) bool {
	for _, a := range q.attempts {
		if a.neverRan || q.effect() == Idempotent {
			continue
		}
		same := q.class.DedupeScope == ScopeAll || q.class.DedupeScope == ScopeZone && a.zone == e.Zone ||
			q.class.DedupeScope == ScopeCell && a.cell == e.Cell
		if q.effect() == NonIdempotent || !same || d.now >= q.dedupeUntil() {
			return false
		}
	}
	return true
}

// coldRoom keeps this gateway's part of the work that a cold engine can take within any span of the rule.
// Where that is less than the longest class's work, light queries draw on a trickle of credit, which over all
// gateways adds up to coldLight of the budget, however uneven they are. Heavy ones take turns: one gateway,
// drawn by hash, has coldHeavy of the budget for all but one of turnSpans spans, so that no span meets two
// turns. A gateway that has just started sits its turn out, having forgotten its own.
func (d *Scheduler) coldRoom(q *query, e *engine) bool {
	r, n, work := d.cfg.Rules, uint64(d.cfg.Gateways), q.class.meanWork
	if !e.warmingUp || r.OverloadWindow <= 0 || d.budgets.cold {
		return true
	}
	budget, longest := r.OverloadMultiple*capacityUtilization*e.cores*d.warmth(e)*float64(r.OverloadWindow), 0.0
	for _, c := range d.classes {
		longest = max(longest, c.meanWork)
	}
	if part := coldMargin * budget / float64(n); part >= longest {
		return e.warmUpWork.since(d.now-r.OverloadWindow)+work <= part
	}
	if work <= coldLot*budget {
		e.credit.accrue(d.now, coldLight*budget*d.ownPart()/float64(r.OverloadWindow), work)
		return e.credit.left >= work
	}
	at := uint64(d.now/r.OverloadWindow) + e.hash%turnSpans
	mine := (mix(e.hash^at/turnSpans)+uint64(d.cfg.Rank))%n == 0
	return mine && at%turnSpans > 0 && d.now >= d.startedAt+r.OverloadWindow &&
		e.warmUpWork.since(d.now-r.OverloadWindow)+work <= coldHeavy*budget
}

// ownPart is this gateway's part of the fleet's traffic: its own rate of arrivals over what all tenants'
// quotas allow, and surge on top, so that the parts don't add up to more than one in an overload; or, where
// no quotas are set, an even part.
func (d *Scheduler) ownPart() float64 {
	if d.quota == 0 {
		return 1 / float64(d.cfg.Gateways)
	}
	return min(1, d.arrivalRate.at(d.now)/(surge*d.quota))
}

// part is the part of what all gateways may have that this one takes for its own: an even part at least.
func (d *Scheduler) part() float64 { return max(d.ownPart(), 1/float64(d.cfg.Gateways)) }

// send starts an attempt. Every send passes here, after mayGo and admissible.
func (d *Scheduler) send(q *query, e *engine) {
	if len(q.attempts) > 0 {
		d.ration(&d.retries)
	}
	if e.warmingUp {
		e.warmUpWork.add(d.now, q.class.meanWork)
		e.credit.left -= q.class.meanWork
	}
	exec := d.executionTime(q)
	a := attempt{engine: e, sentAt: d.now, executionTime: exec, inFlight: true, nextMeasure: markFrom, zone: e.Zone, cell: e.Cell}
	until, life := d.pay(q, &a, e)
	until = earlier(until, q.dedupeUntil())
	q.attempts = append(q.attempts, a)
	q.inFlight++
	d.book(q, e, 1)
	d.sends++
	e.recentThreads, e.recentAt, e.lastSentAt = d.recent(e)+float64(q.class.Threads), d.sends, d.now
	d.queued, q.queued = remove(d.queued, q), false
	if len(q.attempts) == 1 {
		d.inFlight = append(d.inFlight, q)
	}
	d.terms(q)
	timeout := monotime.Micros(0)
	// What can't be called off must end by itself, unless a second copy goes beside it.
	if l := d.cfg.Limits; !l.Cancel && !l.HedgedRequests && q.effect() == Idempotent {
		timeout = monotime.Micros(q.class.patience() * exec)
	}
	if life > 0 && (timeout == 0 || life < timeout) {
		timeout = life
	}
	d.do(StartAttempt{ID: q.ID, Engine: e.Engine, Timeout: timeout, StartBy: until})
}

func (d *Scheduler) terms(q *query) {
	if p := d.priority(q); d.cfg.Priorities && q.priority != p {
		q.priority = p
		d.do(AttemptParameters{ID: q.ID, Priority: p})
	}
}

// priority favours classes of much worth for their work, then loads, and drops what is past its aim.
func (d *Scheduler) priority(q *query) int {
	top := 0.0
	for _, c := range d.classes {
		top = max(top, c.PriorityWeight/c.meanWork)
	}
	switch {
	case q.deprioritized || d.now > d.aim(q):
		return 0
	case q.class.LocksTableGroup:
		return 2
	case q.class.PriorityWeight/q.class.meanWork > top/2:
		return 3
	}
	return 1
}

// aim is the time until which the answer earns its full worth, as far as told.
func (d *Scheduler) aim(q *query) monotime.Micros {
	return q.firstAskedAt + q.class.objectiveFor(q.expectedWork())
}

// patience is how many ExecTimes an attempt may be out: the longer, the worse the class's prices have been.
func (c *class) patience() float64 { return 1 + planScatter*c.estimateError }

// outcome books the end of an attempt and decides what becomes of the query.
func (d *Scheduler) outcome(o Outcome) {
	q, a := d.attempt(o.ID, o.Attempt)
	if a == nil || !a.inFlight {
		return
	}
	a.inFlight = false
	a.giveBack()
	a.neverRan = o.Result.NeverRan()
	q.inFlight--
	d.book(q, a.engine, -1)
	d.learnFromOutcome(q, a, o)
	if q.keyQueue != nil && (o.Result == TimedOut || o.Result == Reset || o.Result == Canceled) {
		q.keyQueue.quietUntil, q.keyQueue.quietFor = d.now+d.cfg.Rules.KeyQuietPeriod+1, q
	}
	switch {
	case o.Final || q.answered:
		d.closeQuery(q)
	case q.inFlight > 0 || q.queued:
	case d.again(q):
		q.queued = true
		d.queued = append(d.queued, q)
	default:
		d.end(q)
	}
}

// again says whether a further attempt could still serve the query.
func (d *Scheduler) again(q *query) bool {
	if len(q.attempts) >= d.mostAttempts(q) || d.now+2*sweepInterval >= q.Deadline {
		return false
	}
	return slices.ContainsFunc(d.engines, func(e *engine) bool { return d.effectSafe(q, e) })
}

// learnFromOutcome learns from an outcome: the class's price, and the engine's soundness.
func (d *Scheduler) learnFromOutcome(q *query, a *attempt, o Outcome) {
	switch o.Result {
	case Succeeded:
		q.learnWork(o.WorkUsed)
		if q.MeasureLatency {
			d.do(LatencyMeasurement{ID: q.ID, Elapsed: o.Elapsed, Slowdown: d.slowdown(q, a)})
		}
		d.measure(q, a, float64(o.Elapsed))
		d.markSeen(a.engine)
	case Rejected:
		d.lastRejectedAt, a.engine.lastRejectedAt = d.now, d.now
		d.markSeen(a.engine)
	case Errored: // it looks idle, and is as bad as one that takes some times as long
		d.markSeen(a.engine)
		d.grade(a.engine, errorSlow)
	case NoConnection, Reset:
		d.eject(a.engine)
	case TimedOut: // a measure from below: without it a jam in which nothing ends would not be seen
		d.measure(q, a, max(float64(o.Elapsed), d.executionTime(q)))
	}
}

// measure takes a served attempt's latency into its class's ratio.
func (d *Scheduler) measure(q *query, a *attempt, latency float64) {
	c := q.class
	d.grade(a.engine, latency/max(a.executionTime, 1))
	d.learn(q, latency)
	if q.EstimatedWork == 0 && !d.underPressure() {
		c.meanWork += decay * (latency*float64(c.Threads) - c.meanWork)
	}
}

// slowdown is how many times its best latency a query is held to have taken for the load on its engine.
func (d *Scheduler) slowdown(q *query, a *attempt) float64 {
	return max(1, q.class.meanLatency/q.class.meanEstimate/q.class.bestRatio) * max(1, d.relative(a.engine))
}

// learn moves the class's ratio; one bad plan or wait for a load says little of the class and is clipped.
func (d *Scheduler) learn(q *query, latency float64) {
	price := d.executionTime(q)
	latency = min(latency, clip*price)
	q.class.estimateError += decay * (math.Abs(latency/price-1) - q.class.estimateError)
	c := q.class
	c.meanLatency += decay * (latency - c.meanLatency)
	c.meanEstimate += decay * (q.estimate() - c.meanEstimate)
	c.bestRatio = min(c.bestRatio, c.meanLatency/c.meanEstimate, bestOfAim*float64(c.objectiveFor(c.meanWork))/c.meanEstimate)
	if c.ownEstimates { // by estimates that were too high and have been put right, load would be seen for good
		c.bestRatio = max(c.bestRatio, guessedBest/float64(c.Threads))
	}
	c.measuredAt = d.now
}

// grade takes a measure of latency over ExecTime into the engine's slowness.
func (d *Scheduler) grade(e *engine, ratio float64) {
	e.slowness += engineDecay * (min(ratio, slowMost) - e.slowness)
	e.slownessAt = d.now
}

// markSeen notes a sign of life: an ejected engine returns, and those of its zone may be back too. Who has been
// away may have started anew, of which the list tells late: for that long it counts as cold.
func (d *Scheduler) markSeen(e *engine) {
	e.lastSeenAt = d.now
	if !e.ejected {
		return
	}
	if away := d.now - e.ejectedAt; away > awayFrom && !e.warmingUp && d.cfg.Rules.WarmUp > 0 {
		d.startCold(e, d.now, true)
	}
	e.ejected, e.backoff = false, 0
	d.do(Log{Text: "returned " + e.Engine})
	for _, o := range d.inZone(e.Zone) {
		if o.ejected {
			o.probationAt, o.backoff = d.now+d.rng.Int64N(minEjectionBackoff), 0
		}
	}
}

// eject takes an engine out of the order until a trial succeeds. Where several of a zone are out and none has
// been heard since, the zone is lost: its others need not be tried one by one with what clients wait for.
func (d *Scheduler) eject(e *engine) {
	d.takeOut(e)
	first, last, n, zone := d.now, monotime.Micros(-1), 0, d.inZone(e.Zone)
	for _, o := range zone {
		last = max(last, o.lastSeenAt)
		if o.ejected {
			first, n = min(first, o.ejectedAt), n+1
		}
	}
	for _, o := range zone {
		if n >= zoneLost && last < first && !o.ejected {
			d.takeOut(o)
		}
	}
}

func (d *Scheduler) takeOut(e *engine) {
	if !e.ejected {
		d.do(Log{Text: "ejected " + e.Engine})
		e.ejectedAt = d.now
	}
	e.ejected = true
	e.backoff = min(maxEjectionBackoff, max(minEjectionBackoff, 2*e.backoff))
	e.probationAt = d.now + e.backoff + d.rng.Int64N(e.backoff/2)
}

// trial lets one harmless query at a time try an ejected engine, where probes can't.
func (d *Scheduler) trial(q *query, e *engine) bool {
	return e.ejected && !d.cfg.Limits.HealthChecks && d.now >= e.probationAt && e.attempts == 0 && q.effect() == Idempotent && q.interchangeable()
}

// probe tries ejected engines whose time has come, one of a zone at a time.
func (d *Scheduler) probe() {
	for _, e := range d.engines {
		if d.cfg.Limits.HealthChecks && e.ejected && !e.gone && !e.healthCheckInFlight && d.now >= max(e.probationAt, d.nextHealthCheck[e.Zone]) &&
			d.mayProbe() {
			e.healthCheckInFlight, d.nextHealthCheck[e.Zone] = true, d.now+minEjectionBackoff/2
			d.do(HealthCheck{Engine: e.Engine})
		}
	}
}

// mayProbe spends a probe.
func (d *Scheduler) mayProbe() bool {
	for _, b := range d.budgets.list {
		if b.HealthChecks && !b.CountOnly {
			a := b.book.Account(d.now, "")
			a.RecordDemand(d.now, account.Unit)
			if _, ok := a.Spend(d.now, account.Unit); !ok {
				a.Denied++
				return false
			}
		}
	}
	return true
}

// sweep is run every few milliseconds while anything is held or out.
func (d *Scheduler) sweep() {
	d.dropLines()
	d.probe()
	for _, c := range d.classes {
		if c.meanEstimate > 0 && c.inFlight == 0 && d.now-c.measuredAt > fullMemory && c.meanLatency > c.bestRatio*c.meanEstimate {
			c.meanLatency = max(c.bestRatio*c.meanEstimate, c.meanLatency*staleDecay)
		}
		c.bestRatio *= 1 + bestDrift*float64(sweepInterval)/float64(monotime.Second)
	}
	for _, e := range d.engines {
		if e.warmingUp && (d.now >= e.warmUpFrom+d.cfg.Rules.WarmUp || e.warmUpAssumed && d.now >= e.warmUpFrom+maxDiscoveryDelay) {
			e.warmingUp, e.warmUpAssumed, e.warmUpWork = false, false, slidingWindow{} // and goes on like others, not to be filled first
			e.recentThreads, e.recentAt = max(d.recent(e), d.meanLoad*e.cores), d.sends
		}
		if d.now-e.slownessAt > monotime.Second {
			e.slowness = 1 + (e.slowness-1)*math.Exp2(-float64(sweepInterval)/float64(slowFade))
		}
	}
	for _, q := range append([]*query(nil), d.inFlight...) {
		for i := range q.attempts {
			if q.attempts[i].inFlight && !q.attempts[i].streaming {
				d.watch(q, i)
			}
		}
	}
}

// watch looks at an attempt that is out.
func (d *Scheduler) watch(q *query, i int) {
	a := &q.attempts[i]
	age := float64(d.now - a.sentAt)
	if age > a.nextMeasure*a.executionTime {
		a.nextMeasure *= 2
		d.grade(a.engine, age/a.executionTime)
		if age > d.executionTime(q) {
			d.learn(q, age)
		}
	}
	if q.answered || a.canceled {
		return
	}
	d.terms(q)
	if !q.queued && age > q.class.patience()*max(a.executionTime, d.executionTime(q)) && d.mayCopy(q) && d.again(q) {
		q.queued, d.queued = true, append(d.queued, q)
	}
	if d.cfg.Limits.Cancel && d.underPressure() && d.refusable(q) &&
		float64(d.now-q.firstAskedAt) > lateMost*float64(d.aim(q)-q.firstAskedAt) {
		d.end(q)
		return
	}
	left := float64(q.Deadline - d.now)
	if !d.cfg.Limits.Cancel || q.effect() != Idempotent || left < 2*d.executionTime(q) || a.planned ||
		len(q.attempts) >= d.mostAttempts(q) ||
		age < q.class.patience()*max(a.executionTime, d.executionTime(q))*max(1, d.relative(a.engine)) {
		return
	}
	a.planned = true
	d.cancel(q, i)
}
