package budget_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/internal/procstat"
	"chutechute/internal/scale"
)

// What dividing one budget costs the record's leader and its front ends, by front ends; long.
func TestCapacityOfBudgets(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
	const span = 3 * second
	result := procstat.NewResult("budgets", "One budget of a rate, in virtual time, 3 s after 8 s; one copy of the record applies, the two others "+
		"stand still. Processor time of the process within Apply, and of the rest of the world (front ends, Due, the queue) over "+
		"front ends; two runs a size.")
	for range 2 {
		for _, frontEnds := range []int{10, 20, 40, 80, 160, 320, 640, 1280} {
			w := fleetOf(frontEnds, 2000, 2*second)
			for _, h := range w.holders {
				h.want = 3000 / float64(frontEnds)
			}
			w.copies[1].stopped, w.copies[2].stopped = true, true
			w.run(8 * second)
			var inApply time.Duration
			w.applying = func() func() {
				began := procstat.OwnProcessorTime()
				return func() { inApply += procstat.OwnProcessorTime() - began }
			}
			asks, bytes, commits, began := w.asks, w.bytes, len(w.log), procstat.OwnProcessorTime()
			w.run(8*second + span)
			all := procstat.OwnProcessorTime() - began
			const spanSeconds = float64(span) / float64(second)
			committed := float64(len(w.log) - commits)
			figures := map[string]float64{
				"commits /s":                committed / spanSeconds,
				"commit us":                 float64(inApply.Microseconds()) / committed,
				"leader us/s":               float64(inApply.Microseconds()) / spanSeconds,
				"the rest us/s":             float64((all - inApply).Microseconds()) / spanSeconds / float64(frontEnds),
				"front end reports /s":      float64(w.asks-asks) / spanSeconds / float64(frontEnds),
				"front end message bytes/s": float64(w.bytes-bytes) / spanSeconds / float64(frontEnds),
			}
			t.Logf("%3d front ends: %v", frontEnds, figures)
			result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(frontEnds), Figures: figures})
			require.Empty(t, w.check())
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}
