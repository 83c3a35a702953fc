package scheduler

import (
	"math"
	"slices"
	"sort"
)

const (
	// spillFactor is the multiple of the mean load above which an engine is passed over in favor of later ones in the
	// hash order. The value is the spill threshold of the design.
	spillFactor = 1.25
	// pressuredThreadsPerCore is the number of threads per core that all front ends together run on an engine under
	// pressure. Each front end keeps to its share of that.
	pressuredThreadsPerCore = 1.6
	// unpressuredFactor is the multiple of that bound that applies without pressure. There is a bound then too, because
	// an overload begins before latencies show it.
	unpressuredFactor = 2.0
	// recentRounds, times the number of engines, is the number of attempts over which recentThreads decay. Threads of
	// recent attempts are counted because a front end with many engines has few attempts in flight at once.
	recentRounds = 4.0
	// ownGrantFactor is the multiple of a query's estimated memory that an engine grants by default.
	ownGrantFactor = 1.25
	// rejectionPause is the minimum time between attempts on an engine that recently rejected one.
	rejectionPause = sweepInterval
	// minRelativeScore is the outlier score, relative to the median, above which an engine counts as having fewer
	// cores.
	minRelativeScore = 1.3
	// minMedianScore is the lower bound of the median score, which keeps relative scores finite.
	minMedianScore = 1e-9
)

// placement is the state from which engines are chosen. Scheduler.updateStatistics sets its statistics once per step.
type placement struct {
	orders     map[int][]*engine // cached hash orders by table group; cleared by endpoint updates
	popularity popularity        // of table groups
	sends      int               // number of attempts started so far

	hasLockWaiters bool    // some class waits for locked table groups
	readyEngines   int     // number of engines that are serving and not ejected
	medianScore    float64 // their median outlier score
	meanLoad       float64 // their mean load
	recentWeight   float64 // weight of recentThreads in the load: close to 1 if there are few threads per engine
	threadsPerCore float64 // threads per core that this front end may run on an engine
	slots          float64 // threads that this front end may run on all engines, unless a budget limits threads
}

func newPlacement() placement {
	return placement{orders: map[int][]*engine{}, popularity: newPopularity(), medianScore: 1}
}

// hashOrder returns the serving engines in the order of rendezvous hashing for a table group, weighted by cores. It is
// the same at every front end.
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

// mixHash is one output step of the SplitMix64 generator.
func mixHash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// recordSend adds the threads of an attempt to the engine's recent threads; engines is the number of known engines.
func (p *placement) recordSend(e *engine, threads, engines int) {
	p.sends++
	e.recentThreads, e.recentAtSend = p.recentThreads(e, engines)+float64(threads), p.sends
}

// recentThreads returns the threads of attempts sent to the engine, decayed by the attempts sent to any engine since;
// see recentRounds.
func (p *placement) recentThreads(e *engine, engines int) float64 {
	return e.recentThreads * math.Exp(float64(e.recentAtSend-p.sends)/(recentRounds*float64(engines)))
}

// relativeScore returns an engine's outlier score relative to the median, so that load, which slows all engines, makes
// none an outlier.
func (p *placement) relativeScore(e *engine) float64 {
	return min(maxOutlierScore, e.health.outlierScore/p.medianScore)
}

// chooseEngine returns the engine for the query's next attempt, nil if there is none now. It takes the least loaded of
// the table group's preferred engines, which are the first candidates in its hash order. If that one's load is above
// the spill threshold, it takes the first candidate whose load is not.
func (s *Scheduler) chooseEngine(q *query) *engine {
	if !s.mayStart(q) {
		return nil
	}
	candidates := s.avoidTriedAndLocked(q, s.candidates(q))
	if s.cfg.FrontEnds > s.placement.readyEngines {
		for _, e := range candidates {
			if e.warmUp.active() {
				return e // it has capacity for this front end now and gets little from others meanwhile
			}
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	preferred := s.placement.popularity.preferredEngines(q.TableGroup, s.placement.readyEngines)
	for i := 1; i < min(preferred, len(candidates)); i++ {
		if s.load(candidates[i]) < s.load(candidates[0]) {
			candidates[0], candidates[i] = candidates[i], candidates[0]
		}
	}
	for _, e := range candidates {
		if s.load(e) <= spillFactor*s.placement.meanLoad+float64(q.class.Threads)/s.effectiveCores(e) {
			return e
		}
	}
	return candidates[0]
}

// candidates returns the engines that may be sent the query, in the hash order of its table group. Ejected engines are
// included for a probation request, or if no engine is ready.
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

// avoidTriedAndLocked removes engines to which the query was already sent, and those on which its table group is
// locked, unless no other engines remain. Queries that lock a table group start in the second half of the order, away
// from the preferred engines of the group's other queries, at an engine that depends on the query's ID so that front
// ends distribute them.
func (s *Scheduler) avoidTriedAndLocked(q *query, candidates []*engine) []*engine {
	candidates = filterOrAll(candidates, func(e *engine) bool {
		return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.engine == e })
	})
	if !s.placement.hasLockWaiters || !q.class.LocksTableGroup && !q.class.WaitsForTableGroup {
		return candidates
	}
	if q.class.LocksTableGroup && len(candidates) > 2 {
		start := len(candidates)/2 + int(q.ID%uint64(len(candidates)/2))
		candidates = slices.Concat(candidates[start:], candidates[:start])
	}
	return filterOrAll(candidates, func(e *engine) bool { return e.usage.tableLocks[q.TableGroup] == 0 })
}

