package scheduler

import (
	"slices"

	"chutechute/internal/monotime"
)

// Under pressure, that is, in an overload, this front end keeps to a smaller share of the engines, rejects queries that
// can no longer meet their latency objective, and cancels those that run for too long.
const (
	// pressureDuration is how long a rejection by an engine counts as pressure.
	pressureDuration = monotime.Second
	// pressureRatio is the multiple of a class's best ratio of latency to estimate above which the class is under
	// pressure. It is above the usual variation, and is reached well before latency objectives are missed.
	pressureRatio = 2.0
)

// underPressure reports whether an engine recently rejected an attempt or the latency of a class is well above its
// best.
func (s *Scheduler) underPressure() bool {
	if s.now-s.lastRejectedAt < pressureDuration {
		return true
	}
	return slices.ContainsFunc(s.classes, (*class).slowed)
}

// slowed reports whether the class's latency is well above its best.
func (c *class) slowed() bool {
	return c.meanEstimate > 0 && c.meanLatency/c.meanEstimate > pressureRatio*c.bestRatio
}
