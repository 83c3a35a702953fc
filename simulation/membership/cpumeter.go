package membership

import (
	"syscall"
	"time"

	"chutechute/fleet/membership"
)

const roleCount = 2

// cpuMeter measures the processor time that the steps of each role take. A nil meter measures nothing.
type cpuMeter struct {
	elapsedByRole [roleCount]time.Duration // in steps
	startedAt     time.Time
	cpuAtStart    time.Duration // processor time that this program had used before
}

func newCPUMeter() *cpuMeter { return &cpuMeter{startedAt: time.Now(), cpuAtStart: programCPUTime()} }

// reset discards what was measured so far.
func (c *cpuMeter) reset() {
	if c != nil {
		*c = *newCPUMeter()
	}
}

// programCPUTime is the processor time that this program has used; 0 if the system does not tell.
func programCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// begin returns when a step begins, for end.
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

// cpuTime returns the processor time that a role's steps took. It is the program's processor time, which includes the
// garbage collector's, divided in proportion to elapsed time.
func (c *cpuMeter) cpuTime(role membership.Role) time.Duration {
	elapsed := time.Since(c.startedAt)
	if elapsed <= 0 {
		return 0
	}
	share := float64(c.elapsedByRole[role]) / float64(elapsed)
	return time.Duration(float64(programCPUTime()-c.cpuAtStart) * share)
}
