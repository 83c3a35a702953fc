package budget

import (
	"cmp"
	"math/bits"
	"slices"
)

// claim is one lease holder's claim to a pool.
type claim struct {
	demand int64
	floor  int64 // up to this, demand is met before the rest of the pool is divided
	weight int64
}

// waterLevelUnit is the fixed-point unit for demand per weight, by which claims are compared.
const waterLevelUnit = 1 << 20

// divide returns each claim's share of a pool. The division is weighted max-min fair (water-filling). First each claim
// gets its floor, up to its demand. The rest is divided by weight among claims with more demand. What is left after all
// demand is met is divided by weight among the claims with demand, so that they can grow. The shares add up to no more
// than the pool; if there is any demand, only a remainder from rounding is left.
func divide(pool int64, claims []claim) []int64 {
	shares := make([]int64, len(claims))
	if pool <= 0 {
		return shares
	}
	order := make([]int, 0, len(claims)) // indexes of the claims with demand
	totalWeight := int64(0)
	for i, c := range claims {
		if c.demand <= 0 {
			continue
		}
		shares[i] = min(c.demand, c.floor, pool)
		pool -= shares[i]
		totalWeight += c.weight
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(i, j int) int { // by the water level at which the demand is met
		a, b := claims[i], claims[j]
		levelOfA := mulDiv(a.demand-shares[i], waterLevelUnit, a.weight)
		levelOfB := mulDiv(b.demand-shares[j], waterLevelUnit, b.weight)
		return cmp.Compare(levelOfA, levelOfB)
	})
	weight := totalWeight
	for _, i := range order {
		c := claims[i]
		share := min(c.demand-shares[i], mulDiv(pool, c.weight, weight))
		shares[i] += share
		pool -= share
		weight -= c.weight
	}
	weight = totalWeight
	for _, i := range order {
		c := claims[i]
		share := mulDiv(pool, c.weight, weight)
		shares[i] += share
		pool -= share
		weight -= c.weight
	}
	return shares
}

// roundShares rounds shares down to multiples of the smallest part. The remainder goes to claims with more demand, one
// part each, starting at a different claim in each rotation.
func roundShares(pool, minPart int64, rotation uint64, claims []claim, shares []int64) {
	left := pool
	for i := range shares {
		shares[i] -= shares[i] % minPart
		left -= shares[i]
	}
	count := uint64(len(shares))
	for k := range count {
		i := (rotation + k) % count
		if left < minPart {
			return
		}
		if claims[i].demand > shares[i] {
			shares[i] += minPart
			left -= minPart
		}
	}
}

// maxQuotient is the largest result of mulDiv.
const maxQuotient = 1 << 62

// mulDiv returns a·b/c without overflow, rounded down and at most maxQuotient. A negative a counts as 0; b must not be
// negative. The result is 0 if c is not positive.
func mulDiv(a, b, c int64) int64 {
	if c <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(max(0, a)), uint64(b))
	if high >= uint64(c) {
		return maxQuotient
	}
	quotient, _ := bits.Div64(high, low, uint64(c))
	return int64(min(quotient, maxQuotient))
}
