package scale

import (
	"fmt"
	"math"
	"time"
)

// Shape is the fleet that a run asks for.
type Shape struct {
	// FrontEnds counts all: those that are control members too, and those that are attached to them. 0 stands for Controls.
	FrontEnds int
	Controls  int
	Zones     int
	Seconds   float64
	Seed      uint64
}

// Bounds of a shape.
const (
	MostControls  = 80    // as many as fleet.members may name
	MostFrontEnds = 10000 // above it nothing was ever designed
	MostZones     = 100
	mostSeconds   = 3600
	leastSeconds  = 0.5 // below it a rate a second says nothing
)

// FlagError is a flag whose value can't be used.
type FlagError struct {
	Flag   string
	Value  any
	Reason string
}

// Error names the flag and its value.
func (e *FlagError) Error() string { return fmt.Sprintf("--%s: %v %s", e.Flag, e.Value, e.Reason) }

// Check refuses numbers out of range; errors are *FlagError.
func (s Shape) Check() error {
	switch {
	case s.Controls < 1 || s.Controls > MostControls:
		return &FlagError{"control", s.Controls, fmt.Sprintf("is not from 1 to %d", MostControls)}
	case s.FrontEnds != 0 && s.FrontEnds < s.Controls || s.FrontEnds > MostFrontEnds:
		return &FlagError{"front-ends", s.FrontEnds,
			fmt.Sprintf("is neither 0 nor from the %d control members to %d", s.Controls, MostFrontEnds)}
	case s.Zones < 1 || s.Zones > MostZones:
		return &FlagError{"zones", s.Zones, fmt.Sprintf("is not from 1 to %d", MostZones)}
	case math.IsNaN(s.Seconds) || s.Seconds < leastSeconds || s.Seconds > mostSeconds:
		return &FlagError{"seconds", s.Seconds, fmt.Sprintf("is not from %g to %d", leastSeconds, mostSeconds)}
	}
	return nil
}

// Total is the number of all front ends.
func (s Shape) Total() int { return max(s.FrontEnds, s.Controls) }

// Attached is the number of front ends that are no control members.
func (s Shape) Attached() int { return s.Total() - s.Controls }

// Span is the measured part of a run.
func (s Shape) Span() time.Duration { return time.Duration(s.Seconds * float64(time.Second)) }

// ZoneName names a zone by its place: a to z, then aa, ab and so on.
func ZoneName(place int) string {
	const letters = 26
	if place < letters {
		return string(rune('a' + place))
	}
	return ZoneName(place/letters-1) + string(rune('a'+place%letters))
}
