package scheduler

import (
	"math"

	"chutechute/internal/monotime"
)

// The execution time of a query is its estimated work times its class's ratio of latencies to estimates, both decayed
// means. The ratio rises with load, which underPressure recognises by comparing it to the best one seen.
const (
	// classDecay is the weight of a new measurement in a class's means: about the last 20 count.
	classDecay = 0.05
	// maxMeasuredRatio is the multiple of the estimated execution time that one measurement counts for at most: one
	// bad query plan or wait for a lock says little about the class.
	maxMeasuredRatio = 3.0
	// bestRatioDrift is the growth of the best ratio a second, by which it follows a lasting change.
	bestRatioDrift = 0.01
	// minOwnEstimateRatio bounds the best ratio from below, over the threads of a query, where estimates are this
	// gateway's own: no query takes less of its work.
	minOwnEstimateRatio = 0.5
	// maxBestOfObjective is the part of the latency objective that the best latency is taken for at most, should the
	// gateway start under load.
	maxBestOfObjective = 0.25
	// staleEstimateDecay is the factor a sweep by which a raised mean latency falls while nothing measures it.
	staleEstimateDecay = 0.98
	// maxEstimateErrors is how many usual errors of the estimate an attempt may take beyond it.
	maxEstimateErrors = 4.0
	// initialWorkSamples is for how many usual queries reported work counts as estimated right at the start.
	initialWorkSamples = 5
	// maxWorkBias is the factor that estimates of work are corrected by at most, up or down: beyond, they estimate
	// nothing.
	maxWorkBias = 8.0
)

// class is what this gateway has learned of a query class. Times are in microseconds.
type class struct {
	Class
	meanLatency        float64 // decayed
	meanEstimate       float64 // decayed mean of query.estimate; 0 before the first query
	bestRatio          float64 // lowest meanLatency over meanEstimate, drifting up
	measuredAt         monotime.Micros
	longestTimeLeft    monotime.Micros // that queries had at their arrival: what clients have at their first try
	estimateError      float64         // decayed mean error of the estimated execution time, as a share of it
	ownEstimates       bool            // some queries have this gateway's own estimates
	meanWork           float64         // decayed mean work of a query on one thread
	reportedWork       float64         // decayed sum of work that engines report
	estimatedWork      float64         // decayed sum of the estimates for the same queries
	inFlight           int             // attempts
	unavailableThreads int             // of attempts in flight on engines that are not ready
	blocked            bool            // no engine can be found for interchangeable queries in the current step
}

func newClass(c Class) *class {
	return &class{
		Class:         c,
		bestRatio:     math.Inf(1),
		meanWork:      float64(c.LatencyObjective) * float64(c.Threads),
		estimateError: 1,
	}
}

// estimate returns the estimated work, or 1 for all queries without an estimate.
func (q *query) estimate() float64 {
	if q.EstimatedWork > 0 {
		return float64(q.EstimatedWork)
	}
	return 1
}

// executionTime returns the estimated execution time, in microseconds.
func (q *query) executionTime() float64 {
	return q.estimate() * q.class.meanLatency / q.class.meanEstimate
}

// seed makes the latency objective the estimated execution time of the first query of the class.
func (c *class) seed(first *query) {
	if c.meanEstimate == 0 {
		c.meanEstimate, c.meanLatency = first.estimate(), float64(c.LatencyObjective)
	}
}

// expectedWork returns the estimated work on one thread, corrected by what engines report of the class, or the mean
// work of the class.
func (q *query) expectedWork() float64 {
	if q.EstimatedWork > 0 {
		return float64(q.EstimatedWork) * q.class.workBias()
	}
	return q.class.meanWork
}

// workBias returns how many times their estimates queries of the class take, as far as engines report.
func (c *class) workBias() float64 {
	if c.estimatedWork <= 0 {
		return 1
	}
	return min(maxWorkBias, max(1/maxWorkBias, c.reportedWork/c.estimatedWork))
}

// learnWork learns the work that the query took, as its engine reports it.
func (q *query) learnWork(reported monotime.Micros) {
	c := q.class
	if reported <= 0 || q.EstimatedWork <= 0 {
		return
	}
	if c.estimatedWork == 0 {
		c.reportedWork, c.estimatedWork = initialWorkSamples*c.meanWork, initialWorkSamples*c.meanWork
	}
	c.reportedWork += float64(reported) - classDecay*c.reportedWork
	c.estimatedWork += float64(q.EstimatedWork) - classDecay*c.estimatedWork
}

// learnEstimate learns the work that an arriving query is estimated at.
func (c *class) learnEstimate(work monotime.Micros) {
	// More than the client can wait for is no usual work, and may be made up.
	if work > 0 && work <= c.ClientTimeout*monotime.Micros(c.Threads) {
		c.meanWork += classDecay * (float64(work) - c.meanWork)
	}
}

// learnLatency learns the latency of a query.
func (c *class) learnLatency(q *query, latency float64, now monotime.Micros) {
	expected := q.executionTime()
	latency = min(latency, maxMeasuredRatio*expected)
	c.estimateError += classDecay * (math.Abs(latency/expected-1) - c.estimateError)
	c.meanLatency += classDecay * (latency - c.meanLatency)
	c.meanEstimate += classDecay * (q.estimate() - c.meanEstimate)
	c.bestRatio = min(c.bestRatio, c.meanLatency/c.meanEstimate,
		maxBestOfObjective*float64(c.objectiveFor(c.meanWork))/c.meanEstimate)
	if c.ownEstimates { // else estimates that were too high and are corrected would look like load for good
		c.bestRatio = max(c.bestRatio, minOwnEstimateRatio/float64(c.Threads))
	}
	c.measuredAt = now
}

// decay lets a raised mean latency sink while nothing measures it, and the best ratio drift up. It runs each sweep.
func (c *class) decay(now monotime.Micros) {
	if c.meanEstimate > 0 && c.inFlight == 0 && now-c.measuredAt > rejectionMemory &&
		c.meanLatency > c.bestRatio*c.meanEstimate {
		c.meanLatency = max(c.bestRatio*c.meanEstimate, c.meanLatency*staleEstimateDecay)
	}
	c.bestRatio *= 1 + bestRatioDrift*float64(sweepInterval)/float64(monotime.Second)
}

// objectiveFor returns the latency objective of a query of the class with so much work.
func (c *class) objectiveFor(work float64) monotime.Micros {
	return c.LatencyObjective + monotime.Micros(c.ObjectiveStretch*work/float64(c.Threads))
}

// timeoutFactor returns how many times its estimated execution time an attempt may take: the more, the worse the
// estimates of the class have been.
func (c *class) timeoutFactor() float64 { return 1 + maxEstimateErrors*c.estimateError }

// recordLatency learns from the latency of an attempt, of its class and of its engine.
func (s *Scheduler) recordLatency(q *query, a *attempt, latency float64) {
	c := q.class
	a.engine.health.score(latency/max(a.executionTime, 1), s.now)
	c.learnLatency(q, latency, s.now)
	if q.EstimatedWork == 0 && !s.underPressure() {
		c.meanWork += classDecay * (latency*float64(c.Threads) - c.meanWork)
	}
}

// slowdown estimates how many times its best latency a query took for the load on its engine.
func (s *Scheduler) slowdown(q *query, a *attempt) float64 {
	return max(1, q.class.meanLatency/q.class.meanEstimate/q.class.bestRatio) *
		max(1, s.placement.relativeScore(a.engine))
}
