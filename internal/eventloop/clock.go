package eventloop

import (
	"time"

	"chutechute/internal/monotime"
)

// Clock gives Unix time in microseconds that never goes back: it advances with the machine's monotonic clock from the
// system time at which it was created.
type Clock struct{ start time.Time }

// Now returns the present time in microseconds of Unix time.
func (c Clock) Now() monotime.Micros { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }

// NewClock returns a clock that starts at the present system time.
func NewClock() Clock { return Clock{time.Now()} }
