package membership

import "chutechute/internal/monotime"

// offsetSpan is for how long the least difference of two clocks counts at least: two drift apart by some 50 us a second, and the
// least delay of 600 messages says more than that of the last.
const offsetSpan monotime.Micros = 60_000_000

// offset estimates how much this side's clock is ahead of another's: the least difference between when a message came and when
// it was sent. It is too great by the least delay, never too small but for drift.
type offset struct {
	known        bool
	least, older monotime.Micros
	since        monotime.Micros
}

func (o *offset) observe(now, sent monotime.Micros) {
	difference := now - sent
	switch {
	case !o.known:
		*o = offset{true, difference, difference, now}
	case now-o.since >= offsetSpan:
		o.least, o.older, o.since = difference, o.least, now
	default:
		o.least = min(o.least, difference)
	}
}

// here is a time of the other's clock by this side's.
func (o *offset) here(theirs monotime.Micros) monotime.Micros {
	if o == nil {
		return theirs
	}
	return theirs + min(o.least, o.older)
}
