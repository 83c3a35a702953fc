package scheduler

import (
	"hash/fnv"
	"math"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// subscribeToken is the token of the timer that triggers a Subscribe. It needs no handler: every step subscribes if
	// that is due.
	subscribeToken = "list"
	// subscribeBackoffUnit is the unit of the exponential backoff after failed updates.
	subscribeBackoffUnit = monotime.Second / 4
	// maxBackoffDoublings is the largest number of times that the unit is doubled.
	maxBackoffDoublings = 4
	// maxInitialRecentThreads is the upper bound of the random value that a new engine's recentThreads starts from. It
	// gives the front ends of a large fleet different views of the load, so that they don't all send their first
	// queries to the same engine.
	maxInitialRecentThreads = 8.0
)

// engine is what this front end knows of one engine.
type engine struct {
	Endpoint        // as last reported
	hash     uint64 // of the engine's name
	cores    float64
	memoryMB float64

	usage          usage
	recentThreads  float64         // decayed threads of recent attempts, as of recentAtSend; see placement.recentThreads
	recentAtSend   int             // value of placement.sends when recentThreads was set
	lastSentAt     monotime.Micros // when the last attempt was sent
	lastRejectedAt monotime.Micros // when the engine last rejected an attempt

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
		lastRejectedAt: -pressureDuration,
		health:         engineHealth{outlierScore: 1, lastSeenAt: -1},
	}
}

// serving reports whether the engine accepts queries according to discovery.
func (e *engine) serving() bool { return e.State == Serving }

// ready reports whether the engine is serving and not ejected.
func (e *engine) ready() bool { return e.serving() && !e.health.ejected }

// usage is the resources of an engine that this front end's attempts in flight use.
type usage struct {
	attempts       int
	threads        int
	threadsByClass []int       // by index of the class
	memoryMB       float64     // estimated
	tableLocks     map[int]int // number of attempts that lock a table group, by group
}

// countAttempt adds n to the number of the query's attempts in flight: 1 at the start of one, -1 at its end.
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

// endpoints holds the known engines and the state of the subscription to their updates.
type endpoints struct {
	engines []*engine // in the order in which they were first reported
	byName  map[string]*engine

	subscribeAt      monotime.Micros // when to subscribe again; math.MaxInt64: not needed
	subscribeTimerAt monotime.Micros // when the last timer set for it is due
	failedUpdates    int             // consecutive
}

func newEndpoints() endpoints { return endpoints{byName: map[string]*engine{}} }

// servingInZone returns the serving engines of a zone.
func (es *endpoints) servingInZone(name string) (list []*engine) {
	for _, e := range es.engines {
		if e.Zone == name && e.serving() {
			list = append(list, e)
		}
	}
	return list
}

// dropRemoved forgets removed engines without an attempt in flight. An engine that is reported under the same name
// later starts with fresh state.
func (es *endpoints) dropRemoved() {
	es.engines = slices.DeleteFunc(es.engines, func(e *engine) bool {
		drop := e.State == Removed && e.usage.attempts == 0
		if drop {
			delete(es.byName, e.Engine)
		}
		return drop
	})
}

// updateEndpoints applies an update of the engines.
func (s *Scheduler) updateEndpoints(update EndpointUpdate) {
	es := &s.endpoints
	if update.Kind == UpdateFailed {
		es.failedUpdates++
		backoff := subscribeBackoffUnit << min(es.failedUpdates, maxBackoffDoublings)
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
		e.recentThreads = s.rng.Float64() * maxInitialRecentThreads * max(0, 1-2/float64(s.cfg.FrontEnds))
		e.recentAtSend = s.placement.sends
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

// keepSubscribed subscribes to endpoint updates if Config.PollEndpoints is set, and again after failures. It sets a
// timer of its own because an idle front end has no other.
func (s *Scheduler) keepSubscribed() {
	es := &s.endpoints
	if s.cfg.PollEndpoints && s.now >= es.subscribeAt {
		es.subscribeAt = s.now + s.cfg.Rules.DiscoveryTimeout/2
		s.emit(Subscribe{})
	}
	if s.cfg.PollEndpoints && es.subscribeAt < math.MaxInt64 && es.subscribeTimerAt != es.subscribeAt {
		es.subscribeTimerAt = es.subscribeAt
		s.emit(SetTimer{At: es.subscribeAt, Token: subscribeToken})
	}
}
