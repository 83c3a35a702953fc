package membership

import (
	"fmt"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// lease is the lease of an attached front end at this control member.
type lease struct {
	name              string
	zone              string
	incarnation       uint64
	firstChallengedAt monotime.Micros // challenge time of its process's first link here
	lastChallengedAt  monotime.Micros // challenge time of its process's latest link here
	lastSeen          monotime.Micros // when it last sent a heartbeat or opened a link
	leaving           bool            // it announced its shutdown
	links             []Link          // open links, the oldest first
	superseded        []uint64        // the last maxReportedSuperseded earlier processes of its name

	state        State
	suspectUntil monotime.Micros // it stays Suspect until then because of self-suspicion; 0 if there is none
	endedAt      monotime.Micros // when it became Dead or Left
	dirty        bool            // is in Server.dirtyLeases
	damping      damping         // limits the rate of its published changes

	snapshotDue  monotime.Micros // state of snapshotRateLimit
	subscription subscription
}

// maxLinksPerProcess limits the links of one process. A further link closes the oldest one.
const maxLinksPerProcess = 3

// renewLease renews the lease of the front end that was seen over a link, and decides which of two processes of its
// name is the later one. No two processes of one name run at the same time, and a process that answered a challenge was
// running after the challenge was sent, so the process with the later challenge is the later one.
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

// checkLink checks that the front end of a link may attach.
func (s *Server) checkLink(link Link) error {
	validName := isValidName(link.From) && len(link.Zone) <= maxNameLength
	if !validName || s.membersByName[link.From] != nil || link.Incarnation == 0 {
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: front end %q may not attach", ErrNameMismatch, link.From)
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

// beginProcess assigns the lease to the process of a link.
func (l *lease) beginProcess(link Link) {
	l.zone, l.incarnation = link.Zone, link.Incarnation
	l.firstChallengedAt, l.lastChallengedAt = link.ChallengedAt, link.ChallengedAt
	l.leaving, l.suspectUntil, l.subscription = false, 0, subscription{}
}

// supersede records that the process of a lease is superseded by a later one of its name, and closes its links.
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

// recordSeen records that the process of a lease was seen over a link.
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

// markLeaseDirty records that the table entry of a lease may have to change.
func (s *Server) markLeaseDirty(l *lease) {
	if !l.dirty {
		l.dirty = true
		s.dirtyLeases = append(s.dirtyLeases, l)
	}
}

// LinkOpened records that an attached front end has authenticated itself over a new link.
func (s *Server) LinkOpened(now monotime.Micros, link Link) {
	s.advanceClock(now)
	if _, err := s.renewLease(link); err != nil {
		s.linksToClose = append(s.linksToClose, link)
	}
}

// LinkClosed records that a link of an attached front end is closed. The lease stays in force, since a broken
// link alone does not prove that the front end is dead.
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

// expireLeases ends the leases of front ends that were not seen for DeadAfter. If more than a third of the front ends,
// and more than three, are Suspect when a lease expires, this home suspects itself instead.
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

// scanLeases updates the states of all leases, except that it only collects those that have expired.
func (s *Server) scanLeases() (scan leaseScan) {
	for _, l := range s.leases {
		sinceLastSeen := s.now - l.lastSeen
		switch {
		case l.state == Dead || l.state == Left:
			continue
		case sinceLastSeen < s.cfg.SuspectAfter:
			s.setLeaseState(l, Alive)
		case l.leaving:
			s.setLeaseState(l, Left)
			continue
		default:
			s.setLeaseState(l, Suspect)
			scan.suspects++
			if sinceLastSeen >= s.cfg.DeadAfter && s.now >= l.suspectUntil {
				scan.expired = append(scan.expired, l)
			}
		}
		scan.current++
	}
	return scan
}

// suspectSelf handles the loss of many front ends at once. It is more likely that this home is partitioned from
// them than that all are dead, so they stay Suspect for longer, which gives them time to attach elsewhere.
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

// removeEndedLeases removes the leases that ended at least retentionTime ago.
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
