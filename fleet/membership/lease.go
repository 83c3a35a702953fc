package membership

import (
	"fmt"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// lease is a front end that is attached here.
type lease struct {
	name        string
	zone        string
	incarnation uint64
	first       monotime.Micros // when it answered its first challenge here
	greeted     monotime.Micros // when it answered its newest
	heard       monotime.Micros
	leaving     bool
	links       []Link
	past        []uint64 // the last few earlier processes of its name

	state   State
	doubt   monotime.Micros // until when it is Suspect though it is silent for longer; 0 without doubt
	ended   monotime.Micros // since when it is Dead or has Left
	touched bool            // is in Server.dirty
	waits   bool            // a change is put off by the bounded rate
	changes monotime.Micros // state of the bounded rate of its changes

	snapshots monotime.Micros // state of the bounded bytes of snapshots to its name
	reader    reader
}

// mostLinks bounds the links of one process; more are closed, the oldest first.
const mostLinks = 3

// hear notes a sign of life over a link, and decides between the processes of a name: no two of one name live at once, and one
// that answered a challenge lived after that was made, so the one with the later challenge is the later one.
func (s *Server) hear(l Link) (*lease, error) {
	if s.byName[l.From] != nil || !goodName(l.From) || len(l.Zone) > longestName || l.Incarnation == 0 {
		s.Counters.NameMismatches++
		return nil, fmt.Errorf("%w: %q may not attach", ErrNameMismatch, l.From)
	}
	if s.past.contains(l.Incarnation) {
		s.Counters.LateOfSuperseded++
		return nil, ErrSuperseded
	}
	old := s.lessees[l.From]
	switch {
	case old == nil:
		if len(s.leases) >= s.cfg.MaxEntries {
			s.Counters.Oversized++
			return nil, ErrTooManyEntries
		}
		old = &lease{name: l.From}
		at, _ := slices.BinarySearchFunc(s.leases, l.From, func(l *lease, name string) int { return strings.Compare(l.name, name) })
		s.leases = slices.Insert(s.leases, at, old)
		s.lessees[l.From] = old
	case old.incarnation == l.Incarnation:
		old.greeted = max(old.greeted, l.ChallengedAt)
		return s.heardNow(old, l), nil
	case l.ChallengedAt <= old.greeted:
		s.Counters.LateOfSuperseded++
		return nil, ErrSuperseded
	default:
		s.replace(old)
	}
	old.zone, old.incarnation, old.first, old.greeted = l.Zone, l.Incarnation, l.ChallengedAt, l.ChallengedAt
	old.leaving, old.doubt, old.reader = false, 0, reader{}
	s.leaseTouched(old)
	return s.heardNow(old, l), nil
}

// replace ends a lease's process: its name has come back with another.
func (s *Server) replace(old *lease) {
	s.Counters.Superseded++
	s.past.add(old.incarnation)
	old.past = append(old.past, old.incarnation)
	if len(old.past) > toldPast {
		old.past = slices.Clone(old.past[1:])
	}
	s.closing = append(s.closing, old.links...)
	old.links = nil
}

func (s *Server) heardNow(l *lease, link Link) *lease {
	l.heard, l.doubt = s.now, 0
	if !slices.Contains(l.links, link) {
		l.links = append(l.links, link)
	}
	if len(l.links) > mostLinks {
		s.closing = append(s.closing, l.links[0])
		l.links = slices.Clone(l.links[1:])
	}
	s.become(l, Alive)
	return l
}

func (s *Server) leaseTouched(l *lease) {
	if !l.touched {
		l.touched = true
		s.dirty = append(s.dirty, l)
	}
}

// LinkOpened says that an attached front end has proven itself over a new link.
func (s *Server) LinkOpened(now monotime.Micros, l Link) {
	s.pass(now)
	if _, err := s.hear(l); err != nil {
		s.closing = append(s.closing, l)
	}
}

// LinkClosed says that such a link is closed. The lease goes on: a broken link alone is no death.
func (s *Server) LinkClosed(now monotime.Micros, l Link) {
	s.pass(now)
	held := s.lessees[l.From]
	if held == nil || held.incarnation != l.Incarnation {
		return
	}
	held.links = slices.DeleteFunc(held.links, func(o Link) bool { return o == l })
	if len(held.links) == 0 {
		held.reader.live = false
	}
}

// expireLeases ends the leases of those that are silent.
func (s *Server) expireLeases() {
	ending, lost, held := s.silent()
	if len(ending) > 0 && lost > max(3, held/3) {
		s.doubtItself()
		ending, _, _ = s.silent()
	}
	for _, l := range ending {
		s.Counters.Expired++
		s.become(l, Dead)
	}
	s.forgetLeases()
}

// silent scans the leases: those whose span is over, how many are lost at present, and how many are held.
func (s *Server) silent() (ending []*lease, lost, held int) {
	for _, l := range s.leases {
		silence := s.now - l.heard
		switch {
		case l.state == Dead || l.state == Left:
			continue
		case silence < s.cfg.SuspectAfter:
			s.become(l, Alive)
		case l.leaving:
			s.become(l, Left)
			continue
		default:
			s.become(l, Suspect)
			lost++
			if silence >= s.cfg.DeadAfter && s.now >= l.doubt {
				ending = append(ending, l)
			}
		}
		held++
	}
	return ending, lost, held
}

// doubtItself is what a home does that loses many at once: it is more likely cut off than all of them dead. They are Suspect for
// longer, in which they can attach elsewhere.
func (s *Server) doubtItself() {
	any := false
	for _, l := range s.leases {
		if l.state == Suspect && l.doubt == 0 {
			l.doubt, any = l.heard+s.cfg.DeadAfter+doubtSpan, true
		}
	}
	if any && s.now >= s.doubted {
		s.Counters.SelfSuspicions++
		s.doubted = s.now + doubtSpan
	}
}

func (s *Server) become(l *lease, state State) {
	if l.state == state {
		return
	}
	l.state = state
	if state == Dead || state == Left {
		l.ended = s.now
	}
	s.leaseTouched(l)
}

// forgetLeases drops those that ended long ago.
func (s *Server) forgetLeases() {
	s.leases = slices.DeleteFunc(s.leases, func(l *lease) bool {
		if l.state != Dead && l.state != Left || s.now-l.ended < keepSpan || l.touched {
			return false
		}
		delete(s.lessees, l.name)
		s.forgotten = append(s.forgotten, l.name)
		return true
	})
}
