package membership

import "chutechute/fleet/membership"

// partitioned reports whether a partition blocks messages from one member to another.
func (n *network) partitioned(from, to *member) bool {
	switch {
	case from == to:
		return false
	case from.isolated || to.isolated:
		return true
	case from.isolatedFromAttached && to.role == membership.Attached:
		return true
	case to.isolatedFromAttached && from.role == membership.Attached:
		return true
	case !n.onSameSide(from, to):
		return true
	case len(n.partitionedMembers) > 0 && n.partitionedMembers[newUnorderedPair(from.index, to.index)]:
		return true
	}
	return len(n.partitionedRegions) > 0 && n.partitionedRegions[newUnorderedPair(from.region, to.region)]
}

// indirectlyReachable reports whether information can get from one member to the other, directly or through other
// members.
func (n *network) indirectlyReachable(a, b *member) bool {
	return a == b || !a.isolated && !b.isolated && n.onSameSide(a, b)
}

func (n *network) onSameSide(a, b *member) bool {
	return n.partitionSide == nil || n.partitionSide(a) == n.partitionSide(b)
}

// partitionStarted handles the start of a partition: both ends of a link across it close the link after
// linkSilenceTimeout, unless the partition has ended by then.
func (n *network) partitionStarted() {
	for _, m := range n.sim.attachedFrontEnds {
		if m.process == nil {
			continue
		}
		m.process.eachLink(func(l *link) {
			if l.control != nil && n.partitioned(l.frontEnd.member, l.control.member) {
				l.scheduleSilenceTimeout(frontEndSide)
				l.scheduleSilenceTimeout(controlSide)
			}
		})
	}
}

// healPartitions ends all partitions.
func (n *network) healPartitions() {
	clear(n.partitionedRegions)
	clear(n.partitionedMembers)
	n.partitionSide = nil
	for _, m := range n.sim.members {
		m.isolated = false
		m.isolatedFromAttached = false
	}
}
