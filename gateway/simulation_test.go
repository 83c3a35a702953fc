package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// simulationSettings are settings with one class of each effect. The %v sets whether hedged requests are allowed.
const simulationSettings = `{"balancers":2,"rank":0,"zone":"a","discovery":"push","failure_domains":["a"],
"host_types":["k"],
"classes":[{"name":"look","on_time":0.4,"give_up":3,"worth":1,"repeat":"safe"},
 {"name":"load","on_time":2,"give_up":6,"worth":5,"repeat":"keyed","group":"all","window":1.5,"by_arrival":true},
 {"name":"stamp","on_time":1,"give_up":4,"worth":3,"repeat":"unsafe"}],
"domain":{"class_threads":[1,2,1],"cpu_of_kind":[8],"ram_of_kind_mb":[4096],"writes_tables":[false,true,false],
 "lanes_count":true},
"limits":{"max_attempts":4,"max_retry_after":2,"retry_after":true,"probes":true,"may_duplicate":%v},
"rules":{"cold":5,"cold_from":0.3,"fall":1,"fall_multiple":2,"drain_grace":0.5,"settle_after_doubt":0.1}}`

// The classes of simulationSettings, by index.
const (
	idempotentClass = iota
	orderedKeyedClass
	nonIdempotentClass
	classCount
)

var (
	classNames = [classCount]string{"look", "load", "stamp"}
	// clientTimeouts are the client timeouts (give_up) of the classes, in seconds.
	clientTimeouts = [classCount]monotime.Micros{3, 6, 4}
)

// dedupeWindow is the dedupe window of orderedKeyedClass. After it, repeating an attempt that may have run does harm.
const dedupeWindow = 3 * monotime.Second / 2

// simulation runs a core with random events in virtual time. It simulates the clients and the engines, and checks the
// core's guarantees to both.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	core         *Core
	now          monotime.Micros
	inFlight     map[*Attempt]bool          // attempts that have not ended
	canceled     map[*Attempt]bool          // attempts in flight that the core has canceled
	drainedSince map[string]monotime.Micros // when engines stopped taking attempts, by name
	requests     map[string]*clientRequest
	byOrderKey   map[string][]*clientRequest // by order key, in the order of submission
	hedging      bool                        // two attempts of an idempotent request may be in flight
	lastRequest  int
}

func newSimulation(t *testing.T, seed uint64, hedging bool) *simulation {
	t.Helper()
	conf, err := settings.Parse([]byte(fmt.Sprintf(simulationSettings, hedging)))
	require.NoError(t, err)
	s := &simulation{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 3)),
		now:          monotime.Second,
		inFlight:     map[*Attempt]bool{},
		canceled:     map[*Attempt]bool{},
		drainedSince: map[string]monotime.Micros{},
		requests:     map[string]*clientRequest{},
		byOrderKey:   map[string][]*clientRequest{},
		hedging:      hedging,
	}
	s.core, err = New(conf, seed, Limits{MaxOpen: 100, MaxRequestBytes: 1 << 20}, s, &counters.Set{})
	require.NoError(t, err)
	return s
}

// clientRequest is a request from its client's point of view. It is also the request's Responder.
type clientRequest struct {
	s            *simulation
	id           string
	class        int
	deadline     monotime.Micros // when the client times out
	responses    int
	disconnected bool // the client no longer waits
	attempts     []*Attempt
	firstStart   monotime.Micros // start of the first attempt that may have run; 0: none
	mayHaveRun   bool            // an attempt may have run
	request      *Request
}

func (r *clientRequest) countResponse(response string) {
	r.responses++
	assert.Equal(r.s.t, 1, r.responses, "%s: more than one response", r.id)
	assert.False(r.s.t, r.disconnected, "%s: %s after its client disconnected", r.id, response)
	assert.LessOrEqual(r.s.t, r.s.now, r.deadline, "%s: response after the deadline", r.id)
}

func (r *clientRequest) Respond([]byte) { r.countResponse("served") }

func (r *clientRequest) Fail() { r.countResponse("failed") }

func (r *clientRequest) Reject(monotime.Micros) {
	r.countResponse("rejected")
	assert.False(r.s.t, r.class == nonIdempotentClass && (r.mayHaveRun || r.attemptsInFlight() > 0),
		"%s: rejected though it may have run", r.id)
}

func (r *clientRequest) attemptsInFlight() (count int) {
	for _, attempt := range r.attempts {
		if r.s.inFlight[attempt] {
			count++
		}
	}
	return count
}

