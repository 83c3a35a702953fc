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
	// challengedAt is when it answered a challenge at its home, by the clock of who told so; clock is nil for this side's.
	challengedAt           monotime.Micros
	clock                  *clockOffset
	supersededIncarnations []uint64 // the last few earlier processes of its name, by the order of challenges at its home
	removed                bool     // in messages: the row is no more

	table     *table
	deadSince monotime.Micros // when it was first Dead here
}

// localChallengedAt is when it answered its challenge, by this side's clock.
func (r *tableEntry) localChallengedAt() monotime.Micros { return r.clock.toLocal(r.challengedAt) }

// table is the front ends of one process of a home.
type table struct {
	home          string
	epoch         uint64
	sequence      uint64 // of batches
	contentDigest uint64 // over the rows
	entries       map[string]*tableEntry
	log           changeLog

	announcedSequence uint64          // the latest sequence that was told of it
	upToDate          bool            // that was reached once
	homePresent       bool            // the home's process is there, as package member sees it
	homeLastAlive     monotime.Micros // when it was last Alive, as package member sees it, where it is not present
	homeAbsentSince   monotime.Micros // since when it is not
	homeUnresponsive  bool            // and was not heard for so long that another home's Dead of later counts more
	evidenceExpired   bool            // and for so long that its rows' evidence is over

	pullDue     monotime.Micros // states of bounded rates
	mismatchDue monotime.Micros
}

func newTable(home string, epoch uint64) *table {
	return &table{home: home, epoch: epoch, entries: map[string]*tableEntry{}}
}

func (t *table) version() tableVersion {
	return tableVersion{t.home, t.epoch, t.sequence, t.contentDigest}
}

// sortedNames are those of its rows, in order.
func (t *table) sortedNames() []string { return slices.Sorted(maps.Keys(t.entries)) }

// digestAfter is the sum that the table would have after rows, which name each front end once.
func (t *table) digestAfter(rows []tableEntry) uint64 {
	sum := t.contentDigest
	for i := range rows {
		if old := t.entries[rows[i].name]; old != nil {
			sum -= old.digest()
		}
		if !rows[i].removed {
			sum += rows[i].digest()
		}
	}
	return sum
}

// changesTo is the changes that make the table hold just the rows, given by name.
func (t *table) changesTo(rows []tableEntry) []tableEntry {
	list := slices.Clone(rows)
	for _, name := range t.sortedNames() {
		_, has := slices.BinarySearchFunc(rows, name, func(r tableEntry, name string) int { return strings.Compare(r.name, name) })
		if !has {
			list = append(list, tableEntry{name: name, removed: true})
		}
	}
	return list
}

// put sets or removes one row, and gives the old and the new one; nil for none.
func (t *table) put(r tableEntry) (old, kept *tableEntry) {
	old = t.entries[r.name]
	if old != nil {
		t.contentDigest -= old.digest()
	}
	if r.removed {
		delete(t.entries, r.name)
		return old, nil
	}
	kept = &r
	kept.table = t
	t.entries[r.name] = kept
	t.contentDigest += kept.digest()
	return old, kept
}

// entriesOf gives the rows of names, with those that are no more marked so.
func (t *table) entriesOf(names []string) []tableEntry {
	rows := make([]tableEntry, 0, len(names))
	for _, name := range names {
		if r := t.entries[name]; r != nil {
			rows = append(rows, *r)
			continue
		}
		rows = append(rows, tableEntry{name: name, removed: true})
	}
	return rows
}

// messageSince is the changes after a sequence where the log reaches back to it, else the whole table.
func (t *table) messageSince(after uint64, whole bool) *tableMessage {
	if names, ok := t.log.changedSince(after); ok && !whole {
		return &tableMessage{tableVersion: t.version(), baseSequence: after, entries: t.entriesOf(names)}
	}
	return &tableMessage{tableVersion: t.version(), full: true, entries: t.entriesOf(t.sortedNames())}
}
