package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

// reinstateSpan is for how long a process must be alive beside a later one of its name that is dead before it is shown instead.
const reinstateSpan monotime.Micros = 10_000_000

// recompareSpan is for how long after a change two processes of one name are compared again with each batch: the estimate of another
// member's clock gets better with each message.
const recompareSpan monotime.Micros = 5_000_000

// awaitSpan is for how long the table of a control member that has come back is awaited before others' word that a front end is dead
// counts without it: longer than it takes, and so short that one which never tells does not hold up deaths for long.
const awaitSpan monotime.Micros = 3_000_000

// nameState is all that is known of one name: the rows of all homes' tables.
type nameState struct {
	name           string
	rows           []*row          // by home and epoch
	touched        bool            // is in Server.merge
	watched        bool            // is in Server.watch
	doubted        monotime.Micros // since when the later process is dead and another alive; 0 where that is not so
	held           bool            // it is Dead by the tables that are here, and another is awaited
	contested      bool            // there are two processes that may each be the later
	recompareUntil monotime.Micros // until when they are compared again
	waits          bool            // a change is put off by the bounded rate
	changes        monotime.Micros // state of the bounded rate of its changes
}

func (s *Server) nameState(name string) *nameState {
	n := s.names[name]
	if n == nil {
		n = &nameState{name: name}
		s.names[name] = n
	}
	return n
}

// swap takes one row for another; either may be nil.
func (n *nameState) swap(old, kept *row) {
	if old != nil {
		n.rows = slices.DeleteFunc(n.rows, func(r *row) bool { return r == old })
	}
	if kept == nil {
		return
	}
	at, _ := slices.BinarySearchFunc(n.rows, kept, func(a, b *row) int {
		return cmp.Or(cmp.Compare(a.table.home, b.table.home), cmp.Compare(a.table.epoch, b.table.epoch))
	})
	n.rows = slices.Insert(n.rows, at, kept)
}

func (s *Server) touched(n *nameState) {
	if !n.touched {
		n.touched = true
		s.merge = append(s.merge, n)
	}
}

func (s *Server) touchedAll(t *table) {
	for _, name := range t.names() {
		s.touched(s.nameState(name))
	}
}

// evidence is the state that a row speaks for now.
func (r *row) evidence() State {
	switch {
	case r.table.present || r.state == Dead || r.state == Left:
		return r.state
	case r.table.lapsed:
		return Dead
	}
	return Suspect
}

// strength orders evidence: alive at any home is alive, and dead is only who is so at all.
func (s State) strength() int { return [...]int{Alive: 3, Left: 2, Suspect: 1, Dead: 0}[s] }

// process is one process of a name, merged over its rows.
type process struct {
	incarnation uint64
	challenged  monotime.Micros // the latest
	best        *row            // with the strongest evidence
	past        bool
}

// outranks says whether a row speaks more for its process than another: by evidence, then whether its home serves it, then by name.
func (r *row) outranks(other *row) bool {
	switch a, b := r.evidence().strength(), other.evidence().strength(); {
	case a != b:
		return a > b
	case r.table.present != other.table.present:
		return r.table.present
	case r.serves != other.serves:
		return r.serves
	}
	return false
}

// superseded says whether a home that is there tells of the end of a lease after this row's home, which is gone, was last heard. A
// lease that ended before says nothing: that process may have moved to this row's home, and may be moving now.
func (r *row) superseded(rows []*row) bool {
	return r.evidence() == Suspect && r.table.silent && slices.ContainsFunc(rows, func(o *row) bool {
		return o.incarnation == r.incarnation && o.table.present && o.state == Dead && o.ended > r.table.heard
	})
}

// processes are those of a name that its rows tell of. Rows are by home, so that the first of equals stays.
func (s *Server) processes(n *nameState) (list []process) {
	for _, r := range n.rows {
		at := slices.IndexFunc(list, func(o process) bool { return o.incarnation == r.incarnation })
		if at < 0 {
			list = append(list, process{r.incarnation, r.answered(), r, s.past.contains(r.incarnation)})
			continue
		}
		o := &list[at]
		o.challenged = max(o.challenged, r.answered())
		if o.best.superseded(n.rows) || r.outranks(o.best) && !r.superseded(n.rows) {
			o.best = r
		}
	}
	return list
}

// later orders two processes of one name: by what a home has seen of both, else by when they were challenged, then by number.
func (o *process) later(other *process) bool {
	if o.past != other.past {
		return other.past
	}
	return cmp.Or(cmp.Compare(o.challenged, other.challenged), cmp.Compare(o.incarnation, other.incarnation)) > 0
}

