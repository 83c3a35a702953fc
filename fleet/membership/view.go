package membership

import (
	"math"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// NeverConfirmed is the age of a view that was never confirmed.
const NeverConfirmed monotime.Micros = math.MaxInt64

// viewEntry is an entry with when its process answered a challenge, as far as that was told: of two processes of one name the later.
type viewEntry struct {
	Entry
	challengedAt monotime.Micros // 0 where it was not
}

// View is all front ends of both roles, as one of them sees it.
type View struct {
	byName          map[string]*viewEntry
	byIncarnation   map[uint64]*viewEntry
	entries         []*viewEntry // by name
	bucketDigests   [bucketCount]uint64
	digest          uint64
	superseded      incarnationSet        // processes that were replaced
	removed         incarnationSet        // processes whose entry was taken out of the view
	missingAtHome   map[string]*viewEntry // entries that a home did not have to which this front end came, by name
	internedStrings map[string]string     // zones and homes, each kept once
	confirmedAt     monotime.Micros
	everConfirmed   bool // confirmed holds a time
	authoritative   bool // a control member's own view has no age
	// hasConflict says that an entry may show a process that this view has had replaced, as told by a control member that missed
	// that. It is kept as told, since digests are over what was told, and is shown as Dead.
	hasConflict bool
}

func newView() *View {
	return &View{byName: map[string]*viewEntry{}, byIncarnation: map[uint64]*viewEntry{}, internedStrings: map[string]string{}}
}

// Entries is all entries by name. It is the caller's own.
func (v *View) Entries() []Entry {
	list := make([]Entry, len(v.entries))
	for i, e := range v.entries {
		list[i] = v.visibleEntry(e)
	}
	return list
}

// visibleEntry is an entry as it is shown: a process that was replaced does not come back.
func (v *View) visibleEntry(e *viewEntry) Entry {
	shown := e.Entry
	if v.hasConflict && v.superseded.contains(e.Incarnation) {
		shown.State = Dead
	}
	return shown
}

// Lookup is the entry of a name.
func (v *View) Lookup(name string) (Entry, bool) {
	e := v.byName[name]
	if e == nil {
		return Entry{}, false
	}
	return v.visibleEntry(e), true
}

// Len is how many entries there are.
func (v *View) Len() int { return len(v.entries) }

// Digest is over all entries: views with the same entries have the same.
func (v *View) Digest() uint64 { return v.digest }

// PresumedDead says whether a process is held for no more: its name has another, it has left, or it is heard nowhere for long.
func (v *View) PresumedDead(incarnation uint64) bool {
	if e := v.byIncarnation[incarnation]; e != nil && (e.State == Dead || e.State == Left) {
		return true
	}
	return v.superseded.contains(incarnation) || v.removed.contains(incarnation)
}

// Alive says whether a process is seen alive.
func (v *View) Alive(incarnation uint64) bool {
	e := v.byIncarnation[incarnation]
	return e != nil && e.State == Alive && !v.superseded.contains(incarnation)
}

// Superseded says whether the view has had a later process under that one's name.
func (v *View) Superseded(incarnation uint64) bool {
	return v.superseded.contains(incarnation)
}

// Age is how long ago the home last confirmed this view, counted from when it was asked; at a control member 0, and
// NeverConfirmed for one that never was.
func (v *View) Age(now monotime.Micros) monotime.Micros {
	switch {
	case v.authoritative:
		return 0
	case !v.everConfirmed:
		return NeverConfirmed
	}
	return max(0, now-v.confirmedAt)
}

// confirm notes that the home had this view at a time after asked.
func (v *View) confirm(asked monotime.Micros) {
	if !v.everConfirmed || asked > v.confirmedAt {
		v.everConfirmed, v.confirmedAt = true, asked
	}
}

func (v *View) search(name string) (int, bool) {
	return slices.BinarySearchFunc(v.entries, name, func(e *viewEntry, name string) int { return strings.Compare(e.Name, name) })
}

// changeSource is where changes of a view come from.
type changeSource uint8

const (
	fromMerge       changeSource = iota // a control member's own merging, which is sure of which process is the later
	fromHomeChanges                     // changes that the home has told
	fromHomeBuckets                     // parts as the home has them, which may have missed what another home told before
)

// put sets one entry. What is told may come from a control member that missed the later process: then this side's order counts.
func (v *View) put(c *change, from changeSource) {
	e := &viewEntry{c.Entry, c.challengedAt}
	e.Zone, e.Home = v.intern(e.Zone), v.intern(e.Home)
	old := v.byName[e.Name]
	v.removed.remove(e.Incarnation)
	if from == fromMerge {
		v.superseded.remove(e.Incarnation)
	}
	if missing := v.missingAtHome[e.Name]; missing != nil {
		delete(v.missingAtHome, e.Name)
		v.recordOrder(missing, e, from)
	}
	switch {
	case old == nil:
		at, _ := v.search(e.Name)
		v.entries = slices.Insert(v.entries, at, e)
		v.byName[e.Name] = e
		v.index(e)
		v.updateDigests(e, 1)
	default:
		v.recordOrder(old, e, from)
		v.overwrite(old, e)
	}
	v.hasConflict = v.hasConflict || v.superseded.contains(e.Incarnation)
}

// recordOrder notes which of two processes of one name is past: the one known before, unless the other answered an earlier challenge.
func (v *View) recordOrder(old, e *viewEntry, from changeSource) {
	bothKnown := old.challengedAt != 0 && e.challengedAt != 0
	switch {
	case old.Incarnation == e.Incarnation:
		if bothKnown {
			e.challengedAt = min(e.challengedAt, old.challengedAt)
		}
	case from != fromMerge && bothKnown && e.challengedAt < old.challengedAt:
		v.superseded.add(e.Incarnation)
	default:
		v.superseded.add(old.Incarnation)
	}
}

func (v *View) overwrite(old, e *viewEntry) {
	v.updateDigests(old, -1)
	v.unindex(old)
	e.Name = old.Name
	*old = *e
	v.index(old)
	v.updateDigests(old, 1)
}

// maxMissingAtHome bounds the entries that are remembered of what a home does not have. Past it all are forgotten.
const maxMissingAtHome = 8192

// remove drops the entry of a name. It is gone where the home took it out; a home that does not have it may only have missed it.
func (v *View) remove(name string, from changeSource) {
	at, ok := v.search(name)
	if !ok {
		return
	}
	old := v.entries[at]
	v.entries = slices.Delete(v.entries, at, at+1)
	delete(v.byName, name)
	v.unindex(old)
	v.updateDigests(old, -1)
	if from != fromHomeBuckets {
		v.removed.add(old.Incarnation)
		return
	}
	if v.missingAtHome == nil || len(v.missingAtHome) >= maxMissingAtHome {
		v.missingAtHome = map[string]*viewEntry{}
	}
	v.missingAtHome[name] = old
}

func (v *View) index(e *viewEntry) {
	if e.Incarnation != 0 {
		v.byIncarnation[e.Incarnation] = e
	}
}

func (v *View) unindex(e *viewEntry) {
	if v.byIncarnation[e.Incarnation] == e {
		delete(v.byIncarnation, e.Incarnation)
	}
}

// updateDigests adds an entry to the sums, or takes it away.
func (v *View) updateDigests(e *viewEntry, sign int) {
	share := e.digest() * uint64(sign)
	v.bucketDigests[bucketOf(e.Name)] += share
	v.digest += share
}

// maxInternedStrings bounds the zones and homes that are kept once; beyond it they are kept as often as they come.
const maxInternedStrings = 1024

func (v *View) intern(s string) string {
	if kept, ok := v.internedStrings[s]; ok {
		return kept
	}
	if len(v.internedStrings) < maxInternedStrings {
		v.internedStrings[s] = s
	}
	return s
}

// digestAfter is the digest that the view would have after changes, which name each front end once.
func (v *View) digestAfter(changes []change) uint64 {
	total := v.digest
	for i := range changes {
		if old := v.byName[changes[i].Name]; old != nil {
			total -= old.digest()
		}
		if !changes[i].removed {
			total += changes[i].Entry.digest()
		}
	}
	return total
}

// lenAfter is how many entries the view would have after changes.
func (v *View) lenAfter(changes []change) int {
	n := len(v.entries)
	for i := range changes {
		_, has := v.byName[changes[i].Name]
		switch {
		case has && changes[i].removed:
			n--
		case !has && !changes[i].removed:
			n++
		}
	}
	return n
}

func (v *View) apply(changes []change, from changeSource) {
	for i := range changes {
		if changes[i].removed {
			v.remove(changes[i].Name, from)
			continue
		}
		v.put(&changes[i], from)
	}
}

// resolveConflicts ends the conflicts of those that the home shows alive for long, and says whether any are left.
func (v *View) resolveConflicts(long bool) bool {
	left := false
	for _, e := range v.entries {
		if !v.superseded.contains(e.Incarnation) {
			continue
		}
		if long && e.State == Alive {
			v.superseded.remove(e.Incarnation)
			continue
		}
		left = true
	}
	v.hasConflict = left
	return left
}

// changesTo is the changes that make the parts of the view in mask hold just the entries, given by name.
func (v *View) changesTo(mask uint64, entries []change) []change {
	list := make([]change, 0, len(entries))
	next := 0
	for _, e := range v.entries {
		for next < len(entries) && entries[next].Name < e.Name {
			list = append(list, entries[next])
			next++
		}
		if next < len(entries) && entries[next].Name == e.Name {
			list = append(list, entries[next])
			next++
			continue
		}
		if mask&(1<<bucketOf(e.Name)) != 0 {
			list = append(list, change{Entry: Entry{Name: e.Name}, removed: true})
		}
	}
	return append(list, entries[next:]...)
}

// entriesIn gives the entries that lie in the parts of mask, by name.
func (v *View) entriesIn(mask uint64) []change {
	var list []change
	for _, e := range v.entries {
		if mask == allBuckets || mask&(1<<bucketOf(e.Name)) != 0 {
			list = append(list, change{Entry: e.Entry, challengedAt: e.challengedAt})
		}
	}
	return list
}

// allBuckets is the mask of a whole view.
const allBuckets uint64 = math.MaxUint64
