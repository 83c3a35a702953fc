package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// recompareTimeout is how long after a change the processes of a contested name are compared again with each batch,
	// since the estimated offset to another control member's clock improves with each message.
	recompareTimeout = 5 * monotime.Second
	// tableAwaitTimeout is how long to wait for the table of a control member that has come back. Until it arrives,
	// other tables' reports that a front end is dead are withheld. The timeout is longer than the table normally
	// takes, but short enough that a control member that never sends its table does not delay reports of deaths for
	// long.
	tableAwaitTimeout = 3 * monotime.Second
)

// mergedName holds the entries of one name in all homes' tables, and the state of merging them into the view.
type mergedName struct {
	name           string
	entries        []*tableEntry   // sorted by home and epoch
	dirty          bool            // is in Server.dirtyNames
	watched        bool            // is in Server.watchedNames
	laterDeadSince monotime.Micros // since when the later process is Dead or Left and another is Alive; 0 otherwise
	deathWithheld  bool            // Dead by the received tables, but shown as Suspect while another table is awaited
	contested      bool            // an earlier process is not known to be superseded
	recompareUntil monotime.Micros // until when the processes of a contested name are compared again
	damping        damping         // limits the rate of its published changes
}

// mergedName returns the state of a name, creating it if necessary.
func (s *Server) mergedName(name string) *mergedName {
	n := s.names[name]
	if n == nil {
		n = &mergedName{name: name}
		s.names[name] = n
	}
	return n
}

// replaceEntry replaces an entry by another. Either may be nil, to add or remove an entry.
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

// markNameDirty schedules a name to be merged with the next batch.
func (s *Server) markNameDirty(n *mergedName) {
	if !n.dirty {
		n.dirty = true
		s.dirtyNames = append(s.dirtyNames, n)
	}
}

// markTableDirty schedules all names of a table to be merged with the next batch.
func (s *Server) markTableDirty(t *table) {
	for _, name := range t.sortedNames() {
		s.markNameDirty(s.mergedName(name))
	}
}

// mergedEntry returns the entry that the view should have for a name; ok is false if it should have none.
func (s *Server) mergedEntry(n *mergedName) (e change, ok bool) {
	if m := s.membersByName[n.name]; m != nil {
		return m.viewChange(), m.Incarnation != 0
	}
	if len(n.entries) == 0 {
		return e, false
	}
	chosen := s.chooseProcess(n)
	entry := chosen.bestEntry
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

// viewChange returns the entry that the view should have for a control member.
func (m *memberState) viewChange() change {
	e := Entry{Name: m.Name, Zone: m.Zone, Role: Control, Incarnation: m.Incarnation, State: m.State, Home: m.Name}
	return change{Entry: e, challengedAt: m.ChallengedAt}
}

// isShownDead reports whether the view already shows the entry's process as Dead.
func (s *Server) isShownDead(e *Entry) bool {
	old := s.view.byName[e.Name]
	return old != nil && old.Incarnation == e.Incarnation && old.State == Dead
}

// allTablesReceived reports whether no table of another control member is awaited.
func (s *Server) allTablesReceived() bool { return !s.hasOtherMember(s.isTableAwaited) }

// isTableAwaited reports whether the latest announced table of another control member has not been received yet and may
// still arrive in time. Shortly after this process has started, that includes control members that were never seen.
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

// mergeDirtyNames returns the changes that the dirty names make to the view, sorted by name. Names over their rate
// limit stay dirty.
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

// recheckWatchedNames marks all watched names dirty and stops watching those that no longer need it.
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

// needsRecheck reports whether a name must be merged again even if its entries do not change.
func (s *Server) needsRecheck(n *mergedName) bool {
	return n.laterDeadSince != 0 || n.deathWithheld || n.contested && s.now < n.recompareUntil
}

// viewChange returns the change that brings the view up to date for a name; differs is false if none is needed or the
// view is full. capacity is how many more attached front ends the view may have.
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

// removeUnused removes the state of a name that is in no table and is not a control member.
func (s *Server) removeUnused(n *mergedName) {
	if len(n.entries) == 0 && s.membersByName[n.name] == nil {
		delete(s.names, n.name)
	}
}
