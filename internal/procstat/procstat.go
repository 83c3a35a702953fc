// Package procstat reads what processes take of the machine: processor time and memory, in the system's own counts. Long tests use
// it for the results under docs/capacity.
package procstat

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// OwnProcessorTime is the processor time that this process has taken since its start.
func OwnProcessorTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts); err != nil {
		panic(err) // the clock is always there on Linux
	}
	return time.Duration(ts.Nano())
}

// ProcessorTime is the processor time that the threads which a process has now have taken since its start. It is exact to the
// scheduler's own count, while /proc/PID/stat counts in steps of 10 ms.
func ProcessorTime(pid int) (sum time.Duration, err error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(paths) == 0 {
		return 0, fmt.Errorf("measure: no threads of process %d: %w", pid, err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return 0, fmt.Errorf("measure: %w", err)
		}
		ns, _, _ := strings.Cut(string(text), " ")
		n, err := strconv.ParseInt(ns, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("measure: %s: %w", path, err)
		}
		sum += time.Duration(n)
	}
	return sum, nil
}

// ResidentMemory is a process's resident memory in bytes.
func ResidentMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("measure: %w", err)
	}
	var size, pages int
	if _, err := fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0, fmt.Errorf("measure: statm of process %d: %w", pid, err)
	}
	return float64(pages * os.Getpagesize()), nil
}

// Descriptors is how many descriptors a process holds.
func Descriptors(pid int) (float64, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("measure: %w", err)
	}
	return float64(len(list)), nil
}

// HeapInUse is the bytes of this process's heap that are in use, after what is not has been collected.
func HeapInUse() float64 {
	runtime.GC()
	runtime.GC() // finalizers of the first may have freed more
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
