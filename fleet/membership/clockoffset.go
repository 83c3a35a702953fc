package membership

import "chutechute/internal/monotime"

// offsetWindow is for how long the least difference of two clocks counts at least: two drift apart by some 50 us a
// second, and the least delay of 600 messages is a better estimate than that of the last.
const offsetWindow = 60 * monotime.Second

// clockOffset estimates how far this side's clock is ahead of another's: the least difference between when a
// message was received and when it was sent. It is too great by the least delay, and never too small but for drift.
type clockOffset struct {
	known           bool
	minimum         monotime.Micros // in this window
	previousMinimum monotime.Micros // in the window before
	windowStart     monotime.Micros
}

// observe takes a message's times of receiving and of sending.
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

// toLocal returns a time of the other's clock by this side's clock; nil stands for this side's.
func (o *clockOffset) toLocal(remote monotime.Micros) monotime.Micros {
	if o == nil {
		return remote
	}
	return remote + min(o.minimum, o.previousMinimum)
}
