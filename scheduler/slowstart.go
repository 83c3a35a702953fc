package scheduler

import "chutechute/internal/monotime"

// Slow start: after an engine's start its capacity grows from Rules.InitialCapacity to 1 over Rules.WarmUp, and the
// work that all front ends send it within any Rules.OverloadWindow is bounded. Each front end keeps to its part of that
// work budget on its own, unless a budget of the fleet divides it.
const (
	// capacityUtilization is the utilization of the cores of an engine at capacity. Rules.OverloadMultiple is a
	// multiple of the work that the cores execute at that utilization.
	capacityUtilization = 0.85
	// warmUpMargin is the fraction of the work budget that is used, because only the mean work of a query is known.
	warmUpMargin = 0.7
	// lightWorkBudget is the fraction of the work budget for the light queries of all front ends in a surge. It leaves
	// a margin because their number varies.
	lightWorkBudget = 0.5
	// heavyWorkBudget is the fraction for the heavy queries of one front end in its time slot. It leaves a margin
	// because their work varies.
	heavyWorkBudget = 0.45
	// maxLightWork is the mean work of a light query at most, as a fraction of the work budget.
	maxLightWork = 0.1
	// timeSlotWindows is the length of a front end's time slot in OverloadWindows. It is long enough for most front
	// ends to have a heavy query in it.
	timeSlotWindows = 5
	// maxDiscoveryDelay is the longest time that discovery takes to report a restart.
	maxDiscoveryDelay = 7 * monotime.Second
)

// warmUpState says whether an engine is warming up, and how that is known.
type warmUpState int

const (
	warmUpDone     warmUpState = iota // the engine has its full capacity
	warmUpReported                    // discovery reported a start
	warmUpAssumed                     // it was ejected for long: it may have restarted, which discovery reports late
)

// warmUp is the state of an engine's warm-up and the work that this front end has sent it meanwhile.
type warmUp struct {
	state     warmUpState
	startedAt monotime.Micros // when the engine started, or is assumed to have started
	work      slidingWindow   // of attempts sent, in microseconds on one thread
	credit    workCredit      // for light queries
}

// begin starts a warm-up. phase is a random number from 0 to 1; see workCredit.
func (w *warmUp) begin(now, startedAt monotime.Micros, state warmUpState, phase float64) {
	w.state, w.startedAt = state, startedAt
	w.credit = workCredit{updatedAt: now, phase: phase}
}

func (w *warmUp) active() bool { return w.state != warmUpDone }

// capacity returns the fraction of its full capacity that the engine has, which grows linearly over the warm-up.
func (w *warmUp) capacity(now monotime.Micros, rules *Rules) float64 {
	if !w.active() {
		return 1
	}
	age := float64(now-w.startedAt) / float64(max(1, rules.WarmUp))
	return min(1, rules.InitialCapacity+(1-rules.InitialCapacity)*max(0, age))
}

// hasEnded reports whether an active warm-up has ended.
func (w *warmUp) hasEnded(now monotime.Micros, rules *Rules) bool {
	return now >= w.startedAt+rules.WarmUp || w.state == warmUpAssumed && now >= w.startedAt+maxDiscoveryDelay
}

// countAttempt records the work of an attempt sent during the warm-up.
func (w *warmUp) countAttempt(now monotime.Micros, work float64) {
	if w.active() {
		w.work.add(now, work)
		w.credit.available -= work
	}
}

// fits reports whether the work sent within the window stays within the bound with further work added.
func (w *warmUp) fits(now, window monotime.Micros, work, bound float64) bool {
	return w.work.since(now-window)+work <= bound
}

// workCredit is a token bucket of work that may be sent. Each front end starts it at a random fill level, so that many
// front ends with a low rate each do not all have the credit for their first query at the same time.
type workCredit struct {
	available float64 // available work on one thread, in microseconds
	updatedAt monotime.Micros
	phase     float64 // initial fill level, as a fraction of the first query's work
}

// accrue adds the credit for the time since the last call, at a rate in work per microsecond. The credit is capped at
// the work of one query or of one second, whichever is more.
func (c *workCredit) accrue(now monotime.Micros, rate, work float64) {
	c.available += c.phase*work + rate*float64(now-c.updatedAt)
	c.available, c.updatedAt, c.phase = min(c.available, max(work, rate*float64(monotime.Second))), now, 0
}

// hasWarmUpCapacity reports whether this front end's part of an engine's work budget has capacity for the query while
// the engine is warming up. If an even part of the budget is at least the mean work of the longest class, that is the
// bound. Otherwise light queries spend a credit whose total over all front ends is lightWorkBudget, however unevenly
// traffic is distributed among them, and heavy queries are sent only in the front end's time slot.
func (s *Scheduler) hasWarmUpCapacity(q *query, e *engine) bool {
	rules, work := &s.cfg.Rules, q.class.meanWork
	if !e.warmUp.active() || rules.OverloadWindow <= 0 || s.budgets.limitsWarmUpWork {
		return true
	}
	window := rules.OverloadWindow
	budget := rules.OverloadMultiple * capacityUtilization * e.cores * e.warmUp.capacity(s.now, rules) * float64(window)
	longest := 0.0
	for _, c := range s.classes {
		longest = max(longest, c.meanWork)
	}
	if part := warmUpMargin * budget / float64(s.cfg.FrontEnds); part >= longest {
		return e.warmUp.fits(s.now, window, work, part)
	}
	if work <= maxLightWork*budget {
		credit := &e.warmUp.credit
		credit.accrue(s.now, lightWorkBudget*budget*s.traffic.measuredShare(s.now)/float64(window), work)
		return credit.available >= work
	}
	return s.hasWarmUpTimeSlot(e) && e.warmUp.fits(s.now, window, work, heavyWorkBudget*budget)
}

// hasWarmUpTimeSlot reports whether this front end has the time slot for heavy queries to an engine. A hash assigns
// each period of timeSlotWindows windows to one front end. The first window of each period is unused, so that no
// OverloadWindow overlaps two time slots. In its first OverloadWindow a front end does not use its time slot, because
// its previous incarnation may have sent work to the engine.
func (s *Scheduler) hasWarmUpTimeSlot(e *engine) bool {
	window := s.cfg.Rules.OverloadWindow
	at := uint64(s.now/window) + e.hash%timeSlotWindows
	slotHash := mixHash(e.hash^at/timeSlotWindows) + uint64(s.cfg.Rank)
	return slotHash%uint64(s.cfg.FrontEnds) == 0 && at%timeSlotWindows > 0 && s.now >= s.firstStepAt+window
}

// endWarmUp ends a warm-up whose time has passed. It raises the engine's recent threads to the mean load, so that the
// engine does not attract all new queries.
func (s *Scheduler) endWarmUp(e *engine) {
	if w := &e.warmUp; w.active() && w.hasEnded(s.now, &s.cfg.Rules) {
		w.state, w.work = warmUpDone, slidingWindow{}
		recent := s.placement.recentThreads(e, len(s.endpoints.engines))
		e.recentThreads = max(recent, s.placement.meanLoad*e.cores)
		e.recentAtSend = s.placement.sends
	}
}
