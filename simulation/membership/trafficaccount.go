package membership

import "chutechute/internal/monotime"

// peakWindowSeconds is the length of the window over which the peak rate of a front end is averaged.
const peakWindowSeconds = 10

// trafficAccount counts the traffic of the measured part.
type trafficAccount struct {
	sim       *simulation
	active    bool
	startedAt monotime.Micros
	duration  monotime.Micros // set when it has ended
	baseline  []memberTraffic // counts of each member when the part began

	// For the peak rate, by the index of the attached front end.
	lastTotals     []int64                    // total bytes at the end of the last second
	windows        [][peakWindowSeconds]int64 // bytes in each of the last seconds, as a ring buffer
	elapsedSeconds int
	peak           peakWindow
}

// peakWindow is the window with the most traffic of any attached front end.
type peakWindow struct {
	bytes    int64
	frontEnd string
}

// start begins to count.
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

// endSecond completes the current second of all windows, and schedules the end of the next.
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

// stop ends the counting.
func (a *trafficAccount) stop() {
	a.active = false
	a.duration = a.sim.now - a.startedAt
}

// total returns the traffic of members in the measured part.
func (a *trafficAccount) total(members []*member) (total memberTraffic) {
	for _, m := range members {
		total.addSince(&m.traffic, &a.baseline[m.index])
	}
	return total
}

// perSecondAndMember divides a total by the seconds of the measured part and by the number of members.
func (a *trafficAccount) perSecondAndMember(total float64, members int) float64 {
	return total / inSeconds(a.duration) / float64(members)
}
