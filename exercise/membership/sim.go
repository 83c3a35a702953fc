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

// maxEvents bounds a run: one that needs more is a storm of messages.
const maxEvents = 2_000_000_000

// maxEventsPerMemberSecond bounds what may happen within one second of virtual time for each member.
const maxEventsPerMemberSecond = 20_000

var errMessageStorm = errors.New("membership: a storm of messages")

// maxClockDrift is the most by which a member's clock is fast or slow, as a share.
const maxClockDrift = 0.001

// maxClockOffset is the most by which the clocks of two members differ at the start.
const maxClockOffset = 1000 * monotime.Second

// simulation is one fleet.
type simulation struct {
	shape             scale.Shape
	rng               *rand.Rand
	now               monotime.Micros
	lastSequence      uint64
	events            eventQueue
	members           []*member // control members first, then attached front ends
	controlMembers    []*member
	attachedFrontEnds []*member
	sortedByName      []*member // by name
	memberByName      map[string]*member
	network           network
	groundTruth       *groundTruth
	traffic           trafficAccount
	cpuMeter          *cpuMeter // nil: processor time is not measured
	executedEvents    int
	err               error
}

// newSimulation builds a fleet of which no process runs yet.
func newSimulation(shape scale.Shape) *simulation {
	s := &simulation{shape: shape, rng: rand.New(rand.NewPCG(shape.Seed, 1)), memberByName: map[string]*member{}}
	for i := range shape.Controls {
		s.controlMembers = append(s.controlMembers, s.addMember(fmt.Sprintf("control-%02d", i+1), i%shape.Zones, membership.Control))
	}
	for i := range shape.Attached() {
		s.attachedFrontEnds = append(s.attachedFrontEnds, s.addMember(fmt.Sprintf("front-%04d", i+1), i%shape.Zones, membership.Attached))
	}
	s.sortedByName = slices.SortedFunc(slices.Values(s.members), func(a, b *member) int { return strings.Compare(a.name, b.name) })
	s.network = network{sim: s, partitionedRegions: map[[2]int]bool{}, partitionedMembers: map[[2]int]bool{}}
	s.groundTruth = newGroundTruth(s)
	return s
}

// member is a member's machine, which outlives its processes.
type member struct {
	sim                  *simulation
	index                int
	name                 string
	zone                 int
	region               int
	role                 membership.Role
	process              *process          // nil: none runs
	resumedAt            monotime.Micros   // when it last went on after it had stood still
	poweredOff           bool              // the machine is off: nobody answers a dial or ends a connection
	generation           int               // processes so far
	startsAndEnds        []monotime.Micros // when processes began and ended, by turns
	readRate             int               // bytes a second that it reads of each connection; 0: all that come
	readStalled          bool              // it takes nothing for now
	queueLimit           int               // bytes that may wait for it at the other side of a connection
	isolated             bool              // cut off from all others
	isolatedFromAttached bool              // a control member that is cut off from all attached front ends
	traffic              memberTraffic
	burstTimes           burstTimes
}

// maxRegions is how many regions the zones of a fleet lie in.
const maxRegions = 10

func (s *simulation) addMember(name string, zone int, role membership.Role) *member {
	p := &member{sim: s, index: len(s.members), name: name, zone: zone, role: role, queueLimit: defaultQueueLimit}
	p.region = zone * min(maxRegions, s.shape.Zones) / s.shape.Zones
	s.members = append(s.members, p)
	s.memberByName[name] = p
	return p
}

func (p *member) zoneName() string { return scale.ZoneName(p.zone) }

// responsive says whether a process is there and doesn't stand still.
func (p *member) responsive() bool { return p.process != nil && !p.process.paused }

// measuredDuration is the measured part.
func (s *simulation) measuredDuration() monotime.Micros {
	return monotime.Micros(math.Round(s.shape.Seconds * float64(monotime.Second)))
}

// randomBetween draws a span.
func (s *simulation) randomBetween(least, most monotime.Micros) monotime.Micros {
	if most <= least {
		return least
	}
	return least + s.rng.Int64N(most-least)
}

// scheduleAfter sets an event.
func (s *simulation) scheduleAfter(span monotime.Micros, do func()) {
	s.scheduleAt(s.now+max(0, span), do)
}

// scheduleAt sets an event at a time that is not past.
func (s *simulation) scheduleAt(when monotime.Micros, do func()) {
	s.lastSequence++
	s.events.push(event{when, s.lastSequence, do})
}

// advance plays for a span of true time.
func (s *simulation) advance(span monotime.Micros) error {
	until := s.now + span
	stepsUntil := s.executedEvents + int(span/monotime.Second+1)*len(s.members)*maxEventsPerMemberSecond
	for len(s.events) > 0 && s.events[0].at <= until && s.err == nil {
		next := s.events.pop()
		s.now = next.at
		if s.executedEvents++; s.executedEvents > min(stepsUntil, maxEvents) {
			s.fail(errMessageStorm)
		}
		next.run()
	}
	s.now = until
	return s.err
}

func (s *simulation) fail(err error) {
	if s.err == nil && err != nil {
		s.err = fmt.Errorf("at %.6f s: %w", float64(s.now)/float64(monotime.Second), err)
	}
}
