package membership

import "chutechute/internal/monotime"

// One-way latencies without faults. The regions form a ring.
const (
	latencyWithinZone        = 150 * monotime.Micros(1)
	latencyWithinRegion      = 700 * monotime.Micros(1)
	minLatencyBetweenRegions = 5 * monotime.Millisecond
	latencyPerRegion         = 10 * monotime.Millisecond // for each step along the ring
	baseJitter               = 50 * monotime.Micros(1)   // the jitter is below baseJitter + latency / jitterDivisor
	jitterDivisor            = 10                        // see baseJitter
)

// network simulates the connections between members, and their faults.
type network struct {
	sim           *simulation
	lossRate      float64         // the fraction of messages that are lost
	maxExtraDelay monotime.Micros // the upper bound of the additional delay of messages
	reorder       bool            // messages of one stream may arrive out of order

	partitionedRegions map[unorderedPair]bool // pairs of regions that cannot reach each other directly
	partitionedMembers map[unorderedPair]bool // the same of members, by index
	partitionSide      func(*member) bool     // the side of a two-way partition that a member is on; nil without one
}

// unorderedPair is a pair of indexes, the lower one first.
type unorderedPair struct{ low, high int }

func newUnorderedPair(a, b int) unorderedPair { return unorderedPair{min(a, b), max(a, b)} }

// latency returns a random latency for a message.
func (n *network) latency(from, to *member) monotime.Micros {
	base := n.baseLatency(from, to)
	latency := base + n.sim.randomBetween(0, base/jitterDivisor+baseJitter)
	if n.maxExtraDelay > 0 {
		latency += n.sim.randomBetween(0, n.maxExtraDelay)
	}
	return latency
}

// baseLatency returns the latency without jitter and faults.
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

// regionDistance returns the number of steps between two regions along the ring.
func (n *network) regionDistance(a, b int) int {
	distance := max(a-b, b-a)
	return min(distance, n.sim.regionCount()-distance)
}

// dropsMessage decides at random whether a message is lost.
func (n *network) dropsMessage() bool { return n.lossRate > 0 && n.sim.random.Float64() < n.lossRate }

// endDegradation ends loss, extra delay and reordering.
func (n *network) endDegradation() {
	n.lossRate = 0
	n.maxExtraDelay = 0
	n.reorder = false
}
