package membership

import "chutechute/internal/monotime"

// Latencies one way, without faults. Regions lie on a ring.
const (
	latencyWithinZone        = 150 * monotime.Micros(1)
	latencyWithinRegion      = 700 * monotime.Micros(1)
	minLatencyBetweenRegions = 5 * monotime.Millisecond
	latencyPerRegion         = 10 * monotime.Millisecond // that lies between
	minJitter                = 50 * monotime.Micros(1)   // the lowest bound of the jitter
	jitterDivisor            = 10                        // of the latency
)

// network is what connects the members, with its faults.
type network struct {
	sim           *simulation
	lossRate      float64         // the share of messages that are lost
	maxExtraDelay monotime.Micros // the upper bound of the delay beyond the latency
	reorder       bool            // messages of one stream may arrive out of order

	partitionedRegions map[unorderedPair]bool // regions without a connection to each other
	partitionedMembers map[unorderedPair]bool // members without one, by index
	partitionSide      func(*member) bool     // on which of two disconnected sides a member is; nil if there are none
}

// unorderedPair is two indexes, the lower one first.
type unorderedPair struct{ low, high int }

func newUnorderedPair(a, b int) unorderedPair { return unorderedPair{min(a, b), max(a, b)} }

// latency draws how long a message takes.
func (n *network) latency(from, to *member) monotime.Micros {
	base := n.baseLatency(from, to)
	latency := base + n.sim.randomBetween(0, base/jitterDivisor+minJitter)
	if n.maxExtraDelay > 0 {
		latency += n.sim.randomBetween(0, n.maxExtraDelay)
	}
	return latency
}

// baseLatency is the latency without jitter and faults.
func (n *network) baseLatency(from, to *member) monotime.Micros {
	switch {
	case from.zone == to.zone:
		return latencyWithinZone
	case from.region == to.region:
		return latencyWithinRegion
	}
	distance := n.regionDistance(from.region, to.region)
	return minLatencyBetweenRegions + latencyPerRegion*monotime.Micros(distance)
}

// regionDistance is the distance of two regions on the ring.
func (n *network) regionDistance(a, b int) int {
	distance := max(a-b, b-a)
	return min(distance, n.sim.regionCount()-distance)
}

// dropsMessage draws whether a message is lost.
func (n *network) dropsMessage() bool { return n.lossRate > 0 && n.sim.random.Float64() < n.lossRate }

// endDegradation ends loss, extra delay and reordering.
func (n *network) endDegradation() {
	n.lossRate = 0
	n.maxExtraDelay = 0
	n.reorder = false
}
