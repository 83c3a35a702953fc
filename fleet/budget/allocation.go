package budget

import (
	"cmp"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// grantPair is the amount that a lease holder has confirmed to be in force, and the one that it was last granted.
type grantPair struct{ confirmed, granted Amount }

// outstanding returns the larger of the two amounts, as either may be in force at the lease holder.
func (p *grantPair) outstanding() Amount { return p.confirmed.Max(p.granted) }

// subjectBudget is the authority's state of one subject's budget.
type subjectBudget struct {
	key         subjectKey
	kind        account.Kind
	drainTime   monotime.Micros // for how long expenses under a lease count after the lease has expired
	outstanding Amount          // the sum over the allocations
	released    int64           // what was released since lease holders were last notified of it
	allocations []*allocation   // sorted by incarnation
	changedAt   uint64          // the log index at which a change may last have affected its division
}

// quantity returns the field of an amount that is divided: the rate of a rate budget, otherwise the capacity.
func (s *subjectBudget) quantity(amount Amount) int64 {
	if s.kind == account.Rate {
		return amount.Rate
	}
	return amount.Capacity
}

// allocation is the part of one subject's budget that is granted to one lease holder.
type allocation struct {
	key     subjectKey
	holder  *holderRecord
	subject *subjectBudget
	grantPair
	inUse      int64
	demand     int64
	listedIn   uint64 // the last report that listed it
	computedAt uint64 // the log index at which it was last computed
	rotation   uint64 // the number of the rotation (see subjectBudget.rotation) in which it was last computed
}

// outstanding returns what counts against the total: the larger of what may be in force and what is in use.
func (alloc *allocation) outstanding() Amount {
	amount := alloc.grantPair.outstanding()
	amount.Capacity = max(amount.Capacity, alloc.inUse)
	return amount
}

func (alloc *allocation) compareKey(key subjectKey) int { return alloc.key.compare(key) }

func (alloc *allocation) compareIncarnation(incarnation replication.Incarnation) int {
	return cmp.Compare(alloc.holder.incarnation, incarnation)
}

// findOrAddAllocation returns a lease holder's allocation of a subject's budget. It returns nil if the budget does not
// exist, the subject's name is too long, or there are too many subjects already.
func (a *Authority) findOrAddAllocation(h *holderRecord, key subjectKey) *allocation {
	i, found := slices.BinarySearchFunc(h.allocations, key, (*allocation).compareKey)
	if found {
		return h.allocations[i]
	}
	subject := a.findOrAddSubject(key)
	if subject == nil {
		return nil
	}
	alloc := &allocation{key: key, holder: h, subject: subject}
	h.allocations = slices.Insert(h.allocations, i, alloc)
	j, _ := slices.BinarySearchFunc(subject.allocations, h.incarnation, (*allocation).compareIncarnation)
	subject.allocations = slices.Insert(subject.allocations, j, alloc)
	return alloc
}

func (a *Authority) findOrAddSubject(key subjectKey) *subjectBudget {
	spec := a.set.Lookup(key.budget)
	if spec == nil || len(key.subject) > maxNameLength {
		return nil
	}
	subject := a.subjects[key]
	if subject == nil {
		if len(a.subjects) >= a.options.MaxSubjects {
			return nil
		}
		subject = &subjectBudget{key: key, kind: spec.Kind}
		a.subjects[key] = subject
	}
	subject.drainTime = max(subject.drainTime, spec.drainTime())
	return subject
}

// updateAll calls update for all allocations of a lease holder.
func (a *Authority) updateAll(h *holderRecord, change func(*allocation)) {
	for _, alloc := range h.allocations {
		a.update(alloc, func() { change(alloc) })
	}
}

// update changes an allocation, and updates the sums of its subject.
func (a *Authority) update(alloc *allocation, change func()) {
	before := alloc.outstanding()
	change()
	after := alloc.outstanding()
	if after == before {
		return
	}
	s := alloc.subject
	s.outstanding, s.changedAt = s.outstanding.Add(after).Sub(before), a.index
	if released := s.quantity(before) - s.quantity(after); released > 0 {
		s.released += released
		a.notifyOfRelease(alloc)
	}
}

// setDemand sets the demand for an allocation.
func (a *Authority) setDemand(alloc *allocation, demand int64) {
	if demand != alloc.demand {
		alloc.demand, alloc.subject.changedAt = demand, a.index
	}
}

// removeUnused removes a lease holder's allocations that have nothing outstanding and no demand.
func (a *Authority) removeUnused(h *holderRecord) {
	h.allocations = slices.DeleteFunc(h.allocations, func(alloc *allocation) bool {
		if alloc.outstanding() != (Amount{}) || alloc.demand != 0 && !h.expired {
			return false
		}
		s := alloc.subject
		s.allocations = slices.DeleteFunc(s.allocations, func(other *allocation) bool { return other == alloc })
		if len(s.allocations) == 0 {
			delete(a.subjects, s.key)
		}
		return true
	})
}
