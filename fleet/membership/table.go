package membership

import (
	"maps"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// row is one front end in the table of its home.
type row struct {
	name        string
	zone        string
	incarnation uint64
	state       State
	serves      bool // the home serves its view
	// challenged is when it answered a challenge at its home, by the clock of who told so; clock is nil for this side's.
	challenged monotime.Micros
	clock      *offset
	past       []uint64 // the last few earlier processes of its name, by the order of challenges at its home
	removed    bool     // in messages: the row is no more

	table *table
	ended monotime.Micros // when it was first Dead here
}

// answered is when it answered its challenge, by this side's clock.
func (r *row) answered() monotime.Micros { return r.clock.here(r.challenged) }

// table is the front ends of one process of a home.
type table struct {
	home     string
	epoch    uint64
	sequence uint64 // of batches
	sum      uint64 // over the rows
	rows     map[string]*row
	log      changeLog

	announced uint64          // the latest sequence that was told of it
	here      bool            // that was reached once
	present   bool            // the home's process is there, as package member sees it
	heard     monotime.Micros // when it was last Alive, as package member sees it, where it is not present
	absent    monotime.Micros // since when it is not
	silent    bool            // and was not heard for so long that another home's Dead of later counts more
	lapsed    bool            // and for so long that its rows' evidence is over

	pulled    monotime.Micros // states of bounded rates
	sumPulled monotime.Micros
}

func newTable(home string, epoch uint64) *table {
	return &table{home: home, epoch: epoch, rows: map[string]*row{}}
}

func (t *table) version() version { return version{t.home, t.epoch, t.sequence, t.sum} }

// names are those of its rows, in order.
func (t *table) names() []string { return slices.Sorted(maps.Keys(t.rows)) }

// sumAfter is the sum that the table would have after rows, which name each front end once.
func (t *table) sumAfter(rows []row) uint64 {
	sum := t.sum
	for i := range rows {
		if old := t.rows[rows[i].name]; old != nil {
			sum -= old.digest()
		}
		if !rows[i].removed {
			sum += rows[i].digest()
		}
	}
	return sum
}

// replacing is the changes that make the table hold just the rows, given by name.
func (t *table) replacing(rows []row) []row {
	list := slices.Clone(rows)
	for _, name := range t.names() {
		_, has := slices.BinarySearchFunc(rows, name, func(r row, name string) int { return strings.Compare(r.name, name) })
		if !has {
			list = append(list, row{name: name, removed: true})
		}
	}
	return list
}

// put sets or removes one row, and gives the old and the new one; nil for none.
func (t *table) put(r row) (old, kept *row) {
	old = t.rows[r.name]
	if old != nil {
		t.sum -= old.digest()
	}
	if r.removed {
		delete(t.rows, r.name)
		return old, nil
	}
	kept = &r
	kept.table = t
	t.rows[r.name] = kept
	t.sum += kept.digest()
	return old, kept
}

// list gives the rows of names, with those that are no more marked so.
func (t *table) list(names []string) []row {
	rows := make([]row, 0, len(names))
	for _, name := range names {
		if r := t.rows[name]; r != nil {
			rows = append(rows, *r)
			continue
		}
		rows = append(rows, row{name: name, removed: true})
	}
	return rows
}

// message is the changes after a sequence where the log reaches back to it, else the whole table.
func (t *table) message(after uint64, whole bool) *tableMessage {
	if names, ok := t.log.after(after); ok && !whole {
		return &tableMessage{version: t.version(), base: after, rows: t.list(names)}
	}
	return &tableMessage{version: t.version(), whole: true, rows: t.list(t.names())}
}
