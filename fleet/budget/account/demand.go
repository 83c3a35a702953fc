package account

import (
	"math"

	"chutechute/internal/monotime"
)

// Time spans for the measurement of demand, in microseconds.
const (
	// recentSpan is the time constant of the recent demand. It is short because the division of a budget should follow
	// a change of demand within half a second.
	recentSpan = second / 8
	// peakSpan is the length of the spans in which the peak demand for a concurrency limit is measured.
	peakSpan = second / 4
	// firstLeaseSpan is how long requests after an idle span may be queued until a lease arrives. Without it, a front
	// end that has not requested a lease yet would reject them.
	firstLeaseSpan = second * 3 / 10
	// idleSpan is the span without requests after which the front end counts as idle.
	idleSpan = 2 * second
	// meanSpan is the longest span of the mean. It is much longer than recentSpan because at a few queries per second,
	// a quarter of a second measures mostly noise.
	meanSpan = 2 * second
)

const (
	// shiftDeviations is the number of standard deviations by which the recent demand has to differ from the mean to
	// count as a shift.
	shiftDeviations = 3
	// silenceDivisor: a gap without requests counts as a shift if it makes the mean lower than the mean before the gap
	// divided by it.
	silenceDivisor = 8
	// gapArrivals limits the estimated rate after a gap without requests to this many arrivals per gap. At a higher
	// rate, at least one request would have arrived in the gap with a probability of 95%.
	gapArrivals = 3
	// requestSizeWeight is the inverse of a request's weight in the moving average of request sizes.
	requestSizeWeight = 16
)

// demand measures recent requests, admitted or not. For rates and windows, the demand is the mean rate since the last
// shift, over at most meanSpan. Shifts are detected with a sum that decays over recentSpan. For concurrency limits, the
// demand is the peak of what was in use and requested at a time.
type demand struct {
	recentSum    float64 // of requests, decays over recentSpan
	sum          float64 // of requests since the last shift, over at most meanSpan
	sumSpan      float64 // the time over which sum was collected, in microseconds
	requestSize  float64 // moving average
	lastRequest  monotime.Micros
	peak         int64 // in the current peak span
	previousPeak int64
	peakStart    monotime.Micros
	activeSince  monotime.Micros // the time of the first request after the last idle span
}

// RecordDemand records a request for n thousandths of a unit, admitted or not. For a concurrency limit, what is already
// in use is added.
func (a *Account) RecordDemand(now monotime.Micros, n int64) {
	d := &a.demand
	if d.lastRequest == 0 {
		d.requestSize = float64(n)
	}
	if d.lastRequest == 0 || now-d.lastRequest > idleSpan {
		d.activeSince = now
	}
	d.currentRate(now)
	d.recentSum = d.recentSum*decay(now-d.lastRequest, recentSpan) + float64(n)
	d.sum += float64(n)
	if d.sumSpan += float64(now - d.lastRequest); d.sumSpan > meanSpan {
		d.sum, d.sumSpan = d.sum*meanSpan/d.sumSpan, meanSpan
	}
	d.requestSize += (float64(n) - d.requestSize) / requestSizeWeight
	d.lastRequest = now
	a.recordPeak(now, a.inUse+n)
}

// RecordQueued records that queued requests wait for n thousandths of a unit of a concurrency limit.
func (a *Account) RecordQueued(now monotime.Micros, n int64) { a.recordPeak(now, a.inUse+n) }

func (a *Account) recordPeak(now monotime.Micros, n int64) {
	d := &a.demand
	if elapsed := now - d.peakStart; elapsed >= peakSpan {
		d.previousPeak, d.peak, d.peakStart = d.peak, 0, now
		if elapsed >= 2*peakSpan {
			d.previousPeak = 0
		}
	}
	d.peak = max(d.peak, n)
}

// AwaitsFirstLease reports whether requests have only just started after an idle span and nothing is leased yet. In
// that case, a lease may be granted as soon as the authority responds.
func (a *Account) AwaitsFirstLease(now monotime.Micros) bool {
	d := &a.demand
	return now-d.activeSince < firstLeaseSpan && d.lastRequest != 0 && a.lease.Amount == (Amount{})
}

// decay returns the factor of exponential decay over the elapsed time.
func decay(elapsed, timeConstant monotime.Micros) float64 {
	return math.Exp(-float64(max(0, elapsed)) / float64(timeConstant))
}

// rates returns the recent and the mean demand per second. After a gap without requests, both are limited according to
// gapArrivals.
func (d *demand) rates(now monotime.Micros) (recent, mean float64) {
	gap := float64(now - d.lastRequest)
	recent = d.recentSum * decay(now-d.lastRequest, recentSpan) * second / recentSpan
	mean = d.sum * second / max(d.sumSpan+gap, recentSpan)
	if gap > 0 {
		limit := gapArrivals * d.requestSize * second / gap
		recent, mean = min(recent, limit), min(mean, limit)
	}
	return recent, mean
}

// currentRate returns the demand per second. If the recent demand differs from the mean by more than noise, it restarts
// the mean from the recent demand. The noise is that of a Poisson process of rate λ: its sum, decayed over a time
// constant τ, estimates λ with a standard deviation of sqrt(λ/2τ).
func (d *demand) currentRate(now monotime.Micros) float64 {
	recent, mean := d.rates(now)
	deviation := math.Sqrt(max(mean, d.requestSize) * d.requestSize * second / (2 * recentSpan))
	shifted := math.Abs(recent-mean) > shiftDeviations*deviation
	silent := mean < d.sum/max(d.sumSpan, 1)*second/silenceDivisor
	if !shifted && !silent {
		return mean
	}
	d.sumSpan = 2 * recentSpan
	d.sum = recent * d.sumSpan / second
	return recent
}

// Demand returns how much this front end could spend beyond its static allocation, in thousandths of a unit: per second
// for a rate, at a time for a concurrency limit, and within one window for a window budget.
func (a *Account) Demand(now monotime.Micros) int64 {
	a.advance(now)
	d := &a.demand
	switch a.kind {
	case Rate:
		return max(0, int64(d.currentRate(now))-a.static.Rate)
	case Window:
		expected := int64(d.currentRate(now) * float64(a.window) / second)
		return max(0, a.inUse-a.static.Capacity, expected-a.static.Capacity)
	}
	a.recordPeak(now, a.inUse)
	return max(0, max(d.peak, d.previousPeak)-a.static.Capacity)
}
