package account

import (
	"math"

	"chutechute/internal/monotime"
)

// Time spans of the measurement of demand, in microseconds.
const (
	// recentSpan is the time constant of the recent demand: short, because the division of a budget is to follow a
	// change of demand within half a second.
	recentSpan = second / 8
	// peakSpan is the span over which the peak demand for a concurrency limit is measured.
	peakSpan = second / 4
	// firstLeaseSpan is how long the first request after an idle span may be queued until a lease arrives. Without it,
	// a front end that has not asked for a lease yet would reject the request.
	firstLeaseSpan = second * 3 / 10
	// idleSpan is the span without requests after which the next request counts as the first.
	idleSpan = 2 * second
	// meanSpan is the longest span of the mean. It is longer than recentSpan because a quarter of a second of a few
	// queries is mostly noise.
	meanSpan = 2 * second
)

const (
	// shiftDeviations is by how many standard deviations the recent demand has to differ from the mean to count as a
	// shift of demand.
	shiftDeviations = 3
	// silenceDivisor is how much lower than without the last gap the mean has to be for the gap to count as a shift.
	silenceDivisor = 8
	// gapArrivals bounds the rate after a gap without requests: at a higher one, as many arrivals would have been
	// expected in the gap, and at least one of them would have come in 19 of 20 cases.
	gapArrivals = 3
	// requestSizeWeight is the weight of the previous requests in the moving average of the request's size.
	requestSizeWeight = 16
)

// demand measures what was requested lately, whether it was admitted or not. For rates and windows it is the mean since
// the last shift of demand, over at most meanSpan; a sum that decays over recentSpan detects the shifts. For
// concurrency limits it is the peak of what was in use and requested at a time.
type demand struct {
	recentSum    float64 // decays over recentSpan
	sum          float64 // since the last shift
	sumSpan      float64 // the time over which sum was collected, in microseconds
	requestSize  float64 // moving average
	lastRequest  monotime.Micros
	peak         int64 // in the current peak span
	previousPeak int64
	peakStart    monotime.Micros
	activeSince  monotime.Micros // the first request after the last idle span
}

// RecordDemand records that n thousandths of a unit were requested, whether they were granted or not. For a concurrency
// limit, what is in use is added to them.
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

// RecordQueued records that n thousandths of a unit of a concurrency limit are waited for.
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

// AwaitsFirstLease reports whether requests have only just started and nothing is leased yet: a lease may be granted as
// soon as the authority responds.
func (a *Account) AwaitsFirstLease(now monotime.Micros) bool {
	d := &a.demand
	return now-d.activeSince < firstLeaseSpan && d.lastRequest != 0 && a.lease.Amount == (Amount{})
}

// decay returns the factor of exponential decay after a time.
func decay(elapsed, timeConstant monotime.Micros) float64 {
	return math.Exp(-float64(max(0, elapsed)) / float64(timeConstant))
}

// rates returns the demand per second, recently and by the mean. After a gap without requests neither is higher than
// gapArrivals allow.
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

// currentRate returns the demand per second. It starts the mean anew from the recent demand if they differ by more than
// noise: the decayed sum of a Poisson process of rate λ over a time constant τ measures λ with a standard deviation of
// sqrt(λ/2τ).
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

// Demand returns what this front end could spend beyond its static allocation, in thousandths of a unit: per second for
// a rate, at a time for a concurrency limit, within the window for a window.
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
