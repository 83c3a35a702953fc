package gateway

import "chutechute/decide"

// Phase is a state of a front end between its start and its exit.
type Phase int

// The phases, in order.
const (
	Starting  Phase = iota // nothing is listened to yet
	Serving                // health is good
	Reloading              // health is good; a new configuration is in force, its journal service not yet heard
	Draining               // told to end: health is bad, connections are still accepted
	Closing                // no new connections; requests on open ones are still served
	Answering              // what is open gets its answer
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "reloading", "draining", "closing", "answering", "stopped"}[p]
}

// When the phases of a planned restart begin, counted from its signal. Clients connect for up to 0.4 s
// and send on open connections for 0.2 s more; the process may be killed 3.7 s after the signal.
const (
	closeAfter  = 500 * decide.Second / 1000
	answerAfter = 800 * decide.Second / 1000
	expireAfter = 3300 * decide.Second / 1000
	stopAfter   = 3550 * decide.Second / 1000
)

// Life is the front end's way through its phases.
type Life struct {
	phase Phase
	told  Micros // when it was told to end
}

// Healthy says whether more requests are welcome.
func (l *Life) Healthy() bool { return l.phase == Serving || l.phase == Reloading }

// Phase is where it stands.
func (l *Life) Phase() Phase { return l.phase }

// Serve begins service.
func (l *Life) Serve() {
	if l.phase == Starting {
		l.phase = Serving
	}
}

// Reload begins with a new configuration; a front end that is to end keeps to its way.
func (l *Life) Reload() {
	if l.phase == Serving {
		l.phase = Reloading
	}
}

// Reloaded says that the new configuration's journal service has been heard.
func (l *Life) Reloaded() {
	if l.phase == Reloading {
		l.phase = Serving
	}
}

// Drain begins a planned end; a second call changes nothing.
func (l *Life) Drain(now Micros) {
	if l.phase < Draining {
		l.phase, l.told = Draining, now
	}
}

// Expired says whether what is open must be answered now whatever its deadline.
func (l *Life) Expired(now Micros) bool { return l.phase >= Draining && now >= l.told+expireAfter }

// Advance moves on with time; quiet says that nothing is open, out or unwritten.
func (l *Life) Advance(now Micros, quiet bool) Phase {
	for {
		age := now - l.told
		switch {
		case l.phase == Draining && age >= closeAfter:
		case l.phase == Closing && age >= answerAfter:
		case l.phase == Answering && (quiet || age >= stopAfter):
		default:
			return l.phase
		}
		l.phase++
	}
}
