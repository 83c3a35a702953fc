package membership

import "chutechute/internal/monotime"

// rateLimit bounds how often something happens: burst times at once, and then once in each gap. It is the generic cell rate
// algorithm, whose whole state is when the next would be due if all came evenly.
type rateLimit struct {
	interval monotime.Micros
	burst    int
}

// The bounded rates.
var (
	// changeRateLimit is of changes published about one name: twenty at once, then six a minute. A crash and the start after it are up to
	// five changes: suspect, dead, alive at one home, at the other, and served by it. So four of them in a row are told without delay.
	changeRateLimit = rateLimit{10_000_000, 20}
	// repairRateLimit is of snapshots and repairs to one link.
	repairRateLimit = rateLimit{3_000_000, 4}
	// catchUpRateLimit is of changes from the log to one link.
	catchUpRateLimit = rateLimit{500_000, 8}
	// pullRateLimit is of pulls of one table: an answer takes less than its gap, where none is lost.
	pullRateLimit = rateLimit{200_000, 1}
	// answerRateLimit is of answers to pulls of one table by one control member.
	answerRateLimit = rateLimit{200_000, 3}
	// mismatchRateLimit is of pulls of one table since its sum differs.
	mismatchRateLimit = rateLimit{5_000_000, 2}
)

// snapshotRateLimit is of the bytes of snapshots to one name, whichever its process: a front end that ends again and again does not have
// its home send a large view each time. It is half of the 11 KB a second that a front end may take and send.
var snapshotRateLimit = byteRateLimit{5_000, 5_000_000}

// byteRateLimit bounds bytes: so many a second, and those of a span at once. What is larger goes where nothing else went of late.
type byteRateLimit struct {
	bytesPerSecond monotime.Micros // bytes a second
	burstWindow    monotime.Micros
}

// allows says whether something may go now. due is the state, 0 at first.
func (r byteRateLimit) allows(now, due monotime.Micros) bool { return due-now <= r.burstWindow }

// record counts what goes.
func (r byteRateLimit) record(now monotime.Micros, bytes int, due *monotime.Micros) {
	*due = max(*due, now) + monotime.Micros(bytes)*1_000_000/r.bytesPerSecond
}

// allow says whether it may happen now, and notes it if so. due is the state, 0 at first.
func (r rateLimit) allow(now monotime.Micros, due *monotime.Micros) bool {
	if *due-now > r.interval*monotime.Micros(r.burst-1) {
		return false
	}
	*due = max(*due, now) + r.interval
	return true
}
