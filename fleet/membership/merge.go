package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// recompareTimeout is for how long after a change two processes of one name are compared again with each batch: the
	// estimate of another member's clock gets better with each message.
	recompareTimeout = 5 * monotime.Second
	// tableAwaitTimeout is how long the table of a control member that has come back is awaited before the others'
	// reports that a front end is dead count without it: longer than it takes, and so short that a control member which
	// never sends its table does not delay deaths for long.
	tableAwaitTimeout = 3 * monotime.Second
)

// mergedName is what all homes' tables report of one name, and the state of merging that into the view.
type mergedName struct {
	name           string
	entries        []*tableEntry   // by home and epoch
	dirty          bool            // is in Server.dirtyNames
	watched        bool            // is in Server.watchedNames
	laterDeadSince monotime.Micros // since when the later process is dead and another is alive; 0 if that is not so
	deathWithheld  bool            // it is Dead by the tables that were received, and another is awaited
	contested      bool            // there are two processes that may each be the later
	recompareUntil monotime.Micros // until when they are compared again
	damping        damping         // of its changes
}

// mergedName returns the state of a name, and creates it if there is none yet.
func (s *Server) mergedName(name string) *mergedName {
	n := s.names[name]
	if n == nil {
		n = &mergedName{name: name}
		s.names[name] = n
	}
	return n
}

// replaceEntry replaces one entry by another; either may be nil.
func (n *mergedName) replaceEntry(old, current *tableEntry) {
	if old != nil {
		n.entries = slices.DeleteFunc(n.entries, func(e *tableEntry) bool { return e == old })
	}
	if current == nil {
		return
	}
	index, _ := slices.BinarySearchFunc(n.entries, current, compareEntryHome)
	n.entries = slices.Insert(n.entries, index, current)
}

// compareEntryHome orders entries of one name by home and epoch.
func compareEntryHome(a, b *tableEntry) int {
	return cmp.Or(cmp.Compare(a.table.home, b.table.home), cmp.Compare(a.table.epoch, b.table.epoch))
}

// markNameDirty notes that a name is to be merged with the next batch.
func (s *Server) markNameDirty(n *mergedName) {
	if !n.dirty {
		n.dirty = true
		s.dirtyNames = append(s.dirtyNames, n)
	}
}

// markTableDirty notes that all names of a table are to be merged.
func (s *Server) markTableDirty(t *table) {
	for _, name := range t.sortedNames() {
		s.markNameDirty(s.mergedName(name))
	}
}

// mergedEntry returns how a name is to be shown; ok is false if it is not to be shown.
func (s *Server) mergedEntry(n *mergedName) (e change, ok bool) {
	if m := s.membersByName[n.name]; m != nil {
		return m.viewChange(), m.Incarnation != 0
	}
	if len(n.entries) == 0 {
		return e, false
	}
	chosen := s.chooseProcess(n)
	entry := chosen.strongest
	e.Entry = Entry{
		Name:        entry.name,
		Zone:        entry.zone,
		Role:        Attached,
		Incarnation: entry.incarnation,
		State:       entry.currentState(),
		Home:        entry.table.home,
	}
	e.challengedAt = cmp.Or(chosen.challengedAt, zeroTimeSubstitute)
	n.deathWithheld = e.State == Dead && !s.tablesComplete && !s.isShownDead(&e.Entry)
	if n.deathWithheld {
		e.State = Suspect
	}
	return e, true
}

// viewChange returns how a control member is to be shown.
func (m *memberState) viewChange() change {
	e := Entry{Name: m.Name, Zone: m.Zone, Role: Control, Incarnation: m.Incarnation, State: m.State, Home: m.Name}
	return change{Entry: e, challengedAt: m.ChallengedAt}
}

// isShownDead reports whether the view already shows that process as Dead.
func (s *Server) isShownDead(e *Entry) bool {
	old := s.view.byName[e.Name]
	return old != nil && old.Incarnation == e.Incarnation && old.State == Dead
}

// allTablesReceived reports whether the tables of all present control members were received, as far as they were
// announced. A control member that was never seen may be present as long as this process has only just begun.
func (s *Server) allTablesReceived() bool { return !s.hasOtherMember(s.isTableAwaited) }

// isTableAwaited reports whether the table of another control member is still to be received.
func (s *Server) isTableAwaited(m *memberState) bool {
	switch {
	case m.Incarnation == 0:
		return s.now-s.self.presentSince < tableAwaitTimeout
	case m.State != Alive || s.now-m.presentSince >= tableAwaitTimeout:
		return false
	}
	t := m.table(m.Incarnation)
	return t == nil || !t.upToDate
}

// mergeDirtyNames returns the changes of the view, sorted by name, as far as the rate limit of each name allows.
func (s *Server) mergeDirtyNames() (changes []change) {
	s.tablesComplete = s.allTablesReceived()
	s.recheckWatchedNames()
	slices.SortFunc(s.dirtyNames, func(a, b *mergedName) int { return cmp.Compare(a.name, b.name) })
	var delayed []*mergedName
	capacity := s.maxAttached - s.attachedCount
	for _, n := range s.dirtyNames {
		n.dirty = false
		c, differs := s.viewChange(n, capacity)
		s.watchIfNeeded(n)
		switch {
		case !differs:
			n.damping.clear()
			s.removeUnused(n)
		case !n.damping.allow(s.now, &s.Counters.Damped):
			n.dirty = true
			delayed = append(delayed, n)
		default:
			changes = append(changes, c)
			if s.membersByName[n.name] == nil {
				capacity -= s.view.lenAfter(changes[len(changes)-1:]) - s.view.Len()
			}
			s.removeUnused(n)
		}
	}
	s.dirtyNames = delayed
	s.attachedCount = s.maxAttached - capacity
	return changes
}

// recheckWatchedNames marks the watched names dirty, and stops watching those that need it no more.
func (s *Server) recheckWatchedNames() {
	s.watchedNames = slices.DeleteFunc(s.watchedNames, func(n *mergedName) bool {
		s.markNameDirty(n)
		n.watched = s.needsRecheck(n)
		return !n.watched
	})
}

func (s *Server) watchIfNeeded(n *mergedName) {
	if !n.watched && s.needsRecheck(n) {
		n.watched = true
		s.watchedNames = append(s.watchedNames, n)
	}
}

// needsRecheck reports whether a name is to be merged again without a change of its entries.
func (s *Server) needsRecheck(n *mergedName) bool {
	return n.laterDeadSince != 0 || n.deathWithheld || n.contested && s.now < n.recompareUntil
}

// viewChange returns the change that brings the view up to date with a name, if there is one. capacity is how many more
// attached front ends the view may have.
func (s *Server) viewChange(n *mergedName, capacity int) (c change, differs bool) {
	e, shown := s.mergedEntry(n)
	old := s.view.byName[n.name]
	switch {
	case !shown && old == nil:
		return c, false
	case !shown:
		return change{Entry: Entry{Name: n.name}, removed: true}, true
	case old != nil:
		return e, old.Entry != e.Entry
	case capacity <= 0 && e.Role == Attached:
		s.Counters.Oversized++
		return c, false
	}
	return e, true
}

// removeUnused removes the state of a name that no table has.
func (s *Server) removeUnused(n *mergedName) {
	if len(n.entries) == 0 && s.membersByName[n.name] == nil {
		delete(s.names, n.name)
	}
}
