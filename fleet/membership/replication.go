package membership

import (
	"cmp"
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

// publishTable makes one batch of what changed among the front ends attached here, and pushes it to all control members.
func (s *Server) publishTable() {
	rows := s.changedRows()
	if len(rows) == 0 {
		return
	}
	base := s.own.sequence
	s.apply(s.own, rows)
	s.own.sequence++
	names := make([]string, len(rows))
	for i := range rows {
		names[i] = rows[i].name
	}
	s.own.log.add(names, s.own.sum)
	message := tableMessage{version: s.own.version(), base: base, sent: s.now, rows: rows}
	body := message.encode()
	for _, c := range s.controls {
		if c == s.self || c.Incarnation == 0 || c.State == Dead || c.State == Left {
			continue
		}
		s.Counters.TablePushes++
		s.send(Message{To: c.Name, Kind: TableUpdate, Body: body})
	}
}

// changedRows is what differs between the leases and the table, by name, as far as the bounded rate of each name allows.
func (s *Server) changedRows() []row {
	var rows []row
	var later []*lease
	for _, l := range s.dirty {
		l.touched = false
		r := l.row()
		if old := s.own.rows[l.name]; old != nil && old.digest() == r.digest() {
			l.waits = false
			continue
		}
		if !changeRate.allow(s.now, &l.changes) {
			if !l.waits {
				l.waits = true
				s.Counters.Damped++
			}
			l.touched = true
			later = append(later, l)
			continue
		}
		l.waits = false
		rows = append(rows, r)
	}
	s.dirty = later
	for _, name := range s.forgotten {
		if s.lessees[name] == nil && s.own.rows[name] != nil {
			rows = append(rows, row{name: name, removed: true})
		}
	}
	s.forgotten = nil
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.name, b.name) })
	return rows
}

func (l *lease) row() row {
	return row{name: l.name, zone: l.zone, incarnation: l.incarnation, state: l.state, serves: l.reader.subscribed,
		challenged: l.first, past: l.past}
}

// apply puts rows into a table, and marks those that they concern.
func (s *Server) apply(t *table, rows []row) {
	for _, r := range rows {
		old, kept := t.put(r)
		if kept != nil && kept.state == Dead {
			kept.ended = s.now
			if old != nil && old.state == Dead && old.incarnation == kept.incarnation {
				kept.ended = old.ended
			}
		}
		if old != nil && kept != nil && old.digest() == kept.digest() && old.challenged == kept.challenged {
			s.nameState(r.name).swap(old, kept)
			continue
		}
		n := s.nameState(r.name)
		n.swap(old, kept)
		n.recompareUntil = s.now + recompareSpan
		if kept != nil {
			for _, past := range kept.past {
				s.past.add(past)
			}
		}
		s.touched(n)
	}
}

