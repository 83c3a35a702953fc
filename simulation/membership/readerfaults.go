package membership

import "chutechute/internal/monotime"

// Parameters of scenarios with members that are paused or read slowly.
const (
	pauseDuration         = 10 * monotime.Second
	stalledQueueLimit     = 64                          // bytes: a non-empty queue takes at most one more message
	readStallDuration     = 1500 * monotime.Millisecond // and as long until the next stall
	stalledReaderDuration = 60 * monotime.Second
	slowReadRate          = 15 // bytes per second; below the rate of the responses to its heartbeats
	slowQueueLimit        = 512
)

func injectPauses(s *simulation) {
	for _, m := range []*member{s.attachedFrontEnds[0], s.controlMembers[0]} {
		s.scheduleAfter(faultDelay, m.pause)
		s.scheduleAfter(faultDelay+pauseDuration, m.resume)
	}
}

func injectStalledReader(s *simulation) {
	m := s.attachedFrontEnds[0]
	m.queueLimit = stalledQueueLimit
	for at := monotime.Micros(0); at < stalledReaderDuration; at += 2 * readStallDuration {
		s.scheduleAfter(at, func() { m.readStalled = true })
		s.scheduleAfter(at+readStallDuration, m.resumeReading)
	}
	injectRestarts(s)
}

func injectSlowReader(s *simulation) {
	m := s.attachedFrontEnds[0]
	m.readRate = slowReadRate
	m.queueLimit = slowQueueLimit
	injectRestarts(s)
}
