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

// descriptorsSettleTime is the time for which the set of a process's open descriptors must not change before the
// process counts as started. While it starts, it opens some descriptors only temporarily.
const descriptorsSettleTime = 50 * time.Millisecond

// Signal sends the process a signal.
func (h *Harness) Signal(s syscall.Signal) { require.NoError(h.T, h.Cmd.Process.Signal(s)) }

// Counter returns the current value of one of the front end's counters. It makes the process log all counters
// (SIGUSR1). The test fails if the counter isn't logged in time.
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

// DescriptorCount returns the number of the process's open file descriptors.
func (h *Harness) DescriptorCount() int { return len(h.openDescriptors()) }

// openDescriptors returns the process's open file descriptors, each as a decimal number.
func (h *Harness) openDescriptors() (numbers []string) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.Cmd.Process.Pid))
	require.NoError(h.T, err)
	for _, entry := range entries {
		numbers = append(numbers, entry.Name())
	}
	return numbers
}

// LimitDescriptors limits the process's file descriptors to those that are open now and the given number of free ones.
// It first waits until the process has closed the descriptors that it opens only while it starts.
func (h *Harness) LimitDescriptors(free int) {
	limit := descriptorLimit(h.settledDescriptors(), free)
	err := unix.Prlimit(h.Cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil)
	require.NoError(h.T, err)
}

// settledDescriptors waits until the process's open file descriptors haven't changed for descriptorsSettleTime, and
// returns them.
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

// descriptorLimit returns the lowest limit below which the given number of descriptors are free. RLIMIT_NOFILE limits
// the value of a descriptor, not the number of open ones, and there may be unused values below the highest open one.
func descriptorLimit(open []string, free int) (limit uint64) {
	for ; free > 0; limit++ {
		if !slices.Contains(open, strconv.FormatUint(limit, 10)) {
			free--
		}
	}
	return limit
}

// ProcessState returns the process's state as described in proc(5), for instance 'T' if it is stopped. It returns an
// error if the state can't be read, for instance because the process has ended.
func (h *Harness) ProcessState() (byte, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.Cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	return stat[bytes.LastIndexByte(stat, ')')+2], nil
}

// PeakMemoryMB returns the process's peak resident memory, in MiB.
func (h *Harness) PeakMemoryMB() int { return h.memoryMB("VmHWM:") }

// ResidentMemoryMB returns the process's resident memory, in MiB.
func (h *Harness) ResidentMemoryMB() int { return h.memoryMB("VmRSS:") }

// memoryMB returns the value of a line of the process's status file, in MiB.
func (h *Harness) memoryMB(label string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.Cmd.Process.Pid))
	require.NoError(h.T, err)
	kb := 0
	_, err = fmt.Sscanf(string(status[bytes.Index(status, []byte(label)):]), label+" %d kB", &kb)
	require.NoError(h.T, err)
	return kb / 1024
}
