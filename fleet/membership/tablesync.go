package membership

import (
	"cmp"
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

// publishTable makes one batch of what changed among the front ends attached here, and pushes it to all control members.
func (s *Server) publishTable() {
	rows := s.changedEntries()
	if len(rows) == 0 {
		return
	}
	base := s.ownTable.sequence
	s.applyEntries(s.ownTable, rows)
	s.ownTable.sequence++
	names := make([]string, len(rows))
	for i := range rows {
		names[i] = rows[i].name
	}
	s.ownTable.log.add(names, s.ownTable.contentDigest)
	message := tableMessage{tableVersion: s.ownTable.version(), baseSequence: base, sentAt: s.now, entries: rows}
	body := message.encode()
	for _, c := range s.members {
		if c == s.self || c.Incarnation == 0 || c.State == Dead || c.State == Left {
			continue
		}
		s.Counters.TablePushes++
		s.send(Message{To: c.Name, Kind: TableUpdate, Body: body})
	}
}

// changedEntries is what differs between the leases and the table, by name, as far as the bounded rate of each name allows.
func (s *Server) changedEntries() []tableEntry {
	var rows []tableEntry
	var later []*lease
	for _, l := range s.dirtyLeases {
		l.dirty = false
		r := l.tableEntry()
		if old := s.ownTable.entries[l.name]; old != nil && old.digest() == r.digest() {
			l.damped = false
			continue
		}
		if !changeRateLimit.allow(s.now, &l.changeDue) {
			if !l.damped {
				l.damped = true
				s.Counters.Damped++
			}
			l.dirty = true
			later = append(later, l)
			continue
		}
		l.damped = false
		rows = append(rows, r)
	}
	s.dirtyLeases = later
	for _, name := range s.removedNames {
		if s.leasesByName[name] == nil && s.ownTable.entries[name] != nil {
			rows = append(rows, tableEntry{name: name, removed: true})
		}
	}
	s.removedNames = nil
	slices.SortFunc(rows, func(a, b tableEntry) int { return cmp.Compare(a.name, b.name) })
	return rows
}

func (l *lease) tableEntry() tableEntry {
	return tableEntry{name: l.name, zone: l.zone, incarnation: l.incarnation, state: l.state, servesView: l.subscription.active,
		challengedAt: l.firstChallengedAt, supersededIncarnations: l.superseded}
}

// applyEntries puts rows into a table, and marks those that they concern.
func (s *Server) applyEntries(t *table, rows []tableEntry) {
	for _, r := range rows {
		old, kept := t.put(r)
		if kept != nil && kept.state == Dead {
			kept.deadSince = s.now
			if old != nil && old.state == Dead && old.incarnation == kept.incarnation {
				kept.deadSince = old.deadSince
			}
		}
		if old != nil && kept != nil && old.digest() == kept.digest() && old.challengedAt == kept.challengedAt {
			s.mergedName(r.name).replaceEntry(old, kept)
			continue
		}
		n := s.mergedName(r.name)
		n.replaceEntry(old, kept)
		n.recompareUntil = s.now + recompareTimeout
		if kept != nil {
			for _, past := range kept.supersededIncarnations {
				s.superseded.add(past)
			}
		}
		s.markNameDirty(n)
	}
}

// Versions is what goes into the next heartbeat to the other control members: the version of this one's table, and once a
// second those of all tables that it has. What Actions gave before is to be sent before it, or others pull it in vain.
func (s *Server) Versions(now monotime.Micros) []byte {
	s.advanceClock(now)
	list := []tableVersion{s.ownTable.version()}
	if s.now-s.allVersionsSentAt < allVersionsInterval {
		return encodeVersions(s.now, list)
	}
	s.allVersionsSentAt = s.now
	for _, c := range s.members {
		if c == s.self {
			continue
		}
		if t := c.table(c.Incarnation); t != nil {
			list = append(list, t.version())
		}
	}
	return encodeVersions(s.now, list)
}

// ReceiveVersions takes what Versions gave at another control member, and pulls what is missing here.
func (s *Server) ReceiveVersions(now monotime.Micros, from string, incarnation uint64, b []byte) error {
	s.advanceClock(now)
	sender, err := s.sender(from, incarnation)
	if sender == nil {
		return err
	}
	sent, list, err := decodeVersions(b, len(s.members))
	if err != nil {
		s.Counters.Malformed++
		return err
	}
	sender.clock.observe(s.now, sent)
	for _, v := range list {
		home := s.membersByName[v.home]
		if home == nil {
			s.Counters.UnknownHomes++
			return fmt.Errorf("%w: %q", ErrUnknownHome, v.home)
		}
		// A home that is heard here tells its own version; others are asked for what can't be had from it.
		if home == s.self || home != sender && home.State == Alive && !home.IndirectlyAlive {
			continue
		}
		s.compareVersion(home, sender, v)
	}
	return nil
}

// sender is the control member that a message comes from. It is nil without an error where its process isn't the one that
// package member knows of: what it said will be told again.
func (s *Server) sender(from string, incarnation uint64) (*memberState, error) {
	c := s.membersByName[from]
	switch {
	case c == nil || c == s.self:
		s.Counters.UnknownHomes++
		return nil, fmt.Errorf("%w: %q", ErrUnknownHome, from)
	case c.Incarnation == incarnation:
		return c, nil
	case c.supersededEpochs.contains(incarnation):
		s.Counters.StaleEpochs++
	}
	return nil, nil
}

// compareVersion pulls a home's table from the sender where that has a newer one, or another with the same version.
func (s *Server) compareVersion(home, sender *memberState, v tableVersion) {
	if v.epoch != home.Incarnation {
		if home.supersededEpochs.contains(v.epoch) {
			s.Counters.StaleEpochs++
		}
		return
	}
	t := s.replica(home)
	t.announcedSequence = max(t.announcedSequence, v.sequence)
	t.upToDate = t.upToDate || t.sequence >= t.announcedSequence
	switch {
	case v.sequence > t.sequence:
		s.pullTable(t, sender, false)
	case v.sequence == t.sequence && v.digest != t.contentDigest:
		s.pullFullTable(t, sender)
	}
}

// replica is the table of a home's process, made where it is not there yet.
func (s *Server) replica(home *memberState) *table {
	if t := home.table(home.Incarnation); t != nil {
		return t
	}
	t := newTable(home.Name, home.Incarnation)
	t.homePresent, t.homeAbsentSince, t.homeLastAlive = home.State == Alive || home.State == Suspect, s.now, home.lastAlive
	home.tables = append(home.tables, t)
	return t
}

func (s *Server) pullTable(t *table, from *memberState, whole bool) {
	if !pullRateLimit.allow(s.now, &t.pullDue) {
		s.Counters.RateLimited++
		return
	}
	s.Counters.Pulls++
	message := pullMessage{home: t.home, epoch: t.epoch, sequence: t.sequence, full: whole}
	s.send(Message{To: from.Name, Kind: TablePull, Body: message.encode()})
}

// pullFullTable pulls a whole table since this side's differs at the same version.
func (s *Server) pullFullTable(t *table, from *memberState) {
	if !mismatchRateLimit.allow(s.now, &t.mismatchDue) {
		s.Counters.RateLimited++
		return
	}
	s.Counters.SumRepairs++
	s.pullTable(t, from, true)
}

// ReceiveFromControl takes a Pull or Table of a control member.
func (s *Server) ReceiveFromControl(now monotime.Micros, from string, incarnation uint64, kind Kind, body []byte) error {
	s.advanceClock(now)
	sender, err := s.sender(from, incarnation)
	if sender == nil {
		return err
	}
	switch kind {
	case TablePull:
		return s.receivePull(sender, body)
	case TableUpdate:
		return s.receiveTable(sender, body)
	}
	return fmt.Errorf("%w: %s", ErrUnexpectedKind, kind)
}

func (s *Server) receivePull(sender *memberState, body []byte) error {
	p, err := decodePullMessage(body)
	if err != nil {
		s.Counters.Malformed++
		return err
	}
	home := s.membersByName[p.home]
	if home == nil {
		s.Counters.UnknownHomes++
		return fmt.Errorf("%w: %q", ErrUnknownHome, p.home)
	}
	t := home.table(p.epoch)
	if t == nil || t.epoch != home.Incarnation {
		s.Counters.StaleEpochs++
		return nil
	}
	if !answerRateLimit.allow(s.now, s.pullAnswerDue(sender, t)) {
		s.Counters.RateLimited++
		return nil
	}
	message := t.messageSince(p.sequence, p.full)
	message.sentAt = s.now
	if message.full {
		s.Counters.TableSnapshots++
	}
	s.send(Message{To: sender.Name, Kind: TableUpdate, Bulk: message.full, Body: message.encode()})
	return nil
}

// pullAnswerDue is the state of the bounded rate of answers to one control member about one table.
func (s *Server) pullAnswerDue(sender *memberState, t *table) *monotime.Micros {
	if sender.pullAnswersDue == nil {
		sender.pullAnswersDue = map[string]*monotime.Micros{}
	}
	due := sender.pullAnswersDue[t.home]
	if due == nil {
		due = new(monotime.Micros)
		sender.pullAnswersDue[t.home] = due
	}
	return due
}

func (s *Server) receiveTable(sender *memberState, body []byte) error {
	m, err := decodeTableMessage(body, s.cfg.MaxEntries)
	if err != nil {
		s.countInvalid(err)
		return err
	}
	home := s.membersByName[m.home]
	switch {
	case home == nil:
		s.Counters.UnknownHomes++
		return fmt.Errorf("%w: %q", ErrUnknownHome, m.home)
	case home == s.self:
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: a table of this control member", ErrNameMismatch)
	case m.epoch != home.Incarnation:
		s.Counters.StaleEpochs++
		return nil
	}
	if bad := slices.IndexFunc(m.entries, func(r tableEntry) bool { return s.membersByName[r.name] != nil }); bad >= 0 {
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: the control member %q is attached", ErrNameMismatch, m.entries[bad].name)
	}
	sender.clock.observe(s.now, m.sentAt)
	for i := range m.entries {
		m.entries[i].clock = sender.clock
	}
	return s.applyTableMessage(s.replica(home), sender, &m)
}

// applyTableMessage brings a table to a message's version, where the message follows on it. A sum that wouldn't agree leaves it as it is.
func (s *Server) applyTableMessage(t *table, sender *memberState, m *tableMessage) error {
	rows := m.entries
	switch {
	case m.full && (m.sequence < t.sequence || m.sequence == t.sequence && m.digest == t.contentDigest):
		return nil
	case m.full:
		rows = t.changesTo(m.entries)
	case m.sequence <= t.sequence:
		return nil
	case m.baseSequence > t.sequence:
		s.Counters.Gaps++
		s.pullTable(t, sender, false)
		return nil
	}
	if t.digestAfter(rows) != m.digest {
		s.Counters.DigestMismatches++
		if m.full {
			s.Counters.Malformed++
			return fmt.Errorf("%w: the rows of %q do not have their sum", ErrMalformed, t.home)
		}
		s.pullFullTable(t, sender)
		return nil
	}
	s.applyEntries(t, rows)
	t.sequence = m.sequence
	t.upToDate = t.upToDate || t.sequence >= t.announcedSequence
	// A replica keeps no log: who asks it gets the whole table.
	t.log = changeLog{baseSequence: t.sequence, baseDigest: t.contentDigest}
	return nil
}

func (s *Server) countInvalid(err error) {
	if isTooManyEntries(err) {
		s.Counters.Oversized++
		return
	}
	s.Counters.Malformed++
}
