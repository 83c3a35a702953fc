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

// Measures an idle front end, and for comparison an earlier build where CHUTECHUTE_BASELINE names one: the time from
// its start until it serves, and its resident memory. As a measurement it is not part of CI.
func TestIdle(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make measure")
	}
	programs := []string{program}
	if baseline := os.Getenv("CHUTECHUTE_BASELINE"); baseline != "" {
		programs = append(programs, baseline)
	}
	for _, p := range programs {
		var startupTimes, residentKB []int
		for range 9 {
			r := testharness.Start(t, p, 0, nil)
			startupTimes = append(startupTimes, int(r.StartupTime.Microseconds()))
			time.Sleep(300 * time.Millisecond)
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.Cmd.Process.Pid))
			require.NoError(t, err)
			kb, err := strconv.Atoi(string(regexp.MustCompile(`VmRSS:\s+(\d+)`).FindSubmatch(status)[1]))
			require.NoError(t, err)
			residentKB = append(residentKB, kb)
			require.NoError(t, r.Cmd.Process.Kill())
			<-r.Exited
		}
		slices.Sort(startupTimes)
		slices.Sort(residentKB)
		t.Logf("%s: serves after %.1f ms, %d kB resident (medians of 9)", p, float64(startupTimes[4])/1000, residentKB[4])
	}
}
