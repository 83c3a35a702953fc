package membership

import (
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/procstat"
	"chutechute/internal/scale"
)

// measuredClients is over how many front ends the heap of one is taken.
const measuredClients = 16

// reachable is the bytes of all that is reachable.
func reachable() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// What a front end and a control member hold of the whole fleet, and the bytes of a snapshot, by its size; long.
func TestCapacityOfTheView(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
	result := procstat.NewResult("view", "53 control members with as many attached front ends each; heap of the stepped modules after a collection, "+
		"without links, queues and the record; one run a size.")
	for _, each := range []int{1, 6, 19, 51} {
		before := reachable()
		s, now := withEach(t, each)
		server := reachable() - before
		body := s.wholeView()
		before = reachable()
		var clients []*Client
		for range measuredClients {
			clients = append(clients, holding(t, s, now, body))
		}
		figures := map[string]float64{"control member: heap bytes": server, "front end: heap bytes": (reachable() - before) / measuredClients,
			"snapshot bytes": float64(len(body))}
		for _, c := range clients {
			require.Equal(t, s.View().Digest(), c.View().Digest())
		}
		t.Logf("%d front ends: %v", each*fullControls, figures)
		result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(each * fullControls), Figures: figures})
	}
	require.NoError(t, procstat.SaveResult(result))
}
