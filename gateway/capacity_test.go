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

// noEngines is an EngineClient that does nothing.
type noEngines struct{}

func (noEngines) Start(*gateway.Attempt)       {}
func (noEngines) Cancel(*gateway.Attempt)      {}
func (noEngines) SetPriority(*gateway.Attempt) {}
func (noEngines) HealthCheck(string)           {}

// States of an engine and kinds of a frame, as the discovery protocol encodes them.
const (
	engineServing  = 0
	engineDraining = 1

	completeList = 1
	listChanges  = 2
)

// engineRecord encodes an engine as the discovery service does, independently of the program's codec.
func engineRecord(number int, state byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(number))
	b = append(b, 10, byte(number>>16), byte(number>>8), byte(number))
	b = binary.BigEndian.AppendUint16(b, 8080)
	b = append(b, state, 0, 0, 0, 0, 0, 0, 3, 232)
	return append(b, make([]byte, 8)...)
}

// discoveredCore is a core whose endpoints come from the frames of a discovery service.
type discoveredCore struct {
	t        *testing.T
	core     *gateway.Core
	follower discovery.Follower
	in       *ring.Buffer
	now      monotime.Micros
}

func newDiscoveredCore(t *testing.T) *discoveredCore {
	t.Helper()
	site, err := settings.Parse([]byte(testharness.Settings))
	require.NoError(t, err)
	limits := gateway.Limits{MaxOpen: 1000, MaxStatementBytes: 1 << 20}
	core, err := gateway.New(site, 7, limits, noEngines{}, &counters.Set{})
	require.NoError(t, err)
	return &discoveredCore{
		t:        t,
		core:     core,
		follower: discovery.Follower{Names: discovery.Names{Zones: []string{"a"}, Kinds: []string{"k"}}},
		in:       ring.New(discovery.MaxFrame, &ring.Budget{Max: discovery.MaxFrame}),
		now:      monotime.Second,
	}
}

// apply decodes a frame and passes it to the core.
func (d *discoveredCore) apply(frame []byte) {
	_, err := d.in.Write(frame)
	require.NoError(d.t, err)
	event, news, ok, err := d.follower.Next(d.in)
	require.True(d.t, ok && news && err == nil)
	entries := make([]scheduler.Endpoint, len(event.Engines))
	for i, engine := range event.Engines {
		entries[i] = engine.Endpoint
	}
	d.core.UpdateEndpoints(event.Kind, entries)
	d.now += 100
	d.core.Step(d.now)
}

// listCost is what a complete list of engines and one change of it cost.
type listCost struct {
	listBytes   int
	listTime    time.Duration
	listHeap    float64 // bytes that the core holds after it
	changeBytes int
	changeTime  time.Duration // the mean
}

func measureListCost(t *testing.T, engines int) (cost listCost) {
	t.Helper()
	core := newDiscoveredCore(t)
	var records [][]byte
	for i := range engines {
		records = append(records, engineRecord(i, engineServing))
	}
	list := testharness.DiscoveryFrame(1, completeList, records...)
	cost.listBytes = len(list)

	heapBefore := procstat.HeapInUse()
	start := procstat.OwnProcessorTime()
	core.apply(list)
	cost.listTime = procstat.OwnProcessorTime() - start
	cost.listHeap = procstat.HeapInUse() - heapBefore

	changes := max(20, 400_000/engines)
	start = procstat.OwnProcessorTime()
	for i := range changes { // each drains or returns one engine
		state := byte(engineDraining - i%2)
		frame := testharness.DiscoveryFrame(uint64(2+i), listChanges, engineRecord(i/2%engines, state))
		cost.changeBytes = len(frame)
		core.apply(frame)
	}
	cost.changeTime = (procstat.OwnProcessorTime() - start) / time.Duration(changes)
	return cost
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// TestCapacityOfEndpointLists measures what a complete list of engines and one change of it cost a front end, from the
// bytes of the discovery service to the decisions, by the count of engines. It is long.
func TestCapacityOfEndpointLists(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
	result := procstat.NewResult("lists", "From the bytes of a journal frame through the core's step to the decisions; "+
		"without the pool of connections; processor time of the process, the mean of many changes; two runs a size.")
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
