package gateway

import "chutechute/internal/monotime"

// Phase is a state of a front end between its start and its exit.
type Phase int

// The phases, in order.
const (
	Starting  Phase = iota // nothing is listened to yet
	Serving                // health is good
	Reloading              // health is good; a new configuration is in force, its journal service not yet heard
	Draining               // told to end: health is bad, connections are still accepted
	Closing                // no new connections; requests on open ones are still served
	Answering              // what is open gets its answer, and each connection on which nothing is owed is ended
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "reloading", "draining", "closing", "answering", "stopped"}[p]
}

// When the phases of a planned restart begin, counted from its signal. Clients connect for up to 0.4 s and send on open
// connections for 0.2 s more, each 50 ms late at most. What comes later than 0.7 s after the signal has to be answered before
// the process may be killed, and nothing is taken any more by then.
const (
	closeAfter  = 500 * monotime.Second / 1000
	answerAfter = 650 * monotime.Second / 1000
	// The process may be killed so long after the longest deadline, which counts as no more than longestCounted.
	killAfter      = 700 * monotime.Second / 1000
	longestCounted = 3 * monotime.Second
	expireBefore   = 400 * monotime.Second / 1000 // it is killed: all that is open is answered by then
	stopBefore     = 150 * monotime.Second / 1000 // it is killed: its connections have ended by then
)

// Lifecycle is the front end's way through its phases. Its zero value counts the longest deadline for as much as may be.
type Lifecycle struct {
	// LongestDeadline is the longest deadline of a request.
	LongestDeadline monotime.Micros
	phase           Phase
	told            monotime.Micros // when it was told to end
}

// killed is when the process may be killed.
func (l *Lifecycle) killed() monotime.Micros {
	longest := monotime.Micros(longestCounted)
	if l.LongestDeadline > 0 {
		longest = min(longest, l.LongestDeadline)
	}
	return l.told + longest + killAfter
}

// Healthy says whether more requests are welcome.
func (l *Lifecycle) Healthy() bool { return l.phase == Serving || l.phase == Reloading }

// Phase is where it stands.
func (l *Lifecycle) Phase() Phase { return l.phase }

// Serve begins service.
func (l *Lifecycle) Serve() {
	if l.phase == Starting {
		l.phase = Serving
	}
}

// Reload begins with a new configuration; a front end that is to end keeps to its way.
func (l *Lifecycle) Reload() {
	if l.phase == Serving {
		l.phase = Reloading
	}
}

// Reloaded says that the new configuration's journal service has been heard.
func (l *Lifecycle) Reloaded() {
	if l.phase == Reloading {
		l.phase = Serving
	}
}

// Drain begins a planned end; a second call changes nothing.
func (l *Lifecycle) Drain(now monotime.Micros) {
	if l.phase < Draining {
		l.phase, l.told = Draining, now
	}
}

// Expired says whether what is open must be answered now whatever its deadline.
func (l *Lifecycle) Expired(now monotime.Micros) bool {
	return l.phase >= Draining && now >= l.killed()-expireBefore
}

// Advance moves on with time; quiet says that nothing is open, out or unwritten and no client is left.
func (l *Lifecycle) Advance(now monotime.Micros, quiet bool) Phase {
	for {
		age := now - l.told
		switch {
		case l.phase == Draining && age >= closeAfter:
		case l.phase == Closing && age >= answerAfter:
		case l.phase == Answering && (quiet || now >= l.killed()-stopBefore):
		default:
			return l.phase
		}
		l.phase++
	}
}
