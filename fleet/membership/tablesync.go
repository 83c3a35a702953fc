package membership

import (
	"cmp"
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

// allVersionsInterval is how often the versions of all tables are sent.
const allVersionsInterval = monotime.Second

// publishTable makes one batch of what changed among the front ends attached here, and pushes it to all control
// members.
func (s *Server) publishTable() {
	entries := s.changedEntries()
	if len(entries) == 0 {
		return
	}
	base := s.ownTable.sequence
	s.applyEntries(s.ownTable, entries)
	s.ownTable.sequence++
	names := make([]string, len(entries))
	for i := range entries {
		names[i] = entries[i].name
	}
	s.ownTable.log.add(names, s.ownTable.contentDigest)
	message := tableMessage{tableVersion: s.ownTable.version(), baseSequence: base, sentAt: s.now, entries: entries}
	body := message.encode()
	for _, m := range s.members {
		if m == s.self || m.Incarnation == 0 || !m.isPresent() {
			continue
		}
		s.Counters.TablePushes++
		s.send(Message{To: m.Name, Kind: TableUpdate, Body: body})
	}
}

// changedEntries returns what differs between the leases and the table, sorted by name, as far as the rate limit of
// each name allows.
func (s *Server) changedEntries() []tableEntry {
	var entries []tableEntry
	var delayed []*lease
	for _, l := range s.dirtyLeases {
		l.dirty = false
		e := l.tableEntry()
		if old := s.ownTable.entries[l.name]; old != nil && old.digest() == e.digest() {
			l.damping.clear()
			continue
		}
		if !l.damping.allow(s.now, &s.Counters.Damped) {
			l.dirty = true
			delayed = append(delayed, l)
			continue
		}
		entries = append(entries, e)
	}
	s.dirtyLeases = delayed
	for _, name := range s.removedNames {
		if s.leasesByName[name] == nil && s.ownTable.entries[name] != nil {
			entries = append(entries, tableEntry{name: name, removed: true})
		}
	}
	s.removedNames = nil
	slices.SortFunc(entries, func(a, b tableEntry) int { return cmp.Compare(a.name, b.name) })
	return entries
}

func (l *lease) tableEntry() tableEntry {
	return tableEntry{
		name:                   l.name,
		zone:                   l.zone,
		incarnation:            l.incarnation,
		state:                  l.state,
		servesView:             l.subscription.isActive(),
		challengedAt:           l.firstChallengedAt,
		supersededIncarnations: l.superseded,
	}
}

// applyEntries puts entries into a table, and marks the names that they change.
func (s *Server) applyEntries(t *table, entries []tableEntry) {
	for _, e := range entries {
		old, current := t.put(e)
		if current != nil && current.state == Dead {
			current.deadSince = s.now
			if old != nil && old.state == Dead && old.incarnation == current.incarnation {
				current.deadSince = old.deadSince
			}
		}
		n := s.mergedName(e.name)
		n.replaceEntry(old, current)
		unchanged := old != nil && current != nil && old.digest() == current.digest() &&
			old.challengedAt == current.challengedAt
		if unchanged {
			continue
		}
		n.recompareUntil = s.now + recompareTimeout
		if current != nil {
			for _, incarnation := range current.supersededIncarnations {
				s.superseded.add(incarnation)
			}
		}
		s.markNameDirty(n)
	}
}

// Versions returns what goes into the next heartbeat to the other control members: the version of this one's table, and
// once a second the versions of all tables that it has. The messages that Actions returned before are to be sent before
// that heartbeat, or others pull them needlessly.
func (s *Server) Versions(now monotime.Micros) []byte {
	s.advanceClock(now)
	versions := []tableVersion{s.ownTable.version()}
	if s.now-s.allVersionsSentAt < allVersionsInterval {
		return encodeVersions(s.now, versions)
	}
	s.allVersionsSentAt = s.now
	for _, m := range s.members {
		if m == s.self {
			continue
		}
		if t := m.table(m.Incarnation); t != nil {
			versions = append(versions, t.version())
		}
	}
	return encodeVersions(s.now, versions)
}

// ReceiveVersions takes what Versions returned at another control member, and pulls what is missing here. Its
// errors wrap ErrUnknownHome, ErrTooManyEntries or ErrMalformed; the link is to be closed.
func (s *Server) ReceiveVersions(now monotime.Micros, from string, incarnation uint64, b []byte) error {
	s.advanceClock(now)
	sender, err := s.senderOf(from, incarnation)
	if sender == nil {
		return err
	}
	sentAt, versions, err := decodeVersions(b, len(s.members))
	if err != nil {
		s.Counters.Malformed++
		return err
	}
	sender.clock.observe(s.now, sentAt)
	for _, v := range versions {
		home := s.membersByName[v.home]
		if home == nil {
			return s.Counters.unknownHome(v.home)
		}
		// A home whose heartbeats are received here reports its own version; others are pulled from only for homes whose
		// heartbeats are not.
		directlyAlive := home.State == Alive && !home.IndirectlyAlive
		if home == s.self || home != sender && directlyAlive {
			continue
		}
		s.compareVersion(home, sender, v)
	}
	return nil
}

// compareVersion pulls a home's table from the sender if that has a newer one, or one with another digest at the same
// sequence.
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

// replica returns the table of a home's process, and creates it if there is none yet.
func (s *Server) replica(home *memberState) *table {
	if t := home.table(home.Incarnation); t != nil {
		return t
	}
	t := newTable(home.Name, home.Incarnation)
	t.homePresent, t.homeAbsentSince, t.homeLastAlive = home.isPresent(), s.now, home.lastAlive
	home.tables = append(home.tables, t)
	return t
}

// pullTable requests what a table lacks, at a limited rate.
func (s *Server) pullTable(t *table, from *memberState, full bool) {
	if !pullRateLimit.allow(s.now, &t.pullDue) {
		s.Counters.RateLimited++
		return
	}
	s.Counters.Pulls++
	message := pullMessage{home: t.home, epoch: t.epoch, sequence: t.sequence, full: full}
	s.send(Message{To: from.Name, Kind: TablePull, Body: message.encode()})
}

// pullFullTable requests a full table since this side's differs at the same sequence.
func (s *Server) pullFullTable(t *table, from *memberState) {
	if !mismatchRateLimit.allow(s.now, &t.mismatchDue) {
		s.Counters.RateLimited++
		return
	}
	s.Counters.TableDigestRepairs++
	s.pullTable(t, from, true)
}

// ReceiveFromControl takes a TablePull or TableUpdate of a control member. Its errors wrap ErrUnknownHome,
// ErrUnexpectedKind, ErrNameMismatch, ErrTooManyEntries or ErrMalformed; the link is to be closed.
func (s *Server) ReceiveFromControl(
	now monotime.Micros, from string, incarnation uint64, kind Kind, body []byte,
) error {
	s.advanceClock(now)
	sender, err := s.senderOf(from, incarnation)
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

// receivePull answers a pull, at a limited rate.
func (s *Server) receivePull(sender *memberState, body []byte) error {
	p, err := decodePullMessage(body)
	if err != nil {
		s.Counters.Malformed++
		return err
	}
	home := s.membersByName[p.home]
	if home == nil {
		return s.Counters.unknownHome(p.home)
	}
	t := home.table(p.epoch)
	if t == nil || t.epoch != home.Incarnation {
		s.Counters.StaleEpochs++
		return nil
	}
	if !answerRateLimit.allow(s.now, sender.pullAnswerDue(t.home)) {
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

// receiveTable checks and applies a message of a table.
func (s *Server) receiveTable(sender *memberState, body []byte) error {
	m, err := decodeTableMessage(body, s.cfg.MaxEntries)
	if err != nil {
		s.Counters.countInvalid(err)
		return err
	}
	home := s.membersByName[m.home]
	switch {
	case home == nil:
		return s.Counters.unknownHome(m.home)
	case home == s.self:
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: a table of this control member", ErrNameMismatch)
	case m.epoch != home.Incarnation:
		s.Counters.StaleEpochs++
		return nil
	}
	isMember := func(e tableEntry) bool { return s.membersByName[e.name] != nil }
	if index := slices.IndexFunc(m.entries, isMember); index >= 0 {
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: the control member %q is attached", ErrNameMismatch, m.entries[index].name)
	}
	sender.clock.observe(s.now, m.sentAt)
	for i := range m.entries {
		m.entries[i].clock = sender.clock
	}
	return s.applyTableMessage(s.replica(home), sender, &m)
}

// applyTableMessage brings a table to a message's version, if the message follows on the table's. If the digest would
// not agree, the table stays as it is.
func (s *Server) applyTableMessage(t *table, sender *memberState, m *tableMessage) error {
	changes := m.entries
	switch {
	case m.full && (m.sequence < t.sequence || m.sequence == t.sequence && m.digest == t.contentDigest):
		return nil
	case m.full:
		changes = t.changesTo(m.entries)
	case m.sequence <= t.sequence:
		return nil
	case m.baseSequence > t.sequence:
		s.Counters.Gaps++
		s.pullTable(t, sender, false)
		return nil
	}
	if t.digestAfter(changes) != m.digest {
		s.Counters.DigestMismatches++
		if m.full {
			s.Counters.Malformed++
			return fmt.Errorf("%w: the entries of %q do not have their digest", ErrMalformed, t.home)
		}
		s.pullFullTable(t, sender)
		return nil
	}
	s.applyEntries(t, changes)
	t.sequence = m.sequence
	t.upToDate = t.upToDate || t.sequence >= t.announcedSequence
	// A replica has no log: a pull from it is answered by the full table.
	t.log = changeLog{baseSequence: t.sequence, baseDigest: t.contentDigest}
	return nil
}
