package estimate

// MaxSlowdown is the largest slowdown at which the latency of a query is used to estimate its cost. Above it, the
// latency depends more on the other queries than on this one.
const MaxSlowdown = 2.0

// WorkFromLatency estimates the work of a served attempt, in milliseconds on one core, from its latency. The weight is
// the reliability of the estimate, above 0 and at most 1. ok is false if the latency cannot be used.
//
// Responses don't report costs. An attempt that runs alone keeps its threads busy for its whole latency, so its work is
// the latency times the number of threads. Under load, the latency also includes waiting for other queries. The
// slowdown is the current ratio of latency to estimate for the class and engine, relative to the best such ratio.
// Dividing by it removes the waiting on average, but not for each single query. So the weight decreases with the square
// of the slowdown, and the latency is not used if load dominates.
func WorkFromLatency(latencyMS float64, threads int, slowdown float64) (ms, weight float64, ok bool) {
	slowdown = max(1, slowdown)
	if latencyMS <= 0 || slowdown > MaxSlowdown {
		return 0, 0, false
	}
	return latencyMS * float64(max(1, threads)) / slowdown, 1 / (slowdown * slowdown), true
}
