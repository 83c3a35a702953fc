package scheduler

import (
	"math"

	"chutechute/internal/monotime"
)

// slidingWindow sums amounts over a sliding time window.
type slidingWindow struct {
	at     []monotime.Micros
	amount []float64
}

// add records an amount. Times must not decrease from call to call.
func (w *slidingWindow) add(at monotime.Micros, amount float64) {
	if last := len(w.at) - 1; last >= 0 && w.at[last] == at {
		w.amount[last] += amount
		return
	}
	w.at = append(w.at, at)
	w.amount = append(w.amount, amount)
}

// dropBefore drops amounts recorded before from.
func (w *slidingWindow) dropBefore(from monotime.Micros) {
	expired := 0
	for expired < len(w.at) && w.at[expired] < from {
		expired++
	}
	w.at, w.amount = w.at[expired:], w.amount[expired:]
}

// since drops amounts recorded before from and returns the sum of the others.
func (w *slidingWindow) since(from monotime.Micros) float64 {
	w.dropBefore(from)
	sum := 0.0
	for _, amount := range w.amount {
		sum += amount
	}
	return sum
}

// rateSpan is the time constant of a decayingRate. It is long enough for a front end with a few queries a second, and
// for a surge of some seconds not to count as the usual rate.
const rateSpan = 10 * monotime.Second

// decayingRate is an exponentially decayed rate of events.
type decayingRate struct {
	value float64         // events per second, as of last
	last  monotime.Micros // time of the last event; 0: none yet, value is the expected rate
}

// at returns the rate at a time, in events per second.
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
