package membership

import (
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/procstat"
	"chutechute/internal/scale"
)

// measuredClients is the number of front ends whose heap is averaged.
const measuredClients = 16

// reachable returns the bytes of all reachable objects.
func reachable() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// It measures what a front end and a control member store of the whole fleet, and the bytes of a snapshot, by the
// fleet's size; long.
func TestCapacityOfTheView(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
	result := procstat.NewResult("view", "53 control members with as many attached front ends each; "+
		"heap of the stepped modules after a collection, without links, queues and the record; one run a size.")
	for _, each := range []int{1, 6, 19, 51} {
		before := reachable()
		s, now := serverOfFleet(t, each)
		server := reachable() - before
		body := s.snapshotMessage()
		before = reachable()
		var clients []*Client
		for range measuredClients {
			clients = append(clients, clientWithView(t, s, now, body))
		}
		figures := map[string]float64{
			"control member: heap bytes": server,
			"front end: heap bytes":      (reachable() - before) / measuredClients,
			"snapshot bytes":             float64(len(body)),
		}
		for _, c := range clients {
			require.Equal(t, s.View().Digest(), c.View().Digest())
		}
		t.Logf("%d front ends: %v", each*fullFleetControls, figures)
		frontEnds := float64(each * fullFleetControls)
		result.Points = append(result.Points, scale.Point{Axis: "front ends", X: frontEnds, Figures: figures})
	}
	require.NoError(t, procstat.SaveResult(result))
}
