package account

import "math"

// demandSpan is the span over which what is asked for is measured: short, as a budget is to follow it within half a second.
const demandSpan = second / 4

// demand is what was asked for of late, admitted or not: a decayed sum for rates and windows, and the most that was wanted at
// a time for places.
type demand struct {
	sum    float64
	at     Micros
	peak   int64 // of places, in this span
	before int64 // in the last one
	began  Micros
}

// Want notes that n were asked for, whatever became of it. For places, held ones count besides.
func (a *Account) Want(now Micros, n int64) {
	d := &a.demand
	d.sum = d.sum*fade(now-d.at) + float64(n)
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

func fade(span Micros) float64 { return math.Exp(-float64(max(0, span)) / demandSpan) }

// Demand is what this front end could spend of the whole: a second's for rates, and else at a time or within the window.
func (a *Account) Demand(now Micros) int64 {
	a.turn(now)
	d := &a.demand
	switch a.kind {
	case Rate:
		return int64(d.sum * fade(now-d.at) * second / demandSpan)
	case Window:
		return max(a.used, int64(d.sum*fade(now-d.at)*float64(a.span)/demandSpan))
	}
	a.wanted(now, a.used)
	return max(d.peak, d.before)
}
