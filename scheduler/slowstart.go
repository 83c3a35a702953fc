package scheduler

import "chutechute/internal/monotime"

// An engine that has started warms up: its capacity grows from Rules.InitialWarmth to the whole over Rules.WarmUp, and
// the work that all gateways send it within any Rules.OverloadWindow is bounded. Each gateway keeps to its part of that
// work budget on its own, unless a budget of the fleet divides it.
const (
	// capacityUtilization is the busy share of the cores at the rate that Rules.OverloadMultiple multiplies.
	capacityUtilization = 0.85
	// warmUpMargin is the part of the work budget that is used: work is only known on average.
	warmUpMargin = 0.7
	// lightWorkBudget is the part of the work budget that light queries share in a surge: their number scatters.
	lightWorkBudget = 0.5
	// heavyWorkBudget is the part that heavy queries of one gateway have in its turn: their work scatters.
	heavyWorkBudget = 0.45
	// maxLightWork is the part of the work budget that a light query's work is at most.
	maxLightWork = 0.1
	// turnWindows is the length of a gateway's turn in OverloadWindows: long enough for most gateways to have a heavy
	// query.
	turnWindows = 5
	// maxDiscoveryDelay is the time by which discovery has reported a restart.
	maxDiscoveryDelay = 7 * monotime.Second
)

// warmUpState is whether an engine warms up, and how that is known.
type warmUpState int

const (
	warmUpDone     warmUpState = iota
	warmUpReported             // discovery reported a start
	warmUpAssumed              // its absence suggests a restart, which discovery may not have reported yet
)

// warmUp is an engine's warm-up and what this gateway has sent it meanwhile.
type warmUp struct {
	state  warmUpState
	from   monotime.Micros
	work   slidingWindow // of attempts sent, in microseconds on one thread
	credit workCredit    // for light queries
}

// begin begins a warm-up. The phase, from 0 to 1, is random.
func (w *warmUp) begin(now, from monotime.Micros, state warmUpState, phase float64) {
	w.state, w.from = state, from
	w.credit = workCredit{updatedAt: now, phase: phase}
}

func (w *warmUp) active() bool { return w.state != warmUpDone }

// capacity returns the part of its capacity that the engine has: a straight line over the warm-up.
func (w *warmUp) capacity(now monotime.Micros, rules *Rules) float64 {
	if !w.active() {
		return 1
	}
	age := float64(now-w.from) / float64(max(1, rules.WarmUp))
	return min(1, rules.InitialCapacity+(1-rules.InitialCapacity)*max(0, age))
}

// over reports whether an active warm-up ends now.
func (w *warmUp) over(now monotime.Micros, rules *Rules) bool {
	return now >= w.from+rules.WarmUp || w.state == warmUpAssumed && now >= w.from+maxDiscoveryDelay
}

// countAttempt counts the work of an attempt.
func (w *warmUp) countAttempt(now monotime.Micros, work float64) {
	if w.active() {
		w.work.add(now, work)
		w.credit.left -= work
	}
}

// fits reports whether further work keeps what was sent within the window to the bound.
func (w *warmUp) fits(now, window monotime.Micros, work, bound float64) bool {
	return w.work.since(now-window)+work <= bound
}

// workCredit is work that may be sent, growing at a rate. Each gateway starts at a random phase, so that many gateways
// with little each don't wait for the work of their first query together.
type workCredit struct {
	left      float64 // work on one thread, microseconds
	updatedAt monotime.Micros
	phase     float64 // part of the first query's work that is there from the start
}

// accrue adds what the time since the last call brings, at a rate in work a microsecond, up to the work of one query or
// of a second.
func (c *workCredit) accrue(now monotime.Micros, rate, work float64) {
	c.left += c.phase*work + rate*float64(now-c.updatedAt)
	c.left, c.updatedAt, c.phase = min(c.left, max(work, rate*float64(monotime.Second))), now, 0
}

// hasWarmUpCapacity keeps this gateway's part of the work that an engine can take while it warms up. Where an even part
// is less than the longest class's work, light queries draw on a credit, which over all gateways adds up to
// lightWorkBudget, however uneven they are, and heavy ones take turns.
func (s *Scheduler) hasWarmUpCapacity(q *query, e *engine) bool {
	rules, work := &s.cfg.Rules, q.class.meanWork
	if !e.warmUp.active() || rules.OverloadWindow <= 0 || s.budgets.divideWarmUp {
		return true
	}
	window := rules.OverloadWindow
	budget := rules.OverloadMultiple * capacityUtilization * e.cores * e.warmUp.capacity(s.now, rules) * float64(window)
	longest := 0.0
	for _, c := range s.classes {
		longest = max(longest, c.meanWork)
	}
	if part := warmUpMargin * budget / float64(s.cfg.Gateways); part >= longest {
		return e.warmUp.fits(s.now, window, work, part)
	}
	if work <= maxLightWork*budget {
		credit := &e.warmUp.credit
		credit.accrue(s.now, lightWorkBudget*budget*s.traffic.measuredShare(s.now)/float64(window), work)
		return credit.left >= work
	}
	return s.hasWarmUpTurn(e) && e.warmUp.fits(s.now, window, work, heavyWorkBudget*budget)
}

// hasWarmUpTurn reports whether it is this gateway's turn to send heavy queries to an engine. One gateway, drawn by
// hash, has all but one of turnWindows windows, so that no window meets two turns. A gateway that has just started sits
// its turn out, since it may have sent something before.
func (s *Scheduler) hasWarmUpTurn(e *engine) bool {
	window := s.cfg.Rules.OverloadWindow
	at := uint64(s.now/window) + e.hash%turnWindows
	drawn := mixHash(e.hash^at/turnWindows) + uint64(s.cfg.Rank)
	return drawn%uint64(s.cfg.Gateways) == 0 && at%turnWindows > 0 && s.now >= s.firstStepAt+window
}

// endWarmUp ends a warm-up that is over: the engine goes on like others, and is not to be filled first.
func (s *Scheduler) endWarmUp(e *engine) {
	if w := &e.warmUp; w.active() && w.over(s.now, &s.cfg.Rules) {
		w.state, w.work = warmUpDone, slidingWindow{}
		recent := s.placement.recentThreads(e, len(s.endpoints.engines))
		e.recentThreads = max(recent, s.placement.meanLoad*e.cores)
		e.recentAt = s.placement.sends
	}
}
