package account

import (
	"math"

	"chutechute/internal/monotime"
)

const (
	// demandSpan is the span over which what is asked for is measured: short, as a budget is to follow it within half a second.
	demandSpan = second / 8
	// peakSpan is the one over which the most places that were wanted at a time count.
	peakSpan = second / 4
	// newSpan is how long one who asks for the first time in a while may be kept waiting for a lease, instead of being turned away
	// by a front end that has not asked for one yet.
	newSpan = second * 3 / 10
	// restSpan is how long nothing was asked for, so that the next one to ask is the first.
	restSpan = 2 * second
	// steadySpan is the one over which it is measured while it does not move: a quarter second of a few queries is mostly noise.
	steadySpan = 2 * second
	// moves is how many times the noise a measure has to be off to count as a move.
	moves = 3
)

// demand is what was asked for of late, admitted or not. For rates and windows it is the mean since the last move, over steadySpan
// at most; a decayed sum over demandSpan finds the moves. For places it is the most that was wanted at a time.
type demand struct {
	fast   float64
	sum    float64 // over time
	time   float64
	unit   float64 // the usual size of what is asked for
	at     monotime.Micros
	peak   int64 // of places, in this span
	before int64 // in the last one
	began  monotime.Micros
	first  monotime.Micros // since when something has been asked for without a rest
}

// RecordDemand notes that n were asked for, whatever became of it. For places, held ones count besides.
func (a *Account) RecordDemand(now monotime.Micros, n int64) {
	d := &a.demand
	if d.at == 0 {
		d.unit = float64(n)
	}
	if d.at == 0 || now-d.at > restSpan {
		d.first = now
	}
	d.moved(now)
	d.fast = d.fast*fade(now-d.at, demandSpan) + float64(n)
	d.sum += float64(n)
	if d.time += float64(now - d.at); d.time > steadySpan {
		d.sum, d.time = d.sum*steadySpan/d.time, steadySpan
	}
	d.unit += (float64(n) - d.unit) / 16
	d.at = now
	a.wanted(now, a.used+n)
}

// RecordQueued notes that n wait for places at this time.
func (a *Account) RecordQueued(now monotime.Micros, n int64) { a.wanted(now, a.used+n) }

func (a *Account) wanted(now monotime.Micros, n int64) {
	d := &a.demand
	if span := now - d.began; span >= peakSpan {
		d.before, d.peak, d.began = d.peak, 0, now
		if span >= 2*peakSpan {
			d.before = 0
		}
	}
	d.peak = max(d.peak, n)
}

// AwaitsFirstLease says whether who asks is the first in a while and nothing was leased for him yet: it may only take the record's answer.
func (a *Account) AwaitsFirstLease(now monotime.Micros) bool {
	return now-a.demand.first < newSpan && a.demand.at != 0 && a.lease.Amount == (Amount{})
}

func fade(span, over monotime.Micros) float64 {
	return math.Exp(-float64(max(0, span)) / float64(over))
}

// rates are what is asked for in a second, by the last moments and by the mean. Where nothing has come for a while, neither is
// higher than one at which something would have come in 19 of 20 cases.
func (d *demand) rates(now monotime.Micros) (fast, mean float64) {
	gap := float64(now - d.at)
	fast = d.fast * fade(now-d.at, demandSpan) * second / demandSpan
	mean = d.sum * second / max(d.time+gap, demandSpan)
	if gap > 0 {
		most := 3 * d.unit * second / gap
		fast, mean = min(fast, most), min(mean, most)
	}
	return fast, mean
}

// moved begins the mean anew where the last moments are off it by more than noise. The decayed count of a Poisson stream of λ a
// second over a span τ has the deviation sqrt(λ/2τ) as a measure of λ.
func (d *demand) moved(now monotime.Micros) float64 {
	fast, mean := d.rates(now)
	if math.Abs(fast-mean) <= moves*math.Sqrt(max(mean, d.unit)*d.unit*second/(2*demandSpan)) && mean >= d.sum/max(d.time, 1)*second/8 {
		return mean
	}
	d.time = 2 * demandSpan
	d.sum = fast * d.time / second
	return fast
}

// Demand is what this front end could spend beyond its static part: a second's for rates, and else at a time or within the
// window.
func (a *Account) Demand(now monotime.Micros) int64 {
	a.turn(now)
	d := &a.demand
	switch a.kind {
	case Rate:
		return max(0, int64(d.moved(now))-a.static.Rate)
	case Window:
		return max(0, a.used-a.static.Capacity, int64(d.moved(now)*float64(a.span)/second)-a.static.Capacity)
	}
	a.wanted(now, a.used)
	return max(0, max(d.peak, d.before)-a.static.Capacity)
}
