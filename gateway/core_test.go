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

const smallSite = `{"balancers":2,"rank":0,"zone":"a","discovery":"push","failure_domains":["a"],"host_types":["k"],
"classes":[{"name":"look","on_time":0.4,"give_up":3,"worth":1,"repeat":"safe"},
 {"name":"load","on_time":2,"give_up":6,"worth":5,"repeat":"keyed","group":"all","window":1.5,"by_arrival":true},
 {"name":"stamp","on_time":1,"give_up":4,"worth":3,"repeat":"unsafe"}],
"domain":{"class_threads":[1,2,1],"cpu_of_kind":[8],"ram_of_kind_mb":[4096],"writes_tables":[false,true,false],"lanes_count":true},
"limits":{"max_attempts":4,"max_retry_after":2,"retry_after":true,"probes":true,"may_duplicate":%v},
"rules":{"cold":5,"cold_from":0.3,"fall":1,"fall_multiple":2,"drain_grace":0.5,"settle_after_doubt":0.1}}`

// shift is a front end's core under random endings, in virtual time. It stands for the adapters on both sides and checks the rules.
type shift struct {
	t       *testing.T
	rng     *rand.Rand
	core    *Core
	now     monotime.Micros
	out     map[*Attempt]bool // attempts that have not ended
	given   map[*Attempt]bool // of these, that are to be given up
	drained map[string]monotime.Micros
	asked   map[string]*askedFor
	order   map[string][]*askedFor // by key
	twice   bool                   // two attempts may be out
	next    int
}

// askedFor is one request as its client and the rules see it.
type askedFor struct {
	s       *shift
	id      string
	class   int
	due     monotime.Micros
	answers int
	gone    bool
	started []*Attempt
	first   monotime.Micros // when the first attempt that may have run was started; 0: none
	ran     bool            // some attempt may have run
	r       *Request
}

func (a *askedFor) answer(how string) {
	a.answers++
	assert.Equal(a.s.t, 1, a.answers, "%s: answered twice", a.id)
	assert.False(a.s.t, a.gone, "%s: %s though its client has left", a.id, how)
	assert.LessOrEqual(a.s.t, a.s.now, a.due, "%s: late", a.id)
}
func (a *askedFor) Respond([]byte) { a.answer("served") }
func (a *askedFor) Fail()          { a.answer("failed") }
func (a *askedFor) Reject(monotime.Micros) {
	a.answer("refused")
	assert.False(a.s.t, a.class == 2 && (a.ran || a.outNow() > 0), "%s: called refused though it may have run", a.id)
}

func (a *askedFor) outNow() (n int) {
	for _, at := range a.started {
		if a.s.out[at] {
			n++
		}
	}
	return n
}

// over says whether nothing of the request is open or out.
func (a *askedFor) over() bool { return (a.answers > 0 || a.gone) && a.outNow() == 0 }

func (s *shift) Start(at *Attempt) {
	a := s.asked[at.ID]
	t := s.t
	assert.True(t, a.answers == 0 && !a.gone, "%s: begun though nobody waits", at.ID)
	if since, ok := s.drained[at.Engine]; ok {
		assert.Less(t, s.now, since, "%s: sent to %s, which drains", at.ID, at.Engine)
	}
	most := 0
	if s.twice && a.class == 0 {
		most = 1
	}
	assert.LessOrEqual(t, a.outNow(), most, "%s: beside another", at.ID)
	for _, other := range a.started {
		assert.False(t, s.out[other] && other.Engine == at.Engine, "%s: twice on one engine", at.ID)
	}
	switch a.class {
	case 1:
		for _, before := range s.order[at.Key] {
			if before == a {
				break
			}
			assert.True(t, before.over(), "%s: before %s of its key was over", at.ID, before.id)
		}
		if a.ran {
			assert.Less(t, s.now, a.first+3*monotime.Second/2, "%s: after the window", at.ID)
			assert.Equal(t, a.first+3*monotime.Second/2, at.StartBy)
		}
	case 2:
		assert.False(t, a.ran, "%s: again though it may have run", at.ID)
	}
	a.started = append(a.started, at)
	s.out[at] = true
}

func (s *shift) Cancel(at *Attempt) { s.given[at] = true }
func (s *shift) SetPriority(at *Attempt) {
	assert.True(s.t, s.out[at], "told of what has ended")
	assert.True(s.t, at.Priority >= 0 && at.Priority <= 3)
}
func (s *shift) HealthCheck(engine string) {
	s.core.HealthCheckEnded(engine, scheduler.Succeeded, 1000, nil)
}

// end ends an attempt.
func (s *shift) end(at *Attempt, result scheduler.Result) {
	a := s.asked[at.ID]
	delete(s.out, at)
	delete(s.given, at)
	if result != scheduler.Rejected && result != scheduler.NoConnection && result != scheduler.NotSent && result != scheduler.Succeeded {
		if !a.ran {
			a.first = at.at
		}
		a.ran = true
	}
	s.core.AttemptEnded(s.now, at, result, []byte("x"), nil)
}

