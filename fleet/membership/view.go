package membership

import (
	"math"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// NeverConfirmed is the age of a view that was never confirmed.
const NeverConfirmed monotime.Micros = math.MaxInt64

const (
	// bucketCount is into how many buckets a view is divided to find what differs: at 2,700 entries one entry that
	// differs costs some 42.
	bucketCount = 64
	// allBuckets is the mask of a full view.
	allBuckets uint64 = math.MaxUint64
	// maxMissingAtHome bounds the entries that are remembered of what a home lacks. Beyond it all are dropped.
	maxMissingAtHome = 8192
	// maxInternedStrings bounds the zones and homes that are stored once; further ones are stored for each entry.
	maxInternedStrings = 1024
)

// bucketOf returns the bucket of a view that a name lies in.
func bucketOf(name string) int { return int(fnvOffset.addString(name).finalize() % bucketCount) }

// viewEntry is an entry with when its process answered a challenge, as far as that was reported: of two processes
// of one name the one challenged later is the later one.
type viewEntry struct {
	Entry
	challengedAt monotime.Micros // 0 if it was not reported
}

// View is all front ends of both roles, as one front end sees them. It is not safe for concurrent use.
type View struct {
	byName          map[string]*viewEntry
	byIncarnation   map[uint64]*viewEntry
	entries         []*viewEntry // by name
	bucketDigests   [bucketCount]uint64
	digest          uint64                // over all entries
	superseded      incarnationSet        // processes whose name has had a later one
	removed         incarnationSet        // processes whose entry was removed from the view
	missingAtHome   map[string]*viewEntry // entries that the home after a change of homes lacked, by name
	internedStrings map[string]string     // zones and homes, each stored once
	confirmedAt     monotime.Micros
	everConfirmed   bool
	authoritative   bool // a control member's own view has no age
	// hasConflict is set if an entry may show a superseded process, as reported by a control member that missed the
	// later one. The entry is stored as reported, since digests are over what was reported, and is shown as Dead.
	hasConflict bool
}

func newView() *View {
	return &View{
		byName:          map[string]*viewEntry{},
		byIncarnation:   map[uint64]*viewEntry{},
		internedStrings: map[string]string{},
	}
}

// Entries returns all entries by name. The slice is the caller's own.
func (v *View) Entries() []Entry {
	list := make([]Entry, len(v.entries))
	for i, e := range v.entries {
		list[i] = v.visibleEntry(e)
	}
	return list
}

// visibleEntry returns an entry as it is shown: a superseded process is Dead.
func (v *View) visibleEntry(e *viewEntry) Entry {
	visible := e.Entry
	if v.hasConflict && v.superseded.contains(e.Incarnation) {
		visible.State = Dead
	}
	return visible
}

// Lookup returns the entry of a name, and whether there is one.
func (v *View) Lookup(name string) (Entry, bool) {
	e := v.byName[name]
	if e == nil {
		return Entry{}, false
	}
	return v.visibleEntry(e), true
}

// Len returns the number of entries.
func (v *View) Len() int { return len(v.entries) }

// Digest returns the digest over all entries: views with the same entries have the same.
func (v *View) Digest() uint64 { return v.digest }

// PresumedDead reports whether a process is presumed to have ended: its name has a later one, it has left, or it
// was not seen anywhere for long.
func (v *View) PresumedDead(incarnation uint64) bool {
	if e := v.byIncarnation[incarnation]; e != nil && (e.State == Dead || e.State == Left) {
		return true
	}
	return v.superseded.contains(incarnation) || v.removed.contains(incarnation)
}

// Alive reports whether a process is seen alive.
func (v *View) Alive(incarnation uint64) bool {
	e := v.byIncarnation[incarnation]
	return e != nil && e.State == Alive && !v.superseded.contains(incarnation)
}

// Superseded reports whether the view has had a later process of that one's name.
func (v *View) Superseded(incarnation uint64) bool {
	return v.superseded.contains(incarnation)
}

// Age returns how long ago the home last confirmed this view, counted from the sending of the heartbeat that it
// answered. It is 0 at a control member, and NeverConfirmed for a view that was never confirmed.
func (v *View) Age(now monotime.Micros) monotime.Micros {
	switch {
	case v.authoritative:
		return 0
	case !v.everConfirmed:
		return NeverConfirmed
	}
	return max(0, now-v.confirmedAt)
}

// confirm notes that the home had this view at a time after the heartbeat was sent that it answered.
func (v *View) confirm(heartbeatSentAt monotime.Micros) {
	if !v.everConfirmed || heartbeatSentAt > v.confirmedAt {
		v.everConfirmed, v.confirmedAt = true, heartbeatSentAt
	}
}

// search returns the index of a name's entry, or where it would be inserted.
func (v *View) search(name string) (index int, found bool) {
	return slices.BinarySearchFunc(v.entries, name, compareViewEntryName)
}

func compareViewEntryName(e *viewEntry, name string) int { return strings.Compare(e.Name, name) }

// digestAfter returns the digest that the view would have after changes, which have each name once.
func (v *View) digestAfter(changes []change) uint64 {
	digest := v.digest
	for i := range changes {
		if old := v.byName[changes[i].Name]; old != nil {
			digest -= old.digest()
		}
		if !changes[i].removed {
			digest += changes[i].Entry.digest()
		}
	}
	return digest
}

// lenAfter returns how many entries the view would have after changes.
func (v *View) lenAfter(changes []change) int {
	n := len(v.entries)
	for i := range changes {
		_, found := v.byName[changes[i].Name]
		switch {
		case found && changes[i].removed:
			n--
		case !found && !changes[i].removed:
			n++
		}
	}
	return n
}

// changesTo returns the changes after which the buckets of the view in mask have just the entries, which are sorted by
// name.
func (v *View) changesTo(mask uint64, entries []change) []change {
	changes := make([]change, 0, len(entries))
	next := 0
	for _, e := range v.entries {
		for next < len(entries) && entries[next].Name < e.Name {
			changes = append(changes, entries[next])
			next++
		}
		if next < len(entries) && entries[next].Name == e.Name {
			changes = append(changes, entries[next])
			next++
			continue
		}
		if mask&(1<<bucketOf(e.Name)) != 0 {
			changes = append(changes, change{Entry: Entry{Name: e.Name}, removed: true})
		}
	}
	return append(changes, entries[next:]...)
}

// entriesIn returns the entries that lie in the buckets of mask, by name.
func (v *View) entriesIn(mask uint64) []change {
	var entries []change
	for _, e := range v.entries {
		if mask == allBuckets || mask&(1<<bucketOf(e.Name)) != 0 {
			entries = append(entries, change{Entry: e.Entry, challengedAt: e.challengedAt})
		}
	}
	return entries
}

// changesOf returns the changes that make a view have the same entries for the names.
func (v *View) changesOf(names []string) []change {
	changes := make([]change, 0, len(names))
	for _, name := range names {
		if e := v.byName[name]; e != nil {
			changes = append(changes, change{Entry: e.Entry, challengedAt: e.challengedAt})
			continue
		}
		changes = append(changes, change{Entry: Entry{Name: name}, removed: true})
	}
	return changes
}
