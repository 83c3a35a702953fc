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

// Measures what the division of one budget costs the authority's leader and the front ends, by the number of front
// ends. It runs only if CHUTECHUTE_LONG is set.
func TestCapacityOfBudgets(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("CHUTECHUTE_LONG is not set; make scale-full runs this measurement")
	}
	result := procstat.NewResult("budgets",
		"One rate budget, in virtual time, 3 s measured after 8 s of warm-up; one replica "+
			"applies commands, the two others are stopped. Processor time of the process within Apply, and of the rest "+
			"of the simulation (front ends, DueCommands, event queue) per front end; two runs per size.")
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

// measureCapacity returns the figures of a simulation with one active replica.
func measureCapacity(t *testing.T, frontEnds int) map[string]float64 {
	s := newRateSimulation(frontEnds, 2000, 2*second)
	s.setDemand(3000 / float64(frontEnds))
	s.replicas[1].stopped, s.replicas[2].stopped = true, true
	s.run(capacityWarmUp)
	var inApply time.Duration
	s.measureApply = func() func() {
		began := procstat.OwnProcessorTime()
		return func() { inApply += procstat.OwnProcessorTime() - began }
	}
	before, began := s.cost(), procstat.OwnProcessorTime()
	s.run(capacityWarmUp + capacitySpan)
	total := procstat.OwnProcessorTime() - began
	require.Empty(t, s.check())
	const seconds = float64(capacitySpan) / float64(second)
	committed := float64(len(s.log) - before.commits)
	perFrontEnd := func(n float64) float64 { return n / seconds / float64(frontEnds) }
	return map[string]float64{
		"commits /s":                committed / seconds,
		"commit us":                 float64(inApply.Microseconds()) / committed,
		"leader us/s":               float64(inApply.Microseconds()) / seconds,
		"the rest us/s":             perFrontEnd(float64((total - inApply).Microseconds())),
		"front end reports /s":      perFrontEnd(float64(s.reports - before.reports)),
		"front end message bytes/s": perFrontEnd(float64(s.messageBytes - before.messageBytes)),
	}
}
