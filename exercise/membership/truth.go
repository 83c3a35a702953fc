package membership

import (
	"fmt"
	"slices"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// observation is how one member sees another: the number of the other's process, from 1, and its state. 0: not in the view.
type observation uint32

func newObservation(order int, state membership.State) observation {
	return observation(order)<<2 | observation(state)
}

func (v observation) generation() int         { return int(v >> 2) }
func (v observation) state() membership.State { return membership.State(v & 3) }

// maxDescribedFindings bounds the findings of a kind that are kept in words.
const maxDescribedFindings = 20

// groundTruth knows what really happened, and compares what members see with it.
type groundTruth struct {
	sim               *simulation
	generations       map[uint64]int  // of each process at its place, by incarnation
	observations      [][]observation // by the place that sees and the place that is seen
	highestGeneration [][]uint16      // the latest process that was seen, likewise
	seenGenerations   [][]uint64      // the processes that were ever seen, as bits by their number
	openChanges       [][]*change     // changes that not all alive know yet, by the place that they are about
	openCount         int             // of those
	propagated        []*change       // all alive know these
	recording         bool            // changes from now on are part of the figures

	falseDeaths             findings // of members that run and can be reached, in anybody's view
	resurrections           findings // a process that this member had seen replaced was seen again
	outOfOrder              findings // one that it had never seen, though it had seen a later one
	differencesByTransition map[digestTransition][]*member
	observedFlaps           map[[2]int]int // changes seen, by the two places, for those that are counted
}

func newGroundTruth(s *simulation) *groundTruth {
	t := &groundTruth{sim: s, generations: map[uint64]int{}, openChanges: make([][]*change, len(s.members)), observedFlaps: map[[2]int]int{},
		differencesByTransition: map[digestTransition][]*member{}}
	for range s.members {
		t.observations = append(t.observations, make([]observation, len(s.members)))
		t.highestGeneration = append(t.highestGeneration, make([]uint16, len(s.members)))
		t.seenGenerations = append(t.seenGenerations, make([]uint64, len(s.members)))
	}
	return t
}

// changeKind says what changed.
type changeKind uint8

const (
	changeStarted changeKind = iota // a process is there
	changeEnded                     // a process has ended
)

// startRecording forgets what was found so far, and has changes count from now on.
func (t *groundTruth) startRecording() {
	t.recording = true
	t.propagated = nil
}

// change is something that all alive should come to know.
type change struct {
	kind         changeKind
	subject      *member
	generation   int
	happenedAt   monotime.Micros // when it happened
	detectedAt   monotime.Micros // when the first control member saw it; 0: not yet
	lastKnownAt  monotime.Micros // when the last one so far did
	pending      []bool          // by place: who does not know yet
	pendingCount int
	measured     bool // it is part of the figures
}

// knownFrom says whether somebody who sees that knows of the change. One that ended may be forgotten.
func (c *change) knownFrom(v observation) bool {
	switch {
	case v == 0:
		return c.kind == changeEnded
	case v.generation() < c.generation:
		return false
	case v.generation() > c.generation:
		return true
	}
	return c.kind == changeStarted || v.state() == membership.Dead || v.state() == membership.Left
}

// shownBy says whether that is the change itself, and not a later one.
func (c *change) shownBy(v observation) bool {
	return v != 0 && c.knownFrom(v) && v.generation() == c.generation
}

// recordStart takes a process's start.
func (t *groundTruth) recordStart(q *process) {
	t.generations[q.incarnation] = q.generation
	clear(t.observations[q.member.index])
	clear(t.highestGeneration[q.member.index])
	clear(t.seenGenerations[q.member.index])
	q.comparedDigest = 0
	t.openChange(&change{kind: changeStarted, subject: q.member, generation: q.generation, happenedAt: t.sim.now})
}

// recordEnd takes a process's end. Nobody needs to learn any more that it was there.
func (t *groundTruth) recordEnd(q *process) {
	t.stopWaitingFor(q.member.index)
	for _, c := range slices.Clone(t.openChanges[q.member.index]) {
		if c.kind == changeStarted {
			t.removeChange(c)
		}
	}
	t.openChange(&change{kind: changeEnded, subject: q.member, generation: q.generation, happenedAt: t.sim.now})
}

func (t *groundTruth) openChange(c *change) {
	c.measured = t.recording
	t.openChanges[c.subject.index] = append(t.openChanges[c.subject.index], c)
	t.openCount++
}

// stopWaitingFor takes a member out of those that are waited for.
func (t *groundTruth) stopWaitingFor(index int) {
	if t.openCount == 0 {
		return
	}
	for _, p := range t.sim.members {
		for _, c := range slices.Clone(t.openChanges[p.index]) {
			if c.pending != nil {
				t.markKnown(c, index)
			}
		}
	}
}

// digestTransition is two digests of a view, one after the other.
type digestTransition struct{ from, to uint64 }

// Bounds of what is remembered of transitions.
const (
	maxRememberedTransitions = 100_000
	maxRememberedDifferences = 256 // above it a whole walk is cheaper
)

// compareOnDigestChange compares a process's view with what it was, where its digest has changed. Views of the same digest hold the same entries,
// so who differs between two digests is found once, and is the same for all members that go from one to the other.
func (t *groundTruth) compareOnDigestChange(q *process) {
	step := digestTransition{q.comparedDigest, q.view().Digest()}
	if step.from == step.to {
		return
	}
	q.comparedDigest = step.to
	differing, known := t.differencesByTransition[step]
	if known && len(differing) <= maxRememberedDifferences {
		for _, subject := range differing {
			t.compareEntry(q, subject)
		}
		return
	}
	if len(t.differencesByTransition) >= maxRememberedTransitions {
		clear(t.differencesByTransition)
	}
	t.differencesByTransition[step] = t.compareView(q)
}

// compareEntry compares how a process sees one other with how it did.
func (t *groundTruth) compareEntry(q *process, subject *member) {
	v := observation(0)
	if e, ok := q.view().Lookup(subject.name); ok {
		v = newObservation(t.generation(subject, e.Incarnation), e.State)
	}
	if v != t.observations[q.member.index][subject.index] {
		t.observe(q, subject, v)
	}
}

// compareView compares a process's view with what it was, and gives who differs. Both are by name, so that one walk finds all.
func (t *groundTruth) compareView(q *process) (differing []*member) {
	list := q.view().Entries()
	seen := t.observations[q.member.index]
	for _, subject := range t.sim.sortedByName {
		v := observation(0)
		if len(list) > 0 && list[0].Name == subject.name {
			v = newObservation(t.generation(subject, list[0].Incarnation), list[0].State)
			list = list[1:]
		}
		if v != seen[subject.index] {
			t.observe(q, subject, v)
			differing = append(differing, subject)
		}
	}
	if len(list) > 0 {
		t.sim.fail(fmt.Errorf("membership: %s sees %q, which there is not", q.member.name, list[0].Name))
	}
	return differing
}

// generation is the number of a process at its place; mostly it is the last one.
func (t *groundTruth) generation(subject *member, incarnation uint64) int {
	if subject.process != nil && subject.process.incarnation == incarnation {
		return subject.generation
	}
	return t.generations[incarnation]
}

// observe takes that one member now sees another in another way.
func (t *groundTruth) observe(q *process, subject *member, v observation) {
	at, about := q.member.index, subject.index
	t.observations[at][about] = v
	if _, counted := t.observedFlaps[[2]int{at, about}]; counted {
		t.observedFlaps[[2]int{at, about}]++
	}
	if v != 0 {
		t.check(q, subject, v)
	}
	for _, c := range slices.Clone(t.openChanges[about]) {
		t.updateChange(c, q, v)
	}
}

// check finds what a member ought not to see.
func (t *groundTruth) check(q *process, subject *member, v observation) {
	t.checkGeneration(q, subject, v)
	if v.state() == membership.Dead && t.falselyDead(q.member, subject, v.generation()) {
		t.falseDeaths.add(t.sim, "%s sees %s dead, which runs", q.member.name, subject.name)
	}
}

// checkGeneration notes which processes a member sees, and finds those that it ought not to see any more but as dead.
func (t *groundTruth) checkGeneration(q *process, subject *member, v observation) {
	highest, met := &t.highestGeneration[q.member.index][subject.index], &t.seenGenerations[q.member.index][subject.index]
	bit := uint64(1) << (v.generation() % 64)
	if v.generation() < int(*highest) && v.state() != membership.Dead {
		found := &t.outOfOrder
		if *met&bit != 0 {
			found = &t.resurrections
		}
		found.add(t.sim, "%s sees process %d of %s %s after %d", q.member.name, v.generation(), subject.name, v.state(), *highest)
	}
	*met |= bit
	*highest = max(*highest, uint16(v.generation()))
}

// resumeGracePeriod is for how long the word may still be about that a member is dead that stood still and goes on.
const resumeGracePeriod = 2 * monotime.Second

// falselyDead says whether a member runs, and is where the one who holds it for dead could have known.
func (t *groundTruth) falselyDead(by, subject *member, order int) bool {
	if subject.resumedAt != 0 && t.sim.now-subject.resumedAt < resumeGracePeriod {
		return false
	}
	return subject.responsive() && subject.generation == order && t.sim.network.indirectlyReachable(by, subject)
}

// updateChange takes what one member sees of what a change is about.
func (t *groundTruth) updateChange(c *change, q *process, v observation) {
	if c.pending != nil {
		if c.knownFrom(v) {
			t.markKnown(c, q.member.index)
		}
		return
	}
	if q.control == nil || q.member == c.subject || v == 0 || !c.knownFrom(v) {
		return
	}
	if !c.shownBy(v) { // a later one made it void before anybody saw it
		t.removeChange(c)
		return
	}
	t.detect(c, q)
}

// detect begins to wait for all that run now, could know, and read what they are sent.
func (t *groundTruth) detect(c *change, q *process) {
	c.detectedAt, c.lastKnownAt = t.sim.now, t.sim.now
	c.pending = make([]bool, len(t.sim.members))
	for _, p := range t.sim.members {
		waits := p != c.subject && p.responsive() && p.queueLimit == defaultQueueLimit && t.sim.network.indirectlyReachable(p, q.member)
		if waits && !c.knownFrom(t.observations[p.index][c.subject.index]) {
			c.pending[p.index] = true
			c.pendingCount++
		}
	}
	if c.pendingCount == 0 {
		t.complete(c)
	}
}

// markKnown takes that a member knows, or is no more waited for.
func (t *groundTruth) markKnown(c *change, index int) {
	if !c.pending[index] {
		return
	}
	c.pending[index] = false
	c.pendingCount--
	if t.sim.members[index].responsive() {
		c.lastKnownAt = t.sim.now
	}
	if c.pendingCount == 0 {
		t.complete(c)
	}
}

func (t *groundTruth) complete(c *change) {
	t.removeChange(c)
	if c.measured {
		t.propagated = append(t.propagated, c)
	}
	c.pending = []bool{}
}

func (t *groundTruth) removeChange(c *change) {
	list := t.openChanges[c.subject.index]
	if place := slices.Index(list, c); place >= 0 {
		t.openChanges[c.subject.index] = slices.Delete(list, place, place+1)
		t.openCount--
	}
}

// findings are things of one kind that ought not to be.
type findings struct {
	count        int
	descriptions []string // the first ones
}

func (f *findings) add(s *simulation, format string, args ...any) {
	f.count++
	if len(f.descriptions) < maxDescribedFindings {
		f.descriptions = append(f.descriptions, fmt.Sprintf("%.3f s: ", float64(s.now)/float64(monotime.Second))+fmt.Sprintf(format, args...))
	}
}

// disagreement is a member whose view differs from the truth.
type disagreement struct {
	observer, subject string
	observed          string
}

// disagreements gives what views have wrong, at most so many.
func (t *groundTruth) disagreements(most int) (list []disagreement) {
	for _, p := range t.sim.members {
		if !p.responsive() {
			continue
		}
		t.compareView(p.process) // what a view shows may change where its digest, which is over what was told, does not
		for i, v := range t.observations[p.index] {
			if subject := t.sim.members[i]; !agrees(subject, v) {
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
func agrees(subject *member, v observation) bool {
	switch {
	case subject.process != nil:
		return v != 0 && v.generation() == subject.generation && v.state() == membership.Alive
	case v == 0:
		return true
	}
	return v.generation() == subject.generation && (v.state() == membership.Dead || v.state() == membership.Left)
}

func (v observation) String() string {
	if v == 0 {
		return "not at all"
	}
	return fmt.Sprintf("process %d %s", v.generation(), v.state())
}
