package budget

import (
	"iter"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"chutechute/fleet/budget/account"
	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// AppendSnapshot appends the encoded state to b. Before the first report it appends nothing.
func (a *Authority) AppendSnapshot(b []byte) []byte {
	if a.set == nil {
		return b
	}
	f := fieldcodec.Encode(b)
	a.fields(&f)
	return f.Bytes()
}

// Restore replaces the state with that of a snapshot. All time spans are counted from now, so that nothing expires or
// opens early. The error wraps fieldcodec.ErrMalformed or ErrInvalidSet; after an error the state is undefined.
func (a *Authority) Restore(b []byte, now monotime.Micros) error {
	*a = *NewAuthority(a.options)
	a.now = now
	f := fieldcodec.Decode(b)
	for f.Next() {
		a.fields(&f)
	}
	restored := a.budgets
	a.budgets = map[string]*budgetState{}
	if err := f.Err(); err != nil || a.set == nil {
		return err
	}
	for i := range a.set.Specs {
		name := a.set.Specs[i].Name
		if a.budgets[name] = restored[name]; restored[name] == nil {
			a.budgets[name] = &budgetState{name: name, knownSince: now}
		}
	}
	a.restoreStaticSums()
	return nil
}

// restoreStaticSums computes the sums of static allocations, which are not part of a snapshot. It leaves changedAt as
// it was, because nothing has changed.
func (a *Authority) restoreStaticSums() {
	changedAt := map[string]uint64{}
	for name, b := range a.budgets {
		changedAt[name] = b.changedAt
	}
	a.sumStaticAllocations()
	for name, b := range a.budgets {
		b.changedAt = changedAt[name]
	}
}

// fields lists the parts of a snapshot. The order matters, because later parts refer to earlier ones.
func (a *Authority) fields(f *fieldcodec.Fields) {
	f.Copied(1, &a.encodedSet)
	if f.Decoding(1) {
		set, err := DecodeSet(a.encodedSet)
		a.set = set
		f.Fail(err)
	}
	records(f, 2, inOrder(a.budgets, sortedKeys), (*budgetState).fields, a.restoreBudget)
	records(f, 3, a.subjectsInOrder(), (*subjectBudget).fields, a.restoreSubject)
	records(f, 4, slices.Values(a.holders), (*holderRecord).fields, a.restoreHolder)
}

// records encodes or decodes a repeated field whose records are kept as pointers. Encoding iterates over all of them;
// decoding passes each decoded record to restore.
func records[T any](
	f *fieldcodec.Fields, number protowire.Number, all iter.Seq[*T],
	fields func(*T, *fieldcodec.Fields), restore func(*T) error,
) {
	if f.Decoding(number) {
		record := new(T)
		fieldcodec.Message(f, number, record, fields)
		f.Fail(restore(record))
	}
	if f.Encoding() {
		for record := range all {
			fieldcodec.Message(f, number, record, fields)
		}
	}
}

// inOrder returns the values of a map in the order of its keys. The order is only computed on iteration.
func inOrder[K comparable, V any](m map[K]V, keys func(map[K]V) []K) iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, key := range keys(m) {
			if !yield(m[key]) {
				return
			}
		}
	}
}

func (a *Authority) subjectsInOrder() iter.Seq[*subjectBudget] {
	keys := func(map[subjectKey]*subjectBudget) []subjectKey { return a.subjectKeys() }
	return inOrder(a.subjects, keys)
}

func (a *Authority) restoreBudget(b *budgetState) error {
	b.knownSince = a.now
	a.budgets[b.name] = b
	return nil
}

func (a *Authority) restoreSubject(s *subjectBudget) error {
	a.subjects[s.key] = s
	return nil
}

// restoreHolder adds a lease holder, and adds its allocations to their subjects. Lease holders are restored in the
// order of their incarnations, so each subject's allocations are in that order too.
func (a *Authority) restoreHolder(h *holderRecord) error {
	for _, alloc := range h.allocations {
		if alloc.subject = a.subjects[alloc.key]; alloc.subject == nil {
			return fieldcodec.ErrMalformed
		}
		alloc.holder = h
		alloc.subject.allocations = append(alloc.subject.allocations, alloc)
		alloc.subject.outstanding = alloc.subject.outstanding.Add(alloc.outstanding())
	}
	h.expiredSince = a.now
	h.leaseExpiresAt = a.now + withMargin(h.longestLease)
	a.holders = append(a.holders, h)
	return nil
}

func (b *budgetState) fields(f *fieldcodec.Fields) {
	f.String(1, &b.name)
	f.Bool(2, &b.open)
	fieldcodec.Uint(f, 3, &b.changedAt)
	f.Bool(4, &b.addedInService)
}

func (s *subjectBudget) fields(f *fieldcodec.Fields) {
	f.String(1, &s.key.budget)
	f.String(2, &s.key.subject)
	fieldcodec.IntUpTo(f, 3, &s.kind, account.Kind(maxNumber))
	fieldcodec.IntUpTo(f, 4, &s.drainTime, maxNumber)
	fieldcodec.Uint(f, 5, &s.changedAt)
	fieldcodec.IntUpTo(f, 6, &s.released, maxNumber)
}

func (h *holderRecord) fields(f *fieldcodec.Fields) {
	if h.statics == nil { // a new record for decoding
		h.statics = map[string]*staticAllocation{}
	}
	fieldcodec.Uint(f, 1, &h.incarnation)
	f.String(2, &h.name)
	fieldcodec.Uint(f, 3, &h.lastReport)
	fieldcodec.Uint(f, 4, &h.grant)
	fieldcodec.Uint(f, 5, &h.previousGrant)
	f.Bool(6, &h.expired)
	f.Bool(7, &h.hasStatic)
	fieldcodec.Uint(f, 8, &h.staticGrant)
	fieldcodec.IntUpTo(f, 9, &h.longestLease, maxNumber)
	records(f, 11, inOrder(h.statics, sortedKeys), (*staticAllocation).fields, h.restoreStatic)
	records(f, 12, slices.Values(h.allocations), (*allocation).fields, h.restoreAllocation)
}

func (h *holderRecord) restoreStatic(s *staticAllocation) error {
	h.statics[s.budget] = s
	return nil
}

func (h *holderRecord) restoreAllocation(alloc *allocation) error {
	h.allocations = append(h.allocations, alloc)
	return nil
}

func (s *staticAllocation) fields(f *fieldcodec.Fields) {
	f.String(1, &s.budget)
	s.grantPair.fields(f)
}

func (alloc *allocation) fields(f *fieldcodec.Fields) {
	f.String(1, &alloc.key.budget)
	f.String(2, &alloc.key.subject)
	alloc.grantPair.fields(f)
	fieldcodec.IntUpTo(f, 7, &alloc.inUse, maxNumber)
	fieldcodec.IntUpTo(f, 8, &alloc.demand, maxNumber)
	fieldcodec.Uint(f, 9, &alloc.listedIn)
	fieldcodec.Uint(f, 10, &alloc.computedAt)
	fieldcodec.Uint(f, 11, &alloc.rotation)
}

func (p *grantPair) fields(f *fieldcodec.Fields) {
	fieldcodec.IntUpTo(f, 3, &p.confirmed.Capacity, maxNumber)
	fieldcodec.IntUpTo(f, 4, &p.confirmed.Rate, maxNumber)
	fieldcodec.IntUpTo(f, 5, &p.granted.Capacity, maxNumber)
	fieldcodec.IntUpTo(f, 6, &p.granted.Rate, maxNumber)
}
