package identity

import (
	"fmt"

	"chutechute/internal/monotime"
)

// openRetryAfter is the time after which a call may be sent again that was denied because too many of its caller's
// calls were open, in microseconds.
const openRetryAfter = 500 * monotime.Millisecond

// Ceiling limits the calls of each caller that it is for. Of several for one caller the first counts.
type Ceiling struct {
	Callers []string // patterns of callers' names
	Rate    float64  // calls a second; 0: not limited
	Burst   float64  // calls that may come at once; 0: those of one second
	MaxOpen int      // calls open at once; 0: not limited
}

func (c *Ceiling) check(callers map[string]bool) error {
	if err := checkCallerPatterns(c.Callers, callers); err != nil {
		return err
	}
	if c.Rate < 0 || c.Burst < 0 || c.MaxOpen < 0 {
		return fmt.Errorf("rate, burst and open may not be negative")
	}
	return nil
}

// burst returns the number of calls that may come at once.
func (c *Ceiling) burst() float64 {
	if c.Burst == 0 {
		return max(1, c.Rate)
	}
	return c.Burst
}

// callerUsage is what the calls of a caller use of its ceiling.
type callerUsage struct {
	ceiling *Ceiling // nil: not limited
	calls   tokenBucket
	open    int
}

// ceilingOf returns the ceiling of a caller; nil if there is none.
func (g *Guard) ceilingOf(caller string) *Ceiling {
	for i := range g.options.Ceilings {
		ceiling := &g.options.Ceilings[i]
		if matchesAny(ceiling.Callers, caller) {
			return ceiling
		}
	}
	return nil
}

// usageOf returns the usage of a caller, a new one if it has none.
func (g *Guard) usageOf(caller string) *callerUsage {
	usage := g.usage[caller]
	if usage == nil {
		usage = &callerUsage{ceiling: g.ceilingOf(caller)}
		g.usage[caller] = usage
	}
	return usage
}

// Acquire counts a call of an authorized caller as open until Leave, at the monotonic time now. Where the caller's
// ceiling is reached the call is not counted, and the error is a *Denied with the time after which it may be sent
// again.
func (g *Guard) Acquire(caller Caller, now monotime.Micros) error {
	usage := g.usageOf(caller.Name)
	if denied := usage.checkCeiling(caller.Name, now); denied != nil {
		g.counts.CeilingReached++
		return denied
	}
	usage.open++
	return nil
}

// checkCeiling takes a call of the ceiling's rate, or returns why the call is denied.
func (u *callerUsage) checkCeiling(caller string, now monotime.Micros) *Denied {
	ceiling := u.ceiling
	if ceiling == nil {
		return nil
	}
	if ceiling.MaxOpen > 0 && u.open >= ceiling.MaxOpen {
		detail := fmt.Sprintf("%d are open", u.open)
		return &Denied{Reason: CeilingReached, Caller: caller, Detail: detail, RetryAfter: openRetryAfter}
	}
	// The ceiling may have changed since the last call.
	u.calls.rate = ceiling.Rate
	u.calls.burst = ceiling.burst()
	if ceiling.Rate > 0 && !u.calls.take(now) {
		detail := fmt.Sprintf("more than %g a second", ceiling.Rate)
		return &Denied{Reason: CeilingReached, Caller: caller, Detail: detail, RetryAfter: u.calls.timeToNext()}
	}
	return nil
}

// Release ends the count of a call that Enter has counted as open.
func (g *Guard) Release(caller Caller) {
	usage := g.usage[caller.Name]
	if usage == nil || usage.open == 0 {
		return
	}
	usage.open--
	// Only the bucket of a limited rate has to outlive the calls.
	rateLimited := usage.ceiling != nil && usage.ceiling.Rate != 0
	if usage.open == 0 && !rateLimited {
		delete(g.usage, caller.Name)
	}
}
