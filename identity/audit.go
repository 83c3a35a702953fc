package identity

import "chutechute/internal/monotime"

// AllowLogEntry reports whether a denied call is to be logged at the monotonic time now, within
// Limits.AuditPerSecond, and how many were not logged since the last one that was.
func (g *Guard) AllowLogEntry(now monotime.Micros) (silenced int, ok bool) { return g.audit.allow(now) }

// auditLimiter limits the log entries about denied calls.
type auditLimiter struct {
	entries    tokenBucket
	suppressed int // since the last entry
}

func newAuditLimiter(entriesPerSecond float64, suppressed int) auditLimiter {
	return auditLimiter{
		entries:    tokenBucket{rate: entriesPerSecond, burst: entriesPerSecond},
		suppressed: suppressed,
	}
}

// allow reports whether there may be an entry now, and how many were suppressed before it.
func (a *auditLimiter) allow(now monotime.Micros) (suppressed int, ok bool) {
	if !a.entries.take(now) {
		a.suppressed++
		return 0, false
	}
	suppressed, a.suppressed = a.suppressed, 0
	return suppressed, true
}
