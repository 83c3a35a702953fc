// Package procstat reads the resource usage of processes from the kernel: processor time, memory and file descriptors.
// It also writes the results of long tests, such as those under docs/capacity.
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
		panic(err) // Linux always has this clock
	}
	return time.Duration(used.Nano())
}

// ProcessorTime returns the processor time that the existing threads of a process have used since their start, with the
// resolution of the kernel's scheduler; /proc/PID/stat has steps of 10 ms. It fails if there is no such process, or if
// a thread ends during the call.
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

// threadTime returns the processor time of one thread, which is the first number, in nanoseconds, of its schedstat
// file.
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

// ResidentMemory returns the resident memory of a process in bytes. It fails if there is no such process.
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

// Descriptors returns the number of open file descriptors of a process. It fails if there is no such process.
func Descriptors(pid int) (float64, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("procstat: %w", err)
	}
	return float64(len(entries)), nil
}

// HeapInUse collects garbage and returns the size, in bytes, of the objects that remain on this process's heap.
func HeapInUse() float64 {
	runtime.GC()
	runtime.GC() // finalizers that the first collection started may have made more memory unreachable
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
