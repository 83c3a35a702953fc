package simulation

import (
	"math/rand/v2"

	"chutechute/internal/monotime"
)

// random is the only source of randomness in a simulation, other than that of the Raft library. To give the same
// history for a seed, all draws must be made in the same order.
type random struct{ *rand.Rand }

// between draws a duration from [shortest, longest). It returns shortest, without a draw, if that range is empty.
func (r random) between(shortest, longest monotime.Micros) monotime.Micros {
	if longest <= shortest {
		return shortest
	}
	return shortest + r.Int64N(longest-shortest)
}

// oneIn returns true with probability 1/n.
func (r random) oneIn(n int) bool { return r.IntN(n) == 0 }

// id draws a nonzero ID of at most 62 bits.
func (r random) id() uint64 { return r.Uint64()>>2 | 1 }
