package budget

import "chutechute/internal/monotime"

// staticAllocation is a lease holder's static allocation of one budget. It applies to each subject of the budget.
type staticAllocation struct {
	budget string
	grantPair
}

// assignStatic assigns static allocations to a lease holder, unless MaxFrontEnds lease holders have them already. What
// others have not given back yet cannot be assigned.
func (a *Authority) assignStatic(h *holderRecord) {
	if !h.hasStatic && a.holdersWithStatic() >= a.set.MaxFrontEnds {
		return
	}
	h.hasStatic = true
	granted := a.grantStatic(h)
	withdrawn := a.withdrawRemovedStatic(h)
	if granted || withdrawn {
		h.staticGrant = a.index
		a.sumStaticAllocations()
	}
}

func (a *Authority) holdersWithStatic() (n int) {
	for _, h := range a.holders {
		if h.hasStatic {
			n++
		}
	}
	return n
}

// grantStatic sets a lease holder's static allocations as the settings require, as far as enough is available. It
// reports whether an allocation changed.
func (a *Authority) grantStatic(h *holderRecord) (changed bool) {
	var leased map[string]Amount // computed when first needed
	for i := range a.set.Specs {
		spec := &a.set.Specs[i]
		b := a.budgets[spec.Name]
		if !b.open {
			continue
		}
		allocation := h.statics[spec.Name]
		if allocation == nil {
			allocation = &staticAllocation{budget: spec.Name}
			h.statics[spec.Name] = allocation
		}
		target := spec.staticAllocation(a.set.MaxFrontEnds)
		if target == allocation.granted {
			continue
		}
		if leased == nil {
			leased = a.maxLeased()
		}
		available := spec.Total.Sub(leased[spec.Name]).Sub(b.staticOutstanding).Max(Amount{})
		target = target.Min(allocation.confirmed.Add(available))
		if target.Capacity < spec.MinAllocation {
			target = Amount{}
		}
		if target != allocation.granted {
			allocation.granted, changed = target, true
			a.sumStaticAllocations()
		}
	}
	return changed
}

// maxLeased returns, for each budget, the largest amount that is leased for one subject.
func (a *Authority) maxLeased() map[string]Amount {
	leased := map[string]Amount{}
	for _, s := range a.subjects {
		leased[s.key.budget] = leased[s.key.budget].Max(s.outstanding)
	}
	return leased
}

// withdrawRemovedStatic withdraws a lease holder's static allocations of budgets that are no longer in the settings. It
// reports whether there were any.
func (a *Authority) withdrawRemovedStatic(h *holderRecord) (changed bool) {
	for name, allocation := range h.statics {
		if a.set.Lookup(name) == nil && allocation.granted != (Amount{}) {
			allocation.granted, changed = Amount{}, true
		}
	}
	return changed
}

// confirmStatic records that the last grant of static allocations is in force at a lease holder.
func (a *Authority) confirmStatic(h *holderRecord) {
	changed := false
	for _, allocation := range h.statics {
		changed = changed || allocation.confirmed != allocation.granted
		allocation.confirmed = allocation.granted
	}
	if changed {
		a.sumStaticAllocations()
	}
}

// returnStatic records that a lease holder has given its static allocations back.
func (a *Authority) returnStatic(h *holderRecord) {
	clear(h.statics)
	h.hasStatic = false
	a.sumStaticAllocations()
}

// releaseStatic releases the static allocations of a superseded incarnation whose drain time is at most elapsed.
func (a *Authority) releaseStatic(h *holderRecord, elapsed monotime.Micros) {
	for name := range h.statics {
		spec := a.set.Lookup(name)
		if spec == nil || effectiveDrainTime(spec.drainTime(), spec.Kind, true) <= elapsed {
			delete(h.statics, name)
		}
	}
	if len(h.statics) == 0 {
		h.hasStatic = false
	}
	a.sumStaticAllocations()
}

// sumStaticAllocations computes the sums of static allocations of all budgets.
func (a *Authority) sumStaticAllocations() {
	for i := range a.set.Specs {
		spec := &a.set.Specs[i]
		b := a.budgets[spec.Name]
		outstanding, reserved := a.staticSums(spec)
		if b.staticOutstanding != outstanding || b.staticReserved != reserved {
			b.changedAt = a.index
		}
		b.staticOutstanding, b.staticReserved = outstanding, reserved
	}
}

// staticSums returns the sum of a budget's static allocations that may be in force, and what is reserved for static
// allocations, including those that are not assigned yet.
func (a *Authority) staticSums(spec *Spec) (outstanding, reserved Amount) {
	each := spec.staticAllocation(a.set.MaxFrontEnds)
	unassigned := int64(a.set.MaxFrontEnds)
	for _, h := range a.holders {
		amount := Amount{}
		if allocation := h.statics[spec.Name]; allocation != nil {
			amount = allocation.outstanding()
		}
		outstanding = outstanding.Add(amount)
		if h.hasStatic {
			unassigned--
			amount = amount.Max(each)
		}
		reserved = reserved.Add(amount)
	}
	return outstanding, reserved.Add(Amount{Capacity: each.Capacity * unassigned, Rate: each.Rate * unassigned})
}
