package membership

import "chutechute/internal/monotime"

// splitMix64 is a SplitMix64 pseudorandom number generator, used for jitter.
type splitMix64 uint64

func (r *splitMix64) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	return fnvHash(*r).finalize()
}

// between returns a random duration in [low, high), or low if that range is empty.
func (r *splitMix64) between(low, high monotime.Micros) monotime.Micros {
	if high <= low {
		return low
	}
	return low + monotime.Micros(r.next()%uint64(high-low))
}