// awaited reports whether the client still waits for the response.
func (r *clientRequest) awaited() bool { return r.responses == 0 && !r.disconnected }

// done reports whether the client no longer waits and no attempt is in flight.
func (r *clientRequest) done() bool { return !r.awaited() && r.attemptsInFlight() == 0 }

// Start checks that the attempt is allowed to start now.
func (s *simulation) Start(attempt *Attempt) {
	r := s.requests[attempt.ID]
	t := s.t
	assert.True(t, r.awaited(), "%s: started though no client waits", attempt.ID)
	if since, ok := s.drainedSince[attempt.Engine]; ok {
		assert.Less(t, s.now, since, "%s: sent to %s, which is not serving", attempt.ID, attempt.Engine)
	}
	maxOthers := 0
	if s.hedging && r.class == idempotentClass {
		maxOthers = 1
	}
	assert.LessOrEqual(t, r.attemptsInFlight(), maxOthers, "%s: started while another attempt is in flight", attempt.ID)
	for _, other := range r.attempts {
		assert.False(t, s.inFlight[other] && other.Engine == attempt.Engine, "%s: two attempts on one engine", attempt.ID)
	}
	switch r.class {
	case orderedKeyedClass:
		s.checkOrdered(r, attempt)
	case nonIdempotentClass:
		assert.False(t, r.mayHaveRun, "%s: retried though it may have run", attempt.ID)
	}
	r.attempts = append(r.attempts, attempt)
	s.inFlight[attempt] = true
}

// checkOrdered checks that all earlier requests of the order key are done, and that a repeat is within the dedupe
// window.
func (s *simulation) checkOrdered(r *clientRequest, attempt *Attempt) {
	for _, earlier := range s.byOrderKey[attempt.OrderKey] {
		if earlier == r {
			break
		}
		assert.True(s.t, earlier.done(), "%s: started before %s of the same key was done", attempt.ID, earlier.id)
	}
	if r.mayHaveRun {
		assert.Less(s.t, s.now, r.firstStart+dedupeWindow, "%s: retried after the dedupe window", attempt.ID)
		assert.Equal(s.t, r.firstStart+dedupeWindow, attempt.StartBy)
	}
}

func (s *simulation) Cancel(attempt *Attempt) { s.canceled[attempt] = true }

func (s *simulation) SetPriority(attempt *Attempt) {
	assert.True(s.t, s.inFlight[attempt], "priority set for an attempt that has ended")
	assert.True(s.t, attempt.Priority >= 0 && attempt.Priority <= 3)
}

func (s *simulation) HealthCheck(engine string) {
	s.core.HealthCheckEnded(engine, scheduler.Succeeded, 1000, nil)
}

// end ends an attempt with a result and reports it to the core.
func (s *simulation) end(attempt *Attempt, result scheduler.Result) {
	r := s.requests[attempt.ID]
	delete(s.inFlight, attempt)
	delete(s.canceled, attempt)
	switch result {
	case scheduler.Rejected, scheduler.NoConnection, scheduler.NotSent, scheduler.Succeeded:
	default:
		if !r.mayHaveRun {
			r.firstStart = attempt.startedAt
		}
		r.mayHaveRun = true
	}
	s.core.AttemptEnded(s.now, attempt, result, []byte("x"), nil)
}

// submit submits a request with random parameters.
func (s *simulation) submit() {
	s.lastRequest++
	r := &clientRequest{s: s, id: requestID(s.lastRequest), class: s.rng.IntN(classCount)}
	ttl := monotime.Second/10 + s.rng.Int64N(clientTimeouts[r.class]*monotime.Second)
	r.deadline = s.now + ttl
	call := &Call{ID: r.id, Class: classNames[r.class], ClientTimeout: ttl,
		EstimatedWork: 1000 + s.rng.Int64N(monotime.Second),
		Statement:     []byte(fmt.Sprintf("SELECT 1 FROM s_%d.t", s.rng.IntN(5)))}
	if r.class == orderedKeyedClass {
		call.OrderKey, call.IdempotencyKey = fmt.Sprint(s.rng.IntN(3)), r.id
		s.byOrderKey[call.OrderKey] = append(s.byOrderKey[call.OrderKey], r)
	}
	s.requests[r.id] = r
	request, err := s.core.Submit(s.now, call, r)
	require.NoError(s.t, err)
	r.request = request
}

func requestID(number int) string { return fmt.Sprintf("%016x", number) }

