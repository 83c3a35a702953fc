package membership

import (
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Latencies one way, while nothing is wrong. Regions lie on a ring.
const (
	withinZone    = 150 * monotime.Micros(1)
	withinRegion  = 700 * monotime.Micros(1)
	betweenLeast  = 5 * ms
	betweenStep   = 10 * ms
	jitterLeast   = 50 * monotime.Micros(1)
	jitterDivisor = 10 // of the latency
)

// network is what lies between the members.
type network struct {
	s       *Sim
	loss    float64           // the share of messages that never arrive
	delay   monotime.Micros   // the most by which each is late
	reorder bool              // messages of one connection may overtake each other
	apart   map[[2]int]bool   // regions that can't reach one another, the lower first
	ways    map[[2]int]bool   // members that can't reach one another, by place, the lower first
	halves  func(*place) bool // nil, or which of two sides that can't reach one another
	cuts    int               // how often something was cut, for those who keep what follows from it
}

// latency draws how long a message takes.
func (n *network) latency(from, to *place) monotime.Micros {
	base := withinZone
	switch {
	case from.zone == to.zone:
	case from.region == to.region:
		base = withinRegion
	default:
		base = betweenLeast + betweenStep*monotime.Micros(n.ring(from.region, to.region))
	}
	span := base + n.s.between(0, base/jitterDivisor+jitterLeast)
	if n.delay > 0 {
		span += n.s.between(0, n.delay)
	}
	return span
}

// ring is how many regions lie between two, the shorter way.
func (n *network) ring(a, b int) int {
	all := min(regions, n.s.shape.Zones)
	apart := max(a-b, b-a)
	return min(apart, all-apart)
}

// lost draws whether a message is.
func (n *network) lost() bool { return n.loss > 0 && n.s.rng.Float64() < n.loss }

// severed says whether nothing gets from one member to another.
func (n *network) severed(from, to *place) bool {
	switch {
	case from == to:
		return false
	case from.away || to.away:
		return true
	case from.deaf && to.role == membership.Attached, to.deaf && from.role == membership.Attached:
		return true
	case n.halves != nil && n.halves(from) != n.halves(to):
		return true
	}
	if len(n.ways) > 0 && n.ways[[2]int{min(from.index, to.index), max(from.index, to.index)}] {
		return true
	}
	return len(n.apart) > 0 && n.apart[[2]int{min(from.region, to.region), max(from.region, to.region)}]
}

// sameSide says whether something that one member sees may reach the other by way of any third.
func (n *network) sameSide(a, b *place) bool {
	if a == b {
		return true
	}
	return !a.away && !b.away && (n.halves == nil || n.halves(a) == n.halves(b))
}

// severedNow follows a cut: connections over it end on either side once that has been silent for long.
func (n *network) severedNow() {
	n.cuts++
	for _, p := range n.s.places {
		if p.proc == nil || p.role != membership.Attached {
			continue
		}
		p.proc.eachLink(func(l *link) {
			if l.control != nil && n.severed(l.front.p, l.control.p) {
				l.silentSoon(frontSide)
				l.silentSoon(controlSide)
			}
		})
	}
}

// heal ends all cuts.
func (n *network) heal() {
	clear(n.apart)
	clear(n.ways)
	n.halves = nil
	for _, p := range n.s.places {
		p.away, p.deaf = false, false
	}
}

// way is one direction of a connection.
type way struct {
	last    monotime.Micros // when the latest message arrives
	waiting []parcel
	bytes   int  // that wait
	pacing  bool // a slow reader is being waited for
	moved   monotime.Micros
}

// parcel is a message that waits for a slow reader.
type parcel struct {
	kind   messageKind
	size   int
	arrive func()
}

// transmit has a message leave one member for another; arrive is called where it gets there.
func (s *Sim) transmit(w *way, from, to *place, kind messageKind, size int, arrive func()) {
	from.flow.out(kind, size)
	if s.network.severed(from, to) || s.network.lost() {
		return
	}
	when := s.now + s.network.latency(from, to)
	if !s.network.reorder {
		when = max(when, w.last)
		w.last = when
	}
	s.at(when, func() {
		if !s.network.severed(from, to) {
			arrive()
		}
	})
}
