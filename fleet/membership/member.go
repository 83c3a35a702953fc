package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// absentHomeTimeout is how long the table entries of an absent home count as Suspect before they count as Dead. It
	// gives the front ends of that home time to get a lease at another one.
	absentHomeTimeout = 10 * monotime.Second
	// maxTablesPerHome limits the retained tables of one home, which has one for each of its processes.
	maxTablesPerHome = 3
)

// memberState is the state that a Server keeps of one control member, itself included.
type memberState struct {
	ControlMember
	presentSince     monotime.Micros             // when its process was first seen, or seen again after an absence
	lastAlive        monotime.Micros             // when its process was last Alive
	tables           []*table                    // one for each of its processes, the latest last
	supersededEpochs incarnationSet              // incarnations of its earlier processes
	clock            *clockOffset                // offset to the clock of its current process
	pullAnswersDue   map[string]*monotime.Micros // states of answerRateLimit for answers to its pulls, by home
}

// table returns the table of the process with that incarnation, or nil if there is none.
func (m *memberState) table(epoch uint64) *table {
	for _, t := range m.tables {
		if t.epoch == epoch {
			return t
		}
	}
	return nil
}

// isPresent reports whether package heartbeat sees the control member as Alive or Suspect.
func (m *memberState) isPresent() bool { return m.State == Alive || m.State == Suspect }

// recordAlive updates lastAlive if the control member is Alive.
func (m *memberState) recordAlive(now monotime.Micros) {
	if m.State == Alive {
		m.lastAlive = now
	}
}

// pullAnswerDue returns the rate limit state for answers to this control member's pulls of a home's table.
func (m *memberState) pullAnswerDue(home string) *monotime.Micros {
	if m.pullAnswersDue == nil {
		m.pullAnswersDue = map[string]*monotime.Micros{}
	}
	due := m.pullAnswersDue[home]
	if due == nil {
		due = new(monotime.Micros)
		m.pullAnswersDue[home] = due
	}
	return due
}

func (s *Server) addMember(c ControlMember) *memberState {
	m := &memberState{ControlMember: c, clock: &clockOffset{}}
	s.members = append(s.members, m)
	s.membersByName[c.Name] = m
	return m
}

// updateMember records how package heartbeat currently sees another control member.
func (s *Server) updateMember(seen *ControlMember) {
	m := s.membersByName[seen.Name]
	if m == nil || m == s.self || seen.Incarnation == 0 {
		return
	}
	m.ChallengedAt = seen.ChallengedAt
	if m.Incarnation == seen.Incarnation && m.State == seen.State {
		m.IndirectlyAlive = seen.IndirectlyAlive
		m.recordAlive(s.now)
		return
	}
	if m.Incarnation != seen.Incarnation {
		m.supersededEpochs.add(m.Incarnation)
		m.supersededEpochs.remove(seen.Incarnation)
		m.clock = &clockOffset{}
	}
	if m.Incarnation != seen.Incarnation || !m.isPresent() {
		m.presentSince = s.now
	}
	m.Incarnation, m.State, m.IndirectlyAlive = seen.Incarnation, seen.State, seen.IndirectlyAlive
	s.markNameDirty(s.mergedName(m.Name))
	for _, t := range m.tables {
		s.setHomePresent(t, t.epoch == m.Incarnation && m.isPresent())
	}
	m.recordAlive(s.now)
}

// setHomePresent sets whether a table's home is present. The entries of an absent home count less as evidence.
func (s *Server) setHomePresent(t *table, present bool) {
	if t.homePresent == present {
		return
	}
	t.homePresent, t.homeUnresponsive, t.evidenceExpired = present, false, false
	t.homeLastAlive, t.homeAbsentSince = s.membersByName[t.home].lastAlive, s.now
	s.markTableDirty(t)
}

// expireTables expires the evidence of absent homes and removes tables that are no longer needed.
func (s *Server) expireTables() {
	for _, m := range s.members {
		for len(m.tables) > 0 {
			oldest := m.tables[0]
			recent := s.now-oldest.homeAbsentSince < retentionTime && len(m.tables) <= maxTablesPerHome
			if oldest.homePresent || recent {
				break
			}
			s.applyEntries(oldest, oldest.changesTo(nil))
			m.tables = m.tables[1:]
		}
		for _, t := range m.tables {
			s.expireTable(t)
		}
	}
}

// expireTable updates how much the entries of an absent home count, which is less the longer the home is absent.
func (s *Server) expireTable(t *table) {
	unresponsive := !t.homePresent && s.now-t.homeLastAlive >= s.cfg.DeadAfter
	expired := !t.homePresent && s.now-t.homeAbsentSince >= absentHomeTimeout
	if unresponsive != t.homeUnresponsive || expired != t.evidenceExpired {
		t.homeUnresponsive, t.evidenceExpired = unresponsive, expired
		s.markTableDirty(t)
	}
}

// senderOf returns the control member that sent a message. The result is nil without an error if the message is from
// another process than the one known from package heartbeat; it can be dropped, since its content will be sent again.
func (s *Server) senderOf(from string, incarnation uint64) (*memberState, error) {
	m := s.membersByName[from]
	switch {
	case m == nil || m == s.self:
		return nil, s.Counters.unknownHome(from)
	case m.Incarnation == incarnation:
		return m, nil
	case m.supersededEpochs.contains(incarnation):
		s.Counters.StaleEpochs++
	}
	return nil, nil
}

func compareMemberName(a, b *memberState) int { return cmp.Compare(a.Name, b.Name) }

// hasOtherMember reports whether a control member other than this one satisfies a condition.
func (s *Server) hasOtherMember(condition func(*memberState) bool) bool {
	return slices.ContainsFunc(s.members, func(m *memberState) bool { return m != s.self && condition(m) })
}
