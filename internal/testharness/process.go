package testharness

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// descriptorsSettleTime is for how long a process has to hold the same descriptors to count as started: until then
// it opens some only to start.
const descriptorsSettleTime = 50 * time.Millisecond

// Signal sends the process a signal.
func (h *Harness) Signal(s syscall.Signal) { require.NoError(h.T, h.Cmd.Process.Signal(s)) }

// Counter returns the present value of one of the front end's counters. It has the process log all of them
// (SIGUSR1); the test fails where the counter doesn't appear in time.
func (h *Harness) Counter(name string) (n int) {
	h.T.Helper()
	line := regexp.MustCompile("(?m)^" + regexp.QuoteMeta(name) + " +([0-9]+)$")
	before := len(h.Log.String())
	h.Signal(syscall.SIGUSR1)
	require.Eventually(h.T, func() bool {
		match := line.FindStringSubmatch(h.Log.String()[before:])
		if match != nil {
			n, _ = strconv.Atoi(match[1])
		}
		return match != nil
	}, WaitTimeout, fastPollInterval)
	return n
}

// DescriptorCount returns how many file descriptors the process has open.
func (h *Harness) DescriptorCount() int { return len(h.openDescriptors()) }

// openDescriptors returns the numbers of the process's open file descriptors.
func (h *Harness) openDescriptors() (numbers []string) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.Cmd.Process.Pid))
	require.NoError(h.T, err)
	for _, entry := range entries {
		numbers = append(numbers, entry.Name())
	}
	return numbers
}

// LimitDescriptors limits the process's open file descriptors to those that it has open and so many more. It waits
// first until what was opened only to start is closed, which is when they stay the same for a while.
func (h *Harness) LimitDescriptors(free int) {
	limit := descriptorLimit(h.settledDescriptors(), free)
	err := unix.Prlimit(h.Cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil)
	require.NoError(h.T, err)
}

// settledDescriptors waits until the process's open file descriptors stay the same, and returns their numbers.
func (h *Harness) settledDescriptors() []string {
	open, since := h.openDescriptors(), time.Now()
	for time.Since(since) < descriptorsSettleTime {
		time.Sleep(fastPollInterval)
		if now := h.openDescriptors(); !slices.Equal(now, open) {
			open, since = now, time.Now()
		}
	}
	return open
}

// descriptorLimit returns the lowest limit under which so many numbers are free besides the open ones. The system's
// limit is on the numbers of descriptors, some of which may be unused below the highest open one.
func descriptorLimit(open []string, free int) (limit uint64) {
	for ; free > 0; limit++ {
		if !slices.Contains(open, strconv.FormatUint(limit, 10)) {
			free--
		}
	}
	return limit
}

// ProcessState returns the process's state as proc(5) has it: 'T' where it is stopped. The error is that of reading
// it, as for a process that has ended.
func (h *Harness) ProcessState() (byte, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.Cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	return stat[bytes.LastIndexByte(stat, ')')+2], nil
}

// PeakMemoryMB returns the peak of the process's resident memory, in MiB.
func (h *Harness) PeakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.Cmd.Process.Pid))
	require.NoError(h.T, err)
	kb := 0
	_, err = fmt.Sscanf(string(status[bytes.Index(status, []byte("VmHWM:")):]), "VmHWM: %d kB", &kb)
	require.NoError(h.T, err)
	return kb / 1024
}
