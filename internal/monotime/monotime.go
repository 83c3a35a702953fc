// Package monotime defines the unit of time of the modules that run in steps: microseconds of one machine's monotonic
// clock, from an arbitrary origin. Times of two machines can't be compared.
package monotime

// Micros is a time or a duration in microseconds. It is an alias, so that packages that don't import one another can
// share times without conversions.
type Micros = int64

// Durations in Micros.
const (
	Millisecond Micros = 1_000
	Second             = 1_000 * Millisecond
)
