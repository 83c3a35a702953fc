package membership

import (
	"syscall"
	"time"

	"chutechute/fleet/membership"
)

// cpuMeter measures the processor time of each role's steps. A nil meter measures nothing.
type cpuMeter struct {
	elapsedByRole [2]time.Duration // elapsed in steps, by role
	startedAt     time.Time
	cpuAtStart    time.Duration // processor time of this process when it began
}

func newCPUMeter() *cpuMeter { return &cpuMeter{startedAt: time.Now(), cpuAtStart: processCPUTime()} }

// reset forgets what was measured so far.
func (m *cpuMeter) reset() {
	if m != nil {
		*m = *newCPUMeter()
	}
}

// processCPUTime is the processor time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (m *cpuMeter) begin() (t time.Time) {
	if m != nil {
		t = time.Now()
	}
	return t
}

func (m *cpuMeter) end(began time.Time, role membership.Role) {
	if m != nil {
		m.elapsedByRole[role] += time.Since(began)
	}
}

// cpuTime is the processor time that a role's steps took: the process's own, which has the collector's in it, divided as time passed.
func (m *cpuMeter) cpuTime(role membership.Role) time.Duration {
	elapsed := time.Since(m.startedAt)
	if elapsed <= 0 {
		return 0
	}
	return time.Duration(float64(processCPUTime()-m.cpuAtStart) * float64(m.elapsedByRole[role]) / float64(elapsed))
}
