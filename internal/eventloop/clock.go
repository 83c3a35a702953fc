package eventloop

import (
	"time"

	"chutechute/internal/monotime"
)

// Clock is the system's Unix time, kept from going back.
type Clock struct{ start time.Time }

func (c Clock) Now() monotime.Micros { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }

// NewClock begins at the system's present time.
func NewClock() Clock { return Clock{time.Now()} }
