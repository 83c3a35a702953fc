package membership

import "chutechute/internal/monotime"

// offsetWindow is for how long the least difference of two clocks counts at least: two drift apart by some 50 us a second, and the
// least delay of 600 messages says more than that of the last.
const offsetWindow monotime.Micros = 60_000_000

// clockOffset estimates how much this side's clock is ahead of another's: the least difference between when a message came and when
// it was sent. It is too great by the least delay, never too small but for drift.
type clockOffset struct {
	known                    bool
	minimum, previousMinimum monotime.Micros
	windowStart              monotime.Micros
}

func (o *clockOffset) observe(now, sent monotime.Micros) {
	difference := now - sent
	switch {
	case !o.known:
		*o = clockOffset{true, difference, difference, now}
	case now-o.windowStart >= offsetWindow:
		o.minimum, o.previousMinimum, o.windowStart = difference, o.minimum, now
	default:
		o.minimum = min(o.minimum, difference)
	}
}

// toLocal is a time of the other's clock by this side's.
func (o *clockOffset) toLocal(theirs monotime.Micros) monotime.Micros {
	if o == nil {
		return theirs
	}
	return theirs + min(o.minimum, o.previousMinimum)
}
