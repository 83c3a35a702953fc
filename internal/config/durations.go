package config

import "chutechute/internal/monotime"

// fromMilliseconds converts a number of milliseconds, as keys that end in _ms have it. Fractions of a microsecond are
// cut off.
func fromMilliseconds(milliseconds float64) monotime.Micros {
	return monotime.Micros(milliseconds * float64(monotime.Millisecond))
}

// fromSeconds converts a number of seconds, as keys that end in _s have it. Fractions of a microsecond are cut off.
func fromSeconds(seconds float64) monotime.Micros {
	return monotime.Micros(seconds * float64(monotime.Second))
}

// inSeconds returns a duration in seconds, for error texts.
func inSeconds(duration monotime.Micros) float64 {
	return float64(duration) / float64(monotime.Second)
}
