package scheduler

import (
	"maps"

	"chutechute/internal/monotime"
)

const (
	// deadlineMultiplier is the multiple of its execution time after which a query's group EDF deadline follows its
	// arrival. The value is the paper's deadline multiplier.
	deadlineMultiplier = 10.0
	// groupRange is the range of deadlines in one group, as a fraction of the time from the arrival to the deadline of
	// the query with the earliest deadline. The value is the paper's Gr; applying it to that time is a choice of this
	// package.
	groupRange = 0.4
)

// queue holds the queries that wait to be sent, and the order of queries by key.
type queue struct {
	queries []*query // in order of arrival; a query that is retried or hedged is appended again
	keys    map[string]*keyQueue
}

// keyQueue holds the queries of one key in ordered classes.
type keyQueue struct {
	queries    []*query        // all open ones in order of arrival; only the first may run
	quietUntil monotime.Micros // until then only quietFor may run
	quietFor   *query          // query whose last attempt has an unknown outcome
}

func newQueue() queue { return queue{keys: map[string]*keyQueue{}} }

// add appends the query to the queue.
func (qu *queue) add(q *query) {
	q.state = queryQueued
	qu.queries = append(qu.queries, q)
}

// remove sets the query's state and removes it from the queue if it is queued.
func (qu *queue) remove(q *query, state queryState) {
	q.state = state
	qu.queries = removeQuery(qu.queries, q)
}

// addToKey appends the query to its key's queue.
func (qu *queue) addToKey(q *query) {
	q.keyQueue = qu.keys[q.Key]
	if q.keyQueue == nil {
		q.keyQueue = &keyQueue{}
		qu.keys[q.Key] = q.keyQueue
	}
	q.keyQueue.queries = append(q.keyQueue.queries, q)
}

// removeFromKey removes the query from its key's queue, if it has one.
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

// dropIdleKeys forgets keys without open queries whose quiet period has ended.
func (qu *queue) dropIdleKeys(now monotime.Micros) {
	maps.DeleteFunc(qu.keys, func(_ string, k *keyQueue) bool { return k.idle(now) })
}

func (k *keyQueue) idle(now monotime.Micros) bool { return len(k.queries) == 0 && k.quietUntil <= now }

// mayRun reports whether the order of the key allows the query to run.
func (k *keyQueue) mayRun(q *query, now monotime.Micros) bool {
	return k.queries[0] == q && (k.quietUntil <= now || k.quietFor == q)
}

// removeQuery removes q from the list and keeps the order.
func removeQuery(list []*query, q *query) []*query {
	for i, other := range list {
		if other == q {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// handleRequest estimates an arriving query, sets its group EDF deadline and queues it.
func (s *Scheduler) handleRequest(r Request) {
	c := s.classes[r.Class]
	q := &query{Request: r, class: c, arrivedAt: s.now, firstRequestedAt: s.now, priority: -1}
	c.ownEstimates = c.ownEstimates || r.OwnEstimate
	c.initEstimates(q)
	q.edfDeadline = s.now + monotime.Micros(deadlineMultiplier*q.executionTime())
	s.traffic.arrivals.add(s.now)
	s.placement.popularity.add(r.TableGroup)
	s.retries.countArrival(s.now, &s.cfg.Rules)
	s.budgets.recordArrival(s.now, q)
	if s.isRetryPastObjective(q) || r.Tenant >= 0 && s.overQuota(q) {
		q.deprioritized = true
		q.edfDeadline += c.ClientTimeout
	}
	if c.Ordered && r.Key != "" {
		s.queue.addToKey(q)
	}
	c.learnEstimate(r.EstimatedWork)
	s.queries[r.ID] = q
	s.queue.add(q)
}

// nextQuery returns the next query by group EDF: the shortest one of the group whose deadlines are soon after the
// earliest; nil if no query may be sent.
func (s *Scheduler) nextQuery() *query {
	first := s.bestQuery(func(q, best *query) bool { return q.edfDeadline < best.edfDeadline })
	if first == nil {
		return nil
	}
	groupEnd := first.edfDeadline + monotime.Micros(groupRange*float64(first.edfDeadline-first.arrivedAt))
	return s.bestQuery(func(q, best *query) bool {
		if inGroup := q.edfDeadline <= groupEnd; inGroup != (best.edfDeadline <= groupEnd) {
			return inGroup
		}
		return q.executionTime() < best.executionTime()
	})
}

// bestQuery returns the query that comes first by the given order among the queued queries that no limit over all
// engines excludes; nil if there is none.
func (s *Scheduler) bestQuery(before func(q, best *query) bool) *query {
	var best *query
	for _, q := range s.queue.queries {
		if q.state == queryQueued && !(q.class.blocked && q.interchangeable()) && s.hasConcurrencySlot(q) &&
			s.budgets.affords(s.now, q, nil) && (best == nil || before(q, best)) {
			best = q
		}
	}
	return best
}
