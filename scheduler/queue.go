package scheduler

import (
	"maps"

	"chutechute/internal/monotime"
)

const (
	// deadlineMultiplier is how many execution times after its arrival a query's group EDF deadline is.
	// Source: the paper's deadline multiplier.
	deadlineMultiplier = 10.0
	// groupRange is the part of the earliest query's span, from its arrival to its deadline, by which deadlines of its
	// group may be later. Source: the paper's Gr; the span is ours.
	groupRange = 0.4
)

// queue holds the queries that wait for an engine.
type queue struct {
	queries []*query // in order of arrival, retries in order of their return
	keys    map[string]*keyQueue
}

// keyQueue orders the queries of one key in ordered classes.
type keyQueue struct {
	queries    []*query        // all in hand, in order of arrival; only the first may run
	quietUntil monotime.Micros // no other query than quietFor may run before
	quietFor   *query          // whose last outcome leaves open whether it ran
}

func newQueue() queue { return queue{keys: map[string]*keyQueue{}} }

// add puts the query at the end of the queue.
func (qu *queue) add(q *query) {
	q.state = queryQueued
	qu.queries = append(qu.queries, q)
}

// remove takes the query out of the queue, if it is there, for another state.
func (qu *queue) remove(q *query, state queryState) {
	q.state = state
	qu.queries = removeQuery(qu.queries, q)
}

// addToKey puts the query at the end of its key's queue.
func (qu *queue) addToKey(q *query) {
	q.keyQueue = qu.keys[q.Key]
	if q.keyQueue == nil {
		q.keyQueue = &keyQueue{}
		qu.keys[q.Key] = q.keyQueue
	}
	q.keyQueue.queries = append(q.keyQueue.queries, q)
}

// removeFromKey takes the query out of its key's queue, if it has one.
func (qu *queue) removeFromKey(q *query, now monotime.Micros) {
	k := q.keyQueue
	if k == nil {
		return
	}
	k.queries = removeQuery(k.queries, q)
	if k.idle(now) {
		delete(qu.keys, q.Key)
	}
}

// dropIdleKeys forgets the keys that nothing waits for any more.
func (qu *queue) dropIdleKeys(now monotime.Micros) {
	maps.DeleteFunc(qu.keys, func(_ string, k *keyQueue) bool { return k.idle(now) })
}

func (k *keyQueue) idle(now monotime.Micros) bool { return len(k.queries) == 0 && k.quietUntil <= now }

// mayRun reports whether the order of the key lets the query run.
func (k *keyQueue) mayRun(q *query, now monotime.Micros) bool {
	return k.queries[0] == q && (k.quietUntil <= now || k.quietFor == q)
}

// removeQuery takes q out of the list, keeping the order.
func removeQuery(list []*query, q *query) []*query {
	for i, other := range list {
		if other == q {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// request takes a query in: its estimate, its deadline and its place in the queues.
func (s *Scheduler) request(r Request) {
	c := s.classes[r.Class]
	q := &query{Request: r, class: c, arrivedAt: s.now, firstRequestedAt: s.now, priority: -1}
	c.ownEstimates = c.ownEstimates || r.OwnEstimate
	c.seed(q)
	q.dueAt = s.now + monotime.Micros(deadlineMultiplier*q.executionTime())
	s.traffic.arrivals.add(s.now)
	s.placement.popularity.add(r.TableGroup)
	s.retries.countArrival(s.now, &s.cfg.Rules)
	s.budgets.recordArrival(s.now, q)
	if s.isRetryPastObjective(q) || r.Tenant >= 0 && s.overQuota(q) {
		q.deprioritized = true
		q.dueAt += c.ClientTimeout
	}
	if c.Ordered && r.Key != "" {
		s.queue.addToKey(q)
	}
	c.learnEstimate(r.EstimatedWork)
	s.queries[r.ID] = q
	s.queue.add(q)
}

// nextQuery is the group EDF pick: the shortest of the queries that are due soon after the earliest.
func (s *Scheduler) nextQuery() *query {
	first := s.firstQuery(func(q, best *query) bool { return q.dueAt < best.dueAt })
	if first == nil {
		return nil
	}
	groupEnd := first.dueAt + monotime.Micros(groupRange*float64(first.dueAt-first.arrivedAt))
	return s.firstQuery(func(q, best *query) bool {
		if inGroup := q.dueAt <= groupEnd; inGroup != (best.dueAt <= groupEnd) {
			return inGroup
		}
		return q.executionTime() < best.executionTime()
	})
}

// firstQuery returns the first queued query that comes before all others and that no bound over all engines holds
// back; nil if there is none.
func (s *Scheduler) firstQuery(before func(q, best *query) bool) *query {
	var best *query
	for _, q := range s.queue.queries {
		if q.state == queryQueued && !(q.class.blocked && q.interchangeable()) && s.hasConcurrencySlot(q) &&
			s.budgets.affords(s.now, q, nil) && (best == nil || before(q, best)) {
			best = q
		}
	}
	return best
}
