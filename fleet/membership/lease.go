package membership

import (
	"fmt"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// lease is the lease of a front end that is attached here.
type lease struct {
	name              string
	zone              string
	incarnation       uint64
	firstChallengedAt monotime.Micros // when its process answered its first challenge here
	lastChallengedAt  monotime.Micros // when its process answered its newest challenge here
	lastSeen          monotime.Micros
	leaving           bool
	links             []Link
	superseded        []uint64 // the last few earlier processes of its name

	state        State
	suspectUntil monotime.Micros // until when it stays Suspect because of self-suspicion; 0 without one
	endedAt      monotime.Micros // when it became Dead or Left
	dirty        bool            // is in Server.dirtyLeases
	damping      damping         // of its changes

	snapshotDue  monotime.Micros // state of snapshotRateLimit
	subscription subscription
}

// maxLinksPerProcess bounds the links of one process; further ones close the oldest.
const maxLinksPerProcess = 3

// renewLease records a sign of life over a link, and decides between the processes of a name: no two processes of one
// name run at once, and one that answered a challenge was running after the challenge was made, so the process with the
// later challenge is the later one.
func (s *Server) renewLease(link Link) (*lease, error) {
	if err := s.checkLink(link); err != nil {
		return nil, err
	}
	l := s.leasesByName[link.From]
	switch {
	case l == nil:
		if len(s.leases) >= s.cfg.MaxEntries {
			s.Counters.Oversized++
			return nil, ErrTooManyEntries
		}
		l = s.addLease(link.From)
	case l.incarnation == link.Incarnation:
		l.lastChallengedAt = max(l.lastChallengedAt, link.ChallengedAt)
		s.recordSeen(l, link)
		return l, nil
	case link.ChallengedAt <= l.lastChallengedAt:
		s.Counters.LateOfSuperseded++
		return nil, ErrSuperseded
	default:
		s.supersede(l)
	}
	l.beginProcess(link)
	s.markLeaseDirty(l)
	s.recordSeen(l, link)
	return l, nil
}

// checkLink checks that the link's front end may attach.
func (s *Server) checkLink(link Link) error {
	validName := isValidName(link.From) && len(link.Zone) <= maxNameLength
	if !validName || s.membersByName[link.From] != nil || link.Incarnation == 0 {
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: %q may not attach", ErrNameMismatch, link.From)
	}
	if s.superseded.contains(link.Incarnation) {
		s.Counters.LateOfSuperseded++
		return ErrSuperseded
	}
	return nil
}

func (s *Server) addLease(name string) *lease {
	l := &lease{name: name}
	index, _ := slices.BinarySearchFunc(s.leases, name, compareLeaseName)
	s.leases = slices.Insert(s.leases, index, l)
	s.leasesByName[name] = l
	return l
}

func compareLeaseName(l *lease, name string) int { return strings.Compare(l.name, name) }

// beginProcess makes the lease that of the link's process.
func (l *lease) beginProcess(link Link) {
	l.zone, l.incarnation = link.Zone, link.Incarnation
	l.firstChallengedAt, l.lastChallengedAt = link.ChallengedAt, link.ChallengedAt
	l.leaving, l.suspectUntil, l.subscription = false, 0, subscription{}
}

// supersede ends a lease's process: its name has come back with another.
func (s *Server) supersede(l *lease) {
	s.Counters.Superseded++
	s.superseded.add(l.incarnation)
	l.superseded = append(l.superseded, l.incarnation)
	if len(l.superseded) > maxReportedSuperseded {
		l.superseded = slices.Clone(l.superseded[1:])
	}
	s.linksToClose = append(s.linksToClose, l.links...)
	l.links = nil
}

// recordSeen records a sign of life of a lease's process over a link.
func (s *Server) recordSeen(l *lease, link Link) {
	l.lastSeen, l.suspectUntil = s.now, 0
	if !slices.Contains(l.links, link) {
		l.links = append(l.links, link)
	}
	if len(l.links) > maxLinksPerProcess {
		s.linksToClose = append(s.linksToClose, l.links[0])
		l.links = slices.Clone(l.links[1:])
	}
	s.setLeaseState(l, Alive)
}

// markLeaseDirty notes that a lease's table entry may have to change.
func (s *Server) markLeaseDirty(l *lease) {
	if !l.dirty {
		l.dirty = true
		s.dirtyLeases = append(s.dirtyLeases, l)
	}
}

// LinkOpened reports that an attached front end has authenticated itself over a new link.
func (s *Server) LinkOpened(now monotime.Micros, link Link) {
	s.advanceClock(now)
	if _, err := s.renewLease(link); err != nil {
		s.linksToClose = append(s.linksToClose, link)
	}
}

// LinkClosed reports that such a link is closed. The lease continues, since a broken link alone does not prove that the
// front end is dead.
func (s *Server) LinkClosed(now monotime.Micros, link Link) {
	s.advanceClock(now)
	l := s.leasesByName[link.From]
	if l == nil || l.incarnation != link.Incarnation {
		return
	}
	l.links = slices.DeleteFunc(l.links, func(other Link) bool { return other == link })
	if len(l.links) == 0 {
		l.subscription.interrupt()
	}
}

// expireLeases ends the leases of front ends that were not seen for long. A home that loses many at once suspects
// itself instead.
func (s *Server) expireLeases() {
	scan := s.scanLeases()
	if len(scan.expired) > 0 && scan.suspects > max(3, scan.current/3) {
		s.suspectSelf()
		scan = s.scanLeases()
	}
	for _, l := range scan.expired {
		s.Counters.Expired++
		s.setLeaseState(l, Dead)
	}
	s.removeEndedLeases()
}

// leaseScan is the result of a scan of all leases.
type leaseScan struct {
	expired  []*lease
	suspects int // front ends that are Suspect
	current  int // front ends that are Alive or Suspect
}

// scanLeases updates the states of all leases, but for those that have expired.
func (s *Server) scanLeases() (scan leaseScan) {
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
			scan.suspects++
			if silence >= s.cfg.DeadAfter && s.now >= l.suspectUntil {
				scan.expired = append(scan.expired, l)
			}
		}
		scan.current++
	}
	return scan
}

// suspectSelf is what a home does that loses many front ends at once: it is more likely that the home is cut off than
// that all of them are dead. They stay Suspect for longer, so that they can attach elsewhere.
func (s *Server) suspectSelf() {
	extended := false
	for _, l := range s.leases {
		if l.state == Suspect && l.suspectUntil == 0 {
			l.suspectUntil = l.lastSeen + s.cfg.DeadAfter + selfSuspicionTimeout
			extended = true
		}
	}
	if extended && s.now >= s.selfSuspicionUntil {
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

// removeEndedLeases removes the leases that ended long ago.
func (s *Server) removeEndedLeases() {
	s.leases = slices.DeleteFunc(s.leases, func(l *lease) bool {
		ended := l.state == Dead || l.state == Left
		if !ended || s.now-l.endedAt < retentionTime || l.dirty {
			return false
		}
		delete(s.leasesByName, l.name)
		s.removedNames = append(s.removedNames, l.name)
		return true
	})
}
