package budget

import (
	"cmp"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// grantPair is the amount that a lease holder has confirmed to be in force, and the one that it was granted since.
type grantPair struct{ previous, current Amount }

// outstanding returns what may be in force at the lease holder: the larger of the two.
func (p *grantPair) outstanding() Amount { return p.previous.Max(p.current) }

// subjectBudget is the budget of one subject.
type subjectBudget struct {
	key         subjectKey
	kind        account.Kind
	drainTime   monotime.Micros // how long what was spent under a lease counts after the lease has expired
	outstanding Amount          // the sum over the allocations
	released    int64           // what became available since others were last notified of it
	allocations []*allocation   // by incarnation
	changedAt   uint64          // the log index at which a change may last have affected its division
}

// quantity returns what of an amount is divided: the rate, or the capacity of other kinds.
func (s *subjectBudget) quantity(amount Amount) int64 {
	if s.kind == account.Rate {
		return amount.Rate
	}
	return amount.Capacity
}

// allocation is what one lease holder has of one subject's budget.
type allocation struct {
	key     subjectKey
	holder  *holderRecord
	subject *subjectBudget
	grantPair
	inUse     int64
	demand    int64
	listedIn  uint64 // the last report that listed it
	dividedAt uint64 // the log index at which it was last computed
	rotation  uint64 // the rotation of indivisible remainders in which it was last computed
}

// outstanding returns what counts against the total: what may be in force and what is in use, whichever is more.
func (o *allocation) outstanding() Amount {
	amount := o.grantPair.outstanding()
	amount.Capacity = max(amount.Capacity, o.inUse)
	return amount
}

func (o *allocation) compareKey(key subjectKey) int { return o.key.compare(key) }

func (o *allocation) compareIncarnation(incarnation replication.Incarnation) int {
	return cmp.Compare(o.holder.incarnation, incarnation)
}

// findOrAddAllocation returns a lease holder's allocation of a subject's budget. It returns nil if there is no such
// budget, or no capacity for another subject.
func (a *Authority) findOrAddAllocation(h *holderRecord, key subjectKey) *allocation {
	i, found := slices.BinarySearchFunc(h.allocations, key, (*allocation).compareKey)
	if found {
		return h.allocations[i]
	}
	subject := a.findOrAddSubject(key)
	if subject == nil {
		return nil
	}
	o := &allocation{key: key, holder: h, subject: subject}
	h.allocations = slices.Insert(h.allocations, i, o)
	j, _ := slices.BinarySearchFunc(subject.allocations, h.incarnation, (*allocation).compareIncarnation)
	subject.allocations = slices.Insert(subject.allocations, j, o)
	return o
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

// updateAll changes all allocations of a lease holder.
func (a *Authority) updateAll(h *holderRecord, change func(*allocation)) {
	for _, o := range h.allocations {
		a.update(o, func() { change(o) })
	}
}

// update changes an allocation and keeps the subject's sums.
func (a *Authority) update(o *allocation, change func()) {
	before := o.outstanding()
	change()
	after := o.outstanding()
	if after == before {
		return
	}
	s := o.subject
	s.outstanding, s.changedAt = s.outstanding.Add(after).Sub(before), a.index
	if released := s.quantity(before) - s.quantity(after); released > 0 {
		s.released += released
		a.notifyOfRelease(o)
	}
}

// setDemand records the demand of a lease holder.
func (a *Authority) setDemand(o *allocation, demand int64) {
	if demand != o.demand {
		o.demand, o.subject.changedAt = demand, a.index
	}
}

// removeUnused removes the allocations of a lease holder of which nothing is outstanding or in demand.
func (a *Authority) removeUnused(h *holderRecord) {
	h.allocations = slices.DeleteFunc(h.allocations, func(o *allocation) bool {
		if o.outstanding() != (Amount{}) || o.demand != 0 && !h.expired {
			return false
		}
		s := o.subject
		s.allocations = slices.DeleteFunc(s.allocations, func(other *allocation) bool { return other == o })
		if len(s.allocations) == 0 {
			delete(a.subjects, s.key)
		}
		return true
	})
}
