package membership

import (
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/procstat"
	"chutechute/internal/scale"
)

// measuredClients is the number of clients over which the heap size is averaged.
const measuredClients = 16

// liveHeapBytes returns the size of all reachable heap objects.
func liveHeapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Measures, for several fleet sizes, the heap that the view of the whole fleet takes on a control member and on an
// attached front end, and the size of a snapshot. It takes long, so it runs only if CHUTECHUTE_LONG is set.
func TestCapacityOfTheView(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("long measurement; run by make scale-full")
	}
	result := procstat.NewResult("view", "53 control members with as many attached front ends each; "+
		"heap of the stepped modules after a collection, without links, queues and the record; one run a size.")
	for _, attachedPerControl := range []int{1, 6, 19, 51} {
		before := liveHeapBytes()
		s, now := serverOfFleet(t, attachedPerControl)
		serverBytes := liveHeapBytes() - before
		body := s.snapshotMessage()
		before = liveHeapBytes()
		var clients []*Client
		for range measuredClients {
			clients = append(clients, clientWithView(t, s, now, body))
		}
		figures := map[string]float64{
			"control member: heap bytes": serverBytes,
			"front end: heap bytes":      (liveHeapBytes() - before) / measuredClients,
			"snapshot bytes":             float64(len(body)),
		}
		for _, c := range clients {
			require.Equal(t, s.View().Digest(), c.View().Digest())
		}
		t.Logf("%d front ends: %v", attachedPerControl*fullFleetControls, figures)
		frontEnds := float64(attachedPerControl * fullFleetControls)
		result.Points = append(result.Points, scale.Point{Axis: "front ends", X: frontEnds, Figures: figures})
	}
	require.NoError(t, procstat.SaveResult(result))
}
