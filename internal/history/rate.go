package history

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// roundingError is the error that sums of units may have.
const roundingError = 1e-9

const microsPerSecond = 1e6

// tokenBucket is a token bucket at a point in time.
type tokenBucket struct {
	rate   float64 // tokens a second
	burst  float64 // the most tokens that it holds
	tokens float64
	at     int64 // microseconds
}

// advance moves the bucket to a later time.
func (b *tokenBucket) advance(to int64) {
	b.tokens = min(b.burst, b.tokens+b.rate*float64(to-b.at)/microsPerSecond)
	b.at = to
}

// holds reports whether there are enough tokens.
func (b *tokenBucket) holds(units float64) bool { return b.tokens >= units-roundingError }

// fullEnoughAt returns when there will be enough tokens.
func (b *tokenBucket) fullEnoughAt(units float64) int64 {
	return b.at + int64((units-b.tokens)/b.rate*microsPerSecond) + 1
}

// CheckRate finds consumptions for which a token bucket would not have had the tokens in time: one that fills at a rate
// in units a second and holds a burst of units at most.
//
// It serves consumptions in the order of their deadlines, each as soon as there are tokens for it. If any order is in
// time, this one is.
func CheckRate(consumptions []Consumption, rate, burst float64) (violations []Violation) {
	upcoming := slices.Clone(consumptions)
	slices.SortStableFunc(upcoming, func(a, b Consumption) int { return cmp.Compare(a.Earliest, b.Earliest) })
	bucket := tokenBucket{rate: rate, burst: burst, tokens: burst}
	var waiting byDeadline
	for len(upcoming) > 0 || len(waiting) > 0 {
		if len(waiting) == 0 {
			bucket.advance(max(bucket.at, upcoming[0].Earliest))
		}
		for len(upcoming) > 0 && upcoming[0].Earliest <= bucket.at {
			heap.Push(&waiting, upcoming[0])
			upcoming = upcoming[1:]
		}
		next := waiting[0]
		if !bucket.holds(next.Units) {
			wakeup := bucket.fullEnoughAt(next.Units)
			if len(upcoming) > 0 {
				wakeup = min(wakeup, upcoming[0].Earliest)
			}
			bucket.advance(max(wakeup, bucket.at+1))
			continue
		}
		heap.Pop(&waiting)
		bucket.tokens -= next.Units
		deadline := next.Event.At
		if bucket.at > deadline+1 {
			violations = append(violations, rateViolation(next, bucket))
			bucket.tokens, bucket.at = burst, deadline // later ones are judged on their own
		}
	}
	return violations
}

func rateViolation(consumption Consumption, bucket tokenBucket) Violation {
	early := float64(bucket.at-consumption.Event.At) / 1000
	return Violation{
		Anomaly: fmt.Sprintf("more than %g a second with a burst of %g: %.0f ms too early",
			bucket.rate, bucket.burst, early),
		Events: []Event{consumption.Event},
	}
}
