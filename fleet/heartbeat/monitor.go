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

import (
	"slices"

	"chutechute/internal/monotime"
)

// State is how a front end is seen.
type State int

// The states.
const (
	NeverSeen       State = iota // never heard since this process began
	Alive                        // heard here of late
	IndirectlyAlive              // not heard here, but elsewhere
	Suspect                      // heard nowhere for a while
	Dead                         // heard nowhere for long
	Left                         // it said that it leaves, and was not heard since
)

func (s State) String() string {
	return [...]string{"unseen", "alive", "cut", "suspect", "dead", "left"}[s]
}

// Config sets the spans.
type Config struct {
	SuspectAfter monotime.Micros // of silence
	DeadAfter    monotime.Micros // of silence everywhere
	// PauseThreshold is a gap between two ticks above which this process was stopped: what it has not heard meanwhile says nothing.
	PauseThreshold monotime.Micros
}

// Report is how long ago a front end heard another.
type Report struct {
	Name        string
	Incarnation uint64
	Age         monotime.Micros
}

// Peer is another front end.
type Peer struct {
	Name         string
	Zone         string
	Incarnation  uint64 // the last that was heard; 0: none was
	State        State
	ChallengedAt monotime.Micros // when the first link of this incarnation was challenged here

	lastHeard     monotime.Micros // here
	challenged    monotime.Micros // when the newest link of this incarnation was challenged
	lastElsewhere monotime.Micros // when it was last heard elsewhere, by what others say
	leaving       bool
	past          []uint64 // earlier incarnations: they never come again
}

// mostPast bounds the earlier incarnations that are remembered of one name.
const mostPast = 64

// Monitor is the fleet's other front ends.
type Monitor struct {
	cfg    Config
	list   []*Peer // by name
	byName map[string]*Peer
	now    monotime.Micros
}

// NewMonitor begins with those that the settings name; zones by name.
func NewMonitor(cfg Config, zones map[string]string) *Monitor {
	s := &Monitor{cfg: cfg, byName: map[string]*Peer{}}
	for name, zone := range zones {
		m := &Peer{Name: name, Zone: zone}
		s.list = append(s.list, m)
		s.byName[name] = m
	}
	slices.SortFunc(s.list, func(a, b *Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return s
}

// Observe takes a heartbeat that came over a link whose challenge was made here at the time greeted. It is false for one of an
// incarnation that is gone, which must not count.
func (s *Monitor) Observe(now monotime.Micros, name string, incarnation uint64, greeted monotime.Micros, leaving bool, reports []Report) bool {
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
		m.Incarnation, m.lastElsewhere, m.ChallengedAt = incarnation, 0, greeted
	}
	m.ChallengedAt = min(m.ChallengedAt, greeted)
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
func (s *Monitor) pass(now monotime.Micros) {
	if gap := now - s.now; s.now != 0 && gap > s.cfg.PauseThreshold {
		for _, m := range s.list {
			if m.Incarnation != 0 {
				m.lastHeard, m.lastElsewhere = m.lastHeard+gap, m.lastElsewhere+gap
			}
		}
	}
	s.now = now
}

// Tick lets time pass, and gives those whose state has changed.
func (s *Monitor) Tick(now monotime.Micros) (changed []*Peer) {
	s.pass(now)
	for _, m := range s.list {
		if state := s.state(m); state != m.State {
			m.State = state
			changed = append(changed, m)
		}
	}
	return changed
}

func (s *Monitor) state(m *Peer) State {
	here, anywhere := s.now-m.lastHeard, s.now-max(m.lastHeard, m.lastElsewhere)
	switch {
	case m.Incarnation == 0:
		return NeverSeen
	case here < s.cfg.SuspectAfter:
		return Alive
	case m.leaving && anywhere >= s.cfg.SuspectAfter:
		return Left
	case anywhere < s.cfg.SuspectAfter:
		return IndirectlyAlive
	case anywhere < s.cfg.DeadAfter:
		return Suspect
	}
	return Dead
}

// Reports is what this front end tells the others of whom it hears.
func (s *Monitor) Reports() (list []Report) {
	for _, m := range s.list {
		if m.Incarnation != 0 {
			list = append(list, Report{m.Name, m.Incarnation, s.now - m.lastHeard})
		}
	}
	return list
}

// Peers is all others, by name.
func (s *Monitor) Peers() []*Peer { return s.list }

// Lookup is one other; nil for a name that is not of the fleet.
func (s *Monitor) Lookup(name string) *Peer { return s.byName[name] }

// PresumedDead says whether a process is held for no more: its name has another, it has left, or it is heard nowhere for long.
func (s *Monitor) PresumedDead(incarnation uint64) bool {
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

// Superseded says whether a process is no more for certain: its name has come back with a later one.
func (s *Monitor) Superseded(incarnation uint64) bool {
	return slices.ContainsFunc(s.list, func(m *Peer) bool { return slices.Contains(m.past, incarnation) })
}

// Unreachable says whether a process is heard nowhere now. One that nobody knows of is, once all names have another.
func (s *Monitor) Unreachable(incarnation uint64) bool {
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