// choose is the process to be shown. The order is an estimate where no home has seen both, so that one which stays alive beside a
// dead later one wins in the end.
func (s *Server) choose(n *nameState) process {
	list := s.processes(n)
	newest := 0
	for i := range list {
		if list[i].later(&list[newest]) {
			newest = i
		}
	}
	alive := -1
	for i := range list {
		if !list[i].past && list[i].best.evidence() == Alive && (alive < 0 || list[i].later(&list[alive])) {
			alive = i
		}
	}
	n.contested = slices.ContainsFunc(list, func(o process) bool { return o != list[newest] && !o.past })
	state := list[newest].best.evidence()
	if alive < 0 || alive == newest || state != Dead && state != Left {
		n.doubted = 0
		return list[newest]
	}
	if n.doubted == 0 {
		n.doubted = s.now
	}
	if s.now-n.doubted >= reinstateSpan {
		return list[alive]
	}
	return list[newest]
}

// entry is how a name is to be shown; ok is false for one that is not.
func (s *Server) entry(n *nameState) (e change, ok bool) {
	if c := s.byName[n.name]; c != nil {
		e.Entry = Entry{Name: c.Name, Zone: c.Zone, Role: Control, Incarnation: c.Incarnation, State: c.State, Home: c.Name}
		e.challenged = c.ChallengedAt
		return e, c.Incarnation != 0
	}
	if len(n.rows) == 0 {
		return e, false
	}
	chosen := s.choose(n)
	r := chosen.best
	e.Entry = Entry{Name: r.name, Zone: r.zone, Role: Attached, Incarnation: r.incarnation, State: r.evidence(), Home: r.table.home}
	e.challenged = cmp.Or(chosen.challenged, -1)
	n.held = e.State == Dead && !s.complete && !s.shownDead(&e.Entry)
	if n.held {
		e.State = Suspect
	}
	return e, true
}

// shownDead says whether the view already shows that process as Dead.
func (s *Server) shownDead(e *Entry) bool {
	old := s.view.byName[e.Name]
	return old != nil && old.Incarnation == e.Incarnation && old.State == Dead
}

// tablesHere says whether the tables of all control members that are there have come, as far as they were told of. One that was
// not heard yet may be there as long as this process has only just begun.
func (s *Server) tablesHere() bool {
	return !slices.ContainsFunc(s.controls, func(c *controlState) bool {
		switch {
		case c == s.self:
			return false
		case c.Incarnation == 0:
			return s.now-s.self.since < awaitSpan
		case c.State != Alive || s.now-c.since >= awaitSpan:
			return false
		}
		t := c.table(c.Incarnation)
		return t == nil || !t.here
	})
}

// mergeAll gives the changes of the view, by name, as far as the bounded rate of each name allows.
func (s *Server) mergeAll() (changes []change) {
	s.complete = s.tablesHere()
	s.watch = slices.DeleteFunc(s.watch, func(n *nameState) bool {
		s.touched(n)
		n.watched = s.watches(n)
		return !n.watched
	})
	slices.SortFunc(s.merge, func(a, b *nameState) int { return cmp.Compare(a.name, b.name) })
	var later []*nameState
	room := s.mostAttached - s.attached
	for _, n := range s.merge {
		n.touched = false
		c, differs := s.difference(n, room)
		if !n.watched && s.watches(n) {
			n.watched = true
			s.watch = append(s.watch, n)
		}
		switch {
		case !differs:
			n.waits = false
			s.forget(n)
		case !changeRate.allow(s.now, &n.changes):
			if !n.waits {
				n.waits = true
				s.Counters.Damped++
			}
			n.touched = true
			later = append(later, n)
		default:
			n.waits = false
			changes = append(changes, c)
			if s.byName[n.name] == nil {
				room -= s.view.lenAfter(changes[len(changes)-1:]) - s.view.Len()
			}
			s.forget(n)
		}
	}
	s.merge = later
	s.attached = s.mostAttached - room
	return changes
}

// watches says whether a name is to be merged again without a change of its rows.
func (s *Server) watches(n *nameState) bool {
	return n.doubted != 0 || n.held || n.contested && s.now < n.recompareUntil
}

// difference is what the view lacks of a name, where it has room for so many more.
func (s *Server) difference(n *nameState, room int) (c change, differs bool) {
	e, shown := s.entry(n)
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

// forget drops a name that no table has.
func (s *Server) forget(n *nameState) {
	if len(n.rows) == 0 && s.byName[n.name] == nil {
		delete(s.names, n.name)
	}
}
