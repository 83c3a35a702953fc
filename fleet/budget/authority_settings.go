package budget

import "chutechute/fleet/budget/account"

// adoptSettings installs a report's settings if they are newer than the authority's. It sets the fields of the response
// that tell the lease holder how its settings differ from those in force.
func (a *Authority) adoptSettings(report *command, response *reportResponse) {
	if len(report.Set) > 0 && (a.set == nil || report.Version > a.set.Version) {
		set, err := DecodeSet(report.Set)
		if err != nil || set.Version != report.Version || !a.compatible(set) {
			response.SettingsConflict = true
		} else {
			a.install(set, append([]byte(nil), report.Set...))
			a.notifyAll()
		}
	}
	if a.set == nil {
		return
	}
	response.Version = a.set.Version
	for _, name := range sortedKeys(a.budgets) {
		if b := a.budgets[name]; b.addedInService && !b.open {
			response.NotInForce = append(response.NotInForce, name)
		}
	}
	switch {
	case report.Version != a.set.Version:
		response.Set = a.encodedSet
	case len(report.Set) > 0 && string(report.Set) != string(a.encodedSet):
		response.SettingsConflict, response.Set = true, a.encodedSet
	}
}

// compatible reports whether a set can replace the one in force.
func (a *Authority) compatible(set *Set) bool {
	if a.set != nil && !a.set.replaceableBy(set) {
		return false
	}
	for _, s := range a.subjects {
		spec := set.Lookup(s.key.budget)
		if spec != nil && (spec.Kind != s.kind || s.kind == account.Window && spec.Window != s.drainTime) {
			return false
		}
	}
	return true
}

// replaceableBy reports whether another set can replace this one in service. The kind, the window and the smallest
// allocation of a budget cannot change while parts of it are allocated. MaxFrontEnds cannot decrease, because static
// allocations may be assigned to that many front ends.
func (s *Set) replaceableBy(next *Set) bool {
	for i := range next.Specs {
		spec := &next.Specs[i]
		old := s.Lookup(spec.Name)
		if old != nil && (old.Kind != spec.Kind || old.Window != spec.Window || old.MinAllocation != spec.MinAllocation) {
			return false
		}
	}
	return next.MaxFrontEnds >= s.MaxFrontEnds
}

// install puts a set into force. A new budget is not open at first, because an earlier authority may have granted parts
// of it; see openAfter.
func (a *Authority) install(set *Set, encoded []byte) {
	budgets := map[string]*budgetState{}
	for i := range set.Specs {
		name := set.Specs[i].Name
		if budgets[name] = a.budgets[name]; budgets[name] == nil {
			budgets[name] = &budgetState{name: name, knownSince: a.now, addedInService: a.set != nil}
		}
	}
	a.set, a.encodedSet, a.budgets = set, encoded, budgets
	a.sumStaticAllocations()
	for _, b := range budgets {
		b.changedAt = a.index
	}
}
