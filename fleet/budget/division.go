package budget

import (
	"slices"

	"chutechute/fleet/budget/account"
)

const (
	// minReleasedDivisor sets how much has to be released before other lease holders are notified of it: the total
	// divided by it.
	minReleasedDivisor = 64
	// maxNotifications is how many lease holders are notified at a time at most. The others get their changed share
	// with their next report.
	maxNotifications = 16
	// rotationPeriod is the number of log indexes after which parts that cannot be divided evenly move to other lease
	// holders.
	rotationPeriod = 256
	// rotationParts is the number of smallest parts per lease holder below which such parts are rotated.
	rotationParts = 4
)

// Smaller differences between an allocation and the demand or share are ignored. Each threshold is the allocation
// divided by one of these.
const (
	// unmetDivisor: a lease holder is notified of released parts if its demand exceeds its allocation by more than the
	// threshold.
	unmetDivisor = 8
	// shrinkDivisor: an allocation shrinks to its share if the share is lower by more than the threshold. If the budget
	// is contested, the allocation shrinks in any case; see subjectBudget.contested.
	shrinkDivisor = 8
	// growDivisor: an allocation grows to its share if the share is higher by at least the threshold.
	growDivisor = 16
)

// notifyOfRelease notifies lease holders that could use what was released of a subject's budget, once enough has been
// released.
func (a *Authority) notifyOfRelease(from *allocation) {
	s := from.subject
	spec := a.set.Lookup(s.key.budget)
	if spec == nil || s.released < max(1, s.quantity(spec.Total)/minReleasedDivisor) {
		return
	}
	s.released = 0
	a.notifySome(s, func(_ int, alloc *allocation) bool {
		current := s.quantity(alloc.granted)
		return alloc != from && !alloc.holder.expired && alloc.holder.grant != 0 &&
			alloc.demand > current+current/unmetDivisor
	})
}

// notifySome notifies up to maxNotifications lease holders whose allocations meet a condition. It starts at a different
// one for each log index, so that none is always left out.
func (a *Authority) notifySome(s *subjectBudget, meets func(i int, alloc *allocation) bool) {
	notified := 0
	count := uint64(len(s.allocations))
	for k := range count {
		i := int((k + a.index) % count)
		alloc := s.allocations[i]
		if notified < maxNotifications && meets(i, alloc) {
			a.notify[alloc.holder.incarnation] = true
			notified++
		}
	}
}

// allocate computes a lease holder's allocation of one subject's budget. It returns the present allocation if nothing
// that the division depends on has changed.
func (a *Authority) allocate(alloc *allocation) Amount {
	s := alloc.subject
	spec, b := a.set.Lookup(s.key.budget), a.budgets[s.key.budget]
	if spec == nil || !b.open {
		return Amount{}
	}
	s.drainTime = max(s.drainTime, spec.drainTime())
	rotation := s.rotation(spec, a.index)
	if alloc.computedAt > s.changedAt && alloc.computedAt > b.changedAt && alloc.rotation == rotation {
		return alloc.granted
	}
	alloc.computedAt, alloc.rotation = a.index, rotation
	shares := a.shares(spec, s)
	available := spec.Total.Sub(s.outstanding).Sub(b.staticReserved)
	target := alloc.target(shares, available)
	amount := spec.roundDown(target.Min(alloc.limit(spec, available)))
	if s.quantity(amount) < s.quantity(target)*7/8 { // other lease holders still have the rest
		a.notifyHoldersAboveShare(alloc, shares)
	}
	return amount
}

// rotation returns the number of the current rotation of parts that cannot be divided evenly, or 0 if there are so many
// parts that none are rotated.
func (s *subjectBudget) rotation(spec *Spec, index uint64) uint64 {
	if spec.Kind == account.Rate || spec.Total.Capacity/spec.MinAllocation >= rotationParts*int64(len(s.allocations)) {
		return 0
	}
	return index / rotationPeriod
}

