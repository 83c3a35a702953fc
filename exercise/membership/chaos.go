package membership

import "chutechute/internal/monotime"

// Spans of chaos.
const (
	chaosInterval      = 700 * monotime.Millisecond    // between two faults, in the mean
	chaosMaxDuration   = 12 * monotime.Second          // that a fault lasts
	chaosMaxDelay      = 400 * monotime.Millisecond    // the most that messages are late
	chaosMaxLossRate   = 0.2                           // the greatest share that is lost
	chaosQuietEnd      = 10 * monotime.Second          // at the end of the measured part nothing new happens
	chaosMaxPause      = 15_000 * monotime.Millisecond // for which a member stands still
	chaosMaxDownTime   = 20 * monotime.Second          // until an ended process is followed by the next
	chaosRapidRestarts = 2                             // processes of one name that may follow one another at once
)

// injectChaos has something drawn at random happen every so often, to anybody.
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

// injectRandomFault is one fault.
func (s *simulation) injectRandomFault() {
	p := s.members[s.rng.IntN(len(s.members))]
	if s.rng.IntN(3) == 0 {
		p = s.controlMembers[s.rng.IntN(len(s.controlMembers))]
	}
	switch s.rng.IntN(9) {
	case 0, 1:
		p.crash(s.rng.IntN(2) == 0)
		s.scheduleAfter(s.randomBetween(0, chaosMaxDownTime), p.start)
	case 2:
		for range chaosRapidRestarts {
			p.crash(false)
			p.start()
		}
	case 3:
		p.pause()
		s.scheduleAfter(s.randomBetween(0, chaosMaxPause), p.resume)
	case 4:
		s.setBriefly(&p.isolated)
	case 5:
		s.setBriefly(&s.controlMembers[s.rng.IntN(len(s.controlMembers))].isolatedFromAttached)
	case 6:
		s.partitionBriefly()
	case 7:
		s.network.maxExtraDelay, s.network.lossRate = s.randomBetween(0, chaosMaxDelay), chaosMaxLossRate*s.rng.Float64()
		s.network.reorder = s.rng.IntN(2) == 0
		s.scheduleAfter(s.randomBetween(0, chaosMaxDuration), func() { s.network.maxExtraDelay, s.network.lossRate, s.network.reorder = 0, 0, false })
	case 8:
		s.setBriefly(&p.readStalled)
		p.queueLimit = stalledQueueLimit
	}
}

// setBriefly sets something that severs, for a while.
func (s *simulation) setBriefly(what *bool) {
	*what = true
	s.network.partitionChanged()
	s.scheduleAfter(s.randomBetween(0, chaosMaxDuration), func() { *what = false })
}

// partitionBriefly has two regions lose each other, or some all others.
func (s *simulation) partitionBriefly() {
	n := &s.network
	region := s.rng.IntN(min(maxRegions, s.shape.Zones))
	if s.rng.IntN(2) == 0 {
		n.partitionSide = func(p *member) bool { return p.region == region }
		s.scheduleAfter(s.randomBetween(0, chaosMaxDuration), func() { n.partitionSide = nil })
	} else {
		pair := [2]int{min(region, 1), max(region, 1)}
		n.partitionedRegions[pair] = pair[0] != pair[1]
		s.scheduleAfter(s.randomBetween(0, chaosMaxDuration), func() { delete(n.partitionedRegions, pair) })
	}
	n.partitionChanged()
}
