package gateway

import "chutechute/internal/monotime"

// Phase is a phase of a front end's lifecycle.
type Phase int

// The phases, in order. Draining and the phases after it belong to a graceful shutdown.
const (
	Starting  Phase = iota // not listening yet
	Serving                // healthy
	Reloading              // healthy; the discovery service of the new configuration has not answered yet
	Draining               // shutdown was requested: unhealthy, but still accepts connections
	Closing                // accepts no connections, but still serves requests on open ones
	Answering              // completes open requests; closes a connection once it has no pending response
	Stopped                // the process may exit
)

// String returns the name of the phase as it appears in the log.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "reloading", "draining", "closing", "answering", "stopped"}[p]
}

// closeAfter and answerAfter are the starts of the phases Closing and Answering, counted from the shutdown signal.
// Clients open connections until 0.4 s after the signal and send requests on open connections until 0.6 s after it, in
// both cases up to 50 ms late. A request that is accepted later than 0.7 s after the signal would still have to be
// answered before the process may be killed; by then no request is accepted.
const (
	closeAfter  = 500 * monotime.Millisecond
	answerAfter = 650 * monotime.Millisecond
)

// After the shutdown signal the process may run for the longest client timeout, of which at most maxCountedTimeout
// counts, plus killAfter. It may be killed then.
const (
	killAfter         = 700 * monotime.Millisecond
	maxCountedTimeout = 3 * monotime.Second
	expireBeforeKill  = 400 * monotime.Millisecond // all open requests are expired this long before the kill
	stopBeforeKill    = 150 * monotime.Millisecond // all connections are closed this long before the kill
)

// Lifecycle is the state machine of a front end's phases. Its zero value is in the phase Starting.
type Lifecycle struct {
	// MaxClientTimeout is the longest client timeout of any request; 0: unknown, which counts as the longest possible.
	MaxClientTimeout monotime.Micros

	phase      Phase
	drainStart monotime.Micros
}

// killTime returns when the process may be killed. It is valid from Drain on.
func (l *Lifecycle) killTime() monotime.Micros {
	longest := maxCountedTimeout
	if l.MaxClientTimeout > 0 {
		longest = min(longest, l.MaxClientTimeout)
	}
	return l.drainStart + longest + killAfter
}

// Healthy reports whether the front end should be sent requests.
func (l *Lifecycle) Healthy() bool { return l.phase == Serving || l.phase == Reloading }

// Phase returns the current phase.
func (l *Lifecycle) Phase() Phase { return l.phase }

// Serve changes the phase from Starting to Serving.
func (l *Lifecycle) Serve() {
	if l.phase == Starting {
		l.phase = Serving
	}
}

// Reload changes the phase from Serving to Reloading, when a new configuration comes into force. It has no effect in
// any other phase.
func (l *Lifecycle) Reload() {
	if l.phase == Serving {
		l.phase = Reloading
	}
}

// Reloaded changes the phase from Reloading to Serving, when the new configuration's discovery service has answered.
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

// MustExpireAll reports whether all open requests must be answered now, regardless of their deadlines.
func (l *Lifecycle) MustExpireAll(now monotime.Micros) bool {
	return l.phase >= Draining && now >= l.killTime()-expireBeforeKill
}

// Advance enters the phases that are due and returns the current one. quiet reports that no request is open, no attempt
// is in flight, no byte is left to be written and no client is connected, so that the phase Answering may end early.
func (l *Lifecycle) Advance(now monotime.Micros, quiet bool) Phase {
	for l.phaseEnded(now, quiet) {
		l.phase++
	}
	return l.phase
}

// phaseEnded reports whether the current phase has ended.
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
