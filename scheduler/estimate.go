package scheduler

import (
	"math"

	"chutechute/internal/monotime"
)

// The estimated execution time of a query is its estimated work times its class's ratio of mean latency to mean
// estimate, which are both exponentially decayed. The ratio rises with load; underPressure detects that by comparing it
// with the best ratio seen.
const (
	// classDecay is the weight of a new measurement in a class's means: about the last 20 count.
	classDecay = 0.05
	// maxMeasuredRatio caps a measurement at this multiple of the estimated execution time, because one bad query plan
	// or wait for a lock says little about the class.
	maxMeasuredRatio = 3.0
	// bestRatioDrift is the growth of the best ratio per second, so that it follows a lasting change.
	bestRatioDrift = 0.01
	// minOwnEstimateRatio, divided by the threads of a query, is the lower bound of the best ratio if estimates are
	// this front end's own: no execution time is a smaller fraction of the estimated work.
	minOwnEstimateRatio = 0.5
	// maxBestOfObjective caps the best latency at this fraction of the latency objective, because a front end that
	// starts under load has not measured a good one.
	maxBestOfObjective = 0.25
	// staleEstimateDecay is the factor per sweep by which a raised mean latency falls while it is not measured.
	staleEstimateDecay = 0.98
	// maxEstimateErrors is by how many mean estimation errors an attempt may exceed its estimate before it is hedged,
	// canceled or timed out.
	maxEstimateErrors = 4.0
	// initialWorkSamples is the number of queries of mean work that the work bias initially assumes to have been
	// estimated correctly, so that the first reports do not change it abruptly.
	initialWorkSamples = 5
	// maxWorkBias is the largest factor by which estimates of work are corrected, up or down. Estimates that are
	// further off are meaningless.
	maxWorkBias = 8.0
)

// class is what this front end has measured of a query class. Times are in microseconds.
type class struct {
	Class
	meanLatency        float64         // decayed
	meanEstimate       float64         // decayed mean of query.estimate; 0 before the first query
	bestRatio          float64         // lowest ratio of meanLatency to meanEstimate, drifting up
	measuredAt         monotime.Micros // when a latency was last measured
	longestTimeLeft    monotime.Micros // longest time from a query's arrival to its deadline: that of first tries
	estimateError      float64         // decayed mean error of the estimated execution time, as a share of it
	ownEstimates       bool            // some queries have this front end's own estimates
	meanWork           float64         // decayed mean work of a query, on one thread
	reportedWork       float64         // decayed sum of work that engines report
	estimatedWork      float64         // decayed sum of the estimates for the same queries
	inFlight           int             // number of attempts in flight
	unavailableThreads int             // threads of attempts in flight on engines that are not ready
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

// estimate returns the estimated work, or 1 if there is no estimate.
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

// initEstimates initializes the means so that the first query's estimated execution time is the latency objective of
// the class.
func (c *class) initEstimates(first *query) {
	if c.meanEstimate == 0 {
		c.meanEstimate, c.meanLatency = first.estimate(), float64(c.LatencyObjective)
	}
}

// expectedWork returns the estimated work on one thread, corrected by the work that engines report for the class.
// Without an estimate it returns the mean work of the class.
func (q *query) expectedWork() float64 {
	if q.EstimatedWork > 0 {
		return float64(q.EstimatedWork) * q.class.workBias()
	}
	return q.class.meanWork
}

// workBias returns the ratio of reported to estimated work of the class, 1 before the first report.
func (c *class) workBias() float64 {
	if c.estimatedWork <= 0 {
		return 1
	}
	return min(maxWorkBias, max(1/maxWorkBias, c.reportedWork/c.estimatedWork))
}

// learnWork updates the work bias of the class with the work that an engine reports for the query.
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

// learnEstimate updates the mean work of the class with the estimate of an arriving query.
func (c *class) learnEstimate(work monotime.Micros) {
	// An estimate of more work than fits into the client timeout is not typical and may be bogus.
	if work > 0 && work <= c.ClientTimeout*monotime.Micros(c.Threads) {
		c.meanWork += classDecay * (float64(work) - c.meanWork)
	}
}

// learnLatency updates the means of the class with the latency of a query.
func (c *class) learnLatency(q *query, latency float64, now monotime.Micros) {
	expected := q.executionTime()
	latency = min(latency, maxMeasuredRatio*expected)
	c.estimateError += classDecay * (math.Abs(latency/expected-1) - c.estimateError)
	c.meanLatency += classDecay * (latency - c.meanLatency)
	c.meanEstimate += classDecay * (q.estimate() - c.meanEstimate)
	c.bestRatio = min(c.bestRatio, c.meanLatency/c.meanEstimate,
		maxBestOfObjective*float64(c.objectiveFor(c.meanWork))/c.meanEstimate)
	if c.ownEstimates { // otherwise a best ratio learned from too high estimates would look like load forever
		c.bestRatio = max(c.bestRatio, minOwnEstimateRatio/float64(c.Threads))
	}
	c.measuredAt = now
}

// decay lowers a raised mean latency while it is not measured, and lets the best ratio drift up. It runs every sweep.
func (c *class) decay(now monotime.Micros) {
	if c.meanEstimate > 0 && c.inFlight == 0 && now-c.measuredAt > pressureDuration &&
		c.meanLatency > c.bestRatio*c.meanEstimate {
		c.meanLatency = max(c.bestRatio*c.meanEstimate, c.meanLatency*staleEstimateDecay)
	}
	c.bestRatio *= 1 + bestRatioDrift*float64(sweepInterval)/float64(monotime.Second)
}

// objectiveFor returns the latency objective of a query of the class, by its work.
func (c *class) objectiveFor(work float64) monotime.Micros {
	return c.LatencyObjective + monotime.Micros(c.ObjectiveStretch*work/float64(c.Threads))
}

// timeoutFactor returns the multiple of its estimated execution time that an attempt may take. It grows with the
// estimation error of the class.
func (c *class) timeoutFactor() float64 { return 1 + maxEstimateErrors*c.estimateError }

// recordLatency updates the estimates of the class and the outlier score of the engine with the latency of an attempt.
func (s *Scheduler) recordLatency(q *query, a *attempt, latency float64) {
	c := q.class
	a.engine.health.recordRatio(latency/max(a.executionTime, 1), s.now)
	c.learnLatency(q, latency, s.now)
	if q.EstimatedWork == 0 && !s.underPressure() {
		c.meanWork += classDecay * (latency*float64(c.Threads) - c.meanWork)
	}
}

// slowdown estimates the factor by which load, in general and on its engine, increased the latency of a query.
func (s *Scheduler) slowdown(q *query, a *attempt) float64 {
	return max(1, q.class.meanLatency/q.class.meanEstimate/q.class.bestRatio) *
		max(1, s.placement.relativeScore(a.engine))
}
