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
	"chutechute/internal/standin"
	"chutechute/scheduler"
)

// noEngines takes the core's commands and does nothing.
type noEngines struct{}

func (noEngines) Start(*gateway.Attempt)       {}
func (noEngines) Cancel(*gateway.Attempt)      {}
func (noEngines) SetPriority(*gateway.Attempt) {}
func (noEngines) HealthCheck(string)           {}

// journalRecord is the journal's record of an engine, written apart from the program's codec.
func journalRecord(number int, state byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(number))
	b = append(b, 10, byte(number>>16), byte(number>>8), byte(number))
	b = binary.BigEndian.AppendUint16(b, 8080)
	b = append(b, state, 0, 0, 0, 0, 0, 0, 3, 232)
	return append(b, make([]byte, 8)...)
}

// What a complete list and one change of it cost a front end, from the journal's bytes to the decisions, by engines; long.
func TestCapacityOfLists(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
	result := procstat.NewResult("lists", "From the bytes of a journal frame through the core's step to the decisions; without the pool of "+
		"connections; processor time of the process, the mean of many changes; two runs a size.")
	for range 2 {
		for _, engines := range []int{64, 256, 1024, 2048, 8192, 34000} {
			site, err := settings.Parse([]byte(standin.Settings))
			require.NoError(t, err)
			core, err := gateway.New(site, 7, gateway.Limits{MaxOpen: 1000, MaxStatementBytes: 1 << 20}, noEngines{}, &counters.Set{})
			require.NoError(t, err)
			follower := discovery.Follower{Names: discovery.Names{Zones: []string{"a"}, Kinds: []string{"k"}}}
			in := ring.New(discovery.MaxFrame, &ring.Budget{Most: discovery.MaxFrame})
			now := monotime.Second
			feed := func(frame []byte) {
				_, err := in.Write(frame)
				require.NoError(t, err)
				event, news, ok, err := follower.Next(in)
				require.True(t, ok && news && err == nil)
				entries := make([]scheduler.Endpoint, len(event.Engines))
				for i, engine := range event.Engines {
					entries[i] = engine.Endpoint
				}
				core.UpdateEndpoints(event.Kind, entries)
				now += 100
				core.Step(now)
			}
			var records [][]byte
			for i := range engines {
				records = append(records, journalRecord(i, 0))
			}
			complete := standin.Frame(1, 1, records...)
			before := procstat.HeapInUse()
			began := procstat.OwnProcessorTime()
			feed(complete)
			list := procstat.OwnProcessorTime() - began
			heap := procstat.HeapInUse() - before
			changes := max(20, 400_000/engines)
			var bytes int
			began = procstat.OwnProcessorTime()
			for i := range changes { // each drains or returns one engine
				frame := standin.Frame(uint64(2+i), 2, journalRecord(i/2%engines, byte(1-i%2)))
				bytes = len(frame)
				feed(frame)
			}
			change := (procstat.OwnProcessorTime() - began) / time.Duration(changes)
			t.Logf("%5d engines: list %d bytes, %s; change %d bytes, %s; heap %.0f", engines, len(complete), list, bytes, change, heap)
			result.Points = append(result.Points, scale.Point{Axis: "engines", X: float64(engines), Figures: map[string]float64{
				"list bytes": float64(len(complete)), "list us": float64(list.Nanoseconds()) / 1000, "list heap bytes": heap,
				"change bytes": float64(bytes), "change us": float64(change.Nanoseconds()) / 1000}})
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}
