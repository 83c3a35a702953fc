package estimate

// MaxSlowdown is the largest slowdown at which a latency still tells of the cost of its query. Beyond it the latency
// says more of the other queries than of this one.
const MaxSlowdown = 2.0

// WorkFromLatency returns the work, in milliseconds on one core, that a served attempt's latency indicates, and the
// weight of that, above 0 and at most 1. ok is false where the latency tells nothing.
//
// Responses don't report costs. An attempt that runs alone keeps its threads busy for its whole latency, so its
// work is the latency times the threads. Under load it also waits for others. The slowdown, which is the ratio of
// latency to estimate of its class and engine over the best such ratio, removes that on average but not for each
// query. So the weight falls with its square, and it is 0 where load dominates.
func WorkFromLatency(latencyMS float64, threads int, slowdown float64) (ms, weight float64, ok bool) {
	slowdown = max(1, slowdown)
	if latencyMS <= 0 || slowdown > MaxSlowdown {
		return 0, 0, false
	}
	return latencyMS * float64(max(1, threads)) / slowdown, 1 / (slowdown * slowdown), true
}
