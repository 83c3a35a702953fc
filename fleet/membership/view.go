package membership

import (
	"math"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// NeverConfirmed is the age of a view that no home has confirmed yet.
const NeverConfirmed monotime.Micros = math.MaxInt64

const (
	// bucketCount is the number of buckets of a view. Views are compared by the digests of their buckets, and only
	// buckets that differ are sent: in a view of 2,700 entries, one differing entry makes the home send about 42.
	bucketCount = 64
	// allBuckets is the bucket mask of a full view.
	allBuckets uint64 = math.MaxUint64
	// maxMissingAtHome limits View.missingAtHome, which is cleared when it is full.
	maxMissingAtHome = 8192
	// maxInternedStrings limits the zones and homes that entries share; further ones are stored with each entry.
	maxInternedStrings = 1024
)

// bucketOf returns the bucket that a name belongs to.
func bucketOf(name string) int { return int(fnvOffset.addString(name).finalize() % bucketCount) }

// viewEntry is an entry and the time of its process's challenge, which orders the processes of one name.
type viewEntry struct {
	Entry
	challengedAt monotime.Micros // 0 if not reported
}

// View lists all front ends of both roles as one front end sees them. It is not safe for concurrent use.
type View struct {
	byName          map[string]*viewEntry
	byIncarnation   map[uint64]*viewEntry
	entries         []*viewEntry // by name
	bucketDigests   [bucketCount]uint64
	digest          uint64                // over all entries
	superseded      incarnationSet        // processes that a later one of their name has superseded
	removed         incarnationSet        // processes whose entry was removed from the view
	missingAtHome   map[string]*viewEntry // entries removed because a home lacked them in its buckets, by name
	internedStrings map[string]string     // zones and homes, each stored once
	confirmedAt     monotime.Micros       // when the heartbeat was sent whose answer last confirmed the view
	everConfirmed   bool
	authoritative   bool // a control member's own view, whose age is always 0
	// hasConflict is set if an entry may show a superseded process, as reported by a control member that missed the
	// later one. The entry is stored as reported, since the digests cover what was reported, but is shown as Dead.
	hasConflict bool
}

func newView() *View {
	return &View{
		byName:          map[string]*viewEntry{},
		byIncarnation:   map[uint64]*viewEntry{},
		internedStrings: map[string]string{},
	}
}

// Entries returns all entries, sorted by name, in a new slice.
func (v *View) Entries() []Entry {
	list := make([]Entry, len(v.entries))
	for i, e := range v.entries {
		list[i] = v.visibleEntry(e)
	}
	return list
}

// visibleEntry returns an entry as shown to callers: a superseded process is Dead.
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

// Digest returns the digest of all entries. Views with the same entries have the same digest.
func (v *View) Digest() uint64 { return v.digest }

// PresumedDead reports whether a process is presumed to have ended: it is Dead, has Left, is superseded by a later
// process of its name, or its entry was removed.
func (v *View) PresumedDead(incarnation uint64) bool {
	if e := v.byIncarnation[incarnation]; e != nil && (e.State == Dead || e.State == Left) {
		return true
	}
	return v.superseded.contains(incarnation) || v.removed.contains(incarnation)
}

// Alive reports whether the view shows a process as Alive.
func (v *View) Alive(incarnation uint64) bool {
	e := v.byIncarnation[incarnation]
	return e != nil && e.State == Alive && !v.superseded.contains(incarnation)
}

// Superseded reports whether the view has had a later process of the same name.
func (v *View) Superseded(incarnation uint64) bool {
	return v.superseded.contains(incarnation)
}

// Age returns how long ago the home last confirmed this view, counted from when the confirmed heartbeat was sent. It is
// 0 at a control member, and NeverConfirmed if no home has confirmed the view yet.
func (v *View) Age(now monotime.Micros) monotime.Micros {
	switch {
	case v.authoritative:
		return 0
	case !v.everConfirmed:
		return NeverConfirmed
	}
	return max(0, now-v.confirmedAt)
}

// confirm records that the home had this view when it answered the heartbeat that was sent at that time.
func (v *View) confirm(heartbeatSentAt monotime.Micros) {
	if !v.everConfirmed || heartbeatSentAt > v.confirmedAt {
		v.everConfirmed, v.confirmedAt = true, heartbeatSentAt
	}
}

// search returns the index of a name's entry, or the index at which to insert it.
func (v *View) search(name string) (index int, found bool) {
	return slices.BinarySearchFunc(v.entries, name, compareViewEntryName)
}

func compareViewEntryName(e *viewEntry, name string) int { return strings.Compare(e.Name, name) }

// digestAfter returns the digest that the view would have after the changes, which contain each name only once.
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

// lenAfter returns the number of entries that the view would have after the changes.
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

// changesTo returns the changes that make the buckets in mask contain exactly the given entries, which are sorted by
// name and lie in those buckets.
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

// entriesIn returns the entries of the buckets in mask, sorted by name.
func (v *View) entriesIn(mask uint64) []change {
	var entries []change
	for _, e := range v.entries {
		if mask == allBuckets || mask&(1<<bucketOf(e.Name)) != 0 {
			entries = append(entries, change{Entry: e.Entry, challengedAt: e.challengedAt})
		}
	}
	return entries
}

// changesOf returns the changes that bring the names in another view to their current entries in this view.
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
