package membership

import "chutechute/internal/monotime"

// Parameters of scenarios with members that are paused or read slowly.
const (
	pauseDuration         = 10 * monotime.Second
	stalledQueueLimit     = 64                          // bytes: only one message more finds room while others wait
	readStallDuration     = 1500 * monotime.Millisecond // every other time
	stalledReaderDuration = 60 * monotime.Second
	slowReadRate          = 15 // bytes a second: less than the answers to its heartbeats
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
