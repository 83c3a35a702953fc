package sockets

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"

	"golang.org/x/sys/unix"

	"chutechute/internal/monotime"
)

// ownCPU is the processor time that this process has taken.
func ownCPU() monotime.Micros {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil { // it never fails for the process itself
		return 0
	}
	return usage.Utime.Nano()/1000 + usage.Stime.Nano()/1000
}

// ownMemory is this process's resident memory and live heap. Collect frees what can be freed first.
func ownMemory(collect bool) (resident, heap int64, err error) {
	if collect {
		debug.FreeOSMemory()
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	resident, err = residentOf("self")
	return resident, int64(memory.HeapAlloc), err
}

// residentOf is a process's resident memory in bytes.
func residentOf(pid string) (int64, error) {
	text, err := os.ReadFile("/proc/" + pid + "/statm")
	if err != nil {
		return 0, fmt.Errorf("sockets: %w", err)
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0, fmt.Errorf("sockets: statm: %w", err)
	}
	return resident * int64(os.Getpagesize()), nil
}

// The fields of /proc/PID/stat behind the program's name, and the clock that they count by.
const (
	statUser   = 12
	statSystem = 13
	statTick   = 10_000 // microseconds
)

// cpuOf is the processor time that a process has taken.
func cpuOf(pid int) (monotime.Micros, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("sockets: %w", err)
	}
	words := bytes.Fields(text[bytes.LastIndexByte(text, ')'):])
	if len(words) <= statSystem {
		return 0, fmt.Errorf("sockets: /proc/%d/stat: too short", pid)
	}
	user, err := strconv.ParseInt(string(words[statUser]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("sockets: /proc/%d/stat: %w", pid, err)
	}
	system, err := strconv.ParseInt(string(words[statSystem]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("sockets: /proc/%d/stat: %w", pid, err)
	}
	return (user + system) * statTick, nil
}
