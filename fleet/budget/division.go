package budget

import (
	"slices"

	"chutechute/fleet/budget/account"
)

const (
	// minReleasedDivisor is what part of a total has to be released before others are notified of it, as one in so
	// many.
	minReleasedDivisor = 64
	// maxNotifications bounds how many lease holders are notified at a time. All others see a change of their share
	// with their next report.
	maxNotifications = 16
	// rotationPeriod is after how many log indexes parts that cannot be divided evenly go to other lease holders.
	rotationPeriod = 256
	// rotationParts is the number of smallest parts per lease holder below which such parts are rotated.
	rotationParts = 4
)

// Differences that count, as one part in so many of an amount.
const (
	// unmetDivisor is how far demand has to be above an allocation for its holder to be notified of released parts.
	unmetDivisor = 8
	// shrinkDivisor is how far a share has to be below an allocation that nobody else lacks, for the allocation to
	// shrink to it.
	shrinkDivisor = 8
	// growDivisor is how far a share has to be above an allocation for the allocation to grow to it.
	growDivisor = 16
)

// notifyOfRelease notifies lease holders that could use what others have released of a subject's budget, once it is
// worth it.
func (a *Authority) notifyOfRelease(from *allocation) {
	s := from.subject
	spec := a.set.Lookup(s.key.budget)
	if spec == nil || s.released < max(1, s.quantity(spec.Total)/minReleasedDivisor) {
		return
	}
	s.released = 0
	a.notifySome(s, func(_ int, o *allocation) bool {
		current := s.quantity(o.current)
		return o != from && !o.holder.expired && o.holder.grant != 0 && o.demand > current+current/unmetDivisor
	})
}

// notifySome notifies lease holders whose allocations meet a condition, maxNotifications at most. It begins with a
// different one each time, so that each has its turn.
func (a *Authority) notifySome(s *subjectBudget, meets func(i int, o *allocation) bool) {
	notified := 0
	count := uint64(len(s.allocations))
	for k := range count {
		i := int((k + a.index) % count)
		o := s.allocations[i]
		if notified < maxNotifications && meets(i, o) {
			a.notify[o.holder.incarnation] = true
			notified++
		}
	}
}

// allocate returns what a lease holder may have of one subject's budget from now on. It is the present allocation as
// long as nothing has changed that the division depends on.
func (a *Authority) allocate(o *allocation) Amount {
	s := o.subject
	spec, b := a.set.Lookup(s.key.budget), a.budgets[s.key.budget]
	if spec == nil || !b.open {
		return Amount{}
	}
	s.drainTime = max(s.drainTime, spec.drainTime())
	rotation := s.rotation(spec, a.index)
	if o.dividedAt > s.changedAt && o.dividedAt > b.changedAt && o.rotation == rotation {
		return o.current
	}
	o.dividedAt, o.rotation = a.index, rotation
	shares := a.shares(spec, s)
	available := spec.Total.Sub(s.outstanding).Sub(b.staticReserved)
	target := o.target(shares, available)
	amount := spec.usable(target.Min(o.limit(spec, available)))
	if s.quantity(amount) < s.quantity(target)*7/8 { // the rest is in the hands of others
		a.notifyExceeding(o, shares)
	}
	return amount
}

// rotation returns the number of the current rotation of parts that cannot be divided evenly, or 0 if there are enough
// parts for all.
func (s *subjectBudget) rotation(spec *Spec, index uint64) uint64 {
	if spec.Kind == account.Rate || spec.Total.Capacity/spec.MinAllocation >= rotationParts*int64(len(s.allocations)) {
		return 0
	}
	return index / rotationPeriod
}

// limit returns the most that an allocation can be: what is outstanding of it and what is available. The reserve for
// newcomers is available only to those that have nothing.
//
// What is available can be negative: the total was lowered, or a lease holder whose work was released is back and still
// has it in use. Then nobody may have what that one has, until it has given it back.
func (o *allocation) limit(spec *Spec, available Amount) Amount {
	outstanding := o.outstanding()
	beyondReserve := available
	if outstanding != (Amount{}) {
		beyondReserve = available.Sub(spec.newcomerReserve()).Max(Amount{})
	}
	return outstanding.Add(available.Min(beyondReserve)).Max(Amount{})
}

// target returns what an allocation should become: its share, or what it is now if the difference is not worth a
// change.
func (o *allocation) target(shares []Amount, available Amount) Amount {
	s := o.subject
	share := shares[slices.Index(s.allocations, o)]
	current, next := s.quantity(o.current), s.quantity(share)
	switch {
	case next > current && next-current < current/growDivisor:
		return o.current
	case next < current && next >= current-current/shrinkDivisor && !s.contested(shares, available):
		return o.current
	}
	return share
}

// contested reports whether somebody lacks a part of its share, or more is outstanding than the total.
func (s *subjectBudget) contested(shares []Amount, available Amount) bool {
	if available.Capacity < 0 || available.Rate < 0 {
		return true
	}
	for i, o := range s.allocations {
		current := s.quantity(o.current)
		if o.demand > current && current < s.quantity(shares[i])*15/16 {
			return true
		}
	}
	return false
}

// usable rounds an allocation down to what is of use.
func (s *Spec) usable(amount Amount) Amount {
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

// notifyExceeding notifies lease holders that have more than their shares, as they have what another one lacks.
func (a *Authority) notifyExceeding(lacking *allocation, shares []Amount) {
	s := lacking.subject
	a.notifySome(s, func(i int, o *allocation) bool {
		return o != lacking && !o.holder.expired && s.quantity(o.outstanding()) > s.quantity(shares[i])*9/8
	})
}

// shares divides one subject's budget among all lease holders that have or want a part of it.
func (a *Authority) shares(spec *Spec, s *subjectBudget) []Amount {
	pool := spec.Total.Sub(a.budgets[spec.Name].staticReserved).Sub(spec.newcomerReserve())
	claims := make([]claim, len(s.allocations))
	floor := s.quantity(spec.Total) / permille * spec.Floor
	for i, o := range s.allocations {
		if o.holder.expired {
			pool = pool.Sub(o.outstanding())
			continue
		}
		claims[i] = claim{demand: o.demand, floor: floor, weight: spec.weight(o.holder.name)}
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

// rateShares gives each rate its part of the burst.
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
