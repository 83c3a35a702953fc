// Package member says which front ends of a fleet are there, as this one sees it. Its view steers: whom to ask, whom to
// replace, when to look after a load. Nothing is ever made safe by it alone, since silence is not death: a front end that is
// held for dead may be stopped, cut off one way, or only slow.
//
// Each front end tells all others, in each heartbeat, how long ago it heard each of the rest. So who is not heard here and is
// heard elsewhere is cut off and not dead, without a question; and one heartbeat that comes through anywhere refutes a
// suspicion everywhere. One thing is certain: an incarnation whose name has come back with another is gone. Which of two came
// later does not follow from the order of their messages, as those of a dead process may still be on their way. It follows
// from the links: a process that answered a challenge lived after that was made here, and no two of one name live at once, so
// the one whose challenge was made later is the later one.
//
// It is a stepped module without I/O, clock, goroutines or map order.
package heartbeat

import "slices"

// Micros is a time or a span in microseconds of this machine's clock.
type Micros = int64

// State is how a front end is seen.
type State int

// The states.
const (
	Unseen  State = iota // never heard since this process began
	Alive                // heard here of late
	Cut                  // not heard here, but elsewhere
	Suspect              // heard nowhere for a while
	Dead                 // heard nowhere for long
	Left                 // it said that it leaves, and was not heard since
)

func (s State) String() string {
	return [...]string{"unseen", "alive", "cut", "suspect", "dead", "left"}[s]
}

// Config sets the spans.
type Config struct {
	Suspect Micros // of silence
	Dead    Micros // of silence everywhere
	// Pause is a gap between two ticks above which this process was stopped: what it has not heard meanwhile says nothing.
	Pause Micros
}

// Report is how long ago a front end heard another.
type Report struct {
	Name        string
	Incarnation uint64
	Age         Micros
}

// Member is another front end.
type Member struct {
	Name        string
	Zone        string
	Incarnation uint64 // the last that was heard; 0: none was
	State       State
	Greeted     Micros // when the first link of this incarnation was challenged here

	lastHeard     Micros // here
	challenged    Micros // when the newest link of this incarnation was challenged
	lastElsewhere Micros // when it was last heard elsewhere, by what others say
	leaving       bool
	past          []uint64 // earlier incarnations: they never come again
}

// mostPast bounds the earlier incarnations that are remembered of one name.
const mostPast = 64

// Set is the fleet's other front ends.
type Set struct {
	cfg    Config
	list   []*Member // by name
	byName map[string]*Member
	now    Micros
}

// New begins with those that the settings name; zones by name.
func New(cfg Config, zones map[string]string) *Set {
	s := &Set{cfg: cfg, byName: map[string]*Member{}}
	for name, zone := range zones {
		m := &Member{Name: name, Zone: zone}
		s.list = append(s.list, m)
		s.byName[name] = m
	}
	slices.SortFunc(s.list, func(a, b *Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return s
}

// Heard takes a heartbeat that came over a link whose challenge was made here at the time greeted. It is false for one of an
// incarnation that is gone, which must not count.
func (s *Set) Heard(now Micros, name string, incarnation uint64, greeted Micros, leaving bool, reports []Report) bool {
	s.pass(now)
	m := s.byName[name]
	if m == nil || slices.Contains(m.past, incarnation) || m.Incarnation != incarnation && m.Incarnation != 0 && greeted <= m.challenged {
		return false
	}
	m.challenged = max(m.challenged, greeted)
	if m.Incarnation != incarnation {
		if m.Incarnation != 0 {
			m.past = append(m.past, m.Incarnation)
			if len(m.past) > mostPast {
				m.past = m.past[1:]
			}
		}
		m.Incarnation, m.lastElsewhere, m.Greeted = incarnation, 0, greeted
	}
	m.Greeted = min(m.Greeted, greeted)
	m.lastHeard, m.leaving = now, leaving
	for _, r := range reports {
		if o := s.byName[r.Name]; o != nil && o != m && o.Incarnation == r.Incarnation && r.Age >= 0 {
			o.lastElsewhere = max(o.lastElsewhere, now-r.Age)
		}
	}
	return true
}

// pass lets time pass. After a stop of this process it comes before anything that was heard since, which would else be moved into
// the future.
func (s *Set) pass(now Micros) {
	if gap := now - s.now; s.now != 0 && gap > s.cfg.Pause {
		for _, m := range s.list {
			if m.Incarnation != 0 {
				m.lastHeard, m.lastElsewhere = m.lastHeard+gap, m.lastElsewhere+gap
			}
		}
	}
	s.now = now
}

// Tick lets time pass, and gives those whose state has changed.
func (s *Set) Tick(now Micros) (changed []*Member) {
	s.pass(now)
	for _, m := range s.list {
		if state := s.state(m); state != m.State {
			m.State = state
			changed = append(changed, m)
		}
	}
	return changed
}

func (s *Set) state(m *Member) State {
	here, anywhere := s.now-m.lastHeard, s.now-max(m.lastHeard, m.lastElsewhere)
	switch {
	case m.Incarnation == 0:
		return Unseen
	case here < s.cfg.Suspect:
		return Alive
	case m.leaving && anywhere >= s.cfg.Suspect:
		return Left
	case anywhere < s.cfg.Suspect:
		return Cut
	case anywhere < s.cfg.Dead:
		return Suspect
	}
	return Dead
}

// Reports is what this front end tells the others of whom it hears.
func (s *Set) Reports() (list []Report) {
	for _, m := range s.list {
		if m.Incarnation != 0 {
			list = append(list, Report{m.Name, m.Incarnation, s.now - m.lastHeard})
		}
	}
	return list
}

// List is all others, by name.
func (s *Set) List() []*Member { return s.list }

// Of is one other; nil for a name that is not of the fleet.
func (s *Set) Of(name string) *Member { return s.byName[name] }

// Gone says whether a process is held for no more: its name has another, it has left, or it is heard nowhere for long.
func (s *Set) Gone(incarnation uint64) bool {
	for _, m := range s.list {
		if m.Incarnation == incarnation {
			return m.State == Dead || m.State == Left
		}
		if slices.Contains(m.past, incarnation) {
			return true
		}
	}
	return false
}

// Replaced says whether a process is no more for certain: its name has come back with a later one.
func (s *Set) Replaced(incarnation uint64) bool {
	return slices.ContainsFunc(s.list, func(m *Member) bool { return slices.Contains(m.past, incarnation) })
}

// Missing says whether a process is heard nowhere now. One that nobody knows of is, once all names have another.
func (s *Set) Missing(incarnation uint64) bool {
	all := true
	for _, m := range s.list {
		if m.Incarnation == incarnation {
			return m.State == Suspect || m.State == Dead || m.State == Left
		}
		if slices.Contains(m.past, incarnation) {
			return true
		}
		all = all && m.Incarnation != 0
	}
	return all
}
