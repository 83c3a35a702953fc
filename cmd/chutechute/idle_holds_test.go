package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/golden"
	"chutechute/internal/testharness"
)

// maxIdleThreads bounds the threads of an idle front end. The Go runtime starts threads as it needs them: 60 starts of
// the program at commit 9b51463, on a machine under other load, had 6 to 10.
const maxIdleThreads = 12

// pollingDescriptors returns the kinds of the sockets and anonymous inodes that a process has open, sorted.
func pollingDescriptors(t *testing.T, pid int) (kinds []string) {
	t.Helper()
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(folder, e.Name()))
		require.NoError(t, err)
		if kind, _, _ := strings.Cut(target, ":"); kind == "socket" || kind == "anon_inode" {
			kinds = append(kinds, regexp.MustCompile(`\d+`).ReplaceAllString(target, "N"))
		}
	}
	slices.Sort(kinds)
	return kinds
}

// An idle front end without an installation file has the sockets and goroutines recorded in testdata/idle.txt,
// as of before the fleet's code was restructured, and no more than maxIdleThreads threads: the fleet is off.
func TestIdleFrontEndHoldsNothingOfTheFleet(t *testing.T) {
	r := testharness.Start(t, program, 0, nil)
	time.Sleep(300 * time.Millisecond)
	descriptors := pollingDescriptors(t, r.Cmd.Process.Pid)
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", r.Cmd.Process.Pid))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(threads), maxIdleThreads)
	require.NoError(t, r.Cmd.Process.Signal(syscall.SIGQUIT))
	<-r.Exited
	started := 0 // goroutines that the program itself started; the runtime starts its own as it needs them
	for _, by := range regexp.MustCompile(`(?m)^created by (\S+)`).FindAllStringSubmatch(r.Log.String(), -1) {
		if !strings.HasPrefix(by[1], "runtime.") {
			started++
		}
	}
	golden.Lines(t, "testdata/idle.txt", append(descriptors, fmt.Sprint(started, " goroutines")))
}
