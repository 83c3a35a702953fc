package scale

import (
	"fmt"
	"math"
	"time"
)

// Shape is the size of the fleet and the duration of a run.
type Shape struct {
	// FrontEnds is the number of all front ends, control members and attached ones. 0 means that there are no attached
	// front ends.
	FrontEnds int
	Controls  int
	Zones     int
	Seconds   float64 // duration of the measured part
	Seed      uint64
}

// Bounds of a shape.
const (
	MaxControls  = 80    // maximum length of fleet.members
	MaxFrontEnds = 10000 // the design does not cover larger fleets
	MaxZones     = 100
	maxSeconds   = 3600
	minSeconds   = 0.5 // rates per second are meaningless over a shorter time
)

// FlagError reports a flag with an invalid value.
type FlagError struct {
	Flag   string
	Value  any
	Reason string
}

// Error names the flag and its value, followed by the reason.
func (e *FlagError) Error() string { return fmt.Sprintf("--%s: %v %s", e.Flag, e.Value, e.Reason) }

// Check returns a *FlagError if a value is out of range.
func (s Shape) Check() error {
	switch {
	case s.Controls < 1 || s.Controls > MaxControls:
		return &FlagError{"control", s.Controls, fmt.Sprintf("is not from 1 to %d", MaxControls)}
	case s.FrontEnds != 0 && s.FrontEnds < s.Controls || s.FrontEnds > MaxFrontEnds:
		return &FlagError{"front-ends", s.FrontEnds,
			fmt.Sprintf("is neither 0 nor from %d, the number of control members, to %d", s.Controls, MaxFrontEnds)}
	case s.Zones < 1 || s.Zones > MaxZones:
		return &FlagError{"zones", s.Zones, fmt.Sprintf("is not from 1 to %d", MaxZones)}
	case math.IsNaN(s.Seconds) || s.Seconds < minSeconds || s.Seconds > maxSeconds:
		return &FlagError{"seconds", s.Seconds, fmt.Sprintf("is not from %g to %d", minSeconds, maxSeconds)}
	}
	return nil
}

// Total returns the number of all front ends.
func (s Shape) Total() int { return max(s.FrontEnds, s.Controls) }

// Attached returns the number of front ends that are not control members.
func (s Shape) Attached() int { return s.Total() - s.Controls }

// MeasuredDuration returns the duration of the measured part of a run.
func (s Shape) MeasuredDuration() time.Duration {
	return time.Duration(s.Seconds * float64(time.Second))
}

// ZoneName returns the name of the zone with an index from 0: a to z, then aa, ab and so on.
func ZoneName(index int) string {
	const letters = 26
	if index < letters {
		return string(rune('a' + index))
	}
	return ZoneName(index/letters-1) + string(rune('a'+index%letters))
}
