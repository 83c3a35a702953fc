package membership

import "chutechute/internal/monotime"

// rateLimit bounds how often something happens: burst times at once, and then once in each interval. It is the generic
// cell rate algorithm, whose whole state is when the next event would be due if all came evenly.
type rateLimit struct {
	interval monotime.Micros
	burst    int
}

// The rate limits.
var (
	// changeRateLimit is of changes published about one name: twenty at once, then six a minute. A crash and the start
	// after it are up to five changes: suspect, dead, alive at one home, alive at the other, and served by it. So four
	// of them in a row are published without delay.
	changeRateLimit = rateLimit{10 * monotime.Second, 20}
	// repairRateLimit is of snapshots and repairs to one link.
	repairRateLimit = rateLimit{3 * monotime.Second, 4}
	// catchUpRateLimit is of changes from the log to one link.
	catchUpRateLimit = rateLimit{500 * monotime.Millisecond, 8}
	// pullRateLimit is of pulls of one table: an answer that is not lost takes less than the interval.
	pullRateLimit = rateLimit{200 * monotime.Millisecond, 1}
	// answerRateLimit is of answers to pulls of one table by one control member.
	answerRateLimit = rateLimit{200 * monotime.Millisecond, 3}
	// mismatchRateLimit is of pulls of one table because its digest differs.
	mismatchRateLimit = rateLimit{5 * monotime.Second, 2}
)

// allow reports whether the event may happen now, and counts it if so. due is the state, 0 at first.
func (r rateLimit) allow(now monotime.Micros, due *monotime.Micros) bool {
	if *due-now > r.interval*monotime.Micros(r.burst-1) {
		return false
	}
	*due = max(*due, now) + r.interval
	return true
}

// damping bounds the published changes of one name.
type damping struct {
	due     monotime.Micros // state of changeRateLimit
	delayed bool            // a change waits
}

// allow reports whether a change may be published now. damped counts the changes that have to wait.
func (d *damping) allow(now monotime.Micros, damped *int) bool {
	allowed := changeRateLimit.allow(now, &d.due)
	if !allowed && !d.delayed {
		*damped++
	}
	d.delayed = !allowed
	return allowed
}

// clear notes that no change waits any more.
func (d *damping) clear() { d.delayed = false }

// snapshotRateLimit is of the bytes of snapshots to one name, whichever its process, so that a front end that restarts
// again and again does not make its home send a large view each time. It is half of the 11 KB a second that a front end
// may receive and send.
var snapshotRateLimit = byteRateLimit{bytesPerSecond: 5_000, burstWindow: 5 * monotime.Second}

// byteRateLimit bounds bytes: so many a second, and those of a window at once. What is larger is allowed if nothing
// else was sent recently.
type byteRateLimit struct {
	bytesPerSecond int64
	burstWindow    monotime.Micros
}

// allows reports whether something may be sent now. due is the state, 0 at first.
func (r byteRateLimit) allows(now, due monotime.Micros) bool { return due-now <= r.burstWindow }

// record counts what is sent.
func (r byteRateLimit) record(now monotime.Micros, bytes int, due *monotime.Micros) {
	*due = max(*due, now) + monotime.Micros(bytes)*monotime.Second/r.bytesPerSecond
}
