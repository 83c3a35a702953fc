package scheduler

import (
	"math"
	"slices"
	"sort"
)

const (
	// spillFactor is the multiple of the mean load above which an engine is passed over.
	// Source: the design's 1.25 spill.
	spillFactor = 1.25
	// pressuredThreadsPerCore is the threads a core, over all gateways, that an engine runs under pressure. The share
	// of it of one gateway is the bound that choose keeps to.
	pressuredThreadsPerCore = 1.6
	// unpressuredFactor is the multiple of that bound that holds without pressure too: an overload starts sooner than
	// latencies can show it.
	unpressuredFactor = 2.0
	// recentRounds is how many attempts for each engine recent threads fade over: where a gateway has many engines it
	// has few attempts in flight at once.
	recentRounds = 4.0
	// ownGrantFactor is the multiple of the estimated memory that an engine grants by itself.
	ownGrantFactor = 1.25
	// rejectionPause is the time between attempts on an engine that rejected one lately.
	rejectionPause = sweepInterval
	// minRelativeScore is the outlier score, relative to the median, from which an engine counts as smaller.
	minRelativeScore = 1.3
	// minMedianScore keeps relative scores finite.
	minMedianScore = 1e-9
)

// placement is what the choice of an engine rests on. survey renews the figures once a step.
type placement struct {
	orders     map[int][]*engine // hash orders by table group, of the engines as last updated
	popularity popularity        // of table groups
	sends      int               // attempts started so far

	hasLockWaiters bool    // some class waits for table groups that are locked
	readyEngines   int     // engines that are serving and not ejected
	medianScore    float64 // their median outlier score
	meanLoad       float64 // their mean load
	recentWeight   float64 // of recent threads in the load: nearly 1 where engines have less than a thread each
	threadsPerCore float64 // that this gateway may run on an engine
	slots          float64 // threads that this gateway may run on all engines, where no budget divides threads
}

func newPlacement() placement {
	return placement{orders: map[int][]*engine{}, popularity: newPopularity(), medianScore: 1}
}

// hashOrder returns the rendezvous order of the serving engines for a table group, weighted by cores: the same at every
// gateway.
func (p *placement) hashOrder(group int, engines []*engine) []*engine {
	if order, ok := p.orders[group]; ok {
		return order
	}
	var order []*engine
	score := map[*engine]float64{}
	for _, e := range engines {
		if e.serving() {
			order = append(order, e)
			uniform := (float64(mixHash(e.hash^mixHash(uint64(group)))>>11) + 0.5) / (1 << 53)
			score[e] = -e.cores / math.Log(uniform)
		}
	}
	sort.Slice(order, func(i, j int) bool {
		if score[order[i]] != score[order[j]] {
			return score[order[i]] > score[order[j]]
		}
		return order[i].Engine < order[j].Engine
	})
	if len(p.orders) >= maxTableGroups {
		clear(p.orders)
	}
	p.orders[group] = order
	return order
}

// mixHash is the finalizer of SplitMix64.
func mixHash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// countSend counts the threads of an attempt to the engine, among so many engines.
func (p *placement) countSend(e *engine, threads, engines int) {
	p.sends++
	e.recentThreads, e.recentAt = p.recentThreads(e, engines)+float64(threads), p.sends
}

// recentThreads returns the threads sent to the engine, fading over the attempts of recentRounds rounds of the engines.
func (p *placement) recentThreads(e *engine, engines int) float64 {
	return e.recentThreads * math.Exp(float64(e.recentAt-p.sends)/(recentRounds*float64(engines)))
}

// relativeScore returns an engine's outlier score against the median: what slows all engines is load.
func (p *placement) relativeScore(e *engine) float64 {
	return min(maxOutlierScore, e.health.outlierScore/p.medianScore)
}

// choose returns the engine for the next attempt of a query, nil if there is none now. It walks the group's hash order:
// the least loaded of the group's home engines, and further on where that one is above the spill mark.
func (s *Scheduler) choose(q *query) *engine {
	if !s.mayStart(q) {
		return nil
	}
	candidates := s.prefer(q, s.candidates(q))
	if s.cfg.Gateways > s.placement.readyEngines {
		for _, e := range candidates {
			if e.warmUp.active() {
				return e // it is this gateway's turn, and the engine gets nothing from others meanwhile
			}
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	homes := s.placement.popularity.homeEngines(q.TableGroup, s.placement.readyEngines)
	for i := 1; i < min(homes, len(candidates)); i++ {
		if s.load(candidates[i]) < s.load(candidates[0]) {
			candidates[0], candidates[i] = candidates[i], candidates[0]
		}
	}
	for _, e := range candidates {
		if s.load(e) <= spillFactor*s.placement.meanLoad+float64(q.class.Threads)/s.size(e) {
			return e
		}
	}
	return candidates[0]
}

// candidates returns the engines that may take the query, in the hash order of its table group. Ejected ones are among
// them for a probation request, or where no engine is ready.
func (s *Scheduler) candidates(q *query) []*engine {
	var list []*engine
	for _, e := range s.placement.hashOrder(q.TableGroup, s.endpoints.engines) {
		if (s.placement.readyEngines == 0 || !e.health.ejected || s.mayTakeProbation(q, e)) &&
			s.mayStartOn(q, e) && !s.exceedsShare(q, e) {
			list = append(list, e)
		}
	}
	return list
}

// prefer leaves out engines that this query has failed on, and those where its table group is locked, unless no other
// is left. Queries that lock a table group start further down the order than the homes of the group's other queries,
// each gateway at an engine of its own.
func (s *Scheduler) prefer(q *query, candidates []*engine) []*engine {
	candidates = subset(candidates, func(e *engine) bool {
		return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.engine == e })
	})
	if !s.placement.hasLockWaiters || !q.class.LocksTableGroup && !q.class.WaitsForTableGroup {
		return candidates
	}
	if q.class.LocksTableGroup && len(candidates) > 2 {
		start := len(candidates)/2 + int(q.ID%uint64(len(candidates)/2))
		candidates = slices.Concat(candidates[start:], candidates[:start])
	}
	return subset(candidates, func(e *engine) bool { return e.usage.tableLocks[q.TableGroup] == 0 })
}

