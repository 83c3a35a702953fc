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
	servesView  bool // the home serves it the view
	// challengedAt is when its home sent the first challenge that its process answered, by the clock of the control
	// member that sent the entry. clock is the offset to that clock, or nil if it is this process's own.
	challengedAt monotime.Micros
	clock        *clockOffset
	// supersededIncarnations are the last few earlier processes of its name, in the order of their challenges at its
	// home.
	supersededIncarnations []uint64
	removed                bool // only in messages: the entry was removed from the table

	table     *table          // the table that contains the entry
	deadSince monotime.Micros // when it was first received as Dead
}

// localChallengedAt returns challengedAt converted to this process's clock.
func (e *tableEntry) localChallengedAt() monotime.Micros { return e.clock.toLocal(e.challengedAt) }

// currentState returns the entry's state, adjusted for the absence of its home.
func (e *tableEntry) currentState() State {
	switch {
	case e.table.homePresent || e.state == Dead || e.state == Left:
		return e.state
	case e.table.evidenceExpired:
		return Dead
	}
	return Suspect
}

// outranks reports whether an entry takes precedence over another of the same process: by its state, then by whether
// its home is present, then by whether its home serves the front end's view.
func (e *tableEntry) outranks(other *tableEntry) bool {
	precedence, otherPrecedence := e.currentState().precedence(), other.currentState().precedence()
	switch {
	case precedence != otherPrecedence:
		return precedence > otherPrecedence
	case e.table.homePresent != other.table.homePresent:
		return e.table.homePresent
	case e.servesView != other.servesView:
		return e.servesView
	}
	return false
}

// isOverruled reports whether this entry, whose home is absent, is overruled by a present home that reported the end of
// a lease of the same process after this entry's home was last Alive. A lease that ended earlier proves nothing: the
// process may have moved from there to this entry's home, and may now be moving to another.
func (e *tableEntry) isOverruled(all []*tableEntry) bool {
	return e.currentState() == Suspect && e.table.homeUnresponsive && slices.ContainsFunc(all, e.isOverruledBy)
}

// isOverruledBy reports whether one other entry overrules this one.
func (e *tableEntry) isOverruledBy(other *tableEntry) bool {
	return other.incarnation == e.incarnation && other.table.homePresent && other.state == Dead &&
		other.deadSince > e.table.homeLastAlive
}

// table lists the front ends that are attached to one process of a home.
type table struct {
	home          string
	epoch         uint64                 // the incarnation of the home's process
	sequence      uint64                 // number of the last batch
	contentDigest uint64                 // digest of all entries
	entries       map[string]*tableEntry // by name
	log           changeLog              // has no batches at a replica

	announcedSequence uint64          // the latest sequence reported by a control member
	upToDate          bool            // the table has once reached the announced sequence
	homePresent       bool            // package heartbeat sees the home's process as Alive or Suspect
	homeLastAlive     monotime.Micros // when the home was last Alive, if it is absent
	homeAbsentSince   monotime.Micros // when it became absent
	homeUnresponsive  bool            // absent, and last Alive so long ago that another home's later Dead overrules
	evidenceExpired   bool            // absent for so long that its entries count as Dead

	pullDue     monotime.Micros // state of pullRateLimit
	mismatchDue monotime.Micros // state of mismatchRateLimit
}

func newTable(home string, epoch uint64) *table {
	return &table{home: home, epoch: epoch, entries: map[string]*tableEntry{}}
}

func (t *table) version() tableVersion {
	return tableVersion{t.home, t.epoch, t.sequence, t.contentDigest}
}

// sortedNames returns the names of the entries, sorted.
func (t *table) sortedNames() []string { return slices.Sorted(maps.Keys(t.entries)) }

// digestAfter returns the digest that the table would have after the changes, which contain each name only once.
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

// changesTo returns the changes that make the table contain exactly the given entries, which are sorted by name.
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

// put sets or removes one entry. It returns the old and the current entry, which are nil if there is none.
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

// entriesOf returns the entries of the names. Names that are not in the table are marked as removed.
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

// messageSince returns a message with the changes after a sequence, or with the full table if that is requested or the
// log does not reach back to the sequence.
func (t *table) messageSince(sequence uint64, full bool) *tableMessage {
	if names, ok := t.log.changedSince(sequence); ok && !full {
		return &tableMessage{tableVersion: t.version(), baseSequence: sequence, entries: t.entriesOf(names)}
	}
	return &tableMessage{tableVersion: t.version(), full: true, entries: t.entriesOf(t.sortedNames())}
}
