package membership

import (
	"syscall"
	"time"

	"chutechute/fleet/membership"
)

const roleCount = 2

// cpuMeter measures the processor time that is spent in the steps of each role. A nil meter measures nothing.
type cpuMeter struct {
	elapsedByRole [roleCount]time.Duration // wall-clock time spent in steps
	startedAt     time.Time
	cpuAtStart    time.Duration // processor time that this program had used at startedAt
}

func newCPUMeter() *cpuMeter { return &cpuMeter{startedAt: time.Now(), cpuAtStart: programCPUTime()} }

// reset discards what was measured so far.
func (c *cpuMeter) reset() {
	if c != nil {
		*c = *newCPUMeter()
	}
}

// programCPUTime returns the processor time that this program has used, or 0 if it is not available.
func programCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// begin returns the start time of a step, to be passed to end.
func (c *cpuMeter) begin() (startedAt time.Time) {
	if c != nil {
		startedAt = time.Now()
	}
	return startedAt
}

func (c *cpuMeter) end(startedAt time.Time, role membership.Role) {
	if c != nil {
		c.elapsedByRole[role] += time.Since(startedAt)
	}
}

// cpuTime returns the processor time spent in the steps of a role: the share of the program's processor time that
// corresponds to the share of wall-clock time spent in these steps. It includes garbage collection.
func (c *cpuMeter) cpuTime(role membership.Role) time.Duration {
	elapsed := time.Since(c.startedAt)
	if elapsed <= 0 {
		return 0
	}
	share := float64(c.elapsedByRole[role]) / float64(elapsed)
	return time.Duration(float64(programCPUTime()-c.cpuAtStart) * share)
}