// limit returns the largest value that an allocation can have: what is outstanding of it plus what is available. The
// newcomer reserve is available only to allocations of which nothing is outstanding.
//
// What is available can be negative, after the total was lowered, or when a lease holder whose work was released is
// back and still has it in use. In that case allocations must shrink until the excess has been given back.
func (alloc *allocation) limit(spec *Spec, available Amount) Amount {
	outstanding := alloc.outstanding()
	beyondReserve := available
	if outstanding != (Amount{}) {
		beyondReserve = available.Sub(spec.newcomerReserve()).Max(Amount{})
	}
	return outstanding.Add(available.Min(beyondReserve)).Max(Amount{})
}

// target returns the amount that an allocation should have: its share, or its present amount if the difference is too
// small for a change.
func (alloc *allocation) target(shares []Amount, available Amount) Amount {
	s := alloc.subject
	share := shares[slices.Index(s.allocations, alloc)]
	current, next := s.quantity(alloc.granted), s.quantity(share)
	switch {
	case next > current && next-current < current/growDivisor:
		return alloc.granted
	case next < current && next >= current-current/shrinkDivisor && !s.contested(shares, available):
		return alloc.granted
	}
	return share
}

// contested reports whether a lease holder lacks a part of its share, or more than the total is outstanding.
func (s *subjectBudget) contested(shares []Amount, available Amount) bool {
	if available.Capacity < 0 || available.Rate < 0 {
		return true
	}
	for i, alloc := range s.allocations {
		current := s.quantity(alloc.granted)
		if alloc.demand > current && current < s.quantity(shares[i])*15/16 {
			return true
		}
	}
	return false
}

// roundDown rounds an allocation down to a usable one: to whole parts, or to nothing if it is below MinAllocation.
func (s *Spec) roundDown(amount Amount) Amount {
	if s.Kind != account.Rate {
		amount.Capacity -= amount.Capacity % s.MinAllocation
	} else if amount.Rate == 0 {
		amount.Capacity = 0
	}
	if amount.Capacity < s.MinAllocation {
		return Amount{}
	}
	return amount
}

// notifyHoldersAboveShare notifies lease holders that have more than their shares, as they have what the given one
// lacks.
func (a *Authority) notifyHoldersAboveShare(lacking *allocation, shares []Amount) {
	s := lacking.subject
	a.notifySome(s, func(i int, alloc *allocation) bool {
		return alloc != lacking && !alloc.holder.expired && s.quantity(alloc.outstanding()) > s.quantity(shares[i])*9/8
	})
}

// shares computes the shares of all allocations of one subject's budget. Parts that may still be in use under expired
// leases are not divided.
func (a *Authority) shares(spec *Spec, s *subjectBudget) []Amount {
	pool := spec.Total.Sub(a.budgets[spec.Name].staticReserved).Sub(spec.newcomerReserve())
	claims := make([]claim, len(s.allocations))
	floor := s.quantity(spec.Total) / permille * spec.Floor
	for i, alloc := range s.allocations {
		if alloc.holder.expired {
			pool = pool.Sub(alloc.outstanding())
			continue
		}
		claims[i] = claim{demand: alloc.demand, floor: floor, weight: spec.weight(alloc.holder.name)}
	}
	pool = pool.Max(Amount{})
	quantities := divide(s.quantity(pool), claims)
	if s.kind == account.Rate {
		return spec.rateShares(pool, quantities)
	}
	roundShares(pool.Capacity, spec.MinAllocation, a.index/rotationPeriod, claims, quantities)
	shares := make([]Amount, len(quantities))
	for i, capacity := range quantities {
		shares[i].Capacity = capacity
	}
	return shares
}

// rateShares adds to each rate the same part of the burst as it is of the rate.
func (s *Spec) rateShares(pool Amount, rates []int64) []Amount {
	shares := make([]Amount, len(rates))
	for i, rate := range rates {
		if rate > 0 {
			burst := max(s.MinAllocation, mulDiv(pool.Capacity, rate, pool.Rate))
			shares[i] = Amount{Capacity: burst, Rate: rate}
		}
	}
	return shares
}
