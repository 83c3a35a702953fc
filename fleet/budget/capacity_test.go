package budget_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/internal/procstat"
	"chutechute/internal/scale"
)

const (
	capacityWarmUp = 8 * second
	capacitySpan   = 3 * second
)

// What dividing one budget costs the authority's leader and its front ends, by the number of front ends; long.
func TestCapacityOfBudgets(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
	result := procstat.NewResult("budgets",
		"One budget of a rate, in virtual time, 3 s after 8 s; one copy of the record "+
			"applies, the two others stand still. Processor time of the process within Apply, and of the rest of the "+
			"world (front ends, Due, the queue) over front ends; two runs a size.")
	for range 2 {
		for _, frontEnds := range []int{10, 20, 40, 80, 160, 320, 640, 1280} {
			figures := measureCapacity(t, frontEnds)
			t.Logf("%3d front ends: %v", frontEnds, figures)
			result.Points = append(result.Points,
				scale.Point{Axis: "front ends", X: float64(frontEnds), Figures: figures})
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// measureCapacity measures a fleet with one active replica.
func measureCapacity(t *testing.T, frontEnds int) map[string]float64 {
	w := newFleet(frontEnds, 2000, 2*second)
	w.setDemand(3000 / float64(frontEnds))
	w.replicas[1].stopped, w.replicas[2].stopped = true, true
	w.run(capacityWarmUp)
	var inApply time.Duration
	w.measureApply = func() func() {
		began := procstat.OwnProcessorTime()
		return func() { inApply += procstat.OwnProcessorTime() - began }
	}
	before, began := w.cost(), procstat.OwnProcessorTime()
	w.run(capacityWarmUp + capacitySpan)
	total := procstat.OwnProcessorTime() - began
	require.Empty(t, w.check())
	const seconds = float64(capacitySpan) / float64(second)
	committed := float64(len(w.log) - before.commits)
	perFrontEnd := func(n float64) float64 { return n / seconds / float64(frontEnds) }
	return map[string]float64{
		"commits /s":                committed / seconds,
		"commit us":                 float64(inApply.Microseconds()) / committed,
		"leader us/s":               float64(inApply.Microseconds()) / seconds,
		"the rest us/s":             perFrontEnd(float64((total - inApply).Microseconds())),
		"front end reports /s":      perFrontEnd(float64(w.reports - before.reports)),
		"front end message bytes/s": perFrontEnd(float64(w.messageBytes - before.messageBytes)),
	}
}
