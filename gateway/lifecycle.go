package gateway

import "chutechute/internal/monotime"

// Phase is a phase of a front end between its start and its exit.
type Phase int

// The phases, in order. Draining and later ones are those of a graceful shutdown.
const (
	Starting  Phase = iota // it does not listen yet
	Serving                // it is healthy
	Reloading              // it is healthy; the discovery service of its new configuration has not answered yet
	Draining               // shutdown was requested: it is unhealthy, and still accepts connections
	Closing                // it accepts no connections; requests on open ones are still served
	Answering              // open requests get their responses; a connection is closed once none is pending on it
	Stopped                // it may exit
)

// String returns the name of the phase, as operators read it in the log.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "reloading", "draining", "closing", "answering", "stopped"}[p]
}

// The phases of a graceful shutdown begin at these times after its signal. Clients connect for up to 0.4 s and send on
// open connections for 0.2 s more, each 50 ms late at most. What comes later than 0.7 s after the signal would have to
// be answered before the process may be killed, and nothing is accepted any more by then.
const (
	closeAfter  = 500 * monotime.Millisecond
	answerAfter = 650 * monotime.Millisecond
)

// The process may be killed killAfter after the longest deadline of a request, which counts for no more than
// maxCountedDeadline.
const (
	killAfter          = 700 * monotime.Millisecond
	maxCountedDeadline = 3 * monotime.Second
	expireBeforeKill   = 400 * monotime.Millisecond // by then all open requests have got their responses
	stopBeforeKill     = 150 * monotime.Millisecond // by then all connections are closed
)

// Lifecycle is the state machine of a front end's phases. The zero value is Starting.
type Lifecycle struct {
	// MaxClientTimeout is the longest timeout of a request's client; 0 counts as long as possible.
	MaxClientTimeout monotime.Micros

	phase      Phase
	drainStart monotime.Micros
}

// killTime returns when the process may be killed, once it drains.
func (l *Lifecycle) killTime() monotime.Micros {
	longest := maxCountedDeadline
	if l.MaxClientTimeout > 0 {
		longest = min(longest, l.MaxClientTimeout)
	}
	return l.drainStart + longest + killAfter
}

// Healthy reports whether the front end wants more requests.
func (l *Lifecycle) Healthy() bool { return l.phase == Serving || l.phase == Reloading }

// Phase returns the current phase.
func (l *Lifecycle) Phase() Phase { return l.phase }

// Serve ends the phase Starting.
func (l *Lifecycle) Serve() {
	if l.phase == Starting {
		l.phase = Serving
	}
}

// Reload tells that a new configuration is in force. It has no effect on a front end that drains.
func (l *Lifecycle) Reload() {
	if l.phase == Serving {
		l.phase = Reloading
	}
}

// Reloaded tells that the new configuration's discovery service has answered.
func (l *Lifecycle) Reloaded() {
	if l.phase == Reloading {
		l.phase = Serving
	}
}

// Drain begins a graceful shutdown. A second call has no effect.
func (l *Lifecycle) Drain(now monotime.Micros) {
	if l.phase < Draining {
		l.phase, l.drainStart = Draining, now
	}
}

// MustExpireAll reports whether all open requests must be answered now, whatever their deadlines.
func (l *Lifecycle) MustExpireAll(now monotime.Micros) bool {
	return l.phase >= Draining && now >= l.killTime()-expireBeforeKill
}

// Advance enters the phases whose time has come and returns the current one. Quiet tells that no request is open, no
// attempt in flight, no byte unwritten and no client connected, so that the phase Answering may end early.
func (l *Lifecycle) Advance(now monotime.Micros, quiet bool) Phase {
	for l.phaseEnded(now, quiet) {
		l.phase++
	}
	return l.phase
}

// phaseEnded reports whether the current phase has ended by time.
func (l *Lifecycle) phaseEnded(now monotime.Micros, quiet bool) bool {
	elapsed := now - l.drainStart
	switch l.phase {
	case Draining:
		return elapsed >= closeAfter
	case Closing:
		return elapsed >= answerAfter
	case Answering:
		return quiet || now >= l.killTime()-stopBeforeKill
	default:
		return false
	}
}