// subset returns the engines that ok holds for, or all where there are none.
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

// load returns this gateway's own threads a core on the engine, and, the fewer these are, those it sent lately: as all
// gateways share the hash order, what one would pile up, all would, and what each keeps even is even over all.
func (s *Scheduler) load(e *engine) float64 {
	recent := s.placement.recentThreads(e, len(s.endpoints.engines))
	return (float64(e.usage.threads) + s.placement.recentWeight*recent) / s.size(e)
}

// size returns the cores that an engine counts for: fewer while it warms up, or while it is slower than others.
func (s *Scheduler) size(e *engine) float64 {
	size := e.cores
	if r := s.placement.relativeScore(e); r > minRelativeScore {
		size /= r
	}
	return size * e.warmUp.capacity(s.now, &s.cfg.Rules)
}

// survey takes stock of the ready engines once a step: their median outlier score and mean load, how thinly threads are
// spread over them, and this gateway's share of them.
func (s *Scheduler) survey() {
	var scores []float64
	s.countUnavailable()
	threads, load, cores, sizes := 0, 0.0, 0.0, 0.0
	for _, e := range s.endpoints.engines {
		if e.ready() {
			scores = append(scores, e.health.outlierScore)
			size := s.size(e)
			threads += e.usage.threads
			load += s.load(e) * size
			sizes += size
			cores += e.cores * e.warmUp.capacity(s.now, &s.cfg.Rules)
		}
	}
	p := &s.placement
	p.readyEngines, p.meanLoad, p.medianScore = len(scores), load/max(sizes, 1), max(median(scores), minMedianScore)
	p.recentWeight = 1 / (1 + float64(threads)/float64(max(1, p.readyEngines)))
	p.threadsPerCore = pressuredThreadsPerCore * s.traffic.share(s.now)
	if !s.underPressure() {
		p.threadsPerCore *= unpressuredFactor
	}
	p.slots = p.threadsPerCore * cores
}

// median returns the lower median of a list that it may sort; 0 without any.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// countUnavailable counts the threads of each class on engines that are not ready: they take no slot where queries can
// be served.
func (s *Scheduler) countUnavailable() {
	for i, c := range s.classes {
		c.unavailableThreads = 0
		for _, e := range s.endpoints.engines {
			if !e.ready() && i < len(e.usage.threadsByClass) {
				c.unavailableThreads += e.usage.threadsByClass[i]
			}
		}
	}
}

// hasConcurrencySlot reports whether a query may go within this gateway's share of the fleet's threads. That is over
// all engines, as the share of one engine is less than one query where there are many gateways, and leaves aside longer
// classes, so that one long query does not hold up short ones.
func (s *Scheduler) hasConcurrencySlot(q *query) bool {
	if s.budgets.divideThreads {
		return true
	}
	threads := 0
	for _, c := range s.classes {
		if c.meanLatency <= q.class.meanLatency {
			threads += c.inFlight*c.Threads - c.unavailableThreads
		}
	}
	return threads == 0 || float64(threads) < s.placement.slots
}

// exceedsShare reports whether the engine runs this gateway's share of its threads or memory. Longer classes don't take
// it from shorter ones while no engine rejects.
func (s *Scheduler) exceedsShare(q *query, e *engine) bool {
	if s.now-e.lastRejectedAt < rejectionMemory && s.now-e.lastSentAt < rejectionPause {
		return true // else what it rejects would make it look idle
	}
	p := &s.placement
	full := e.memoryMB > 0 && ownGrantFactor*e.usage.memoryMB*pressuredThreadsPerCore >= e.memoryMB*p.threadsPerCore
	threads := e.usage.threads
	if s.now-s.lastRejectedAt >= rejectionMemory {
		threads = s.threadsUpTo(q.class, e)
	}
	return e.usage.attempts > 0 && (!s.budgets.divideThreads && float64(threads) >= p.threadsPerCore*s.size(e) || full)
}

// threadsUpTo returns this gateway's threads on an engine of classes whose work is no more than that of the class.
func (s *Scheduler) threadsUpTo(c *class, e *engine) (n int) {
	for i, threads := range e.usage.threadsByClass {
		if s.classes[i].meanWork <= c.meanWork {
			n += threads
		}
	}
	return n
}
