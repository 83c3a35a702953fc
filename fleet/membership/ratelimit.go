package membership

import "chutechute/internal/monotime"

// rateLimit limits events to a burst and then one in each interval. It uses the generic cell rate algorithm (GCRA),
// whose only state is the time at which the next event would be due if all events were evenly spaced.
type rateLimit struct {
	interval monotime.Micros
	burst    int
}

// The rate limits.
var (
	// changeRateLimit limits the published changes of one name to a burst of twenty and then six a minute. A crash and
	// restart take up to five changes: Suspect, Dead, Alive at one home, Alive at the other, and served by that one. So
	// four restarts in a row are published without delay.
	changeRateLimit = rateLimit{10 * monotime.Second, 20}
	// repairRateLimit limits the snapshots and digest repairs sent to one process.
	repairRateLimit = rateLimit{3 * monotime.Second, 4}
	// catchUpRateLimit limits the updates from the log sent to one process.
	catchUpRateLimit = rateLimit{500 * monotime.Millisecond, 8}
	// pullRateLimit limits the pulls of one table. An answer that is not lost arrives within the interval.
	pullRateLimit = rateLimit{200 * monotime.Millisecond, 1}
	// answerRateLimit limits the answers to one control member's pulls of one table.
	answerRateLimit = rateLimit{200 * monotime.Millisecond, 3}
	// mismatchRateLimit limits the pulls of one table that are made because its digest differs.
	mismatchRateLimit = rateLimit{5 * monotime.Second, 2}
)

// allow reports whether an event may happen now, and counts it if so. due is the state, initially 0.
func (r rateLimit) allow(now monotime.Micros, due *monotime.Micros) bool {
	if *due-now > r.interval*monotime.Micros(r.burst-1) {
		return false
	}
	*due = max(*due, now) + r.interval
	return true
}

// damping limits the published changes of one name.
type damping struct {
	due     monotime.Micros // state of changeRateLimit
	delayed bool            // a change is waiting
}

// allow reports whether a change may be published now. damped is incremented when a change starts to wait.
func (d *damping) allow(now monotime.Micros, damped *int) bool {
	allowed := changeRateLimit.allow(now, &d.due)
	if !allowed && !d.delayed {
		*damped++
	}
	d.delayed = !allowed
	return allowed
}

// clear records that a change is no longer waiting.
func (d *damping) clear() { d.delayed = false }

// snapshotRateLimit limits the bytes of the snapshots sent to one name, over all its processes, so that a front end
// that restarts repeatedly does not make its home send a large view each time. It is about half of the 11 KB per second
// that a front end may receive and send.
var snapshotRateLimit = byteRateLimit{bytesPerSecond: 5_000, burstWindow: 5 * monotime.Second}

// byteRateLimit limits bytes to a rate with bursts. An item of any size is allowed as long as the bytes already
// recorded are at most burstWindow ahead of the rate.
type byteRateLimit struct {
	bytesPerSecond int64
	burstWindow    monotime.Micros
}

// allows reports whether an item may be sent now. due is the state, initially 0.
func (r byteRateLimit) allows(now, due monotime.Micros) bool { return due-now <= r.burstWindow }

// record counts a sent item.
func (r byteRateLimit) record(now monotime.Micros, bytes int, due *monotime.Micros) {
	*due = max(*due, now) + monotime.Micros(bytes)*monotime.Second/r.bytesPerSecond
}
