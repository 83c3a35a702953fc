package attach

import (
	"cmp"
	"slices"
)

// stubborn is for how long a process must be alive beside a later one of its name that is dead before it is shown instead.
const stubborn Micros = 10_000_000

// settling is for how long after a change two processes of one name are compared again with each batch: the estimate of another
// member's clock gets better with each message.
const settling Micros = 5_000_000

// awaitSpan is for how long the table of a control member that has come back is awaited before others' word that a front end is dead
// counts without it: longer than it takes, and so short that one which never tells does not hold up deaths for long.
const awaitSpan Micros = 3_000_000

// person is all that is known of one name: the rows of all homes' tables.
type person struct {
	name    string
	rows    []*row // by home and epoch
	touched bool   // is in Server.merge
	watched bool   // is in Server.watch
	doubted Micros // since when the later process is dead and another alive; 0 where that is not so
	held    bool   // it is Dead by the tables that are here, and another is awaited
	rivals  bool   // there are two processes that may each be the later
	settles Micros // until when they are compared again
	waits   bool   // a change is put off by the bounded rate
	changes Micros // state of the bounded rate of its changes
}

func (s *Server) person(name string) *person {
	p := s.people[name]
	if p == nil {
		p = &person{name: name}
		s.people[name] = p
	}
	return p
}

// swap takes one row for another; either may be nil.
func (p *person) swap(old, kept *row) {
	if old != nil {
		p.rows = slices.DeleteFunc(p.rows, func(r *row) bool { return r == old })
	}
	if kept == nil {
		return
	}
	at, _ := slices.BinarySearchFunc(p.rows, kept, func(a, b *row) int {
		return cmp.Or(cmp.Compare(a.table.home, b.table.home), cmp.Compare(a.table.epoch, b.table.epoch))
	})
	p.rows = slices.Insert(p.rows, at, kept)
}

func (s *Server) touched(p *person) {
	if !p.touched {
		p.touched = true
		s.merge = append(s.merge, p)
	}
}

func (s *Server) touchedAll(t *table) {
	for _, name := range t.names() {
		s.touched(s.person(name))
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
	challenged  Micros // the latest
	best        *row   // with the strongest evidence
	past        bool
}

// weighs says whether a row speaks more for its process than another: by evidence, then whether its home serves it, then by name.
func (r *row) weighs(other *row) bool {
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

// outweighed says whether a home that is there tells of the end of a lease after this row's home, which is gone, was last heard. A
// lease that ended before says nothing: that process may have moved to this row's home, and may be moving now.
func (r *row) outweighed(rows []*row) bool {
	return r.evidence() == Suspect && r.table.silent && slices.ContainsFunc(rows, func(o *row) bool {
		return o.incarnation == r.incarnation && o.table.present && o.state == Dead && o.ended > r.table.heard
	})
}

// processes are those of a name that its rows tell of. Rows are by home, so that the first of equals stays.
func (s *Server) processes(p *person) (list []process) {
	for _, r := range p.rows {
		at := slices.IndexFunc(list, func(o process) bool { return o.incarnation == r.incarnation })
		if at < 0 {
			list = append(list, process{r.incarnation, r.answered(), r, s.past.contains(r.incarnation)})
			continue
		}
		o := &list[at]
		o.challenged = max(o.challenged, r.answered())
		if o.best.outweighed(p.rows) || r.weighs(o.best) && !r.outweighed(p.rows) {
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
func (s *Server) choose(p *person) process {
	list := s.processes(p)
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
	p.rivals = slices.ContainsFunc(list, func(o process) bool { return o != list[newest] && !o.past })
	state := list[newest].best.evidence()
	if alive < 0 || alive == newest || state != Dead && state != Left {
		p.doubted = 0
		return list[newest]
	}
	if p.doubted == 0 {
		p.doubted = s.now
	}
	if s.now-p.doubted >= stubborn {
		return list[alive]
	}
	return list[newest]
}

// entry is how a person is to be shown; ok is false for one that is not.
func (s *Server) entry(p *person) (e change, ok bool) {
	if c := s.byName[p.name]; c != nil {
		e.Entry = Entry{Name: c.Name, Zone: c.Zone, Role: Control, Incarnation: c.Incarnation, State: c.State, Home: c.Name}
		e.challenged = c.Challenged
		return e, c.Incarnation != 0
	}
	if len(p.rows) == 0 {
		return e, false
	}
	chosen := s.choose(p)
	r := chosen.best
	e.Entry = Entry{Name: r.name, Zone: r.zone, Role: Attached, Incarnation: r.incarnation, State: r.evidence(), Home: r.table.home}
	e.challenged = cmp.Or(chosen.challenged, -1)
	p.held = e.State == Dead && !s.complete && !s.shownDead(&e.Entry)
	if p.held {
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
	s.watch = slices.DeleteFunc(s.watch, func(p *person) bool {
		s.touched(p)
		p.watched = s.watches(p)
		return !p.watched
	})
	slices.SortFunc(s.merge, func(a, b *person) int { return cmp.Compare(a.name, b.name) })
	var later []*person
	room := s.mostAttached - s.attached
	for _, p := range s.merge {
		p.touched = false
		c, differs := s.difference(p, room)
		if !p.watched && s.watches(p) {
			p.watched = true
			s.watch = append(s.watch, p)
		}
		switch {
		case !differs:
			p.waits = false
			s.forget(p)
		case !changeRate.allow(s.now, &p.changes):
			if !p.waits {
				p.waits = true
				s.Counters.Damped++
			}
			p.touched = true
			later = append(later, p)
		default:
			p.waits = false
			changes = append(changes, c)
			if s.byName[p.name] == nil {
				room -= s.view.lenAfter(changes[len(changes)-1:]) - s.view.Len()
			}
			s.forget(p)
		}
	}
	s.merge = later
	s.attached = s.mostAttached - room
	return changes
}

// watches says whether a person is to be merged again without a change of its rows.
func (s *Server) watches(p *person) bool {
	return p.doubted != 0 || p.held || p.rivals && s.now < p.settles
}

// difference is what the view lacks of a person, where it has room for so many more.
func (s *Server) difference(p *person, room int) (c change, differs bool) {
	e, shown := s.entry(p)
	old := s.view.byName[p.name]
	switch {
	case !shown && old == nil:
		return c, false
	case !shown:
		return change{Entry: Entry{Name: p.name}, removed: true}, true
	case old != nil:
		return e, old.Entry != e.Entry
	case room <= 0 && e.Role == Attached:
		s.Counters.Oversized++
		return c, false
	}
	return e, true
}

// forget drops a person that no table has.
func (s *Server) forget(p *person) {
	if len(p.rows) == 0 && s.byName[p.name] == nil {
		delete(s.people, p.name)
	}
}
