package identity

import "chutechute/internal/monotime"

// AllowLogEntry reports whether Limits.AuditPerSecond allows logging a denied request at the monotonic time now. If so,
// it also returns how many denied requests were not logged since the last log entry.
func (g *Guard) AllowLogEntry(now monotime.Micros) (suppressed int, ok bool) {
	return g.audit.allow(now)
}

// auditLimiter limits the rate of log entries about denied requests.
type auditLimiter struct {
	entries    tokenBucket
	suppressed int // log entries suppressed since the last one that was allowed
}

func newAuditLimiter(entriesPerSecond float64, suppressed int) auditLimiter {
	return auditLimiter{
		entries:    tokenBucket{rate: entriesPerSecond, burst: entriesPerSecond},
		suppressed: suppressed,
	}
}

// allow reports whether an entry may be logged now and, if so, how many were suppressed before it.
func (a *auditLimiter) allow(now monotime.Micros) (suppressed int, ok bool) {
	if !a.entries.take(now) {
		a.suppressed++
		return 0, false
	}
	suppressed, a.suppressed = a.suppressed, 0
	return suppressed, true
}
