package scheduler

import (
	"math"

	"chutechute/internal/monotime"
)

const (
	// scoreDecay is the weight of a new measurement in an outlier score. It is higher than classDecay because an engine
	// has fewer measurements and an outlier must be detected within a second or two.
	scoreDecay = 0.15
	// maxOutlierScore caps a single measurement, and a score relative to the median.
	maxOutlierScore = 20.0
	// errorScore is the ratio of latency to estimate that an error counts as.
	errorScore = 3.0
	// scoreHalfLife is the time in which the distance of a score from 1 halves while the engine is not measured.
	scoreHalfLife = 5 * monotime.Second
	// scoreDecayDelay is the time after the last measurement at which a score begins to decay.
	scoreDecayDelay = monotime.Second
	// minEjectionBackoff and maxEjectionBackoff bound the time until an ejected engine is tried again, which doubles
	// with each failure.
	minEjectionBackoff = monotime.Second / 2
	maxEjectionBackoff = 4 * monotime.Second
	// healthCheckSpacing is the minimum time between health checks in one zone.
	healthCheckSpacing = minEjectionBackoff / 2
	// zoneEjectionThreshold is the number of ejected engines of a zone at which its others are ejected too, unless one
	// of the zone has been seen since the first ejection.
	zoneEjectionThreshold = 2
	// minRestartAbsence is the time for which an engine must have been ejected before it is assumed to have restarted.
	minRestartAbsence = monotime.Second
)

// engineHealth is the state of outlier detection for one engine.
type engineHealth struct {
	outlierScore float64         // decayed ratio of measured latencies to estimates; 1: as estimated
	scoredAt     monotime.Micros // when it was last measured

	ejected             bool
	ejectedAt           monotime.Micros
	lastSeenAt          monotime.Micros // when the engine last proved to be alive, -1 before that
	probationAt         monotime.Micros // earliest time to try an ejected engine again
	backoff             monotime.Micros // time between ejection and probationAt, without jitter; 0 before the first
	healthCheckInFlight bool
}

// recordRatio updates the outlier score with a measured ratio of latency to estimated execution time.
func (h *engineHealth) recordRatio(ratio float64, now monotime.Micros) {
	h.outlierScore += scoreDecay * (min(ratio, maxOutlierScore) - h.outlierScore)
	h.scoredAt = now
}

// decayScore moves the score back towards 1 while the engine is not measured. It runs every sweep.
func (h *engineHealth) decayScore(now monotime.Micros) {
	if now-h.scoredAt > scoreDecayDelay {
		h.outlierScore = 1 + (h.outlierScore-1)*math.Exp2(-float64(sweepInterval)/float64(scoreHalfLife))
	}
}

// healthChecker spaces the health checks of each zone.
type healthChecker struct {
	nextAt map[string]monotime.Micros // earliest time of the next health check, by zone
}

func newHealthChecker() healthChecker { return healthChecker{nextAt: map[string]monotime.Micros{}} }

// markSeen records that an engine is alive. If it was ejected, it is unejected, and the other ejected engines of its
// zone are tried again soon, since they may be alive too. An engine that was ejected for long may have restarted, which
// discovery reports with a delay; until then it counts as warming up.
func (s *Scheduler) markSeen(e *engine) {
	h := &e.health
	h.lastSeenAt = s.now
	if !h.ejected {
		return
	}
	if absence := s.now - h.ejectedAt; absence > minRestartAbsence && !e.warmUp.active() && s.cfg.Rules.WarmUp > 0 {
		e.warmUp.begin(s.now, s.now, warmUpAssumed, s.rng.Float64())
	}
	h.ejected, h.backoff = false, 0
	s.emit(Log{Text: "unejected " + e.Engine})
	for _, other := range s.endpoints.servingInZone(e.Zone) {
		if other.health.ejected {
			other.health.probationAt, other.health.backoff = s.now+s.rng.Int64N(minEjectionBackoff), 0
		}
	}
}

// eject excludes an engine from placement until it is seen again. If several engines of a zone are ejected and none of
// the zone has been seen since the first ejection, the whole zone is presumed dead and ejected, so that its other
// engines are not tried one by one with clients' queries.
func (s *Scheduler) eject(e *engine) {
	s.ejectEngine(e)
	firstEjectedAt, lastSeenAt, ejected := s.now, monotime.Micros(-1), 0
	zone := s.endpoints.servingInZone(e.Zone)
	for _, other := range zone {
		lastSeenAt = max(lastSeenAt, other.health.lastSeenAt)
		if other.health.ejected {
			firstEjectedAt = min(firstEjectedAt, other.health.ejectedAt)
			ejected++
		}
	}
	if ejected < zoneEjectionThreshold || lastSeenAt >= firstEjectedAt {
		return
	}
	for _, other := range zone {
		if !other.health.ejected {
			s.ejectEngine(other)
		}
	}
}

func (s *Scheduler) ejectEngine(e *engine) {
	h := &e.health
	if !h.ejected {
		s.emit(Log{Text: "ejected " + e.Engine})
		h.ejectedAt = s.now
	}
	h.ejected = true
	h.backoff = min(maxEjectionBackoff, max(minEjectionBackoff, 2*h.backoff))
	h.probationAt = s.now + h.backoff + s.rng.Int64N(h.backoff/2)
}

// mayTakeProbation reports whether the query may be the probation request of an ejected engine. Probation requests are
// idempotent queries, one at a time, and are only used without health checks.
func (s *Scheduler) mayTakeProbation(q *query, e *engine) bool {
	return e.health.ejected && !s.cfg.Limits.HealthChecks && s.now >= e.health.probationAt && e.usage.attempts == 0 &&
		q.effect() == Idempotent && q.interchangeable()
}

// sendHealthChecks sends health checks to ejected engines for which they are due, spaced by healthCheckSpacing in a
// zone.
func (s *Scheduler) sendHealthChecks() {
	if !s.cfg.Limits.HealthChecks {
		return
	}
	for _, e := range s.endpoints.engines {
		h := &e.health
		if h.ejected && e.serving() && !h.healthCheckInFlight &&
			s.now >= max(h.probationAt, s.health.nextAt[e.Zone]) && s.budgets.spendHealthCheck(s.now) {
			h.healthCheckInFlight = true
			s.health.nextAt[e.Zone] = s.now + healthCheckSpacing
			s.emit(HealthCheck{Engine: e.Engine})
		}
	}
}

// handleHealthCheckResult marks the engine as seen, or extends its ejection if the health check failed.
func (s *Scheduler) handleHealthCheckResult(e *engine, result Result) {
	e.health.healthCheckInFlight = false
	if result == Succeeded {
		s.markSeen(e)
	} else if e.health.ejected {
		s.eject(e)
	}
}
