package eventloop

import (
	"time"

	"chutechute/internal/monotime"
)

// Clock returns Unix time in microseconds that never goes back: it starts at the system time of its creation and
// advances with the machine's monotonic clock.
type Clock struct{ start time.Time }

// Now returns the current Unix time in microseconds.
func (c Clock) Now() monotime.Micros { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }

// NewClock returns a clock that starts at the current system time.
func NewClock() Clock { return Clock{time.Now()} }
