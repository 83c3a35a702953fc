package estimate

// MaxSlowdown is how many times its best latency a query may have taken and still tell of its cost. Beyond
// it the wait says more of the other queries than of this one.
const MaxSlowdown = 2.0

// Work is the work, in milliseconds on one core, that a served attempt's latency tells of, and how much weight
// that has; ok is false where it tells nothing.
//
// Answers don't report costs. An attempt that ran alone keeps its threads busy for its whole latency, so its
// work is the latency times the threads. Under load it also waits for others: the slowdown, which is the ratio
// of latency to estimate of its class and engine over the best that was seen, takes that out on average but not
// for each query, so the weight falls with its square, and there is none where load dominates.
func Work(latencyMS float64, threads int, slowdown float64) (ms, weight float64, ok bool) {
	slowdown = max(1, slowdown)
	if latencyMS <= 0 || slowdown > MaxSlowdown {
		return 0, 0, false
	}
	return latencyMS * float64(max(1, threads)) / slowdown, 1 / (slowdown * slowdown), true
}
