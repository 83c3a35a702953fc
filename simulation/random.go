package simulation

import (
	"math/rand/v2"

	"chutechute/internal/monotime"
)

// random is the only source of randomness in a simulation. The order of its draws is part of what a seed determines.
type random struct{ *rand.Rand }

// between draws a duration of at least shortest and less than longest.
func (r random) between(shortest, longest monotime.Micros) monotime.Micros {
	if longest <= shortest {
		return shortest
	}
	return shortest + r.Int64N(longest-shortest)
}

// oneIn is true with a probability of one in n.
func (r random) oneIn(n int) bool { return r.IntN(n) == 0 }

// id draws an ID that is neither 0 nor above 62 bits.
func (r random) id() uint64 { return r.Uint64()>>2 | 1 }
