package scheduler

import (
	"math"

	"chutechute/internal/monotime"
)

// slidingWindow sums amounts within a moving span.
type slidingWindow struct {
	at     []monotime.Micros
	amount []float64
}

// add records an amount at a time, not before the last.
func (w *slidingWindow) add(at monotime.Micros, amount float64) {
	w.at = append(w.at, at)
	w.amount = append(w.amount, amount)
}

// since drops what is older than from and returns the sum of the rest.
func (w *slidingWindow) since(from monotime.Micros) float64 {
	expired := 0
	for expired < len(w.at) && w.at[expired] < from {
		expired++
	}
	w.at, w.amount = w.at[expired:], w.amount[expired:]
	sum := 0.0
	for _, amount := range w.amount {
		sum += amount
	}
	return sum
}

// rateSpan is the time constant of a decayingRate: long enough for a gateway with a few queries a second, and for a
// surge of some seconds not to count as the usual rate.
const rateSpan = 10 * monotime.Second

// decayingRate is an exponentially decayed rate of events.
type decayingRate struct {
	value float64         // events a second, as of last
	last  monotime.Micros // 0: no event yet, value is the expected rate
}

// at returns the rate at a time, in events a second.
func (r *decayingRate) at(now monotime.Micros) float64 {
	if r.last == 0 {
		return r.value
	}
	return r.value * math.Exp(-float64(now-r.last)/float64(rateSpan))
}

// add counts one event.
func (r *decayingRate) add(now monotime.Micros) {
	r.value, r.last = r.at(now)+float64(monotime.Second)/float64(rateSpan), now
}
