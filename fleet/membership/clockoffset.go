package membership

import "chutechute/internal/monotime"

// offsetWindow is the least time for which the smallest observed difference of two clocks is used. The smallest
// difference of some 600 messages is a better estimate than that of the last message, while two clocks drift apart by
// only about 50 microseconds per second.
const offsetWindow = 60 * monotime.Second

// clockOffset estimates how far this process's clock is ahead of another one's: it is the smallest difference between
// the receive time and the send time of a message. The estimate is too large by the smallest message delay, and too
// small only by drift.
type clockOffset struct {
	known           bool
	minimum         monotime.Micros // in the current window
	previousMinimum monotime.Micros // in the previous window
	windowStart     monotime.Micros
}

// observe updates the estimate from a message that is received now.
func (o *clockOffset) observe(now, sentAt monotime.Micros) {
	difference := now - sentAt
	switch {
	case !o.known:
		*o = clockOffset{known: true, minimum: difference, previousMinimum: difference, windowStart: now}
	case now-o.windowStart >= offsetWindow:
		o.minimum, o.previousMinimum, o.windowStart = difference, o.minimum, now
	default:
		o.minimum = min(o.minimum, difference)
	}
}

// toLocal converts a time of the other clock to this process's clock. A nil clockOffset is that of this process's own
// clock.
func (o *clockOffset) toLocal(remote monotime.Micros) monotime.Micros {
	if o == nil {
		return remote
	}
	return remote + min(o.minimum, o.previousMinimum)
}
