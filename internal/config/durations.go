package config

import "chutechute/internal/monotime"

// fromMilliseconds converts the value of a key that ends in _ms. Fractions of a microsecond are truncated.
func fromMilliseconds(milliseconds float64) monotime.Micros {
	return monotime.Micros(milliseconds * float64(monotime.Millisecond))
}

// fromSeconds converts the value of a key that ends in _s. Fractions of a microsecond are truncated.
func fromSeconds(seconds float64) monotime.Micros {
	return monotime.Micros(seconds * float64(monotime.Second))
}

// inSeconds converts a duration to seconds, for error messages.
func inSeconds(duration monotime.Micros) float64 {
	return float64(duration) / float64(monotime.Second)
}
