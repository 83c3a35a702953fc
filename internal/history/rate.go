package history

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// roundingError is the tolerance for rounding errors in sums of units.
const roundingError = 1e-9

const microsPerSecond = 1e6

// tokenBucket is the state of a token bucket at a point in time.
type tokenBucket struct {
	rate   float64 // tokens per second
	burst  float64 // maximum number of tokens
	tokens float64
	at     int64 // microseconds
}

// advance refills the bucket up to a later time.
func (b *tokenBucket) advance(to int64) {
	b.tokens = min(b.burst, b.tokens+b.rate*float64(to-b.at)/microsPerSecond)
	b.at = to
}

// hasTokens reports whether the bucket has the given number of tokens.
func (b *tokenBucket) hasTokens(units float64) bool { return b.tokens >= units-roundingError }

// availableAt returns the time at which the bucket will have the given number of tokens.
func (b *tokenBucket) availableAt(units float64) int64 {
	return b.at + int64((units-b.tokens)/b.rate*microsPerSecond) + 1
}

// CheckRate returns a violation for each consumption that exceeds the limit of a token bucket, which is refilled with
// rate units per second and has at most burst units.
//
// The time of a consumption is known only within bounds. CheckRate takes the tokens in the order of the latest possible
// times (earliest deadline first), each as soon as the bucket has enough of them. For consumptions of equal size, of
// which none has a later earliest and an earlier latest time than another, this order meets all deadlines if any does.
// Otherwise it may take tokens too early for a consumption that could have waited, and report a violation that another
// order would avoid.
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
		if !bucket.hasTokens(next.Units) {
			wakeup := bucket.availableAt(next.Units)
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
			bucket.tokens, bucket.at = burst, deadline // so that later consumptions are checked independently
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
