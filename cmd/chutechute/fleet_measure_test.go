package main

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// quantiles returns the median and the 99th percentile.
func quantiles(list []time.Duration) (median, p99 time.Duration) {
	slices.Sort(list)
	return list[len(list)/2], list[len(list)*99/100]
}

// measureLoads sends each loads from each of clientCount concurrent clients, and returns how long each load took.
func measureLoads(t *testing.T, f *testharness.Fleet, prefix string, clientCount, each int) (spans []time.Duration) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	for c := range clientCount {
		clients.Go(func() {
			for i := range each {
				startedAt := time.Now()
				reply := f.SendLoad(f.FrontEnds[c%len(f.FrontEnds)], newLoad(fmt.Sprintf("%s-%d-%d", prefix, c, i), "", 0))
				if reply.Kind == history.Succeeded {
					mu.Lock()
					spans = append(spans, time.Since(startedAt))
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	assert.Len(t, spans, clientCount*each)
	return spans
}

// Measures what replication costs, for docs/design/copies.md: 'make fleet'.
func TestFleetFigures(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make fleet")
	}
	storageModes := []struct {
		name   string
		change func(*testharness.Fleet)
	}{
		{"off", func(f *testharness.Fleet) { f.FleetSettings["enabled"] = false }},
		{"memory", func(*testharness.Fleet) {}},
		{"folder", withDurableStorage},
	}
	for _, mode := range storageModes {
		f := testharness.NewFleet(t, program, 3, mode.change)
		if mode.name != "off" {
			f.WaitForLeader(3)
		}
		measureLoads(t, f, "warm", 3, 20)
		median, p99 := quantiles(measureLoads(t, f, "one", 1, 200))
		t.Logf("%-6s one client: a load takes %.1f ms at the median, %.1f at p99", mode.name, ms(median), ms(p99))
		startedAt, commitsBefore := time.Now(), commitCount(f)
		spans := measureLoads(t, f, "many", 24, 40)
		span := time.Since(startedAt).Seconds()
		median, p99 = quantiles(spans)
		t.Logf("%-6s 24 clients: %.1f ms at the median, %.1f at p99, %.0f loads a second, %.0f commits a second",
			mode.name, ms(median), ms(p99), float64(len(spans))/span, (commitCount(f)-commitsBefore)/span)
		cpuBefore, n := frontEndCPUSeconds(t, f.FrontEnds[0]), 1000
		for range n {
			require.Equal(t, history.Succeeded, f.FrontEnds[0].SendLookup())
		}
		t.Logf("%-6s a lookup takes %.0f us of a core, with one client and no other load", mode.name,
			(frontEndCPUSeconds(t, f.FrontEnds[0])-cpuBefore)*1e6/float64(n))
		var lookupSpans []time.Duration
		var stop atomic.Bool
		var clients sync.WaitGroup
		for c := range 12 {
			clients.Go(func() {
				for i := 0; !stop.Load(); i++ {
					f.SendLoad(f.FrontEnds[c%3], newLoad(fmt.Sprintf("beside-%d-%d", c, i), "", 0))
				}
			})
		}
		for range 300 {
			startedAt := time.Now()
			require.Equal(t, history.Succeeded, f.FrontEnds[0].SendLookup())
			lookupSpans = append(lookupSpans, time.Since(startedAt))
		}
		stop.Store(true)
		clients.Wait()
		median, p99 = quantiles(lookupSpans)
		t.Logf("%-6s lookups during the loads of 12 clients: %.1f ms at the median, %.1f at p99",
			mode.name, ms(median), ms(p99))
		if mode.name == "off" {
			continue
		}
		var gaps []time.Duration
		for round := range 6 {
			leader := f.WaitForLeader(3)
			other := f.FrontEnds[(leader.Index+1)%3]
			leader.Kill(true)
			killedAt := time.Now()
			for i := 0; ; i++ {
				load := newLoad(fmt.Sprintf("after-%d-%d", round, i), "", 0)
				load.ClientTimeout = 4 * time.Second
				if f.SendLoad(other, load).Kind == history.Succeeded {
					break
				}
			}
			gaps = append(gaps, time.Since(killedAt))
			restartedAt := time.Now()
			leader.Start()
			f.WaitForLeader(3)
			t.Logf("%-6s leader lost with its disk: %.0f ms until a load was served; a replica again %.0f ms after its restart",
				mode.name, ms(gaps[round]), ms(time.Since(restartedAt)))
		}
		s := f.WaitForLeader(3).RawStatus()
		t.Logf("%-6s %v loads in the replicated state take %v bytes", mode.name, s["loads"], s["load_bytes"])
		for _, n := range f.FrontEnds {
			n.Kill(true)
		}
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// commitCount returns the number of commits that the most advanced front end has counted.
func commitCount(f *testharness.Fleet) (n float64) {
	for _, x := range f.FrontEnds {
		if s := x.RawStatus(); s != nil {
			n = max(n, s["commits"].(float64))
		}
	}
	return n
}

// frontEndCPUSeconds returns the processor time that a front end of a fleet has used, in seconds.
func frontEndCPUSeconds(t *testing.T, n *testharness.FrontEnd) float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Cmd.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')'):]))
	user, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[13])
	require.NoError(t, err)
	return float64(user+system) / 100
}

// Measures how soon a front end that has lost its disk is a replica again, by the size of the replicated state:
// 'make fleet'.
func TestCatchUpFigures(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make fleet")
	}
	for _, mb := range []int{0, 1, 4, 8} {
		f := testharness.NewFleet(t, program, 3, withDurableStorage)
		f.WaitForLeader(3)
		for i := range mb * 1024 / 5 {
			load := newLoad(fmt.Sprintf("large-%d", i), "", 0)
			load.Statement += " kb=5"
			require.Equal(t, history.Succeeded, f.SendLoad(f.FrontEnds[i%3], load).Kind)
		}
		var spans []string
		for range 3 {
			leader := f.WaitForLeader(3)
			n := f.FrontEnds[(leader.Index+1)%3]
			n.Kill(true)
			startedAt := time.Now()
			n.Start()
			f.WaitForLeader(3)
			spans = append(spans, fmt.Sprintf("%.0f", ms(time.Since(startedAt))))
		}
		t.Logf("%v bytes in the replicated state: a replica again %s ms after its start with an empty disk",
			f.WaitForLeader(3).RawStatus()["load_bytes"],
			strings.Join(spans, ", "))
		for _, n := range f.FrontEnds {
			n.Kill(true)
		}
	}
}
