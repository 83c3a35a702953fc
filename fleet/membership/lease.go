package membership

import (
	"fmt"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// lease is a front end that is attached here.
type lease struct {
	name              string
	zone              string
	incarnation       uint64
	firstChallengedAt monotime.Micros // when it answered its first challenge here
	lastChallengedAt  monotime.Micros // when it answered its newest
	lastSeen          monotime.Micros
	leaving           bool
	links             []Link
	superseded        []uint64 // the last few earlier processes of its name

	state        State
	suspectUntil monotime.Micros // until when it is Suspect though it is silent for longer; 0 without doubt
	endedAt      monotime.Micros // since when it is Dead or has Left
	dirty        bool            // is in Server.dirty
	damped       bool            // a change is put off by the bounded rate
	changeDue    monotime.Micros // state of the bounded rate of its changes

	snapshotDue  monotime.Micros // state of the bounded bytes of snapshots to its name
	subscription subscription
}

// maxLinksPerProcess bounds the links of one process; more are closed, the oldest first.
const maxLinksPerProcess = 3

// renewLease notes a sign of life over a link, and decides between the processes of a name: no two of one name live at once, and one
// that answered a challenge lived after that was made, so the one with the later challenge is the later one.
func (s *Server) renewLease(l Link) (*lease, error) {
	if s.membersByName[l.From] != nil || !isValidName(l.From) || len(l.Zone) > maxNameLength || l.Incarnation == 0 {
		s.Counters.NameMismatches++
		return nil, fmt.Errorf("%w: %q may not attach", ErrNameMismatch, l.From)
	}
	if s.superseded.contains(l.Incarnation) {
		s.Counters.LateOfSuperseded++
		return nil, ErrSuperseded
	}
	old := s.leasesByName[l.From]
	switch {
	case old == nil:
		if len(s.leases) >= s.cfg.MaxEntries {
			s.Counters.Oversized++
			return nil, ErrTooManyEntries
		}
		old = &lease{name: l.From}
		at, _ := slices.BinarySearchFunc(s.leases, l.From, func(l *lease, name string) int { return strings.Compare(l.name, name) })
		s.leases = slices.Insert(s.leases, at, old)
		s.leasesByName[l.From] = old
	case old.incarnation == l.Incarnation:
		old.lastChallengedAt = max(old.lastChallengedAt, l.ChallengedAt)
		return s.recordSeen(old, l), nil
	case l.ChallengedAt <= old.lastChallengedAt:
		s.Counters.LateOfSuperseded++
		return nil, ErrSuperseded
	default:
		s.supersede(old)
	}
	old.zone, old.incarnation, old.firstChallengedAt, old.lastChallengedAt = l.Zone, l.Incarnation, l.ChallengedAt, l.ChallengedAt
	old.leaving, old.suspectUntil, old.subscription = false, 0, subscription{}
	s.markLeaseDirty(old)
	return s.recordSeen(old, l), nil
}

// supersede ends a lease's process: its name has come back with another.
func (s *Server) supersede(old *lease) {
	s.Counters.Superseded++
	s.superseded.add(old.incarnation)
	old.superseded = append(old.superseded, old.incarnation)
	if len(old.superseded) > maxReportedSuperseded {
		old.superseded = slices.Clone(old.superseded[1:])
	}
	s.linksToClose = append(s.linksToClose, old.links...)
	old.links = nil
}

func (s *Server) recordSeen(l *lease, link Link) *lease {
	l.lastSeen, l.suspectUntil = s.now, 0
	if !slices.Contains(l.links, link) {
		l.links = append(l.links, link)
	}
	if len(l.links) > maxLinksPerProcess {
		s.linksToClose = append(s.linksToClose, l.links[0])
		l.links = slices.Clone(l.links[1:])
	}
	s.setLeaseState(l, Alive)
	return l
}

func (s *Server) markLeaseDirty(l *lease) {
	if !l.dirty {
		l.dirty = true
		s.dirtyLeases = append(s.dirtyLeases, l)
	}
}

// LinkOpened says that an attached front end has proven itself over a new link.
func (s *Server) LinkOpened(now monotime.Micros, l Link) {
	s.advanceClock(now)
	if _, err := s.renewLease(l); err != nil {
		s.linksToClose = append(s.linksToClose, l)
	}
}

// LinkClosed says that such a link is closed. The lease goes on: a broken link alone is no death.
func (s *Server) LinkClosed(now monotime.Micros, l Link) {
	s.advanceClock(now)
	held := s.leasesByName[l.From]
	if held == nil || held.incarnation != l.Incarnation {
		return
	}
	held.links = slices.DeleteFunc(held.links, func(o Link) bool { return o == l })
	if len(held.links) == 0 {
		held.subscription.streaming = false
	}
}

// expireLeases ends the leases of those that are silent.
func (s *Server) expireLeases() {
	ending, lost, held := s.scanLeases()
	if len(ending) > 0 && lost > max(3, held/3) {
		s.suspectSelf()
		ending, _, _ = s.scanLeases()
	}
	for _, l := range ending {
		s.Counters.Expired++
		s.setLeaseState(l, Dead)
	}
	s.removeEndedLeases()
}

// scanLeases scans the leases: those whose span is over, how many are lost at present, and how many are held.
func (s *Server) scanLeases() (ending []*lease, lost, held int) {
	for _, l := range s.leases {
		silence := s.now - l.lastSeen
		switch {
		case l.state == Dead || l.state == Left:
			continue
		case silence < s.cfg.SuspectAfter:
			s.setLeaseState(l, Alive)
		case l.leaving:
			s.setLeaseState(l, Left)
			continue
		default:
			s.setLeaseState(l, Suspect)
			lost++
			if silence >= s.cfg.DeadAfter && s.now >= l.suspectUntil {
				ending = append(ending, l)
			}
		}
		held++
	}
	return ending, lost, held
}

// suspectSelf is what a home does that loses many at once: it is more likely cut off than all of them dead. They are Suspect for
// longer, in which they can attach elsewhere.
func (s *Server) suspectSelf() {
	any := false
	for _, l := range s.leases {
		if l.state == Suspect && l.suspectUntil == 0 {
			l.suspectUntil, any = l.lastSeen+s.cfg.DeadAfter+selfSuspicionTimeout, true
		}
	}
	if any && s.now >= s.selfSuspicionUntil {
		s.Counters.SelfSuspicions++
		s.selfSuspicionUntil = s.now + selfSuspicionTimeout
	}
}

func (s *Server) setLeaseState(l *lease, state State) {
	if l.state == state {
		return
	}
	l.state = state
	if state == Dead || state == Left {
		l.endedAt = s.now
	}
	s.markLeaseDirty(l)
}

// removeEndedLeases drops those that ended long ago.
func (s *Server) removeEndedLeases() {
	s.leases = slices.DeleteFunc(s.leases, func(l *lease) bool {
		if l.state != Dead && l.state != Left || s.now-l.endedAt < retentionTime || l.dirty {
			return false
		}
		delete(s.leasesByName, l.name)
		s.removedNames = append(s.removedNames, l.name)
		return true
	})
}