// Versions is what goes into the next heartbeat to the other control members: the version of this one's table, and once a
// second those of all tables that it has. What Actions gave before is to be sent before it, or others pull it in vain.
func (s *Server) Versions(now monotime.Micros) []byte {
	s.pass(now)
	list := []version{s.own.version()}
	if s.now-s.versionsTold < allVersions {
		return encodeVersions(s.now, list)
	}
	s.versionsTold = s.now
	for _, c := range s.controls {
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
	s.pass(now)
	sender, err := s.sender(from, incarnation)
	if sender == nil {
		return err
	}
	sent, list, err := decodeVersions(b, len(s.controls))
	if err != nil {
		s.Counters.Malformed++
		return err
	}
	sender.clock.observe(s.now, sent)
	for _, v := range list {
		home := s.byName[v.home]
		if home == nil {
			s.Counters.UnknownHomes++
			return fmt.Errorf("%w: %q", ErrUnknownHome, v.home)
		}
		// A home that is heard here tells its own version; others are asked for what can't be had from it.
		if home == s.self || home != sender && home.State == Alive && !home.IndirectlyAlive {
			continue
		}
		s.compare(home, sender, v)
	}
	return nil
}

// sender is the control member that a message comes from. It is nil without an error where its process isn't the one that
// package member knows of: what it said will be told again.
func (s *Server) sender(from string, incarnation uint64) (*controlState, error) {
	c := s.byName[from]
	switch {
	case c == nil || c == s.self:
		s.Counters.UnknownHomes++
		return nil, fmt.Errorf("%w: %q", ErrUnknownHome, from)
	case c.Incarnation == incarnation:
		return c, nil
	case c.pastEpochs.contains(incarnation):
		s.Counters.StaleEpochs++
	}
	return nil, nil
}

// compare pulls a home's table from the sender where that has a newer one, or another with the same version.
func (s *Server) compare(home, sender *controlState, v version) {
	if v.epoch != home.Incarnation {
		if home.pastEpochs.contains(v.epoch) {
			s.Counters.StaleEpochs++
		}
		return
	}
	t := s.replica(home)
	t.announced = max(t.announced, v.sequence)
	t.here = t.here || t.sequence >= t.announced
	switch {
	case v.sequence > t.sequence:
		s.pull(t, sender, false)
	case v.sequence == t.sequence && v.sum != t.sum:
		s.repair(t, sender)
	}
}

// replica is the table of a home's process, made where it is not there yet.
func (s *Server) replica(home *controlState) *table {
	if t := home.table(home.Incarnation); t != nil {
		return t
	}
	t := newTable(home.Name, home.Incarnation)
	t.present, t.absent, t.heard = home.State == Alive || home.State == Suspect, s.now, home.heard
	home.tables = append(home.tables, t)
	return t
}

func (s *Server) pull(t *table, from *controlState, whole bool) {
	if !pullRate.allow(s.now, &t.pulled) {
		s.Counters.RateLimited++
		return
	}
	s.Counters.Pulls++
	message := pullMessage{home: t.home, epoch: t.epoch, sequence: t.sequence, whole: whole}
	s.send(Message{To: from.Name, Kind: TablePull, Body: message.encode()})
}

// repair pulls a whole table since this side's differs at the same version.
func (s *Server) repair(t *table, from *controlState) {
	if !sumRate.allow(s.now, &t.sumPulled) {
		s.Counters.RateLimited++
		return
	}
	s.Counters.SumRepairs++
	s.pull(t, from, true)
}

// ReceiveFromControl takes a Pull or Table of a control member.
func (s *Server) ReceiveFromControl(now monotime.Micros, from string, incarnation uint64, kind Kind, body []byte) error {
	s.pass(now)
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

func (s *Server) receivePull(sender *controlState, body []byte) error {
	p, err := decodePull(body)
	if err != nil {
		s.Counters.Malformed++
		return err
	}
	home := s.byName[p.home]
	if home == nil {
		s.Counters.UnknownHomes++
		return fmt.Errorf("%w: %q", ErrUnknownHome, p.home)
	}
	t := home.table(p.epoch)
	if t == nil || t.epoch != home.Incarnation {
		s.Counters.StaleEpochs++
		return nil
	}
	if !answerRate.allow(s.now, s.answered(sender, t)) {
		s.Counters.RateLimited++
		return nil
	}
	message := t.message(p.sequence, p.whole)
	message.sent = s.now
	if message.whole {
		s.Counters.TableSnapshots++
	}
	s.send(Message{To: sender.Name, Kind: TableUpdate, Bulk: message.whole, Body: message.encode()})
	return nil
}

// answered is the state of the bounded rate of answers to one control member about one table.
func (s *Server) answered(sender *controlState, t *table) *monotime.Micros {
	if sender.answers == nil {
		sender.answers = map[string]*monotime.Micros{}
	}
	due := sender.answers[t.home]
	if due == nil {
		due = new(monotime.Micros)
		sender.answers[t.home] = due
	}
	return due
}

func (s *Server) receiveTable(sender *controlState, body []byte) error {
	m, err := decodeTable(body, s.cfg.MaxEntries)
	if err != nil {
		s.countBad(err)
		return err
	}
	home := s.byName[m.home]
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
	if bad := slices.IndexFunc(m.rows, func(r row) bool { return s.byName[r.name] != nil }); bad >= 0 {
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: the control member %q is attached", ErrNameMismatch, m.rows[bad].name)
	}
	sender.clock.observe(s.now, m.sent)
	for i := range m.rows {
		m.rows[i].clock = sender.clock
	}
	return s.take(s.replica(home), sender, &m)
}

// take brings a table to a message's version, where the message follows on it. A sum that wouldn't agree leaves it as it is.
func (s *Server) take(t *table, sender *controlState, m *tableMessage) error {
	rows := m.rows
	switch {
	case m.whole && (m.sequence < t.sequence || m.sequence == t.sequence && m.sum == t.sum):
		return nil
	case m.whole:
		rows = t.replacing(m.rows)
	case m.sequence <= t.sequence:
		return nil
	case m.base > t.sequence:
		s.Counters.Gaps++
		s.pull(t, sender, false)
		return nil
	}
	if t.sumAfter(rows) != m.sum {
		s.Counters.DigestMismatches++
		if m.whole {
			s.Counters.Malformed++
			return fmt.Errorf("%w: the rows of %q do not have their sum", ErrMalformed, t.home)
		}
		s.repair(t, sender)
		return nil
	}
	s.apply(t, rows)
	t.sequence = m.sequence
	t.here = t.here || t.sequence >= t.announced
	// A replica keeps no log: who asks it gets the whole table.
	t.log = changeLog{first: t.sequence, start: t.sum}
	return nil
}

func (s *Server) countBad(err error) {
	if isOversized(err) {
		s.Counters.Oversized++
		return
	}
	s.Counters.Malformed++
}
