package membership

import "chutechute/internal/monotime"

// Parameters of random faults.
const (
	chaosInterval      = 700 * monotime.Millisecond // mean time between two faults
	chaosQuietEnd      = 10 * monotime.Second       // time without new faults at the end of the measured part
	chaosMaxDuration   = 12 * monotime.Second       // of a fault
	chaosMaxPause      = 15 * monotime.Second
	chaosMaxDownTime   = 20 * monotime.Second // from a crash to the next start
	chaosMaxDelay      = 400 * monotime.Millisecond
	chaosMaxLossRate   = 0.2
	chaosRapidRestarts = 2 // consecutive restarts without down time
)

// injectChaos injects random faults at random intervals, into any member.
func injectChaos(s *simulation) {
	end := s.now + s.measuredDuration() - chaosQuietEnd
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		s.injectRandomFault()
		s.scheduleAfter(s.randomBetween(chaosInterval/2, chaosInterval*3/2), next)
	}
	s.scheduleAfter(chaosInterval, next)
}

// injectRandomFault injects one fault.
func (s *simulation) injectRandomFault() {
	m := s.members[s.random.IntN(len(s.members))]
	if s.random.IntN(3) == 0 {
		m = s.randomControlMember()
	}
	switch s.random.IntN(9) {
	case 0, 1:
		s.crashBriefly(m)
	case 2:
		for range chaosRapidRestarts {
			m.crash(processCrash)
			m.start()
		}
	case 3:
		m.pause()
		s.scheduleAfter(s.randomBetween(0, chaosMaxPause), m.resume)
	case 4:
		s.setFaultBriefly(&m.isolated)
	case 5:
		s.setFaultBriefly(&s.randomControlMember().isolatedFromAttached)
	case 6:
		s.partitionBriefly()
	case 7:
		s.degradeNetworkBriefly()
	case 8:
		s.setFaultBriefly(&m.readStalled)
		m.queueLimit = stalledQueueLimit
	}
}

func (s *simulation) randomControlMember() *member {
	return s.controlMembers[s.random.IntN(len(s.controlMembers))]
}

// crashBriefly crashes a process or its machine, and starts the next process after a random time.
func (s *simulation) crashBriefly(m *member) {
	scope := processCrash
	if s.random.IntN(2) == 0 {
		scope = machineCrash
	}
	m.crash(scope)
	s.scheduleAfter(s.randomBetween(0, chaosMaxDownTime), m.start)
}

// setFaultBriefly sets a fault of a member for a random time.
func (s *simulation) setFaultBriefly(fault *bool) {
	*fault = true
	s.network.partitionStarted()
	s.scheduleAfter(s.randomBetween(0, chaosMaxDuration), func() { *fault = false })
}

// partitionBriefly partitions a random region from all others, or from region 1, for a random time.
func (s *simulation) partitionBriefly() {
	n := &s.network
	region := s.random.IntN(s.regionCount())
	if s.random.IntN(2) == 0 {
		n.partitionSide = func(m *member) bool { return m.region == region }
		s.scheduleAfter(s.randomBetween(0, chaosMaxDuration), func() { n.partitionSide = nil })
	} else {
		pair := newUnorderedPair(region, 1)
		n.partitionedRegions[pair] = pair.low != pair.high
		s.scheduleAfter(s.randomBetween(0, chaosMaxDuration), func() { delete(n.partitionedRegions, pair) })
	}
	n.partitionStarted()
}

// degradeNetworkBriefly makes the network lose, delay and possibly reorder messages for a random time.
func (s *simulation) degradeNetworkBriefly() {
	n := &s.network
	n.maxExtraDelay = s.randomBetween(0, chaosMaxDelay)
	n.lossRate = chaosMaxLossRate * s.random.Float64()
	n.reorder = s.random.IntN(2) == 0
	s.scheduleAfter(s.randomBetween(0, chaosMaxDuration), n.endDegradation)
}
