package scheduler

import (
	"slices"

	"chutechute/internal/monotime"
)

// Under pressure, as in an overload, this gateway keeps to its share of the engines, rejects what can no longer
// meet its latency objective, and gives up what runs for too long.
const (
	// rejectionMemory is how long a rejection by an engine counts as pressure.
	rejectionMemory = monotime.Second
	// pressureRatio is the multiple of the best ratio of latency to estimate that counts as pressure: beyond scatter,
	// well before latency objectives are missed.
	pressureRatio = 2.0
)

// underPressure reports whether an engine rejected an attempt lately or a class's latency is well above its best.
func (s *Scheduler) underPressure() bool {
	if s.now-s.lastRejectedAt < rejectionMemory {
		return true
	}
	return slices.ContainsFunc(s.classes, (*class).slowed)
}

// slowed reports whether the class's latency is well above its best.
func (c *class) slowed() bool {
	return c.meanEstimate > 0 && c.meanLatency/c.meanEstimate > pressureRatio*c.bestRatio
}
