package membership

import (
	"maps"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// tableEntry is one front end in the table of its home.
type tableEntry struct {
	name        string
	zone        string
	incarnation uint64
	state       State
	servesView  bool // the home serves its view
	// challengedAt is when it answered a challenge at its home, by the reporter's clock; clock is nil for this side's.
	challengedAt monotime.Micros
	clock        *clockOffset
	// supersededIncarnations are the last few earlier processes of its name, in the order of challenges at its home.
	supersededIncarnations []uint64
	removed                bool // in messages: the table has no such entry any more

	table     *table
	deadSince monotime.Micros // when it was first Dead here
}

// localChallengedAt returns when it answered its challenge, by this side's clock.
func (e *tableEntry) localChallengedAt() monotime.Micros { return e.clock.toLocal(e.challengedAt) }

// currentState returns the state that the entry is evidence for now.
func (e *tableEntry) currentState() State {
	switch {
	case e.table.homePresent || e.state == Dead || e.state == Left:
		return e.state
	case e.table.evidenceExpired:
		return Dead
	}
	return Suspect
}

// outranks reports whether an entry counts more for its process than another: by its state, then whether its home is
// present, then whether its home serves the view.
func (e *tableEntry) outranks(other *tableEntry) bool {
	strength, otherStrength := e.currentState().strength(), other.currentState().strength()
	switch {
	case strength != otherStrength:
		return strength > otherStrength
	case e.table.homePresent != other.table.homePresent:
		return e.table.homePresent
	case e.servesView != other.servesView:
		return e.servesView
	}
	return false
}

// isOverruled reports whether a present home reports the end of a lease after this entry's home, which is absent, was
// last alive. A lease that ended before proves nothing: that process may have moved to this entry's home, and may be
// moving now.
func (e *tableEntry) isOverruled(all []*tableEntry) bool {
	return e.currentState() == Suspect && e.table.homeUnresponsive && slices.ContainsFunc(all, e.isOverruledBy)
}

// isOverruledBy reports whether another entry of the process is such evidence.
func (e *tableEntry) isOverruledBy(other *tableEntry) bool {
	return other.incarnation == e.incarnation && other.table.homePresent && other.state == Dead &&
		other.deadSince > e.table.homeLastAlive
}

// table is the front ends that are attached to one process of a home.
type table struct {
	home          string
	epoch         uint64 // the incarnation of the home's process
	sequence      uint64 // of batches
	contentDigest uint64 // over the entries
	entries       map[string]*tableEntry
	log           changeLog

	announcedSequence uint64          // the latest sequence that was reported
	upToDate          bool            // an announced sequence was reached once
	homePresent       bool            // the home's process is Alive or Suspect, as package heartbeat sees it
	homeLastAlive     monotime.Micros // when it was last Alive, if it is absent
	homeAbsentSince   monotime.Micros
	homeUnresponsive  bool // absent, and not seen for so long that a later Dead of another home counts more
	evidenceExpired   bool // absent for so long that its entries are no evidence of life any more

	pullDue     monotime.Micros // state of pullRateLimit
	mismatchDue monotime.Micros // state of mismatchRateLimit
}

func newTable(home string, epoch uint64) *table {
	return &table{home: home, epoch: epoch, entries: map[string]*tableEntry{}}
}

// version returns the table's version.
func (t *table) version() tableVersion {
	return tableVersion{t.home, t.epoch, t.sequence, t.contentDigest}
}

// sortedNames returns the names of the entries, sorted.
func (t *table) sortedNames() []string { return slices.Sorted(maps.Keys(t.entries)) }

// digestAfter returns the digest that the table would have after changes, which have each name once.
func (t *table) digestAfter(changes []tableEntry) uint64 {
	digest := t.contentDigest
	for i := range changes {
		if old := t.entries[changes[i].name]; old != nil {
			digest -= old.digest()
		}
		if !changes[i].removed {
			digest += changes[i].digest()
		}
	}
	return digest
}

// changesTo returns the changes after which the table has just the entries, which are sorted by name.
func (t *table) changesTo(entries []tableEntry) []tableEntry {
	changes := slices.Clone(entries)
	for _, name := range t.sortedNames() {
		if _, found := slices.BinarySearchFunc(entries, name, compareEntryName); !found {
			changes = append(changes, tableEntry{name: name, removed: true})
		}
	}
	return changes
}

func compareEntryName(e tableEntry, name string) int { return strings.Compare(e.name, name) }

// put sets or removes one entry, and returns the old and the new one; nil for none.
func (t *table) put(e tableEntry) (old, current *tableEntry) {
	old = t.entries[e.name]
	if old != nil {
		t.contentDigest -= old.digest()
	}
	if e.removed {
		delete(t.entries, e.name)
		return old, nil
	}
	current = &e
	current.table = t
	t.entries[e.name] = current
	t.contentDigest += current.digest()
	return old, current
}

// entriesOf returns the entries of names; names that the table lacks are marked as removed.
func (t *table) entriesOf(names []string) []tableEntry {
	entries := make([]tableEntry, 0, len(names))
	for _, name := range names {
		if e := t.entries[name]; e != nil {
			entries = append(entries, *e)
			continue
		}
		entries = append(entries, tableEntry{name: name, removed: true})
	}
	return entries
}

// messageSince returns the changes after a sequence if the log reaches back to it, else the full table.
func (t *table) messageSince(sequence uint64, full bool) *tableMessage {
	if names, ok := t.log.changedSince(sequence); ok && !full {
		return &tableMessage{tableVersion: t.version(), baseSequence: sequence, entries: t.entriesOf(names)}
	}
	return &tableMessage{tableVersion: t.version(), full: true, entries: t.entriesOf(t.sortedNames())}
}
