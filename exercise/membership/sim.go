package membership

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// mostSteps bounds a run: one that needs more is a storm of messages.
const mostSteps = 2_000_000_000

// stormSteps bounds what may happen within one second of virtual time for each member.
const stormSteps = 20_000

var errStorm = errors.New("membership: a storm of messages")

// drift is the most by which a member's clock is fast or slow, as a share.
const drift = 0.001

// mostOffset is the most by which the clocks of two members differ at the start.
const mostOffset = 1000 * second

// Sim is one fleet.
type Sim struct {
	shape    scale.Shape
	rng      *rand.Rand
	now      monotime.Micros
	seq      uint64
	queue    queue
	places   []*place // control members first, then attached front ends
	controls []*place
	attached []*place
	sorted   []*place // by name
	byName   map[string]*place
	network  network
	truth    *truth
	account  account
	meter    *meter // nil: processor time is not measured
	steps    int
	failed   error
}

// newSim builds a fleet of which no process runs yet.
func newSim(shape scale.Shape) *Sim {
	s := &Sim{shape: shape, rng: rand.New(rand.NewPCG(shape.Seed, 1)), byName: map[string]*place{}}
	for i := range shape.Controls {
		s.controls = append(s.controls, s.newPlace(fmt.Sprintf("control-%02d", i+1), i%shape.Zones, membership.Control))
	}
	for i := range shape.Attached() {
		s.attached = append(s.attached, s.newPlace(fmt.Sprintf("front-%04d", i+1), i%shape.Zones, membership.Attached))
	}
	s.sorted = slices.SortedFunc(slices.Values(s.places), func(a, b *place) int { return strings.Compare(a.name, b.name) })
	s.network = network{s: s, apart: map[[2]int]bool{}, ways: map[[2]int]bool{}}
	s.truth = newTruth(s)
	return s
}

// place is a member's machine, which outlives its processes.
type place struct {
	s       *Sim
	index   int
	name    string
	zone    int
	region  int
	role    membership.Role
	proc    *process          // nil: none runs
	resumed monotime.Micros   // when it last went on after it had stood still
	off     bool              // the machine is off: nobody answers a dial or ends a connection
	births  int               // processes so far
	turns   []monotime.Micros // when processes began and ended, by turns
	slow    int               // bytes a second that it reads of each connection; 0: all that come
	stalled bool              // it takes nothing for now
	room    int               // bytes that may wait for it at the other side of a connection
	away    bool              // cut off from all others
	deaf    bool              // a control member that is cut off from all attached front ends
	flow    flow
	bursts  bursts
}

// regions is how many regions the zones of a fleet lie in.
const regions = 10

func (s *Sim) newPlace(name string, zone int, role membership.Role) *place {
	p := &place{s: s, index: len(s.places), name: name, zone: zone, role: role, room: linkQueue}
	p.region = zone * min(regions, s.shape.Zones) / s.shape.Zones
	s.places = append(s.places, p)
	s.byName[name] = p
	return p
}

func (p *place) zoneName() string { return scale.ZoneName(p.zone) }

// running says whether a process is there and doesn't stand still.
func (p *place) running() bool { return p.proc != nil && !p.proc.paused }

// span is the measured part.
func (s *Sim) span() monotime.Micros {
	return monotime.Micros(math.Round(s.shape.Seconds * float64(second)))
}

// between draws a span.
func (s *Sim) between(least, most monotime.Micros) monotime.Micros {
	if most <= least {
		return least
	}
	return least + s.rng.Int64N(most-least)
}

// after sets an event.
func (s *Sim) after(span monotime.Micros, do func()) { s.at(s.now+max(0, span), do) }

// at sets an event at a time that is not past.
func (s *Sim) at(when monotime.Micros, do func()) {
	s.seq++
	s.queue.push(event{when, s.seq, do})
}

// run plays for a span of true time.
func (s *Sim) run(span monotime.Micros) error {
	until := s.now + span
	stepsUntil := s.steps + int(span/second+1)*len(s.places)*stormSteps
	for len(s.queue) > 0 && s.queue[0].at <= until && s.failed == nil {
		next := s.queue.pop()
		s.now = next.at
		if s.steps++; s.steps > min(stepsUntil, mostSteps) {
			s.fail(errStorm)
		}
		next.do()
	}
	s.now = until
	return s.failed
}

func (s *Sim) fail(err error) {
	if s.failed == nil && err != nil {
		s.failed = fmt.Errorf("at %.6f s: %w", float64(s.now)/float64(second), err)
	}
}
