package account

import "math"

const (
	// demandSpan is the span over which what is asked for is measured: short, as a budget is to follow it within half a second.
	demandSpan = second / 4
	// steadySpan is the one over which it is measured while it does not move: a quarter second of a few queries is mostly noise.
	steadySpan = 2 * second
	// moves is how many times the noise a measure has to be off to count as a move.
	moves = 2.5
)

// demand is what was asked for of late, admitted or not: decayed sums for rates and windows, and the most that was wanted at
// a time for places.
type demand struct {
	fast, steady float64
	unit         float64 // the usual size of what is asked for
	at           Micros
	peak         int64 // of places, in this span
	before       int64 // in the last one
	began        Micros
}

// Want notes that n were asked for, whatever became of it. For places, held ones count besides.
func (a *Account) Want(now Micros, n int64) {
	d := &a.demand
	if d.at == 0 {
		d.unit = float64(n)
	}
	span := now - d.at
	d.fast = d.fast*fade(span, demandSpan) + float64(n)
	d.steady = d.steady*fade(span, steadySpan) + float64(n)
	d.unit += (float64(n) - d.unit) / 16
	d.at = now
	a.wanted(now, a.used+n)
}

// Waits notes that n wait for places at this time.
func (a *Account) Waits(now Micros, n int64) { a.wanted(now, a.used+n) }

func (a *Account) wanted(now Micros, n int64) {
	d := &a.demand
	if span := now - d.began; span >= demandSpan {
		d.before, d.peak, d.began = d.peak, 0, now
		if span >= 2*demandSpan {
			d.before = 0
		}
	}
	d.peak = max(d.peak, n)
}

func fade(span, over Micros) float64 { return math.Exp(-float64(max(0, span)) / float64(over)) }

// perSecond is what is asked for in a second. The decayed count of a Poisson stream of λ a second over a span τ has the deviation
// sqrt(λ/2τ) as a measure of λ.
func (d *demand) perSecond(now Micros) float64 {
	fast := d.fast * fade(now-d.at, demandSpan) * second / demandSpan
	steady := d.steady * fade(now-d.at, steadySpan) * second / steadySpan
	if gap := now - d.at; gap > 0 { // at a higher rate something would have come by now, in 19 of 20 cases
		most := 3 * d.unit * second / float64(gap)
		fast, steady = min(fast, most), min(steady, most)
	}
	noise := math.Sqrt(max(steady, fast, d.unit) * d.unit * second / (2 * demandSpan))
	if math.Abs(fast-steady) > moves*noise {
		return fast
	}
	return steady
}

// Demand is what this front end could spend beyond its static part: a second's for rates, and else at a time or within the
// window.
func (a *Account) Demand(now Micros) int64 {
	a.turn(now)
	d := &a.demand
	switch a.kind {
	case Rate:
		return max(0, int64(d.perSecond(now))-a.static.Rate)
	case Window:
		return max(0, a.used-a.static.Much, int64(d.perSecond(now)*float64(a.span)/second)-a.static.Much)
	}
	a.wanted(now, a.used)
	return max(0, max(d.peak, d.before)-a.static.Much)
}
