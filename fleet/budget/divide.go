package budget

import (
	"cmp"
	"math/bits"
	"slices"
)

// claim is one front end's claim to a pool.
type claim struct {
	want   int64
	floor  int64 // that it gets before all others get more
	weight int64
}

// divide gives each claim its share of a pool, max-min fair by weight: floors first, as far as they are wanted, then what is
// left by weight to those who want more, and what nobody wants by weight as room to grow. The shares add up to no more than
// the pool, and to all of it but what rounding leaves, where anybody wants any.
func divide(pool int64, claims []claim) []int64 {
	shares := make([]int64, len(claims))
	if pool <= 0 {
		return shares
	}
	order := make([]int, 0, len(claims))
	weights := int64(0)
	for i, c := range claims {
		if c.want <= 0 {
			continue
		}
		shares[i] = min(c.want, c.floor, pool)
		pool -= shares[i]
		weights += c.weight
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(i, j int) int { // by how soon rising water covers them
		a, b := claims[i], claims[j]
		return cmp.Compare(mulDiv(a.want-shares[i], 1<<20, a.weight), mulDiv(b.want-shares[j], 1<<20, b.weight))
	})
	all := weights
	for _, i := range order {
		c := claims[i]
		more := min(c.want-shares[i], mulDiv(pool, c.weight, weights))
		shares[i] += more
		pool -= more
		weights -= c.weight
	}
	for _, i := range order {
		c := claims[i]
		more := mulDiv(pool, c.weight, all)
		shares[i] += more
		pool -= more
		all -= c.weight
	}
	return shares
}

// round cuts shares down to whole multiples of the least part that is of use, and hands what that leaves to those who got less
// than they want, one part each, from a place on that turns.
func round(pool, least int64, turn uint64, claims []claim, shares []int64) {
	left := pool
	for i := range shares {
		shares[i] -= shares[i] % least
		left -= shares[i]
	}
	n := len(shares)
	for k := range n {
		i := int((turn + uint64(k)) % uint64(n))
		if left < least {
			return
		}
		if claims[i].want > shares[i] {
			shares[i] += least
			left -= least
		}
	}
}

// mulDiv is a·b/c, rounded down, for numbers that are not negative; the quotient has to fit.
func mulDiv(a, b, c int64) int64 {
	if c <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(max(0, a)), uint64(b))
	if high >= uint64(c) {
		return 1 << 62
	}
	q, _ := bits.Div64(high, low, uint64(c))
	return int64(min(q, 1<<62))
}
