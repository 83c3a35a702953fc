package membership

import (
	"fmt"
	"slices"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// sight is how one member sees another: the number of the other's process, from 1, and its state. 0: not in the view.
type sight uint32

func sightOf(order int, state membership.State) sight { return sight(order)<<2 | sight(state) }

func (v sight) order() int              { return int(v >> 2) }
func (v sight) state() membership.State { return membership.State(v & 3) }

// mostWords bounds the findings of a kind that are kept in words.
const mostWords = 20

// truth knows what really happened, and compares what members see with it.
type truth struct {
	s         *Sim
	orders    map[uint64]int // of each process at its place, by incarnation
	seen      [][]sight      // by the place that sees and the place that is seen
	highest   [][]uint16     // the latest process that was seen, likewise
	met       [][]uint64     // the processes that were ever seen, as bits by their number
	open      [][]*change    // changes that not all alive know yet, by the place that they are about
	count     int            // of those
	closed    []*change      // all alive know these
	recording bool           // changes from now on are part of the figures

	falseDeaths findings // of members that run and can be reached, in anybody's view
	pastBack    findings // a process that this member had seen replaced was seen again
	older       findings // one that it had never seen, though it had seen a later one
	differing   map[transition][]*place
	turns       map[[2]int]int // changes seen, by the two places, for those that are counted
}

func newTruth(s *Sim) *truth {
	t := &truth{s: s, orders: map[uint64]int{}, open: make([][]*change, len(s.places)), turns: map[[2]int]int{},
		differing: map[transition][]*place{}}
	for range s.places {
		t.seen = append(t.seen, make([]sight, len(s.places)))
		t.highest = append(t.highest, make([]uint16, len(s.places)))
		t.met = append(t.met, make([]uint64, len(s.places)))
	}
	return t
}

// changeKind says what changed.
type changeKind uint8

const (
	appeared changeKind = iota // a process is there
	vanished                   // a process has ended
)

// begin forgets what was found so far, and has changes count from now on.
func (t *truth) begin() {
	t.recording = true
	t.closed = nil
}

// change is something that all alive should come to know.
type change struct {
	kind    changeKind
	place   *place
	order   int
	since   monotime.Micros // when it happened
	noticed monotime.Micros // when the first control member saw it; 0: not yet
	known   monotime.Micros // when the last one so far did
	waiting []bool          // by place: who does not know yet
	left    int
	counts  bool // it is part of the figures
}

// shows says whether somebody who sees that knows of the change. One that ended may be forgotten.
func (c *change) shows(v sight) bool {
	switch {
	case v == 0:
		return c.kind == vanished
	case v.order() < c.order:
		return false
	case v.order() > c.order:
		return true
	}
	return c.kind == appeared || v.state() == membership.Dead || v.state() == membership.Left
}

// shownBy says whether that is the change itself, and not a later one.
func (c *change) shownBy(v sight) bool { return v != 0 && c.shows(v) && v.order() == c.order }

// began takes a process's start.
func (t *truth) began(q *process) {
	t.orders[q.incarnation] = q.order
	clear(t.seen[q.p.index])
	clear(t.highest[q.p.index])
	clear(t.met[q.p.index])
	q.seenDigest = 0
	t.add(&change{kind: appeared, place: q.p, order: q.order, since: t.s.now})
}

// ended takes a process's end. Nobody needs to learn any more that it was there.
func (t *truth) ended(q *process) {
	t.left(q.p.index)
	for _, c := range slices.Clone(t.open[q.p.index]) {
		if c.kind == appeared {
			t.drop(c)
		}
	}
	t.add(&change{kind: vanished, place: q.p, order: q.order, since: t.s.now})
}

func (t *truth) add(c *change) {
	c.counts = t.recording
	t.open[c.place.index] = append(t.open[c.place.index], c)
	t.count++
}

// left takes a member out of those that are waited for.
func (t *truth) left(index int) {
	if t.count == 0 {
		return
	}
	for _, p := range t.s.places {
		for _, c := range slices.Clone(t.open[p.index]) {
			if c.waiting != nil {
				t.learnt(c, index)
			}
		}
	}
}

// transition is two digests of a view, one after the other.
type transition struct{ from, to uint64 }

// Bounds of what is remembered of transitions.
const (
	mostTransitions = 100_000
	mostDiffering   = 256 // above it a whole walk is cheaper
)

// watch compares a process's view with what it was, where its digest has changed. Views of the same digest hold the same entries,
// so who differs between two digests is found once, and is the same for all members that go from one to the other.
func (t *truth) watch(q *process) {
	step := transition{q.seenDigest, q.view().Digest()}
	if step.from == step.to {
		return
	}
	q.seenDigest = step.to
	differing, known := t.differing[step]
	if known && len(differing) <= mostDiffering {
		for _, subject := range differing {
			t.lookAt(q, subject)
		}
		return
	}
	if len(t.differing) >= mostTransitions {
		clear(t.differing)
	}
	t.differing[step] = t.look(q)
}

// lookAt compares how a process sees one other with how it did.
func (t *truth) lookAt(q *process, subject *place) {
	v := sight(0)
	if e, ok := q.view().Lookup(subject.name); ok {
		v = sightOf(t.order(subject, e.Incarnation), e.State)
	}
	if v != t.seen[q.p.index][subject.index] {
		t.observe(q, subject, v)
	}
}

// look compares a process's view with what it was, and gives who differs. Both are by name, so that one walk finds all.
func (t *truth) look(q *process) (differing []*place) {
	list := q.view().Entries()
	seen := t.seen[q.p.index]
	for _, subject := range t.s.sorted {
		v := sight(0)
		if len(list) > 0 && list[0].Name == subject.name {
			v = sightOf(t.order(subject, list[0].Incarnation), list[0].State)
			list = list[1:]
		}
		if v != seen[subject.index] {
			t.observe(q, subject, v)
			differing = append(differing, subject)
		}
	}
	if len(list) > 0 {
		t.s.fail(fmt.Errorf("membership: %s sees %q, which there is not", q.p.name, list[0].Name))
	}
	return differing
}

// order is the number of a process at its place; mostly it is the last one.
func (t *truth) order(subject *place, incarnation uint64) int {
	if subject.proc != nil && subject.proc.incarnation == incarnation {
		return subject.births
	}
	return t.orders[incarnation]
}

// observe takes that one member now sees another in another way.
func (t *truth) observe(q *process, subject *place, v sight) {
	at, about := q.p.index, subject.index
	t.seen[at][about] = v
	if _, counted := t.turns[[2]int{at, about}]; counted {
		t.turns[[2]int{at, about}]++
	}
	if v != 0 {
		t.judge(q, subject, v)
	}
	for _, c := range slices.Clone(t.open[about]) {
		t.inform(c, q, v)
	}
}

// judge finds what a member ought not to see.
func (t *truth) judge(q *process, subject *place, v sight) {
	t.past(q, subject, v)
	if v.state() == membership.Dead && t.wronglyDead(q.p, subject, v.order()) {
		t.falseDeaths.add(t.s, "%s sees %s dead, which runs", q.p.name, subject.name)
	}
}

// past notes which processes a member sees, and finds those that it ought not to see any more but as dead.
func (t *truth) past(q *process, subject *place, v sight) {
	highest, met := &t.highest[q.p.index][subject.index], &t.met[q.p.index][subject.index]
	bit := uint64(1) << (v.order() % 64)
	if v.order() < int(*highest) && v.state() != membership.Dead {
		found := &t.older
		if *met&bit != 0 {
			found = &t.pastBack
		}
		found.add(t.s, "%s sees process %d of %s %s after %d", q.p.name, v.order(), subject.name, v.state(), *highest)
	}
	*met |= bit
	*highest = max(*highest, uint16(v.order()))
}

// staleAfterStop is for how long the word may still be about that a member is dead that stood still and goes on.
const staleAfterStop = 2 * second

// wronglyDead says whether a member runs, and is where the one who holds it for dead could have known.
func (t *truth) wronglyDead(by, subject *place, order int) bool {
	if subject.resumed != 0 && t.s.now-subject.resumed < staleAfterStop {
		return false
	}
	return subject.running() && subject.births == order && t.s.network.sameSide(by, subject)
}

// inform takes what one member sees of what a change is about.
func (t *truth) inform(c *change, q *process, v sight) {
	if c.waiting != nil {
		if c.shows(v) {
			t.learnt(c, q.p.index)
		}
		return
	}
	if q.control == nil || q.p == c.place || v == 0 || !c.shows(v) {
		return
	}
	if !c.shownBy(v) { // a later one made it void before anybody saw it
		t.drop(c)
		return
	}
	t.notice(c, q)
}

// notice begins to wait for all that run now, could know, and read what they are sent.
func (t *truth) notice(c *change, q *process) {
	c.noticed, c.known = t.s.now, t.s.now
	c.waiting = make([]bool, len(t.s.places))
	for _, p := range t.s.places {
		waits := p != c.place && p.running() && p.room == linkQueue && t.s.network.sameSide(p, q.p)
		if waits && !c.shows(t.seen[p.index][c.place.index]) {
			c.waiting[p.index] = true
			c.left++
		}
	}
	if c.left == 0 {
		t.close(c)
	}
}

// learnt takes that a member knows, or is no more waited for.
func (t *truth) learnt(c *change, index int) {
	if !c.waiting[index] {
		return
	}
	c.waiting[index] = false
	c.left--
	if t.s.places[index].running() {
		c.known = t.s.now
	}
	if c.left == 0 {
		t.close(c)
	}
}

func (t *truth) close(c *change) {
	t.drop(c)
	if c.counts {
		t.closed = append(t.closed, c)
	}
	c.waiting = []bool{}
}

func (t *truth) drop(c *change) {
	list := t.open[c.place.index]
	if place := slices.Index(list, c); place >= 0 {
		t.open[c.place.index] = slices.Delete(list, place, place+1)
		t.count--
	}
}

// findings are things of one kind that ought not to be.
type findings struct {
	count int
	words []string // the first ones
}

func (f *findings) add(s *Sim, format string, args ...any) {
	f.count++
	if len(f.words) < mostWords {
		f.words = append(f.words, fmt.Sprintf("%.3f s: ", float64(s.now)/float64(second))+fmt.Sprintf(format, args...))
	}
}

// disagreement is a member whose view differs from the truth.
type disagreement struct {
	by, about string
	sees      string
}

// compare gives what views have wrong, at most so many.
func (t *truth) compare(most int) (list []disagreement) {
	for _, p := range t.s.places {
		if !p.running() {
			continue
		}
		t.look(p.proc) // what a view shows may change where its digest, which is over what was told, does not
		for i, v := range t.seen[p.index] {
			if subject := t.s.places[i]; !agrees(subject, v) {
				list = append(list, disagreement{p.name, subject.name, v.String()})
			}
			if len(list) >= most {
				return list
			}
		}
	}
	return list
}

// agrees says whether that is how a member is to be seen in the end. One that ended may be forgotten.
func agrees(subject *place, v sight) bool {
	switch {
	case subject.proc != nil:
		return v != 0 && v.order() == subject.births && v.state() == membership.Alive
	case v == 0:
		return true
	}
	return v.order() == subject.births && (v.state() == membership.Dead || v.state() == membership.Left)
}

func (v sight) String() string {
	if v == 0 {
		return "not at all"
	}
	return fmt.Sprintf("process %d %s", v.order(), v.state())
}
