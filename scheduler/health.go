package scheduler

import (
	"math"

	"chutechute/internal/monotime"
)

const (
	// scoreDecay is the weight of a new measurement in an outlier score. It is higher than classDecay, as an engine has
	// fewer measurements and must show within a second or two.
	scoreDecay = 0.15
	// maxOutlierScore bounds what one measurement counts for, and a score relative to the median.
	maxOutlierScore = 20.0
	// errorScore is the multiple of its execution time that an error counts for.
	errorScore = 3.0
	// scoreHalfLife is the time in which the distance of a score from 1 halves while nothing measures the engine.
	scoreHalfLife = 5 * monotime.Second
	// scoreMemory is the time after its last measurement from which a score decays.
	scoreMemory = monotime.Second
	// minEjectionBackoff and maxEjectionBackoff bound the time until an ejected engine is tried again; it doubles.
	minEjectionBackoff = monotime.Second / 2
	maxEjectionBackoff = 4 * monotime.Second
	// healthCheckSpacing is the time between health checks in one zone.
	healthCheckSpacing = minEjectionBackoff / 2
	// zoneEjectionThreshold is how many ejected engines of a zone, with none seen since, eject the others.
	zoneEjectionThreshold = 2
	// minRestartAbsence is the time an engine must have been ejected to count as perhaps restarted.
	minRestartAbsence = monotime.Second
)

// engineHealth is the outlier detection of one engine.
type engineHealth struct {
	outlierScore float64         // decayed ratio of measured latencies to estimates; 1: as estimated
	scoredAt     monotime.Micros // last measurement

	ejected             bool
	ejectedAt           monotime.Micros
	lastSeenAt          monotime.Micros // last sign of life, -1 before
	probationAt         monotime.Micros // when an ejected engine may next be tried
	backoff             monotime.Micros // between ejection and that; 0 before
	healthCheckInFlight bool
}

// score takes a measured ratio of latency to estimated execution time into the outlier score.
func (h *engineHealth) score(ratio float64, now monotime.Micros) {
	h.outlierScore += scoreDecay * (min(ratio, maxOutlierScore) - h.outlierScore)
	h.scoredAt = now
}

// decayScore lets the score return to 1 while nothing measures the engine. It runs each sweep.
func (h *engineHealth) decayScore(now monotime.Micros) {
	if now-h.scoredAt > scoreMemory {
		h.outlierScore = 1 + (h.outlierScore-1)*math.Exp2(-float64(sweepInterval)/float64(scoreHalfLife))
	}
}

// healthChecker spaces the health checks of each zone.
type healthChecker struct {
	nextAt map[string]monotime.Micros // when the next one may go, by zone
}

func newHealthChecker() healthChecker { return healthChecker{nextAt: map[string]monotime.Micros{}} }

// markSeen notes a sign of life. An ejected engine returns, and those of its zone may be back too. One that was away
// for long may have restarted, which discovery reports late: until then it counts as warming up.
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
	s.do(Log{Text: "unejected " + e.Engine})
	for _, other := range s.endpoints.inZone(e.Zone) {
		if other.health.ejected {
			other.health.probationAt, other.health.backoff = s.now+s.rng.Int64N(minEjectionBackoff), 0
		}
	}
}

// eject keeps an engine from the order until it is seen again. Where several engines of a zone are ejected and none has
// been seen since, the zone is taken for lost, so that its others are not tried one by one with clients' queries.
func (s *Scheduler) eject(e *engine) {
	s.ejectEngine(e)
	firstEjectedAt, lastSeenAt, ejected := s.now, monotime.Micros(-1), 0
	zone := s.endpoints.inZone(e.Zone)
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
		s.do(Log{Text: "ejected " + e.Engine})
		h.ejectedAt = s.now
	}
	h.ejected = true
	h.backoff = min(maxEjectionBackoff, max(minEjectionBackoff, 2*h.backoff))
	h.probationAt = s.now + h.backoff + s.rng.Int64N(h.backoff/2)
}

// mayTakeProbation reports whether the query may be the probation request of an ejected engine: one idempotent query at
// a time, where there are no health checks.
func (s *Scheduler) mayTakeProbation(q *query, e *engine) bool {
	return e.health.ejected && !s.cfg.Limits.HealthChecks && s.now >= e.health.probationAt && e.usage.attempts == 0 &&
		q.effect() == Idempotent && q.interchangeable()
}

// sendHealthChecks checks ejected engines whose time has come, one of a zone at a time.
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
			s.do(HealthCheck{Engine: e.Engine})
		}
	}
}

// healthCheckResult takes the result of a health check over.
func (s *Scheduler) healthCheckResult(e *engine, result Result) {
	e.health.healthCheckInFlight = false
	if result == Succeeded {
		s.markSeen(e)
	} else if e.health.ejected {
		s.eject(e)
	}
}
