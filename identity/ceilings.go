package identity

import (
	"fmt"

	"chutechute/internal/monotime"
)

// openRetryAfter is the time after which a request may be retried that was denied because its caller had too many open
// requests, in microseconds.
const openRetryAfter = 500 * monotime.Millisecond

// Ceiling limits the requests of each caller that it matches. If several match a caller, the first one applies.
type Ceiling struct {
	Callers []string // patterns for callers' names
	Rate    float64  // requests per second; 0: unlimited
	Burst   float64  // requests that may arrive at once; 0: as many as Rate allows in one second, but at least 1
	MaxOpen int      // concurrently open requests; 0: unlimited
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

// burst returns the number of requests that may arrive at once.
func (c *Ceiling) burst() float64 {
	if c.Burst == 0 {
		return max(1, c.Rate)
	}
	return c.Burst
}

// callerUsage tracks how much of its ceiling a caller uses.
type callerUsage struct {
	ceiling  *Ceiling // nil: unlimited
	requests tokenBucket
	open     int // number of open requests
}

// ceilingOf returns the ceiling of a caller, or nil if it has none.
func (g *Guard) ceilingOf(caller string) *Ceiling {
	for i := range g.options.Ceilings {
		ceiling := &g.options.Ceilings[i]
		if matchesAny(ceiling.Callers, caller) {
			return ceiling
		}
	}
	return nil
}

// usageOf returns the usage of a caller and creates it if necessary.
func (g *Guard) usageOf(caller string) *callerUsage {
	usage := g.usage[caller]
	if usage == nil {
		usage = &callerUsage{ceiling: g.ceilingOf(caller)}
		g.usage[caller] = usage
	}
	return usage
}

// Acquire counts a request of an authorized caller as open until Release. The time now is monotonic. If the caller's
// ceiling is reached, the request is not counted and the error is a *Denied with the time after which it may be
// retried.
func (g *Guard) Acquire(caller Caller, now monotime.Micros) error {
	usage := g.usageOf(caller.Name)
	if denied := usage.checkCeiling(caller.Name, now); denied != nil {
		g.counts.CeilingReached++
		return denied
	}
	usage.open++
	return nil
}

// checkCeiling charges a request to the rate of the ceiling, or returns why the request is denied.
func (u *callerUsage) checkCeiling(caller string, now monotime.Micros) *Denied {
	ceiling := u.ceiling
	if ceiling == nil {
		return nil
	}
	if ceiling.MaxOpen > 0 && u.open >= ceiling.MaxOpen {
		detail := fmt.Sprintf("%d are open", u.open)
		return &Denied{Reason: CeilingReached, Caller: caller, Detail: detail, RetryAfter: openRetryAfter}
	}
	// The ceiling may have changed since the last request.
	u.requests.rate = ceiling.Rate
	u.requests.burst = ceiling.burst()
	if ceiling.Rate > 0 && !u.requests.take(now) {
		detail := fmt.Sprintf("more than %g a second", ceiling.Rate)
		return &Denied{Reason: CeilingReached, Caller: caller, Detail: detail, RetryAfter: u.requests.timeToNext()}
	}
	return nil
}

// Release ends a request that Acquire counted as open.
func (g *Guard) Release(caller Caller) {
	usage := g.usage[caller.Name]
	if usage == nil || usage.open == 0 {
		return
	}
	usage.open--
	// Without a rate limit, the usage has no state to keep once no request is open.
	rateLimited := usage.ceiling != nil && usage.ceiling.Rate != 0
	if usage.open == 0 && !rateLimited {
		delete(g.usage, caller.Name)
	}
}
