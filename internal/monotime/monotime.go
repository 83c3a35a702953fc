// Package monotime has the unit in which the stepped modules count time: the microseconds of one machine's
// monotonic clock, from an arbitrary beginning. Times of two machines cannot be compared.
package monotime

// Micros is a time or a duration in microseconds. It is an alias, so that times of packages that know nothing of
// one another can be used together.
type Micros = int64

// Durations in Micros.
const (
	Millisecond Micros = 1_000
	Second             = 1_000 * Millisecond
)
