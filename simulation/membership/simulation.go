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

const minute = 60 * monotime.Second

// Limits of a run, in events. A run that exceeds one of them is a message storm.
const (
	maxEvents                = 2_000_000_000
	maxEventsPerMemberSecond = 20_000 // in each second of virtual time
)

var errMessageStorm = errors.New("message storm: too many events")

// simulation runs one fleet in virtual time.
type simulation struct {
	shape  scale.Shape
	random *rand.Rand

	now            monotime.Micros // virtual time
	lastSequence   uint64
	events         eventQueue
	executedEvents int
	err            error // the first error; it ends the run

	members           []*member // control members first, then attached front ends
	controlMembers    []*member
	attachedFrontEnds []*member
	sortedByName      []*member
	memberByName      map[string]*member

	network     network
	groundTruth *groundTruth
	traffic     trafficAccount
	rejected    map[string]int // rejected messages of running processes, by the text of the error
	triggers    []trigger
	cpuMeter    *cpuMeter // nil if processor time is not measured
}

// newSimulation returns a fleet in which no process runs yet.
func newSimulation(shape scale.Shape) *simulation {
	s := &simulation{
		shape:        shape,
		random:       rand.New(rand.NewPCG(shape.Seed, 1)),
		memberByName: map[string]*member{},
		rejected:     map[string]int{},
	}
	for i := range shape.Controls {
		name := fmt.Sprintf("control-%02d", i+1)
		s.controlMembers = append(s.controlMembers, s.addMember(name, i%shape.Zones, membership.Control))
	}
	for i := range shape.Attached() {
		name := fmt.Sprintf("front-%04d", i+1)
		s.attachedFrontEnds = append(s.attachedFrontEnds, s.addMember(name, i%shape.Zones, membership.Attached))
	}
	s.sortedByName = slices.SortedFunc(slices.Values(s.members), func(a, b *member) int {
		return strings.Compare(a.name, b.name)
	})
	s.network = network{
		sim:                s,
		partitionedRegions: map[unorderedPair]bool{},
		partitionedMembers: map[unorderedPair]bool{},
	}
	s.groundTruth = newGroundTruth(s)
	return s
}

func (s *simulation) addMember(name string, zone int, role membership.Role) *member {
	m := &member{
		sim:        s,
		index:      len(s.members),
		name:       name,
		zone:       zone,
		region:     zone * s.regionCount() / s.shape.Zones,
		role:       role,
		queueLimit: defaultQueueLimit,
	}
	s.members = append(s.members, m)
	s.memberByName[name] = m
	return m
}

// maxRegions limits the number of regions that the zones of a fleet are grouped into.
const maxRegions = 10

func (s *simulation) regionCount() int { return min(maxRegions, s.shape.Zones) }

// membersWithRole returns the members of a role, in the order in which they were added.
func (s *simulation) membersWithRole(role membership.Role) []*member {
	if role == membership.Control {
		return s.controlMembers
	}
	return s.attachedFrontEnds
}

// measuredDuration is the length of the measured part.
func (s *simulation) measuredDuration() monotime.Micros {
	return monotime.Micros(math.Round(s.shape.Seconds * float64(monotime.Second)))
}

// randomBetween returns a random duration in [low, high). If that range is empty it returns low, and draws no random
// number.
func (s *simulation) randomBetween(low, high monotime.Micros) monotime.Micros {
	if high <= low {
		return low
	}
	return low + s.random.Int64N(high-low)
}

// scheduleAfter schedules an event after a delay; a negative delay counts as none.
func (s *simulation) scheduleAfter(delay monotime.Micros, run func()) {
	s.scheduleAt(s.now+max(0, delay), run)
}

// scheduleAt schedules an event at a time that is not in the past.
func (s *simulation) scheduleAt(when monotime.Micros, run func()) {
	s.lastSequence++
	s.events.push(event{when, s.lastSequence, run})
}

// advance runs all events within the next duration of virtual time. It returns the first error of the whole run.
func (s *simulation) advance(duration monotime.Micros) error {
	until := s.now + duration
	seconds := int(duration/monotime.Second + 1)
	eventLimit := min(maxEvents, s.executedEvents+seconds*len(s.members)*maxEventsPerMemberSecond)
	for len(s.events) > 0 && s.events[0].at <= until && s.err == nil {
		next := s.events.pop()
		s.now = next.at
		s.executedEvents++
		if s.executedEvents > eventLimit {
			s.fail(errMessageStorm)
		}
		next.run()
	}
	s.now = until
	return s.err
}

// fail ends the run with an error, unless it is nil or another error came first.
func (s *simulation) fail(err error) {
	if s.err == nil && err != nil {
		s.err = fmt.Errorf("membership: at %.6f s: %w", inSeconds(s.now), err)
	}
}

// countRejected counts a message that its receiver rejected with err.
func (s *simulation) countRejected(err error) { s.rejected[err.Error()]++ }

func inSeconds(duration monotime.Micros) float64 { return float64(duration) / float64(monotime.Second) }
