package membership

import (
	"math"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// NeverConfirmed is the age of a view that was never confirmed.
const NeverConfirmed monotime.Micros = math.MaxInt64

// kept is an entry with when its process answered a challenge, as far as that was told: of two processes of one name the later.
type kept struct {
	Entry
	challenged monotime.Micros // 0 where it was not
}

// View is all front ends of both roles, as one of them sees it.
type View struct {
	byName        map[string]*kept
	byIncarnation map[uint64]*kept
	list          []*kept // by name
	sums          [buckets]uint64
	total         uint64
	past          pastSet           // processes that were replaced
	removed       pastSet           // processes whose entry was taken out of the view
	missingAtHome map[string]*kept  // entries that a home did not have to which this front end came, by name
	texts         map[string]string // zones and homes, each kept once
	confirmed     monotime.Micros
	known         bool // confirmed holds a time
	authority     bool // a control member's own view has no age
	// conflict says that an entry may show a process that this view has had replaced, as told by a control member that missed
	// that. It is kept as told, since digests are over what was told, and is shown as Dead.
	conflict bool
}

func newView() *View {
	return &View{byName: map[string]*kept{}, byIncarnation: map[uint64]*kept{}, texts: map[string]string{}}
}

// Entries is all entries by name. It is the caller's own.
func (v *View) Entries() []Entry {
	list := make([]Entry, len(v.list))
	for i, e := range v.list {
		list[i] = v.shown(e)
	}
	return list
}

// shown is an entry as it is shown: a process that was replaced does not come back.
func (v *View) shown(e *kept) Entry {
	shown := e.Entry
	if v.conflict && v.past.contains(e.Incarnation) {
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
	return v.shown(e), true
}

// Len is how many entries there are.
func (v *View) Len() int { return len(v.list) }

// Digest is over all entries: views with the same entries have the same.
func (v *View) Digest() uint64 { return v.total }

// PresumedDead says whether a process is held for no more: its name has another, it has left, or it is heard nowhere for long.
func (v *View) PresumedDead(incarnation uint64) bool {
	if e := v.byIncarnation[incarnation]; e != nil && (e.State == Dead || e.State == Left) {
		return true
	}
	return v.past.contains(incarnation) || v.removed.contains(incarnation)
}

// Alive says whether a process is seen alive.
func (v *View) Alive(incarnation uint64) bool {
	e := v.byIncarnation[incarnation]
	return e != nil && e.State == Alive && !v.past.contains(incarnation)
}

// Superseded says whether the view has had a later process under that one's name.
func (v *View) Superseded(incarnation uint64) bool {
	return v.past.contains(incarnation)
}

// Age is how long ago the home last confirmed this view, counted from when it was asked; at a control member 0, and
// NeverConfirmed for one that never was.
func (v *View) Age(now monotime.Micros) monotime.Micros {
	switch {
	case v.authority:
		return 0
	case !v.known:
		return NeverConfirmed
	}
	return max(0, now-v.confirmed)
}

// confirm notes that the home had this view at a time after asked.
func (v *View) confirm(asked monotime.Micros) {
	if !v.known || asked > v.confirmed {
		v.known, v.confirmed = true, asked
	}
}

func (v *View) place(name string) (int, bool) {
	return slices.BinarySearchFunc(v.list, name, func(e *kept, name string) int { return strings.Compare(e.Name, name) })
}

// source is where changes of a view come from.
type source uint8

const (
	merged   source = iota // a control member's own merging, which is sure of which process is the later
	followed               // changes that the home has told
	resumed                // parts as the home has them, which may have missed what another home told before
)

// put sets one entry. What is told may come from a control member that missed the later process: then this side's order counts.
func (v *View) put(c *change, from source) {
	e := &kept{c.Entry, c.challenged}
	e.Zone, e.Home = v.text(e.Zone), v.text(e.Home)
	old := v.byName[e.Name]
	v.removed.remove(e.Incarnation)
	if from == merged {
		v.past.remove(e.Incarnation)
	}
	if missing := v.missingAtHome[e.Name]; missing != nil {
		delete(v.missingAtHome, e.Name)
		v.order(missing, e, from)
	}
	switch {
	case old == nil:
		at, _ := v.place(e.Name)
		v.list = slices.Insert(v.list, at, e)
		v.byName[e.Name] = e
		v.index(e)
		v.count(e, 1)
	default:
		v.order(old, e, from)
		v.overwrite(old, e)
	}
	v.conflict = v.conflict || v.past.contains(e.Incarnation)
}

// order notes which of two processes of one name is past: the one known before, unless the other answered an earlier challenge.
func (v *View) order(old, e *kept, from source) {
	bothKnown := old.challenged != 0 && e.challenged != 0
	switch {
	case old.Incarnation == e.Incarnation:
		if bothKnown {
			e.challenged = min(e.challenged, old.challenged)
		}
	case from != merged && bothKnown && e.challenged < old.challenged:
		v.past.add(e.Incarnation)
	default:
		v.past.add(old.Incarnation)
	}
}

func (v *View) overwrite(old, e *kept) {
	v.count(old, -1)
	v.unindex(old)
	e.Name = old.Name
	*old = *e
	v.index(old)
	v.count(old, 1)
}

// mostMissingAtHome bounds the entries that are remembered of what a home does not have. Past it all are forgotten.
const mostMissingAtHome = 8192

// remove drops the entry of a name. It is gone where the home took it out; a home that does not have it may only have missed it.
func (v *View) remove(name string, from source) {
	at, ok := v.place(name)
	if !ok {
		return
	}
	old := v.list[at]
	v.list = slices.Delete(v.list, at, at+1)
	delete(v.byName, name)
	v.unindex(old)
	v.count(old, -1)
	if from != resumed {
		v.removed.add(old.Incarnation)
		return
	}
	if v.missingAtHome == nil || len(v.missingAtHome) >= mostMissingAtHome {
		v.missingAtHome = map[string]*kept{}
	}
	v.missingAtHome[name] = old
}

func (v *View) index(e *kept) {
	if e.Incarnation != 0 {
		v.byIncarnation[e.Incarnation] = e
	}
}

func (v *View) unindex(e *kept) {
	if v.byIncarnation[e.Incarnation] == e {
		delete(v.byIncarnation, e.Incarnation)
	}
}

// count adds an entry to the sums, or takes it away.
func (v *View) count(e *kept, sign int) {
	share := e.digest() * uint64(sign)
	v.sums[bucketOf(e.Name)] += share
	v.total += share
}

// mostTexts bounds the zones and homes that are kept once; beyond it they are kept as often as they come.
const mostTexts = 1024

func (v *View) text(s string) string {
	if kept, ok := v.texts[s]; ok {
		return kept
	}
	if len(v.texts) < mostTexts {
		v.texts[s] = s
	}
	return s
}

// digestAfter is the digest that the view would have after changes, which name each front end once.
func (v *View) digestAfter(changes []change) uint64 {
	total := v.total
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
	n := len(v.list)
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

func (v *View) apply(changes []change, from source) {
	for i := range changes {
		if changes[i].removed {
			v.remove(changes[i].Name, from)
			continue
		}
		v.put(&changes[i], from)
	}
}

// endConflicts ends the conflicts of those that the home shows alive for long, and says whether any are left.
func (v *View) endConflicts(long bool) bool {
	left := false
	for _, e := range v.list {
		if !v.past.contains(e.Incarnation) {
			continue
		}
		if long && e.State == Alive {
			v.past.remove(e.Incarnation)
			continue
		}
		left = true
	}
	v.conflict = left
	return left
}

// replacing is the changes that make the parts of the view in mask hold just the entries, given by name.
func (v *View) replacing(mask uint64, entries []change) []change {
	list := make([]change, 0, len(entries))
	next := 0
	for _, e := range v.list {
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

// in gives the entries that lie in the parts of mask, by name.
func (v *View) in(mask uint64) []change {
	var list []change
	for _, e := range v.list {
		if mask == allBuckets || mask&(1<<bucketOf(e.Name)) != 0 {
			list = append(list, change{Entry: e.Entry, challenged: e.challenged})
		}
	}
	return list
}

// allBuckets is the mask of a whole view.
const allBuckets uint64 = math.MaxUint64
