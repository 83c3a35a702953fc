package budget

import "chutechute/internal/monotime"

// staticAllocation is a lease holder's static allocation of one budget, which it has for each subject of the budget.
type staticAllocation struct {
	budget string
	grantPair
}

// assignStatic assigns static allocations to a lease holder, unless as many front ends as there may be have them. What
// others have not given back yet of a budget cannot be assigned.
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

// grantStatic brings a lease holder's static allocations to the settings, as far as parts are available. It reports
// whether something changed.
func (a *Authority) grantStatic(h *holderRecord) (changed bool) {
	var leased map[string]Amount // computed when it is first needed
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
		if target == allocation.current {
			continue
		}
		if leased == nil {
			leased = a.maxLeased()
		}
		available := spec.Total.Sub(leased[spec.Name]).Sub(b.staticOutstanding).Max(Amount{})
		target = target.Min(allocation.previous.Add(available))
		if target.Capacity < spec.MinAllocation {
			target = Amount{}
		}
		if target != allocation.current {
			allocation.current, changed = target, true
			a.sumStaticAllocations()
		}
	}
	return changed
}

// maxLeased returns, for each budget, the most that is leased of one subject.
func (a *Authority) maxLeased() map[string]Amount {
	leased := map[string]Amount{}
	for _, s := range a.subjects {
		leased[s.key.budget] = leased[s.key.budget].Max(s.outstanding)
	}
	return leased
}

// withdrawRemovedStatic withdraws a lease holder's static allocations of budgets that have been removed. It reports
// whether there are any.
func (a *Authority) withdrawRemovedStatic(h *holderRecord) (changed bool) {
	for name, allocation := range h.statics {
		if a.set.Lookup(name) == nil && allocation.current != (Amount{}) {
			allocation.current, changed = Amount{}, true
		}
	}
	return changed
}

// confirmStatic records that a lease holder has the static allocations in force that it was last granted.
func (a *Authority) confirmStatic(h *holderRecord) {
	changed := false
	for _, allocation := range h.statics {
		changed = changed || allocation.previous != allocation.current
		allocation.previous = allocation.current
	}
	if changed {
		a.sumStaticAllocations()
	}
}

// returnStatic records that a lease holder has given back its static allocations.
func (a *Authority) returnStatic(h *holderRecord) {
	clear(h.statics)
	h.hasStatic = false
	a.sumStaticAllocations()
}

// releaseStatic releases the static allocations of a superseded incarnation with a drain time of no more than elapsed.
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

// staticSums returns what may be in force of a budget's static allocations, and what is reserved for them: also for
// those that are not assigned.
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
