package membership

import "chutechute/internal/monotime"

// faultDelay is the time from the start of the measured part to a scenario's fault, unless the scenario has its own.
const faultDelay = monotime.Second

// Parameters of scenarios with crashes and restarts.
const (
	zoneDownTime         = 30 * monotime.Second
	controlDownTime      = 60 * monotime.Second
	successiveLossDelay  = 10 * monotime.Second // from the crash of a control member to that of the others of its zone
	rollingFirstDownTime = 20 * monotime.Second // of the control member that crashes first
	// rollingStart is when the restarts begin. Some front ends have returned to the first control member by then.
	rollingStart     = 40 * monotime.Second
	rollingInterval  = 2500 * monotime.Millisecond
	restartDownTime  = monotime.Second // from the end of a process to the start of the next, in a restart
	restartsDuration = 10 * monotime.Second
	restartedShare   = 10 // one in restartedShare attached front ends is restarted
	flapInterval     = 3 * monotime.Second
	flapDuration     = 4 * minute
	deathsDuration   = 30 * monotime.Second
	deathShare       = 100 // one in deathShare attached front ends crashes
)

// startAll starts all members that have no process at random times within a duration, the control members in its first
// tenth.
func (s *simulation) startAll(duration monotime.Micros) {
	for _, m := range s.controlMembers {
		s.scheduleAfter(s.randomBetween(0, duration/10), m.start)
	}
	for _, m := range s.attachedFrontEnds {
		s.scheduleAfter(s.randomBetween(duration/10, duration), m.start)
	}
}

func injectColdStart(s *simulation) {
	s.addTrigger("start")
	s.startAll(0)
}

// injectZoneLoss crashes the machines of the last zone. At full size it has two control members and 117 attached front
// ends.
func injectZoneLoss(s *simulation) {
	lost := filterMembers(s.members, func(m *member) bool { return m.zone == s.shape.Zones-1 })
	s.scheduleAfter(faultDelay, func() {
		s.addTrigger("zone lost")
		for _, m := range lost {
			m.crash(machineCrash)
		}
	})
	s.scheduleAfter(faultDelay+zoneDownTime, func() {
		s.addTrigger("zone back")
		for _, m := range lost {
			m.start()
		}
	})
}

func injectRestarts(s *simulation) {
	s.addTrigger("restarts")
	for _, m := range s.drawMembers(s.attachedFrontEnds, len(s.attachedFrontEnds)/restartedShare) {
		s.scheduleAfter(s.randomBetween(0, restartsDuration), m.restart)
	}
}

func injectFlapping(s *simulation) {
	flapping := s.attachedFrontEnds[0]
	for _, m := range s.controlMembers {
		s.groundTruth.observedFlaps[memberPair{m.index, flapping.index}] = 0
	}
	for at := faultDelay; at < flapDuration; at += flapInterval {
		s.scheduleAfter(at, flapping.restart)
	}
}

func injectDeaths(s *simulation) {
	count := max(1, len(s.attachedFrontEnds)/deathShare)
	for _, m := range s.drawMembers(s.attachedFrontEnds, count) {
		s.scheduleAfter(s.randomBetween(0, deathsDuration), func() { m.crash(processCrash) })
	}
}

func injectControlLoss(s *simulation) {
	lost := s.controlMembers[0]
	s.scheduleAfter(faultDelay, func() {
		s.addTrigger("control member lost")
		lost.crash(processCrash)
	})
	s.scheduleAfter(faultDelay+controlDownTime, func() {
		s.addTrigger("control member back")
		lost.start()
	})
}

func injectSuccessiveControlLoss(s *simulation) {
	first := s.controlMembers[0]
	for _, m := range s.controlMembers {
		if m.zone != first.zone {
			continue
		}
		delay := faultDelay
		if m != first {
			delay += successiveLossDelay
		}
		s.scheduleAfter(delay, func() {
			s.addTrigger(m.name + " lost")
			m.crash(processCrash)
		})
		s.scheduleAfter(delay+controlDownTime, m.start)
	}
}

func injectRollingRestart(s *simulation) {
	first := s.controlMembers[0]
	s.scheduleAfter(faultDelay, func() { first.crash(processCrash) })
	s.scheduleAfter(faultDelay+rollingFirstDownTime, first.start)
	for i, m := range s.controlMembers[1:] {
		s.scheduleAfter(rollingStart+monotime.Micros(i)*rollingInterval, m.restart)
	}
}
