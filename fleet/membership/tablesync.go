package membership

import (
	"cmp"
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

// allVersionsInterval is the least time between two heartbeats that carry the versions of all tables.
const allVersionsInterval = monotime.Second

// publishTable applies the changes of the leases to this home's table as one batch, and pushes it to all present
// control members.
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

// changedEntries returns the table entries that the leases change, sorted by name. Leases over their rate limit stay
// dirty.
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

// applyEntries puts entries into a table and marks the names that they change as dirty.
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

// Versions returns the data that the next heartbeat to the other control members must carry: the version of this
// home's table, and once a second the versions of all current tables. Messages from earlier calls of TakeMessages must
// be sent before that heartbeat; otherwise the receivers pull changes that are already on their way.
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

// ReceiveVersions handles the data that Versions returned at another control member, and pulls the changes that are
// missing here. Its errors wrap ErrUnknownHome, ErrTooManyEntries or ErrMalformed; the caller must then close the link.
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
		// A home whose heartbeats arrive here reports its version itself. What others report about a table is used only
		// if its home's heartbeats do not arrive here.
		directlyAlive := home.State == Alive && !home.IndirectlyAlive
		if home == s.self || home != sender && directlyAlive {
			continue
		}
		s.compareVersion(home, sender, v)
	}
	return nil
}

// compareVersion pulls a home's table from the sender of a version if the version is newer than the replica here, or
// has the same sequence and another digest.
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

// replica returns the replica of the table of a home's current process, creating it if necessary.
func (s *Server) replica(home *memberState) *table {
	if t := home.table(home.Incarnation); t != nil {
		return t
	}
	t := newTable(home.Name, home.Incarnation)
	t.homePresent, t.homeAbsentSince, t.homeLastAlive = home.isPresent(), s.now, home.lastAlive
	home.tables = append(home.tables, t)
	return t
}

// pullTable requests the changes that a replica lacks, or the full table. Its rate is limited.
func (s *Server) pullTable(t *table, from *memberState, full bool) {
	if !pullRateLimit.allow(s.now, &t.pullDue) {
		s.Counters.RateLimited++
		return
	}
	s.Counters.Pulls++
	message := pullMessage{home: t.home, epoch: t.epoch, sequence: t.sequence, full: full}
	s.send(Message{To: from.Name, Kind: TablePull, Body: message.encode()})
}

// pullFullTable requests the full table because the digest of a replica differs. Its rate is limited.
func (s *Server) pullFullTable(t *table, from *memberState) {
	if !mismatchRateLimit.allow(s.now, &t.mismatchDue) {
		s.Counters.RateLimited++
		return
	}
	s.Counters.TableDigestRepairs++
	s.pullTable(t, from, true)
}

// ReceiveFromControl handles a TablePull or TableUpdate from a control member. Its errors wrap ErrUnknownHome,
// ErrUnexpectedKind, ErrNameMismatch, ErrTooManyEntries or ErrMalformed; the caller must then close the link.
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

// receivePull answers a pull. Its rate is limited.
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

// receiveTable validates and applies a tableMessage.
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
		return fmt.Errorf("%w: update of this control member's own table", ErrNameMismatch)
	case m.epoch != home.Incarnation:
		s.Counters.StaleEpochs++
		return nil
	}
	isMember := func(e tableEntry) bool { return s.membersByName[e.name] != nil }
	if index := slices.IndexFunc(m.entries, isMember); index >= 0 {
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: control member %q in a table of attached front ends", ErrNameMismatch, m.entries[index].name)
	}
	sender.clock.observe(s.now, m.sentAt)
	for i := range m.entries {
		m.entries[i].clock = sender.clock
	}
	return s.applyTableMessage(s.replica(home), sender, &m)
}

// applyTableMessage updates a replica to the version of a message if the message applies to the replica's version. If
// the resulting digest would differ from the message's, the replica stays as it is; the full table is pulled then, but
// a full table that does not match its own digest is an error.
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
			return fmt.Errorf("%w: entries of the table of %q do not match its digest", ErrMalformed, t.home)
		}
		s.pullFullTable(t, sender)
		return nil
	}
	s.applyEntries(t, changes)
	t.sequence = m.sequence
	t.upToDate = t.upToDate || t.sequence >= t.announcedSequence
	// A replica keeps no batches in its log: it answers pulls with the full table.
	t.log = changeLog{baseSequence: t.sequence, baseDigest: t.contentDigest}
	return nil
}
