package membership

import "chutechute/internal/monotime"

// Parameters of scenarios with faults of the network.
const (
	partitionDuration        = 60 * monotime.Second
	partitionRestartInterval = 30 * monotime.Second // of restarts on each side of a long partition
	splitRegions             = 2                    // number of regions that a split partitions from the others
	lossyRate                = 0.01
	lossyMaxDelay            = 300 * monotime.Millisecond
)

// injectRegionPartition partitions the first two regions from each other for the whole measured part.
func injectRegionPartition(s *simulation) {
	s.network.partitionedRegions[newUnorderedPair(0, 1)] = true
	s.network.partitionStarted()
	inRegion := func(region int) []*member {
		return filterMembers(s.attachedFrontEnds, func(m *member) bool { return m.region == region })
	}
	s.restartPeriodically(inRegion(0))
	s.restartPeriodically(inRegion(1))
}

// injectSplit partitions the first regions from all others for the whole measured part.
func injectSplit(s *simulation) {
	inMinority := func(m *member) bool { return m.region < splitRegions && m.region < s.shape.Zones-1 }
	inMajority := func(m *member) bool { return !inMinority(m) }
	s.network.partitionSide = inMinority
	s.network.partitionStarted()
	s.restartPeriodically(filterMembers(s.attachedFrontEnds, inMinority))
	s.restartPeriodically(filterMembers(s.attachedFrontEnds, inMajority))
}

// restartPeriodically restarts a random member every partitionRestartInterval of the measured part.
func (s *simulation) restartPeriodically(members []*member) {
	for at := partitionRestartInterval; at < s.measuredDuration(); at += partitionRestartInterval {
		m := members[s.random.IntN(len(members))]
		s.scheduleAfter(at, m.restart)
	}
}

// injectControlIsolation partitions a control member from all attached front ends.
func injectControlIsolation(s *simulation) {
	m := s.controlMembers[0]
	s.scheduleAfter(faultDelay, func() {
		s.addTrigger("control member deaf")
		m.isolatedFromAttached = true
		s.network.partitionStarted()
	})
	s.scheduleAfter(faultDelay+partitionDuration, func() {
		s.addTrigger("control member hears again")
		m.isolatedFromAttached = false
	})
}

// injectHomePartition partitions an attached front end from the control members that it has links to.
func injectHomePartition(s *simulation) {
	m := s.attachedFrontEnds[0]
	s.scheduleAfter(faultDelay, func() {
		m.process.eachLink(func(l *link) {
			s.network.partitionedMembers[newUnorderedPair(l.target.index, m.index)] = true
		})
		s.network.partitionStarted()
	})
	s.scheduleAfter(faultDelay+partitionDuration, func() { clear(s.network.partitionedMembers) })
}

func injectLoss(s *simulation) {
	s.network.lossRate = lossyRate
	s.network.maxExtraDelay = lossyMaxDelay
}

func injectReordering(s *simulation) {
	injectLoss(s)
	s.network.reorder = true
	injectRestarts(s)
}
