package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

// reinstateDelay is for how long a process must be alive beside a later one of its name that is dead before it is shown instead.
const reinstateDelay monotime.Micros = 10_000_000

// recompareTimeout is for how long after a change two processes of one name are compared again with each batch: the estimate of another
// member's clock gets better with each message.
const recompareTimeout monotime.Micros = 5_000_000

// tableAwaitTimeout is for how long the table of a control member that has come back is awaited before others' word that a front end is dead
// counts without it: longer than it takes, and so short that one which never tells does not hold up deaths for long.
const tableAwaitTimeout monotime.Micros = 3_000_000

// mergedName is all that is known of one name: the rows of all homes' tables.
type mergedName struct {
	name           string
	entries        []*tableEntry   // by home and epoch
	dirty          bool            // is in Server.merge
	watched        bool            // is in Server.watch
	laterDeadSince monotime.Micros // since when the later process is dead and another alive; 0 where that is not so
	deathWithheld  bool            // it is Dead by the tables that are here, and another is awaited
	contested      bool            // there are two processes that may each be the later
	recompareUntil monotime.Micros // until when they are compared again
	damped         bool            // a change is put off by the bounded rate
	changeDue      monotime.Micros // state of the bounded rate of its changes
}

func (s *Server) mergedName(name string) *mergedName {
	n := s.names[name]
	if n == nil {
		n = &mergedName{name: name}
		s.names[name] = n
	}
	return n
}

// replaceEntry takes one row for another; either may be nil.
func (n *mergedName) replaceEntry(old, kept *tableEntry) {
	if old != nil {
		n.entries = slices.DeleteFunc(n.entries, func(r *tableEntry) bool { return r == old })
	}
	if kept == nil {
		return
	}
	at, _ := slices.BinarySearchFunc(n.entries, kept, func(a, b *tableEntry) int {
		return cmp.Or(cmp.Compare(a.table.home, b.table.home), cmp.Compare(a.table.epoch, b.table.epoch))
	})
	n.entries = slices.Insert(n.entries, at, kept)
}

func (s *Server) markNameDirty(n *mergedName) {
	if !n.dirty {
		n.dirty = true
		s.dirtyNames = append(s.dirtyNames, n)
	}
}

func (s *Server) markTableDirty(t *table) {
	for _, name := range t.sortedNames() {
		s.markNameDirty(s.mergedName(name))
	}
}

// currentState is the state that a row speaks for now.
func (r *tableEntry) currentState() State {
	switch {
	case r.table.homePresent || r.state == Dead || r.state == Left:
		return r.state
	case r.table.evidenceExpired:
		return Dead
	}
	return Suspect
}

// strength orders evidence: alive at any home is alive, and dead is only who is so at all.
func (s State) strength() int { return [...]int{Alive: 3, Left: 2, Suspect: 1, Dead: 0}[s] }

// process is one process of a name, merged over its rows.
type process struct {
	incarnation  uint64
	challengedAt monotime.Micros // the latest
	strongest    *tableEntry     // with the strongest evidence
	superseded   bool
}

// outranks says whether a row speaks more for its process than another: by evidence, then whether its home serves it, then by name.
func (r *tableEntry) outranks(other *tableEntry) bool {
	switch a, b := r.currentState().strength(), other.currentState().strength(); {
	case a != b:
		return a > b
	case r.table.homePresent != other.table.homePresent:
		return r.table.homePresent
	case r.servesView != other.servesView:
		return r.servesView
	}
	return false
}

// isOverruled says whether a home that is there tells of the end of a lease after this row's home, which is gone, was last heard. A
// lease that ended before says nothing: that process may have moved to this row's home, and may be moving now.
func (r *tableEntry) isOverruled(rows []*tableEntry) bool {
	return r.currentState() == Suspect && r.table.homeUnresponsive && slices.ContainsFunc(rows, func(o *tableEntry) bool {
		return o.incarnation == r.incarnation && o.table.homePresent && o.state == Dead && o.deadSince > r.table.homeLastAlive
	})
}

// processes are those of a name that its rows tell of. Rows are by home, so that the first of equals stays.
func (s *Server) processes(n *mergedName) (list []process) {
	for _, r := range n.entries {
		at := slices.IndexFunc(list, func(o process) bool { return o.incarnation == r.incarnation })
		if at < 0 {
			list = append(list, process{r.incarnation, r.localChallengedAt(), r, s.superseded.contains(r.incarnation)})
			continue
		}
		o := &list[at]
		o.challengedAt = max(o.challengedAt, r.localChallengedAt())
		if o.strongest.isOverruled(n.entries) || r.outranks(o.strongest) && !r.isOverruled(n.entries) {
			o.strongest = r
		}
	}
	return list
}

// isLaterThan orders two processes of one name: by what a home has seen of both, else by when they were challenged, then by number.
func (o *process) isLaterThan(other *process) bool {
	if o.superseded != other.superseded {
		return other.superseded
	}
	return cmp.Or(cmp.Compare(o.challengedAt, other.challengedAt), cmp.Compare(o.incarnation, other.incarnation)) > 0
}

