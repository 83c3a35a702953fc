package simulation

// crashPoint is a point in the processing of a request at which a crash is most likely to violate a guarantee.
type crashPoint string

const (
	requestSubmitted  crashPoint = "request submitted"
	attemptAuthorized crashPoint = "attempt authorized" // its start was not sent to the engine yet
	executionStarted  crashPoint = "execution started"
	executionEnded    crashPoint = "execution ended"
	responseSent      crashPoint = "response sent"
	responseReceived  crashPoint = "response received"
)

// The time after which a crashed front end restarts.
const (
	minRestartDelay = 50 * ms
	maxRestartDelay = 4 * second
)

// The duration of a pause between the authorization of an attempt and the sending of its start.
const (
	minPause = 700 * ms
	maxPause = 6 * second
	// Mutation.TakeOverWithoutWaiting has an effect only if the attempt is still sent after the pause, so the pause ends
	// while the authorization is valid.
	minPauseWithinAuthorization = 800 * ms
	maxPauseWithinAuthorization = 2 * second
)

// reachCrashPoint is called when a request has reached a crash point. It may crash or pause the front end.
func (s *Simulation) reachCrashPoint(point crashPoint, f *FrontEnd) {
	if s.options.CrashOneIn == 0 || s.healed || f.process == nil || !s.random.oneIn(s.options.CrashOneIn) {
		return
	}
	emptyDisk := s.allReplicasCaughtUp() && (!s.options.DurableDisks || s.random.oneIn(2))
	if !s.options.DurableDisks && !emptyDisk {
		return
	}
	s.logFault("at crash point %q:", point)
	if point == attemptAuthorized && s.random.oneIn(2) {
		s.pauseBeforeStart(f)
		return
	}
	f.crash(emptyDisk)
	s.after(s.random.between(minRestartDelay, maxRestartDelay), f.start)
}

// pauseBeforeStart pauses a front end that has not sent the start of an authorized attempt yet.
func (s *Simulation) pauseBeforeStart(f *FrontEnd) {
	f.pause()
	duration := s.random.between(minPause, maxPause)
	if s.options.Mutation.TakeOverWithoutWaiting {
		duration = s.random.between(minPauseWithinAuthorization, maxPauseWithinAuthorization)
	}
	s.after(duration, f.resume)
}
