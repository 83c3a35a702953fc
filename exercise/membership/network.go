package membership

import (
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Latencies one way, while nothing is wrong. Regions lie on a ring.
const (
	latencyWithinZone        = 150 * monotime.Micros(1)
	latencyWithinRegion      = 700 * monotime.Micros(1)
	minLatencyBetweenRegions = 5 * monotime.Millisecond
	latencyPerRegion         = 10 * monotime.Millisecond
	minJitter                = 50 * monotime.Micros(1)
	jitterDivisor            = 10 // of the latency
)

// network is what lies between the members.
type network struct {
	sim                *simulation
	lossRate           float64            // the share of messages that never arrive
	maxExtraDelay      monotime.Micros    // the most by which each is late
	reorder            bool               // messages of one connection may overtake each other
	partitionedRegions map[[2]int]bool    // regions that can't reach one another, the lower first
	partitionedMembers map[[2]int]bool    // members that can't reach one another, by place, the lower first
	partitionSide      func(*member) bool // nil, or which of two sides that can't reach one another
	cuts               int                // how often something was cut, for those who keep what follows from it
}

// latency draws how long a message takes.
func (n *network) latency(from, to *member) monotime.Micros {
	base := latencyWithinZone
	switch {
	case from.zone == to.zone:
	case from.region == to.region:
		base = latencyWithinRegion
	default:
		base = minLatencyBetweenRegions + latencyPerRegion*monotime.Micros(n.regionDistance(from.region, to.region))
	}
	span := base + n.sim.randomBetween(0, base/jitterDivisor+minJitter)
	if n.maxExtraDelay > 0 {
		span += n.sim.randomBetween(0, n.maxExtraDelay)
	}
	return span
}

// regionDistance is how many regions lie between two, the shorter way.
func (n *network) regionDistance(a, b int) int {
	all := min(maxRegions, n.sim.shape.Zones)
	apart := max(a-b, b-a)
	return min(apart, all-apart)
}

// dropsMessage draws whether a message is.
func (n *network) dropsMessage() bool { return n.lossRate > 0 && n.sim.rng.Float64() < n.lossRate }

// partitioned says whether nothing gets from one member to another.
func (n *network) partitioned(from, to *member) bool {
	switch {
	case from == to:
		return false
	case from.isolated || to.isolated:
		return true
	case from.isolatedFromAttached && to.role == membership.Attached, to.isolatedFromAttached && from.role == membership.Attached:
		return true
	case n.partitionSide != nil && n.partitionSide(from) != n.partitionSide(to):
		return true
	}
	if len(n.partitionedMembers) > 0 && n.partitionedMembers[[2]int{min(from.index, to.index), max(from.index, to.index)}] {
		return true
	}
	return len(n.partitionedRegions) > 0 && n.partitionedRegions[[2]int{min(from.region, to.region), max(from.region, to.region)}]
}

// indirectlyReachable says whether something that one member sees may reach the other by way of any third.
func (n *network) indirectlyReachable(a, b *member) bool {
	if a == b {
		return true
	}
	return !a.isolated && !b.isolated && (n.partitionSide == nil || n.partitionSide(a) == n.partitionSide(b))
}

// partitionChanged follows a cut: connections over it end on either side once that has been silent for long.
func (n *network) partitionChanged() {
	n.cuts++
	for _, p := range n.sim.members {
		if p.process == nil || p.role != membership.Attached {
			continue
		}
		p.process.eachLink(func(l *link) {
			if l.control != nil && n.partitioned(l.frontEnd.member, l.control.member) {
				l.scheduleSilenceTimeout(frontEndSide)
				l.scheduleSilenceTimeout(controlSide)
			}
		})
	}
}

// healPartitions ends all cuts.
func (n *network) healPartitions() {
	clear(n.partitionedRegions)
	clear(n.partitionedMembers)
	n.partitionSide = nil
	for _, p := range n.sim.members {
		p.isolated, p.isolatedFromAttached = false, false
	}
}

// stream is one direction of a connection.
type stream struct {
	lastArrival    monotime.Micros // when the latest message arrives
	queued         []queuedMessage
	queuedBytes    int  // that wait
	awaitingReader bool // a slow reader is being waited for
	lastProgress   monotime.Micros
}

// queuedMessage is a message that waits for a slow reader.
type queuedMessage struct {
	kind   messageKind
	size   int
	arrive func()
}

// transmit has a message leave one member for another; arrive is called where it gets there.
func (s *simulation) transmit(w *stream, from, to *member, kind messageKind, size int, arrive func()) {
	from.traffic.countSent(kind, size)
	if s.network.partitioned(from, to) || s.network.dropsMessage() {
		return
	}
	when := s.now + s.network.latency(from, to)
	if !s.network.reorder {
		when = max(when, w.lastArrival)
		w.lastArrival = when
	}
	s.scheduleAt(when, func() {
		if !s.network.partitioned(from, to) {
			arrive()
		}
	})
}