// updateEndpoints sets the state of engines by an endpoint update.
func (s *simulation) updateEndpoints(state scheduler.EngineState, names ...string) {
	var entries []scheduler.Endpoint
	for _, name := range names {
		entries = append(entries, scheduler.Endpoint{Engine: name, Kind: "k", Zone: "a", State: state})
		delete(s.drainedSince, name)
		if state != scheduler.Serving {
			s.drainedSince[name] = s.now // the next step applies the update
		}
	}
	s.core.UpdateEndpoints(scheduler.UpdateChanges, entries)
}

// anyInFlight returns one of the attempts in flight, nil if there is none. It chooses by a hash, so that the choice
// does not depend on the iteration order of the map.
func (s *simulation) anyInFlight() (chosen *Attempt) {
	lowest := -1
	for _, r := range s.requests {
		for i, attempt := range r.attempts {
			hash := ((int(r.request.sequence)*16+i)*7919 + s.lastRequest*31) % 1009
			if s.inFlight[attempt] && (lowest < 0 || hash < lowest) {
				chosen, lowest = attempt, hash
			}
		}
	}
	return chosen
}

// simulatedResults are the results that attempts may have. Each entry is equally likely.
var simulatedResults = []scheduler.Result{scheduler.Succeeded, scheduler.Succeeded, scheduler.Succeeded,
	scheduler.Errored, scheduler.Rejected, scheduler.NoConnection, scheduler.Reset, scheduler.NotSent,
	scheduler.TimedOut, scheduler.Canceled}

// Virtual times of a simulation.
const (
	simulationEnd = 20 * monotime.Second
	lastSubmit    = simulationEnd - 7*monotime.Second
	shutdownFrom  = simulationEnd - 3*monotime.Second
)

// randomEvent makes a random event happen to a request, an attempt or an engine.
func (s *simulation) randomEvent(engines []string) {
	switch n := s.rng.IntN(20); {
	case n < 6 && s.now < lastSubmit:
		s.submit()
	case n < 14:
		if attempt := s.anyInFlight(); attempt != nil {
			s.end(attempt, simulatedResults[s.rng.IntN(len(simulatedResults))])
		}
	case n < 16:
		for attempt := range s.canceled {
			s.end(attempt, scheduler.Canceled) // as after the engine's response to a DELETE
			break
		}
	case n < 17:
		if r := s.requests[requestID(1+s.rng.IntN(s.lastRequest+1))]; r != nil && r.awaited() {
			r.disconnected = true
			s.core.Cancel(r.request)
		}
	case n < 18:
		s.updateEndpoints(scheduler.EngineState(s.rng.IntN(3)), engines[s.rng.IntN(4)])
	case n < 19 && s.now > shutdownFrom:
		s.core.ExpireAll()
	}
}

// checkAbandoned checks that the attempts of requests that no client waits for are canceled.
func (s *simulation) checkAbandoned() {
	for attempt := range s.inFlight {
		r := s.requests[attempt.ID]
		assert.True(s.t, s.canceled[attempt] || r.awaited(), "%s: not canceled though no client waits", attempt.ID)
	}
}

// checkEnd ends all attempts, as engines do if they are not polled, and checks that each request got its response and
// that the core is idle.
func (s *simulation) checkEnd() {
	for attempt := range s.inFlight {
		s.end(attempt, scheduler.Reset)
	}
	s.core.Step(s.now)
	for _, r := range s.requests {
		assert.True(s.t, r.disconnected || r.responses == 1, "%s of class %d: no response", r.id, r.class)
	}
	assert.True(s.t, s.core.Idle(), "the core still has requests or attempts")
	assert.Zero(s.t, s.core.requestBytes)
}

// With random events (all results of attempts, timeouts, clients that disconnect, engines that drain and return, a
// graceful shutdown), each request gets one response in time unless its client disconnects, and no attempt starts after
// its client has disconnected. A request has one attempt in flight at a time, or two if it may be hedged, and is
// retried only if its class allows it. Requests with the same order key run in order, and no request or attempt is left
// at the end.
func TestRequestGuaranteesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(300) {
		s := newSimulation(t, seed, seed%3 == 0)
		engines := []string{"a", "b", "c", "e"}
		s.updateEndpoints(scheduler.Serving, engines...)
		s.core.Step(s.now)
		for s.now < simulationEnd {
			s.now += 1000 + s.rng.Int64N(20_000)
			for range s.rng.IntN(4) {
				s.randomEvent(engines)
			}
			s.core.Step(s.now)
			s.checkAbandoned()
		}
		s.checkEnd()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
