package identity

import (
	"fmt"
	"path"

	"chutechute/internal/monotime"
)

// Ceiling bounds what one caller may have. Of several that match a caller the first counts.
type Ceiling struct {
	Callers []string // patterns of their names
	Rate    float64  // calls a second; 0: no bound
	Burst   float64  // calls that may come at once; one second's where 0
	Open    int      // calls open at once; 0: no bound
}

func (c *Ceiling) check(callers map[string]bool) error {
	right := Right{Callers: c.Callers}
	if err := right.check(callers, nil); err != nil {
		return err
	}
	if c.Rate < 0 || c.Burst < 0 || c.Open < 0 {
		return fmt.Errorf("rate, burst and open may not be negative")
	}
	return nil
}

// use is what a caller has.
type use struct {
	ceiling *Ceiling
	calls   bucket
	open    int
}

func (g *Guard) ceiling(caller string) *Ceiling {
	for i := range g.options.Ceilings {
		for _, pattern := range g.options.Ceilings[i].Callers {
			if ok, _ := path.Match(pattern, caller); ok { // the patterns were checked
				return &g.options.Ceilings[i]
			}
		}
	}
	return nil
}

// Enter counts a call of a caller in, unless that is above its ceiling: then the error is a *Denied that says when to
// come back. Each call that was counted in is to Leave once it is answered.
func (g *Guard) Enter(caller Caller, now monotime.Micros) error {
	u := g.uses[caller.Name]
	if u == nil {
		u = &use{ceiling: g.ceiling(caller.Name)}
		g.uses[caller.Name] = u
	}
	if c := u.ceiling; c != nil {
		if c.Open > 0 && u.open >= c.Open {
			g.count.Over++
			return &Denied{Reason: TooMany, Caller: caller.Name, Detail: fmt.Sprintf("%d are open", u.open), After: monotime.Second / 2}
		}
		u.calls.rate, u.calls.burst = c.Rate, c.Burst
		if c.Burst == 0 {
			u.calls.burst = max(1, c.Rate)
		}
		if c.Rate > 0 && !u.calls.take(now) {
			g.count.Over++
			return &Denied{Reason: TooMany, Caller: caller.Name, Detail: fmt.Sprintf("more than %g a second", c.Rate),
				After: u.calls.wait()}
		}
	}
	u.open++
	return nil
}

// Leave counts a call out.
func (g *Guard) Leave(caller Caller) {
	if u := g.uses[caller.Name]; u != nil && u.open > 0 {
		if u.open--; u.open == 0 && (u.ceiling == nil || u.ceiling.Rate == 0) {
			delete(g.uses, caller.Name)
		}
	}
}

// bucket is a token bucket. The zero value is full at its first use.
type bucket struct {
	rate, burst float64 // a second; at most
	tokens      float64
	at          monotime.Micros
	used        bool
}

// take takes a token if there is one.
func (b *bucket) take(now monotime.Micros) bool {
	if !b.used {
		b.tokens, b.used, b.at = b.burst, true, now
	}
	b.tokens = min(b.burst, b.tokens+b.rate*float64(max(0, now-b.at))/float64(monotime.Second))
	b.at = max(b.at, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait is how long until there is a token.
func (b *bucket) wait() monotime.Micros {
	return monotime.Micros((1 - b.tokens) / max(b.rate, 1e-6) * float64(monotime.Second))
}