func (s *shift) take() {
	s.next++
	a := &askedFor{s: s, id: fmt.Sprintf("%016x", s.next), class: s.rng.IntN(3)}
	ttl := monotime.Second/10 + s.rng.Int64N([]monotime.Micros{3, 6, 4}[a.class]*monotime.Second)
	a.due = s.now + ttl
	call := &Call{ID: a.id, Class: []string{"look", "load", "stamp"}[a.class], TTL: ttl, Cost: 1000 + s.rng.Int64N(monotime.Second),
		Statement: []byte(fmt.Sprintf("SELECT 1 FROM s_%d.t", s.rng.IntN(5)))}
	if a.class == 1 {
		call.Key, call.IdempotencyKey = fmt.Sprint(s.rng.IntN(3)), a.id
		s.order[call.Key] = append(s.order[call.Key], a)
	}
	s.asked[a.id] = a
	r, err := s.core.Submit(s.now, call, a)
	require.NoError(s.t, err)
	a.r = r
}

func (s *shift) list(state scheduler.EngineState, names ...string) {
	var entries []scheduler.Endpoint
	for _, n := range names {
		entries = append(entries, scheduler.Endpoint{Engine: n, Kind: "k", Zone: "a", State: state})
		delete(s.drained, n)
		if state != scheduler.Serving {
			s.drained[n] = s.now // in the step that hears of it already
		}
	}
	s.core.UpdateEndpoints(scheduler.UpdateChanges, entries)
}

// some is one of the attempts that are out, in an order that a seed gives again.
func (s *shift) some() (some *Attempt) {
	k := -1
	for _, a := range s.asked {
		for i, at := range a.started {
			if rank := int(a.r.seq)*16 + i; s.out[at] && (k < 0 || (rank*7919+s.next*31)%1009 < k) {
				some, k = at, (rank*7919+s.next*31)%1009
			}
		}
	}
	return some
}

// Over random endings on all sides (ends of attempts of every kind, time-outs, clients that leave, engines that drain and return, a
// planned end) each request gets one answer in time or its client has left, nothing begins for who has left, nothing runs beside
// itself or again against its class, keys keep their order, and nothing is left over.
func TestRulesOverRandomEndings(t *testing.T) {
	results := []scheduler.Result{scheduler.Succeeded, scheduler.Succeeded, scheduler.Succeeded, scheduler.Errored, scheduler.Rejected, scheduler.NoConnection, scheduler.Reset,
		scheduler.NotSent, scheduler.TimedOut, scheduler.Canceled}
	for seed := range uint64(300) {
		twice := seed%3 == 0
		conf, err := settings.Parse([]byte(fmt.Sprintf(smallSite, twice)))
		require.NoError(t, err)
		s := &shift{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: monotime.Second, out: map[*Attempt]bool{}, given: map[*Attempt]bool{},
			drained: map[string]monotime.Micros{}, asked: map[string]*askedFor{}, order: map[string][]*askedFor{}, twice: twice}
		s.core, err = New(conf, seed, Limits{MaxOpen: 100, MaxStatementBytes: 1 << 20}, s, &counters.Set{})
		require.NoError(t, err)
		names := []string{"a", "b", "c", "e"}
		s.list(scheduler.Serving, names...)
		s.core.Step(s.now)
		const length = 20 * monotime.Second
		for s.now < length {
			s.now += 1000 + s.rng.Int64N(20_000)
			for range s.rng.IntN(4) {
				switch n := s.rng.IntN(20); {
				case n < 6 && s.now < length-7*monotime.Second:
					s.take()
				case n < 14:
					if at := s.some(); at != nil {
						s.end(at, results[s.rng.IntN(len(results))])
					}
				case n < 16:
					for at := range s.given {
						s.end(at, scheduler.Canceled) // as a DELETE's answer
						break
					}
				case n < 17:
					if a := s.asked[fmt.Sprintf("%016x", 1+s.rng.IntN(s.next+1))]; a != nil && a.answers == 0 && !a.gone {
						a.gone = true
						s.core.Cancel(a.r)
					}
				case n < 18:
					s.list(scheduler.EngineState(s.rng.IntN(3)), names[s.rng.IntN(4)])
				case n < 19 && s.now > length-3*monotime.Second:
					s.core.ExpireAll()
				}
			}
			s.core.Step(s.now)
			for at := range s.out {
				a := s.asked[at.ID]
				assert.True(t, s.given[at] || a.answers == 0 && !a.gone, "%s: runs on though nobody waits", at.ID)
			}
		}
		for at := range s.out { // engines give up what nobody asks for
			s.end(at, scheduler.Reset)
		}
		s.core.Step(s.now)
		for _, a := range s.asked {
			assert.True(t, a.gone || a.answers == 1, "%s of class %d: no answer", a.id, a.class)
		}
		assert.True(t, s.core.Idle(), "something is left")
		assert.Zero(t, s.core.held)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
