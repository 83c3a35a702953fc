package gateway_test

import (
	"encoding/binary"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/gateway"
	"chutechute/internal/counters"
	"chutechute/internal/discovery"
	"chutechute/internal/monotime"
	"chutechute/internal/procstat"
	"chutechute/internal/ring"
	"chutechute/internal/scale"
	"chutechute/internal/settings"
	"chutechute/internal/testharness"
	"chutechute/scheduler"
)

// noEngines is an EngineClient that ignores all calls.
type noEngines struct{}

func (noEngines) Start(*gateway.Attempt)       {}
func (noEngines) Cancel(*gateway.Attempt)      {}
func (noEngines) SetPriority(*gateway.Attempt) {}
func (noEngines) HealthCheck(string)           {}

// States of an engine and kinds of a frame, as encoded in the discovery protocol.
const (
	engineServing  = 0
	engineDraining = 1

	completeList = 1
	listChanges  = 2
)

// engineRecord encodes an engine as the discovery service does. It doesn't use the program's own codec.
func engineRecord(number int, state byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(number))
	b = append(b, 10, byte(number>>16), byte(number>>8), byte(number))
	b = binary.BigEndian.AppendUint16(b, 8080)
	b = append(b, state, 0, 0, 0, 0, 0, 0, 3, 232)
	return append(b, make([]byte, 8)...)
}

// coreWithDiscovery is a core that gets its endpoints from frames of a discovery service.
type coreWithDiscovery struct {
	t        *testing.T
	core     *gateway.Core
	follower discovery.Follower
	in       *ring.Buffer
	now      monotime.Micros
}

func newCoreWithDiscovery(t *testing.T) *coreWithDiscovery {
	t.Helper()
	siteSettings, err := settings.Parse([]byte(testharness.Settings))
	require.NoError(t, err)
	limits := gateway.Limits{MaxOpen: 1000, MaxRequestBytes: 1 << 20}
	core, err := gateway.New(siteSettings, 7, limits, noEngines{}, &counters.Set{})
	require.NoError(t, err)
	return &coreWithDiscovery{
		t:        t,
		core:     core,
		follower: discovery.Follower{Names: discovery.Names{Zones: []string{"a"}, Kinds: []string{"k"}}},
		in:       ring.New(discovery.MaxFrame, &ring.Budget{Max: discovery.MaxFrame}),
		now:      monotime.Second,
	}
}

// applyFrame decodes a frame and passes its endpoints to the core.
func (d *coreWithDiscovery) applyFrame(frame []byte) {
	_, err := d.in.Write(frame)
	require.NoError(d.t, err)
	event, isNew, ok, err := d.follower.Next(d.in)
	require.True(d.t, ok && isNew && err == nil)
	entries := make([]scheduler.Endpoint, len(event.Engines))
	for i, engine := range event.Engines {
		entries[i] = engine.Endpoint
	}
	d.core.UpdateEndpoints(event.Kind, entries)
	d.now += 100
	d.core.Step(d.now)
}

// listCost is the cost of a complete list of engines and of one change of it.
type listCost struct {
	listBytes   int
	listTime    time.Duration
	listHeap    float64 // bytes that the heap grows by
	changeBytes int
	changeTime  time.Duration // mean per change
}

func measureListCost(t *testing.T, engines int) (cost listCost) {
	t.Helper()
	core := newCoreWithDiscovery(t)
	var records [][]byte
	for i := range engines {
		records = append(records, engineRecord(i, engineServing))
	}
	list := testharness.DiscoveryFrame(1, completeList, records...)
	cost.listBytes = len(list)

	heapBefore := procstat.HeapInUse()
	start := procstat.OwnProcessorTime()
	core.applyFrame(list)
	cost.listTime = procstat.OwnProcessorTime() - start
	cost.listHeap = procstat.HeapInUse() - heapBefore

	changes := max(20, 400_000/engines)
	start = procstat.OwnProcessorTime()
	for i := range changes { // alternately drains an engine and sets it serving again
		state := byte(engineDraining - i%2)
		frame := testharness.DiscoveryFrame(uint64(2+i), listChanges, engineRecord(i/2%engines, state))
		cost.changeBytes = len(frame)
		core.applyFrame(frame)
	}
	cost.changeTime = (procstat.OwnProcessorTime() - start) / time.Duration(changes)
	return cost
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// TestCapacityOfEndpointLists measures the cost of a complete list of engines and of one change of it for a front end,
// by the number of engines: from decoding the discovery service's frame to the scheduler's actions. It takes long and
// runs only if CHUTECHUTE_LONG is set.
func TestCapacityOfEndpointLists(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
	result := procstat.NewResult("lists", "From decoding a discovery frame to the scheduler's actions, "+
		"without the engine connection pool; processor time of the process, the mean of many changes; two runs per size.")
	for range 2 {
		for _, engines := range []int{64, 256, 1024, 2048, 8192, 34000} {
			cost := measureListCost(t, engines)
			t.Logf("%5d engines: list %d bytes, %s; change %d bytes, %s; heap %.0f", engines, cost.listBytes,
				cost.listTime, cost.changeBytes, cost.changeTime, cost.listHeap)
			result.Points = append(result.Points, scale.Point{
				Axis: "engines",
				X:    float64(engines),
				Figures: map[string]float64{
					"list bytes":      float64(cost.listBytes),
					"list us":         microseconds(cost.listTime),
					"list heap bytes": cost.listHeap,
					"change bytes":    float64(cost.changeBytes),
					"change us":       microseconds(cost.changeTime),
				}})
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}
