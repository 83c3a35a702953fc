// Package procstat reads what processes use of the machine: processor time, memory and descriptors, in the system's own
// counts. Long tests use it for the results under docs/capacity.
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

// OwnProcessorTime returns the processor time that this process has used since its start.
func OwnProcessorTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &used); err != nil {
		panic(err) // the clock is always there on Linux
	}
	return time.Duration(used.Nano())
}

// ProcessorTime returns the processor time that the present threads of a process have used since they began. It is
// exact to the scheduler's own count, while /proc/PID/stat counts in steps of 10 ms. An error says that there is no
// such process, or that a thread has ended meanwhile.
func ProcessorTime(pid int) (sum time.Duration, err error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(paths) == 0 {
		return 0, fmt.Errorf("procstat: no threads of process %d: %w", pid, err)
	}
	for _, path := range paths {
		used, err := threadTime(path)
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// threadTime reads the processor time of one thread, the first number of its schedstat file, in nanoseconds.
func threadTime(path string) (time.Duration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("procstat: %w", err)
	}
	first, _, _ := strings.Cut(string(text), " ")
	nanoseconds, err := strconv.ParseInt(first, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("procstat: %s: %w", path, err)
	}
	return time.Duration(nanoseconds), nil
}

// ResidentMemory returns a process's resident memory in bytes. An error says that there is no such process.
func ResidentMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("procstat: %w", err)
	}
	var size, pages int
	if _, err := fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0, fmt.Errorf("procstat: statm of process %d: %w", pid, err)
	}
	return float64(pages * os.Getpagesize()), nil
}

// Descriptors returns how many descriptors a process has open. An error says that there is no such process.
func Descriptors(pid int) (float64, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("procstat: %w", err)
	}
	return float64(len(entries)), nil
}

// HeapInUse returns the bytes of this process's heap that are in use, after a garbage collection.
func HeapInUse() float64 {
	runtime.GC()
	runtime.GC() // finalizers of the first may have freed more
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
