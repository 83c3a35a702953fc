package main

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// What an idle front end costs, beside an earlier build where CHUTECHUTE_BASELINE names one: the time until it serves
// and its resident memory. It measures, so it is no part of CI.
func TestIdle(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make measure")
	}
	programs := []string{program}
	if baseline := os.Getenv("CHUTECHUTE_BASELINE"); baseline != "" {
		programs = append(programs, baseline)
	}
	for _, p := range programs {
		var starts, sizes []int
		for range 9 {
			r := testharness.Start(t, p, 0, nil)
			starts = append(starts, int(r.StartupTime.Microseconds()))
			time.Sleep(300 * time.Millisecond)
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.Cmd.Process.Pid))
			require.NoError(t, err)
			kb, err := strconv.Atoi(string(regexp.MustCompile(`VmRSS:\s+(\d+)`).FindSubmatch(status)[1]))
			require.NoError(t, err)
			sizes = append(sizes, kb)
			require.NoError(t, r.Cmd.Process.Kill())
			<-r.Exited
		}
		slices.Sort(starts)
		slices.Sort(sizes)
		t.Logf("%s: serves after %.1f ms, %d kB resident (medians of 9)", p, float64(starts[4])/1000, sizes[4])
	}
}
