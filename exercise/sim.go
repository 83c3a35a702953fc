// Package exercise plays a whole fleet in one process and in virtual time: the real gateway.Core with its decision module, the
// record, the members and the record client of each front end, unchanged, over a network, disks, clocks and engines of its own that
// one seed drives. What clients and engines see is noted with true times, and package history checks it.
//
// Nothing here waits or reads a clock. Events are kept in one queue by time and, at one time, in the order in which they were
// set, so that a seed gives the same history again, as long as the caller has made the consensus library's randomness a
// function of the seed too (testing/cryptotest).
package exercise

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"

	"chutechute/fleet/budget"
	"chutechute/fleet/replication"
	"chutechute/gateway"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

const (
	ms     monotime.Micros = 1000
	second                 = 1000 * ms
)

// Options describe a fleet.
type Options struct {
	Fronts  int
	Engines int
	Lasting bool // disks outlive processes, unless a fault takes them
	Copies  int
	Crash   int     // a front end dies at one in so many of the points that matter; 0 for never
	Drift   float64 // the most by which a clock is fast or slow, as a share
	Seed    uint64
	// Variant breaks something on purpose; nil for the program as it is.
	Variant *Variant
	// Budgets are the fleet's; nil for none.
	Budgets *budget.Set
	// Site is the settings of the site, as the configuration has them.
	Site []byte
}

// Variant is a fleet that breaks a rule on purpose, by which the checks are shown to see it.
type Variant struct {
	Record         func(gateway.IdempotencyStore) gateway.IdempotencyStore
	Kind           func(replication.StateMachine) replication.StateMachine
	SameNumber     bool // an emptied disk keeps its number: the copy votes under the name that it had
	EarlyWord      bool // a write is told before it is there
	NoUntil        bool // the last moment to begin is not looked at
	NoWindow       bool // engines do not drop repeats of a key, which hides much of what breaks
	HastySuccessor bool // who takes over does not wait for a start that may still be on its way
}

// Sim is one fleet.
type Sim struct {
	o       Options
	rng     *rand.Rand
	now     monotime.Micros
	seq     uint64
	queue   queue
	site    *settings.Settings
	Fronts  []*Front
	engines []*engine
	seen    map[string]monotime.Micros // the keys that engines have run lately
	Record  history.Record
	cuts    map[[2]int]bool // ways between front ends
	calls   int
	loads   int
	Steps   int
	delays  monotime.Micros // the most that a message takes, while nothing is wrong
	twice   bool
	late    bool
	calm    bool     // nothing fails any more
	Script  []string // the faults so far
	failed  error
}

// New builds a fleet; its front ends start at time 0.
func New(o Options) (*Sim, error) {
	if o.Variant == nil {
		o.Variant = &Variant{}
	}
	site, err := settings.Parse(o.Site)
	if err != nil {
		return nil, err
	}
	site.Gateways = o.Fronts
	s := &Sim{o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), site: site, seen: map[string]monotime.Micros{}, cuts: map[[2]int]bool{},
		delays: 2 * ms}
	s.Record.Now = func() int64 { return s.now }
	for i := range o.Engines {
		s.engines = append(s.engines, &engine{s: s, name: fmt.Sprintf("s-%08x", i+1), runs: map[string]*run{}})
	}
	for i := range o.Fronts {
		f := &Front{s: s, n: i, Name: fmt.Sprintf("n%d", i+1), zone: string(rune('a' + i%3)), offset: s.between(0, 1000*second),
			rate: 1 + o.Drift*(2*s.rng.Float64()-1)}
		s.Fronts = append(s.Fronts, f)
	}
	for _, f := range s.Fronts {
		f.Start()
	}
	return s, s.failed
}

// between draws a span.
func (s *Sim) between(least, most monotime.Micros) monotime.Micros {
	if most <= least {
		return least
	}
	return least + s.rng.Int64N(most-least)
}

// chance is true once in n times.
func (s *Sim) chance(n int) bool { return s.rng.IntN(n) == 0 }

type item struct {
	at  monotime.Micros
	seq uint64
	do  func()
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = item{}
	*q = (*q)[:last]
	return x
}

// after sets an event.
func (s *Sim) after(span monotime.Micros, do func()) {
	s.seq++
	heap.Push(&s.queue, item{s.now + max(0, span), s.seq, do})
}

// Run plays for a span of true time.
func (s *Sim) Run(span monotime.Micros) error {
	until := s.now + span
	for len(s.queue) > 0 && s.queue[0].at <= until && s.failed == nil {
		next := heap.Pop(&s.queue).(item)
		s.now = next.at
		if s.Steps++; s.Steps > mostSteps {
			s.fail(errStorm)
		}
		next.do()
	}
	s.now = until
	return s.failed
}

// Now is the true time.
func (s *Sim) Now() monotime.Micros { return s.now }

func (s *Sim) fail(err error) {
	if s.failed == nil && err != nil {
		s.failed = fmt.Errorf("at %.6f: %w", float64(s.now)/float64(second), err)
	}
}

// at is a point that matters in a load's life; a front end may die there, with its disk where the record bears that, or stand still.
func (s *Sim) at(point string, f *Front) {
	if s.o.Crash == 0 || s.calm || f.proc == nil || !s.chance(s.o.Crash) {
		return
	}
	empty := s.Whole() && (!s.o.Lasting || s.chance(2))
	if !s.o.Lasting && !empty {
		return
	}
	s.did("at %s:", point)
	if point == "granted" && s.chance(2) { // between the record's word and the write
		f.Pause()
		span := s.between(700*ms, 6*second)
		if s.o.Variant.HastySuccessor { // what shows it is a span shorter than that word is good for
			span = s.between(800*ms, 2*second)
		}
		s.after(span, f.Resume)
		return
	}
	f.Kill(empty)
	s.after(s.between(50*ms, 4*second), f.Start)
}

// mostSteps bounds a history: one that needs more is a storm of messages.
const mostSteps = 5_000_000

var errStorm = errors.New("exercise: a storm of messages")

// did notes a fault.
func (s *Sim) did(format string, args ...any) {
	s.Script = append(s.Script, fmt.Sprintf("%10.6f %s", float64(s.now)/float64(second), fmt.Sprintf(format, args...)))
}
