package membership

import "chutechute/internal/monotime"

// rate bounds how often something happens: burst times at once, and then once in each gap. It is the generic cell rate
// algorithm, whose whole state is when the next would be due if all came evenly.
type rate struct {
	gap   monotime.Micros
	burst int
}

// The bounded rates.
var (
	// changeRate is of changes published about one name: twenty at once, then six a minute. A crash and the start after it are up to
	// five changes: suspect, dead, alive at one home, at the other, and served by it. So four of them in a row are told without delay.
	changeRate = rate{10_000_000, 20}
	// repairRate is of snapshots and repairs to one link.
	repairRate = rate{3_000_000, 4}
	// catchUpRate is of changes from the log to one link.
	catchUpRate = rate{500_000, 8}
	// pullRate is of pulls of one table: an answer takes less than its gap, where none is lost.
	pullRate = rate{200_000, 1}
	// answerRate is of answers to pulls of one table by one control member.
	answerRate = rate{200_000, 3}
	// sumRate is of pulls of one table since its sum differs.
	sumRate = rate{5_000_000, 2}
)

// snapshotRate is of the bytes of snapshots to one name, whichever its process: a front end that ends again and again does not have
// its home send a large view each time. It is half of the 11 KB a second that a front end may take and send.
var snapshotRate = byteRate{5_000, 5_000_000}

// byteRate bounds bytes: so many a second, and those of a span at once. What is larger goes where nothing else went of late.
type byteRate struct {
	each monotime.Micros // bytes a second
	span monotime.Micros
}

// allows says whether something may go now. due is the state, 0 at first.
func (r byteRate) allows(now, due monotime.Micros) bool { return due-now <= r.span }

// note counts what goes.
func (r byteRate) note(now monotime.Micros, bytes int, due *monotime.Micros) {
	*due = max(*due, now) + monotime.Micros(bytes)*1_000_000/r.each
}

// allow says whether it may happen now, and notes it if so. due is the state, 0 at first.
func (r rate) allow(now monotime.Micros, due *monotime.Micros) bool {
	if *due-now > r.gap*monotime.Micros(r.burst-1) {
		return false
	}
	*due = max(*due, now) + r.gap
	return true
}
