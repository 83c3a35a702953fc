package scheduler

import (
	"hash/fnv"
	"math"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// subscribeToken is the token of the timer that calls for a Subscribe; any event does.
	subscribeToken = "list"
	// minSubscribeBackoff is the unit of the exponential backoff after failed updates.
	minSubscribeBackoff = monotime.Second / 4
	// maxBackoffDoublings bounds that backoff.
	maxBackoffDoublings = 4
	// initialRecentThreads is the upper bound of the threads an engine that a gateway takes for sent to a new engine:
	// many gateways begin with different loads, lest all send their first queries to the same engine.
	initialRecentThreads = 8.0
)

// engine is one query engine as this gateway sees it.
type engine struct {
	Endpoint // as last reported
	hash     uint64
	cores    float64
	memoryMB float64

	usage          usage
	recentThreads  float64         // threads sent lately, as of recentAt; see placement.recentThreads
	recentAt       int             // placement.sends then
	lastSentAt     monotime.Micros // last attempt
	lastRejectedAt monotime.Micros // last attempt that the engine rejected

	warmUp warmUp
	health engineHealth
}

func newEngine(name string) *engine {
	h := fnv.New64a()
	h.Write([]byte(name))
	return &engine{
		hash:           h.Sum64(),
		cores:          1,
		usage:          usage{tableLocks: map[int]int{}},
		lastSentAt:     -rejectionPause,
		lastRejectedAt: -rejectionMemory,
		health:         engineHealth{outlierScore: 1, lastSeenAt: -1},
	}
}

// serving reports whether the engine takes queries as far as discovery reports.
func (e *engine) serving() bool { return e.State == Serving }

// ready reports whether the engine is serving and not ejected.
func (e *engine) ready() bool { return e.serving() && !e.health.ejected }

// usage is what this gateway's attempts in flight hold on an engine.
type usage struct {
	attempts       int
	threads        int
	threadsByClass []int       // by index of the class
	memoryMB       float64     // estimated
	tableLocks     map[int]int // attempts that lock a table group, by group
}

// countAttempt adds n attempts of the query to those in flight: 1 at the start of one, -1 at its end.
func (e *engine) countAttempt(q *query, n int) {
	u := &e.usage
	u.attempts += n
	q.class.inFlight += n
	if q.class.LocksTableGroup {
		if u.tableLocks[q.TableGroup] += n; u.tableLocks[q.TableGroup] == 0 {
			delete(u.tableLocks, q.TableGroup)
		}
	}
	u.threads += n * q.class.Threads
	for len(u.threadsByClass) <= q.Request.Class {
		u.threadsByClass = append(u.threadsByClass, 0)
	}
	u.threadsByClass[q.Request.Class] += n * q.class.Threads
	u.memoryMB += float64(n) * q.MemoryMB
}

// endpoints is the engines that are known, and the subscription to their updates.
type endpoints struct {
	engines []*engine // in order of first sight
	byName  map[string]*engine

	subscribeAt      monotime.Micros // when to subscribe again; math.MaxInt64: not needed
	subscribeTimerAt monotime.Micros // last timer set for it
	failedUpdates    int             // in a row
}

func newEndpoints() endpoints { return endpoints{byName: map[string]*engine{}} }

// inZone returns the serving engines of a zone.
func (es *endpoints) inZone(name string) (list []*engine) {
	for _, e := range es.engines {
		if e.Zone == name && e.serving() {
			list = append(list, e)
		}
	}
	return list
}

// dropRemoved forgets engines that are removed and have no attempt in flight: one that comes back, or another at its
// address, starts anew.
func (es *endpoints) dropRemoved() {
	es.engines = slices.DeleteFunc(es.engines, func(e *engine) bool {
		drop := e.State == Removed && e.usage.attempts == 0
		if drop {
			delete(es.byName, e.Engine)
		}
		return drop
	})
}

// updateEndpoints takes over what an update reports of the engines.
func (s *Scheduler) updateEndpoints(update EndpointUpdate) {
	es := &s.endpoints
	if update.Kind == UpdateFailed {
		es.failedUpdates++
		backoff := minSubscribeBackoff << min(es.failedUpdates, maxBackoffDoublings)
		es.subscribeAt = s.now + backoff + s.rng.Int64N(backoff)
		return
	}
	es.failedUpdates = 0
	if update.Kind != UpdateCached {
		es.subscribeAt = math.MaxInt64
	}
	listed := map[string]bool{}
	for _, endpoint := range update.Endpoints {
		listed[endpoint.Engine] = true
		s.updateEndpoint(endpoint)
	}
	for _, e := range es.engines {
		if update.Kind != UpdateChanges && !listed[e.Engine] {
			e.State = Removed
		}
	}
	s.placement.orders = map[int][]*engine{}
	es.dropRemoved()
}

func (s *Scheduler) updateEndpoint(endpoint Endpoint) {
	e := s.endpoints.byName[endpoint.Engine]
	if e == nil {
		e = newEngine(endpoint.Engine)
		e.recentThreads = s.rng.Float64() * initialRecentThreads * max(0, 1-2/float64(s.cfg.Gateways))
		e.recentAt = s.placement.sends
		s.endpoints.byName[endpoint.Engine] = e
		s.endpoints.engines = append(s.endpoints.engines, e)
	}
	restarted := endpoint.Started > 0 && endpoint.Started != e.Started
	e.Endpoint = endpoint
	for _, kind := range s.cfg.Kinds {
		if kind.Name == endpoint.Kind {
			e.cores, e.memoryMB = float64(kind.Cores), kind.MemoryMB
		}
	}
	if restarted && s.now < endpoint.Started+s.cfg.Rules.WarmUp {
		e.warmUp.begin(s.now, endpoint.Started, warmUpReported, s.rng.Float64())
		e.health.ejected, e.health.backoff, e.health.outlierScore = false, 0, 1
	}
}

// keepSubscribed subscribes where endpoint updates must be asked for, and again after failures. It has a timer of its
// own, as an idle gateway has no other.
func (s *Scheduler) keepSubscribed() {
	es := &s.endpoints
	if s.cfg.PollEndpoints && s.now >= es.subscribeAt {
		es.subscribeAt = s.now + s.cfg.Rules.ResponseTimeout/2
		s.do(Subscribe{})
	}
	if s.cfg.PollEndpoints && es.subscribeAt < math.MaxInt64 && es.subscribeTimerAt != es.subscribeAt {
		es.subscribeTimerAt = es.subscribeAt
		s.do(SetTimer{At: es.subscribeAt, Token: subscribeToken})
	}
}
