package identity

import "chutechute/internal/monotime"

// signatureBudget limits the rate of signature checks, so that a flood of invalid tokens cannot use up the CPU. Each
// client address has its own budget. Half of the total budget is reserved for proven addresses, which are those that
// have sent a token with a valid signature.
type signatureBudget struct {
	ratePerAddress float64 // checks per second
	addresses      *lru[uint64, *addressBudget]
	unproven       tokenBucket // for all addresses, proven or not
	proven         tokenBucket // for proven addresses only
}

// addressBudget limits the rate of signature checks for one client address.
type addressBudget struct {
	checks tokenBucket
	proven bool // the address has sent a token with a valid signature
}

func newSignatureBudget(l Limits) signatureBudget {
	half := l.ChecksPerSecond / 2
	return signatureBudget{
		ratePerAddress: l.ChecksPerAddress,
		addresses:      newLRU[uint64, *addressBudget](l.Addresses),
		unproven:       tokenBucket{rate: half, burst: half},
		proven:         tokenBucket{rate: half, burst: half},
	}
}

// take charges one check to the budget of an address and to the total budget, and reports whether both allow it.
func (s *signatureBudget) take(address uint64, now monotime.Micros) (*addressBudget, bool) {
	budget := s.addressBudget(address)
	if !budget.checks.take(now) {
		return budget, false
	}
	if budget.proven && s.proven.take(now) {
		return budget, true
	}
	return budget, s.unproven.take(now)
}

// addressBudget returns the budget of an address. A new address gets a full budget.
func (s *signatureBudget) addressBudget(address uint64) *addressBudget {
	if budget, ok := s.addresses.Get(address); ok {
		return budget
	}
	budget := &addressBudget{checks: tokenBucket{rate: s.ratePerAddress, burst: s.ratePerAddress}}
	s.addresses.Add(address, budget)
	return budget
}
