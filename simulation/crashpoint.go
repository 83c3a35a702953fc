package simulation

// crashPoint is a point in the life of a request at which a crash is most likely to break a guarantee.
type crashPoint string

const (
	requestSubmitted  crashPoint = "request submitted"
	attemptAuthorized crashPoint = "attempt authorized" // it may start, and was not sent to its engine yet
	executionStarted  crashPoint = "execution started"
	executionEnded    crashPoint = "execution ended"
	responseSent      crashPoint = "response sent"
	responseReceived  crashPoint = "response received"
)

// The delay before a crashed front end starts again.
const (
	minRestartDelay = 50 * ms
	maxRestartDelay = 4 * second
)

// The duration of a pause between the authorization of an attempt and its start.
const (
	minPause = 700 * ms
	maxPause = 6 * second
	// A pause that shows Mutation.TakeOverWithoutWaiting is shorter than the authorization is valid.
	minPauseWithinAuthorization = 800 * ms
	maxPauseWithinAuthorization = 2 * second
)

// reach marks that a request has reached a crash point at a front end, which may crash or pause there.
func (s *Simulation) reach(point crashPoint, f *FrontEnd) {
	if s.options.CrashOneIn == 0 || s.healed || f.process == nil || !s.random.oneIn(s.options.CrashOneIn) {
		return
	}
	emptyDisk := s.allReplicasCaughtUp() && (!s.options.DurableDisks || s.random.oneIn(2))
	if !s.options.DurableDisks && !emptyDisk {
		return
	}
	s.logFault("at the point %q:", point)
	if point == attemptAuthorized && s.random.oneIn(2) {
		s.pauseBeforeStart(f)
		return
	}
	f.crash(emptyDisk)
	s.after(s.random.between(minRestartDelay, maxRestartDelay), f.start)
}

// pauseBeforeStart pauses a front end between the authorization of an attempt and its start.
func (s *Simulation) pauseBeforeStart(f *FrontEnd) {
	f.pause()
	duration := s.random.between(minPause, maxPause)
	if s.options.Mutation.TakeOverWithoutWaiting {
		duration = s.random.between(minPauseWithinAuthorization, maxPauseWithinAuthorization)
	}
	s.after(duration, f.resume)
}