// filterOrAll returns the engines for which ok holds, or all engines if it holds for none.
func filterOrAll(list []*engine, ok func(*engine) bool) []*engine {
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

// load returns this front end's threads per core on the engine. Recent threads count towards it with a weight that is
// higher the fewer threads are in flight. Since all front ends share the hash order, they would otherwise overload the
// same engines; if each balances its own load, the total load is balanced.
func (s *Scheduler) load(e *engine) float64 {
	recent := s.placement.recentThreads(e, len(s.endpoints.engines))
	return (float64(e.usage.threads) + s.placement.recentWeight*recent) / s.effectiveCores(e)
}

// effectiveCores returns the number of cores that an engine counts as: fewer while it is warming up or slower than
// others.
func (s *Scheduler) effectiveCores(e *engine) float64 {
	cores := e.cores
	if r := s.placement.relativeScore(e); r > minRelativeScore {
		cores /= r
	}
	return cores * e.warmUp.capacity(s.now, &s.cfg.Rules)
}

// updateStatistics updates the statistics of the ready engines once per step: their median outlier score and mean load,
// the weight of recent threads, and the threads that this front end may run on them.
func (s *Scheduler) updateStatistics() {
	var scores []float64
	s.countUnavailable()
	threads, load, cores, coreSum := 0, 0.0, 0.0, 0.0
	for _, e := range s.endpoints.engines {
		if e.ready() {
			scores = append(scores, e.health.outlierScore)
			engineCores := s.effectiveCores(e)
			threads += e.usage.threads
			load += s.load(e) * engineCores
			coreSum += engineCores
			cores += e.cores * e.warmUp.capacity(s.now, &s.cfg.Rules)
		}
	}
	p := &s.placement
	p.readyEngines, p.meanLoad, p.medianScore = len(scores), load/max(coreSum, 1), max(median(scores), minMedianScore)
	p.recentWeight = 1 / (1 + float64(threads)/float64(max(1, p.readyEngines)))
	p.threadsPerCore = pressuredThreadsPerCore * s.traffic.share(s.now)
	if !s.underPressure() {
		p.threadsPerCore *= unpressuredFactor
	}
	p.slots = p.threadsPerCore * cores
}

// median sorts the list and returns its lower median, 0 if it is empty.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// countUnavailable counts the threads of each class on engines that are not ready. They take up no slot of the engines
// that are.
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

// hasConcurrencySlot reports whether this front end's share of the fleet's threads has capacity for a query. The share
// is taken over all engines, because with many front ends the share of one engine is less than one query. Classes with
// a higher mean latency are not counted, so that a long query does not delay short ones.
func (s *Scheduler) hasConcurrencySlot(q *query) bool {
	if s.budgets.limitsEngineThreads {
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

// exceedsShare reports whether this front end's share of the engine's threads or memory is in use, or the engine has
// just rejected an attempt. Unless an engine rejected one recently, classes with more work don't count towards the
// threads, so that long queries don't take the share from short ones.
func (s *Scheduler) exceedsShare(q *query, e *engine) bool {
	if s.now-e.lastRejectedAt < pressureDuration && s.now-e.lastSentAt < rejectionPause {
		return true // otherwise an engine that rejects attempts would look idle
	}
	p := &s.placement
	memoryFull := e.memoryMB > 0 &&
		ownGrantFactor*e.usage.memoryMB*pressuredThreadsPerCore >= e.memoryMB*p.threadsPerCore
	threads := e.usage.threads
	if s.now-s.lastRejectedAt >= pressureDuration {
		threads = s.threadsUpTo(q.class, e)
	}
	return e.usage.attempts > 0 &&
		(!s.budgets.limitsEngineThreads && float64(threads) >= p.threadsPerCore*s.effectiveCores(e) || memoryFull)
}

// threadsUpTo returns the threads on an engine of this front end's attempts of classes with no more mean work than c.
func (s *Scheduler) threadsUpTo(c *class, e *engine) (n int) {
	for i, threads := range e.usage.threadsByClass {
		if s.classes[i].meanWork <= c.meanWork {
			n += threads
		}
	}
	return n
}
