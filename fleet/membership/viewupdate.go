package membership

import "slices"

// changeSource is the source of changes to a view.
type changeSource uint8

// The sources.
const (
	fromMerge       changeSource = iota // this control member's merge, which decides the order of processes
	fromHomeChanges                     // changes sent by the home
	fromHomeBuckets                     // full buckets sent by the home, which may lack entries of an earlier home
)

func (v *View) apply(changes []change, source changeSource) {
	for i := range changes {
		if changes[i].removed {
			v.remove(changes[i].Name, source)
			continue
		}
		v.put(&changes[i], source)
	}
}

// put sets one entry. A home that missed a later process may report an earlier one; the process then stays superseded
// in this view.
func (v *View) put(c *change, source changeSource) {
	e := &viewEntry{c.Entry, c.challengedAt}
	e.Zone, e.Home = v.intern(e.Zone), v.intern(e.Home)
	old := v.byName[e.Name]
	v.removed.remove(e.Incarnation)
	if source == fromMerge {
		v.superseded.remove(e.Incarnation)
	}
	if missing := v.missingAtHome[e.Name]; missing != nil {
		delete(v.missingAtHome, e.Name)
		v.recordOrder(missing, e, source)
	}
	if old == nil {
		v.insert(e)
	} else {
		v.recordOrder(old, e, source)
		v.overwrite(old, e)
	}
	v.hasConflict = v.hasConflict || v.superseded.contains(e.Incarnation)
}

// recordOrder records which of two processes of one name is superseded: the one that was known before, unless a home
// reports the new one with an earlier challenge.
func (v *View) recordOrder(old, e *viewEntry, source changeSource) {
	bothKnown := old.challengedAt != 0 && e.challengedAt != 0
	switch {
	case old.Incarnation == e.Incarnation:
		if bothKnown {
			e.challengedAt = min(e.challengedAt, old.challengedAt)
		}
	case source != fromMerge && bothKnown && e.challengedAt < old.challengedAt:
		v.superseded.add(e.Incarnation)
	default:
		v.superseded.add(old.Incarnation)
	}
}

func (v *View) insert(e *viewEntry) {
	index, _ := v.search(e.Name)
	v.entries = slices.Insert(v.entries, index, e)
	v.byName[e.Name] = e
	v.index(e)
	v.updateDigests(e, 1)
}

func (v *View) overwrite(old, e *viewEntry) {
	v.updateDigests(old, -1)
	v.unindex(old)
	e.Name = old.Name
	*old = *e
	v.index(old)
	v.updateDigests(old, 1)
}

// remove removes the entry of a name. A removal that is sent as a change shows that the process has ended. A home whose
// buckets lack the entry may only have missed it, so the entry is remembered in missingAtHome.
func (v *View) remove(name string, source changeSource) {
	index, found := v.search(name)
	if !found {
		return
	}
	old := v.entries[index]
	v.entries = slices.Delete(v.entries, index, index+1)
	delete(v.byName, name)
	v.unindex(old)
	v.updateDigests(old, -1)
	if source != fromHomeBuckets {
		v.removed.add(old.Incarnation)
		return
	}
	if v.missingAtHome == nil || len(v.missingAtHome) >= maxMissingAtHome {
		v.missingAtHome = map[string]*viewEntry{}
	}
	v.missingAtHome[name] = old
}

func (v *View) index(e *viewEntry) {
	if e.Incarnation != 0 {
		v.byIncarnation[e.Incarnation] = e
	}
}

func (v *View) unindex(e *viewEntry) {
	if v.byIncarnation[e.Incarnation] == e {
		delete(v.byIncarnation, e.Incarnation)
	}
}

// updateDigests adds an entry to the digests if sign is 1, or subtracts it if sign is -1.
func (v *View) updateDigests(e *viewEntry, sign int) {
	delta := e.digest() * uint64(sign)
	v.bucketDigests[bucketOf(e.Name)] += delta
	v.digest += delta
}

// intern returns the shared copy of a zone or home name.
func (v *View) intern(s string) string {
	if interned, ok := v.internedStrings[s]; ok {
		return interned
	}
	if len(v.internedStrings) < maxInternedStrings {
		v.internedStrings[s] = s
	}
	return s
}

// resolveConflicts reports whether the view still contains superseded processes. If timedOut is set, it first accepts
// the home's report for those that the home shows as Alive: they no longer count as superseded.
func (v *View) resolveConflicts(timedOut bool) bool {
	remaining := false
	for _, e := range v.entries {
		if !v.superseded.contains(e.Incarnation) {
			continue
		}
		if timedOut && e.State == Alive {
			v.superseded.remove(e.Incarnation)
			continue
		}
		remaining = true
	}
	v.hasConflict = remaining
	return remaining
}
