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

// quantiles gives the median and the 99th of a hundred.
func quantiles(list []time.Duration) (median, p99 time.Duration) {
	slices.Sort(list)
	return list[len(list)/2], list[len(list)*99/100]
}

// times sends loads, so many clients at once, and gives how long each took.
func times(t *testing.T, f *testharness.Fleet, prefix string, clients, each int) (list []time.Duration) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			for i := range each {
				began := time.Now()
				p := f.SendLoad(f.FrontEnds[c%len(f.FrontEnds)], load(fmt.Sprintf("%s-%d-%d", prefix, c, i), "", 0))
				if p.Kind == history.Succeeded {
					mu.Lock()
					list = append(list, time.Since(began))
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	assert.Len(t, list, clients*each)
	return list
}

// What copies cost, for docs/design/copies.md: 'make fleet'.
func TestFleetFigures(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make fleet")
	}
	forms := []struct {
		name   string
		change func(*testharness.Fleet)
	}{
		{"off", func(f *testharness.Fleet) { f.FleetSettings["enabled"] = false }},
		{"memory", func(*testharness.Fleet) {}},
		{"folder", lasting},
	}
	for _, form := range forms {
		f := testharness.NewFleet(t, program, 3, form.change)
		if form.name != "off" {
			f.WaitForLeader(3)
		}
		times(t, f, "warm", 3, 20)
		median, p99 := quantiles(times(t, f, "one", 1, 200))
		t.Logf("%-6s one client: a load takes %.1f ms at the median, %.1f at p99", form.name, ms(median), ms(p99))
		began, committed := time.Now(), commits(f)
		many := times(t, f, "many", 24, 40)
		span := time.Since(began).Seconds()
		median, p99 = quantiles(many)
		t.Logf("%-6s 24 clients: %.1f ms at the median, %.1f at p99, %.0f loads a second, %.0f commits a second", form.name, ms(median),
			ms(p99), float64(len(many))/span, (commits(f)-committed)/span)
		before, n := coreTime(t, f.FrontEnds[0]), 1000
		for range n {
			require.Equal(t, history.Succeeded, f.FrontEnds[0].SendLookup())
		}
		t.Logf("%-6s a look-up takes %.0f us of a core, one client and nothing beside", form.name, (coreTime(t, f.FrontEnds[0])-before)*1e6/float64(n))
		var looks []time.Duration
		var stop atomic.Bool
		var all sync.WaitGroup
		for c := range 12 {
			all.Go(func() {
				for i := 0; !stop.Load(); i++ {
					f.SendLoad(f.FrontEnds[c%3], load(fmt.Sprintf("beside-%d-%d", c, i), "", 0))
				}
			})
		}
		for range 300 {
			began := time.Now()
			require.Equal(t, history.Succeeded, f.FrontEnds[0].SendLookup())
			looks = append(looks, time.Since(began))
		}
		stop.Store(true)
		all.Wait()
		median, p99 = quantiles(looks)
		t.Logf("%-6s look-ups beside 12 clients' loads: %.1f ms at the median, %.1f at p99", form.name, ms(median), ms(p99))
		if form.name == "off" {
			continue
		}
		var gaps []time.Duration
		for round := range 6 {
			leader := f.WaitForLeader(3)
			other := f.FrontEnds[(leader.Index+1)%3]
			leader.Kill(true)
			killed := time.Now()
			for i := 0; ; i++ {
				try := load(fmt.Sprintf("after-%d-%d", round, i), "", 0)
				try.ClientTimeout = 4 * time.Second
				if f.SendLoad(other, try).Kind == history.Succeeded {
					break
				}
			}
			gaps = append(gaps, time.Since(killed))
			back := time.Now()
			leader.Start()
			f.WaitForLeader(3)
			t.Logf("%-6s leader lost with its disk: %.0f ms without progress; replaced %.0f ms after its start", form.name,
				ms(gaps[round]), ms(time.Since(back)))
		}
		s := f.WaitForLeader(3).RawStatus()
		t.Logf("%-6s %v loads on record take %v bytes", form.name, s["loads"], s["load_bytes"])
		for _, n := range f.FrontEnds {
			n.Kill(true)
		}
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func commits(f *testharness.Fleet) (n float64) {
	for _, x := range f.FrontEnds {
		if s := x.RawStatus(); s != nil {
			n = max(n, s["commits"].(float64))
		}
	}
	return n
}

// coreTime is the seconds of a core that a front end has taken.
func coreTime(t *testing.T, n *testharness.FrontEnd) float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Cmd.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')'):]))
	user, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[13])
	require.NoError(t, err)
	return float64(user+system) / 100
}

// How soon a front end that has lost its disk is a copy again, by the size of the record: 'make fleet'.
func TestCatchUpFigures(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make fleet")
	}
	for _, mb := range []int{0, 1, 4, 8} {
		f := testharness.NewFleet(t, program, 3, lasting)
		f.WaitForLeader(3)
		for i := range mb * 1024 / 5 {
			try := load(fmt.Sprintf("large-%d", i), "", 0)
			try.Statement += " kb=5"
			require.Equal(t, history.Succeeded, f.SendLoad(f.FrontEnds[i%3], try).Kind)
		}
		var spans []string
		for range 3 {
			leader := f.WaitForLeader(3)
			n := f.FrontEnds[(leader.Index+1)%3]
			n.Kill(true)
			began := time.Now()
			n.Start()
			f.WaitForLeader(3)
			spans = append(spans, fmt.Sprintf("%.0f", ms(time.Since(began))))
		}
		t.Logf("%v bytes on record: a copy again %s ms after its start with an empty disk", f.WaitForLeader(3).RawStatus()["load_bytes"],
			strings.Join(spans, ", "))
		for _, n := range f.FrontEnds {
			n.Kill(true)
		}
	}
}
