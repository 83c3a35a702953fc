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

// maxIdleThreads bounds the threads of an idle front end. The runtime starts them as it needs them: in 60 starts of the
// program at 9b51463, beside other load, there were 6 to 10.
const maxIdleThreads = 12

// pollingDescriptors returns what a process's sockets and anonymous inodes are, sorted.
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

// An idle front end without an installation file holds the sockets and goroutines that it held before the fleet's parts
// were restructured, and no more threads: these parts are off.
func TestIdleFrontEndHoldsNothingOfTheFleet(t *testing.T) {
	r := testharness.Start(t, program, 0, nil)
	time.Sleep(300 * time.Millisecond)
	holds := pollingDescriptors(t, r.Cmd.Process.Pid)
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", r.Cmd.Process.Pid))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(threads), maxIdleThreads)
	require.NoError(t, r.Cmd.Process.Signal(syscall.SIGQUIT))
	<-r.Exited
	started := 0 // goroutines that the program itself started: the runtime starts its own when it needs them
	for _, by := range regexp.MustCompile(`(?m)^created by (\S+)`).FindAllStringSubmatch(r.Log.String(), -1) {
		if !strings.HasPrefix(by[1], "runtime.") {
			started++
		}
	}
	golden.Lines(t, "testdata/idle.txt", append(holds, fmt.Sprint(started, " goroutines")))
}
