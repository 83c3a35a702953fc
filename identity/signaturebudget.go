package identity

import "chutechute/internal/monotime"

// signatureBudget limits the checks of signatures, the cost of which a flood of bad tokens would exhaust. Each address
// has a budget of its own. Half of the budget for all is reserved for proven addresses, from which a valid token came.
type signatureBudget struct {
	ratePerAddress float64 // checks a second
	addresses      *lru[uint64, *addressBudget]
	unproven       tokenBucket // for all addresses
	proven         tokenBucket // for proven addresses only
}

// addressBudget limits the checks of signatures for the address of one client.
type addressBudget struct {
	checks tokenBucket
	proven bool // a valid token came from the address
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

// take takes one check for an address and reports whether its budget and that for all had one.
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

// addressBudget returns the budget of an address; a new address gets a full one.
func (s *signatureBudget) addressBudget(address uint64) *addressBudget {
	if budget, ok := s.addresses.Get(address); ok {
		return budget
	}
	budget := &addressBudget{checks: tokenBucket{rate: s.ratePerAddress, burst: s.ratePerAddress}}
	s.addresses.Add(address, budget)
	return budget
}
