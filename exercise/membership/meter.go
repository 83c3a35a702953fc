package membership

import (
	"syscall"
	"time"

	"chutechute/fleet/membership"
)

// meter measures the processor time of each role's steps. A nil meter measures nothing.
type meter struct {
	spent [2]time.Duration // elapsed in steps, by role
	began time.Time
	used  time.Duration // processor time of this process when it began
}

func newMeter() *meter { return &meter{began: time.Now(), used: processor()} }

// reset forgets what was measured so far.
func (m *meter) reset() {
	if m != nil {
		*m = *newMeter()
	}
}

// processor is the processor time that this process has used.
func processor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (m *meter) begin() (t time.Time) {
	if m != nil {
		t = time.Now()
	}
	return t
}

func (m *meter) end(began time.Time, role membership.Role) {
	if m != nil {
		m.spent[role] += time.Since(began)
	}
}

// of is the processor time that a role's steps took: the process's own, which has the collector's in it, divided as time passed.
func (m *meter) of(role membership.Role) time.Duration {
	elapsed := time.Since(m.began)
	if elapsed <= 0 {
		return 0
	}
	return time.Duration(float64(processor()-m.used) * float64(m.spent[role]) / float64(elapsed))
}
