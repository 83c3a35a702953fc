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

// ownCPU returns the processor time that this process has used.
func ownCPU() monotime.Micros {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil { // never fails for the calling process
		return 0
	}
	return usage.Utime.Nano()/1000 + usage.Stime.Nano()/1000
}

// ownMemory returns this process's resident memory and the bytes of its heap that are in use. With collect it first
// collects garbage and returns free memory to the operating system.
func ownMemory(collect bool) (resident, heap int64, err error) {
	if collect {
		debug.FreeOSMemory()
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	resident, err = residentMemory("self")
	return resident, int64(memory.HeapAlloc), err
}

// residentMemory returns a process's resident memory in bytes. The pid may be "self".
func residentMemory(pid string) (int64, error) {
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

// Indexes of fields of /proc/PID/stat, counted from the end of the program's name, and the unit of these fields.
const (
	statUserTime    = 12
	statSystemTime  = 13
	clockTickMicros = 10_000 // USER_HZ is 100
)

// processCPU returns the processor time that a process has used.
func processCPU(pid int) (monotime.Micros, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("sockets: %w", err)
	}
	words := bytes.Fields(text[bytes.LastIndexByte(text, ')'):])
	if len(words) <= statSystemTime {
		return 0, fmt.Errorf("sockets: /proc/%d/stat: too short", pid)
	}
	user, err := strconv.ParseInt(string(words[statUserTime]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("sockets: /proc/%d/stat: %w", pid, err)
	}
	system, err := strconv.ParseInt(string(words[statSystemTime]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("sockets: /proc/%d/stat: %w", pid, err)
	}
	return (user + system) * clockTickMicros, nil
}
