package membership

import "chutechute/internal/monotime"

// peakWindowSeconds is the length of the window in which the peak rate of a front end is averaged.
const peakWindowSeconds = 10

// trafficAccount accounts for the traffic of the measured part.
type trafficAccount struct {
	sim       *simulation
	active    bool
	startedAt monotime.Micros
	duration  monotime.Micros // known when it has ended
	baseline  []memberTraffic // of each member when it began

	// Of each attached front end, for the peak.
	lastTotals     []int64                    // bytes when the last second ended
	windows        [][peakWindowSeconds]int64 // bytes of each second, a ring
	elapsedSeconds int
	peak           peakWindow
}

// peakWindow is the window in which an attached front end had the most traffic.
type peakWindow struct {
	bytes    int64
	frontEnd string
}

// start begins to account.
func (a *trafficAccount) start(s *simulation) {
	a.sim = s
	a.active = true
	a.startedAt = s.now
	a.baseline = make([]memberTraffic, len(s.members))
	a.lastTotals = make([]int64, len(s.attachedFrontEnds))
	a.windows = make([][peakWindowSeconds]int64, len(s.attachedFrontEnds))
	for i, m := range s.members {
		a.baseline[i] = m.traffic
	}
	for i, m := range s.attachedFrontEnds {
		a.lastTotals[i] = m.traffic.totalBytes()
	}
	s.scheduleAfter(monotime.Second, a.endSecond)
}

// endSecond ends a second of the windows.
func (a *trafficAccount) endSecond() {
	if !a.active {
		return
	}
	a.elapsedSeconds++
	for i, m := range a.sim.attachedFrontEnds {
		total := m.traffic.totalBytes()
		a.windows[i][a.elapsedSeconds%peakWindowSeconds] = total - a.lastTotals[i]
		a.lastTotals[i] = total
		windowBytes := int64(0)
		for _, bytes := range a.windows[i] {
			windowBytes += bytes
		}
		if windowBytes > a.peak.bytes {
			a.peak = peakWindow{windowBytes, m.name}
		}
	}
	a.sim.scheduleAfter(monotime.Second, a.endSecond)
}

// stop ends the account.
func (a *trafficAccount) stop() {
	a.active = false
	a.duration = a.sim.now - a.startedAt
}

// total is what members received and sent in the accounted time.
func (a *trafficAccount) total(members []*member) (total memberTraffic) {
	for _, m := range members {
		total.addSince(&m.traffic, &a.baseline[m.index])
	}
	return total
}

// perSecondAndMember is a total divided by the accounted seconds and by the number of members.
func (a *trafficAccount) perSecondAndMember(total float64, members int) float64 {
	return total / inSeconds(a.duration) / float64(members)
}