// chooseProcess is the process to be shown. The order is an estimate where no home has seen both, so that one which stays alive beside a
// dead later one wins in the end.
func (s *Server) chooseProcess(n *mergedName) process {
	list := s.processes(n)
	newest := 0
	for i := range list {
		if list[i].isLaterThan(&list[newest]) {
			newest = i
		}
	}
	alive := -1
	for i := range list {
		if !list[i].superseded && list[i].strongest.currentState() == Alive && (alive < 0 || list[i].isLaterThan(&list[alive])) {
			alive = i
		}
	}
	n.contested = slices.ContainsFunc(list, func(o process) bool { return o != list[newest] && !o.superseded })
	state := list[newest].strongest.currentState()
	if alive < 0 || alive == newest || state != Dead && state != Left {
		n.laterDeadSince = 0
		return list[newest]
	}
	if n.laterDeadSince == 0 {
		n.laterDeadSince = s.now
	}
	if s.now-n.laterDeadSince >= reinstateDelay {
		return list[alive]
	}
	return list[newest]
}

// mergedEntry is how a name is to be shown; ok is false for one that is not.
func (s *Server) mergedEntry(n *mergedName) (e change, ok bool) {
	if c := s.membersByName[n.name]; c != nil {
		e.Entry = Entry{Name: c.Name, Zone: c.Zone, Role: Control, Incarnation: c.Incarnation, State: c.State, Home: c.Name}
		e.challengedAt = c.ChallengedAt
		return e, c.Incarnation != 0
	}
	if len(n.entries) == 0 {
		return e, false
	}
	chosen := s.chooseProcess(n)
	r := chosen.strongest
	e.Entry = Entry{Name: r.name, Zone: r.zone, Role: Attached, Incarnation: r.incarnation, State: r.currentState(), Home: r.table.home}
	e.challengedAt = cmp.Or(chosen.challengedAt, -1)
	n.deathWithheld = e.State == Dead && !s.tablesComplete && !s.isShownDead(&e.Entry)
	if n.deathWithheld {
		e.State = Suspect
	}
	return e, true
}

// isShownDead says whether the view already shows that process as Dead.
func (s *Server) isShownDead(e *Entry) bool {
	old := s.view.byName[e.Name]
	return old != nil && old.Incarnation == e.Incarnation && old.State == Dead
}

// allTablesReceived says whether the tables of all control members that are there have come, as far as they were told of. One that was
// not heard yet may be there as long as this process has only just begun.
func (s *Server) allTablesReceived() bool {
	return !slices.ContainsFunc(s.members, func(c *memberState) bool {
		switch {
		case c == s.self:
			return false
		case c.Incarnation == 0:
			return s.now-s.self.presentSince < tableAwaitTimeout
		case c.State != Alive || s.now-c.presentSince >= tableAwaitTimeout:
			return false
		}
		t := c.table(c.Incarnation)
		return t == nil || !t.upToDate
	})
}

// mergeDirtyNames gives the changes of the view, by name, as far as the bounded rate of each name allows.
func (s *Server) mergeDirtyNames() (changes []change) {
	s.tablesComplete = s.allTablesReceived()
	s.watchedNames = slices.DeleteFunc(s.watchedNames, func(n *mergedName) bool {
		s.markNameDirty(n)
		n.watched = s.needsRecheck(n)
		return !n.watched
	})
	slices.SortFunc(s.dirtyNames, func(a, b *mergedName) int { return cmp.Compare(a.name, b.name) })
	var later []*mergedName
	room := s.maxAttached - s.attachedCount
	for _, n := range s.dirtyNames {
		n.dirty = false
		c, differs := s.viewChange(n, room)
		if !n.watched && s.needsRecheck(n) {
			n.watched = true
			s.watchedNames = append(s.watchedNames, n)
		}
		switch {
		case !differs:
			n.damped = false
			s.removeUnused(n)
		case !changeRateLimit.allow(s.now, &n.changeDue):
			if !n.damped {
				n.damped = true
				s.Counters.Damped++
			}
			n.dirty = true
			later = append(later, n)
		default:
			n.damped = false
			changes = append(changes, c)
			if s.membersByName[n.name] == nil {
				room -= s.view.lenAfter(changes[len(changes)-1:]) - s.view.Len()
			}
			s.removeUnused(n)
		}
	}
	s.dirtyNames = later
	s.attachedCount = s.maxAttached - room
	return changes
}

// needsRecheck says whether a name is to be merged again without a change of its rows.
func (s *Server) needsRecheck(n *mergedName) bool {
	return n.laterDeadSince != 0 || n.deathWithheld || n.contested && s.now < n.recompareUntil
}

// viewChange is what the view lacks of a name, where it has room for so many more.
func (s *Server) viewChange(n *mergedName, room int) (c change, differs bool) {
	e, shown := s.mergedEntry(n)
	old := s.view.byName[n.name]
	switch {
	case !shown && old == nil:
		return c, false
	case !shown:
		return change{Entry: Entry{Name: n.name}, removed: true}, true
	case old != nil:
		return e, old.Entry != e.Entry
	case room <= 0 && e.Role == Attached:
		s.Counters.Oversized++
		return c, false
	}
	return e, true
}

// removeUnused drops a name that no table has.
func (s *Server) removeUnused(n *mergedName) {
	if len(n.entries) == 0 && s.membersByName[n.name] == nil {
		delete(s.names, n.name)
	}
}
