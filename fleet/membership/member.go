package membership

import (
	"cmp"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// absentHomeTimeout is how long the table entries of an absent home count as Suspect before they are Dead: its
	// front ends may have a lease elsewhere by then.
	absentHomeTimeout = 10 * monotime.Second
	// maxTablesPerHome bounds the tables that are retained of one home's processes.
	maxTablesPerHome = 3
)

// memberState is what a control member knows of a control member of the settings.
type memberState struct {
	ControlMember
	presentSince     monotime.Micros // when its process was first seen, or seen again
	lastAlive        monotime.Micros // when its process was last Alive
	tables           []*table        // of its processes, the newest last
	supersededEpochs incarnationSet
	clock            *clockOffset                // of its process
	pullAnswersDue   map[string]*monotime.Micros // states of answerRateLimit for answers to it, by home
}

// table returns the table of a process of this control member; nil if there is none.
func (m *memberState) table(epoch uint64) *table {
	for _, t := range m.tables {
		if t.epoch == epoch {
			return t
		}
	}
	return nil
}

// isPresent reports whether the control member's process is there, as package heartbeat sees it.
func (m *memberState) isPresent() bool { return m.State == Alive || m.State == Suspect }

// recordAlive records that a control member is Alive now, if it is.
func (m *memberState) recordAlive(now monotime.Micros) {
	if m.State == Alive {
		m.lastAlive = now
	}
}

// pullAnswerDue returns the state of the rate limit of answers to this control member about a home's table.
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

// updateMember takes how package heartbeat sees another control member now.
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

// setHomePresent sets whether a table's home is present, on which the evidence of its entries rests.
func (s *Server) setHomePresent(t *table, present bool) {
	if t.homePresent == present {
		return
	}
	t.homePresent, t.homeUnresponsive, t.evidenceExpired = present, false, false
	t.homeLastAlive, t.homeAbsentSince = s.membersByName[t.home].lastAlive, s.now
	s.markTableDirty(t)
}

// expireTables expires the evidence of absent homes, and drops tables that are not needed any more.
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

// expireTable lets the evidence of an absent home count less with time.
func (s *Server) expireTable(t *table) {
	unresponsive := !t.homePresent && s.now-t.homeLastAlive >= s.cfg.DeadAfter
	expired := !t.homePresent && s.now-t.homeAbsentSince >= absentHomeTimeout
	if unresponsive != t.homeUnresponsive || expired != t.evidenceExpired {
		t.homeUnresponsive, t.evidenceExpired = unresponsive, expired
		s.markTableDirty(t)
	}
}

// senderOf returns the control member that a message comes from. It is nil without an error if its process is not the
// one that package heartbeat knows of: what the message says will be sent again.
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

// compareMemberName orders control members by name.
func compareMemberName(a, b *memberState) int { return cmp.Compare(a.Name, b.Name) }

// hasOtherMember reports whether a control member other than this one satisfies a condition.
func (s *Server) hasOtherMember(condition func(*memberState) bool) bool {
	return slices.ContainsFunc(s.members, func(m *memberState) bool { return m != s.self && condition(m) })
}
