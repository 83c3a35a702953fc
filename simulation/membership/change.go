package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

// changeKind is the kind of a change.
type changeKind uint8

const (
	changeStarted changeKind = iota // a process has started
	changeEnded                     // a process has ended
)

// change is a start or end of a process. It is detected when the first control member observes it. Its propagation is
// complete when all members observe it that were responsive and reachable at its detection.
type change struct {
	kind         changeKind
	subject      *member
	generation   int
	happenedAt   monotime.Micros
	detectedAt   monotime.Micros // 0 if it is not detected yet
	lastKnownAt  monotime.Micros // when the latest member so far came to know of it
	pending      []bool          // by index: members that don't know of it yet; nil before it is detected
	pendingCount int
	measured     bool // it is included in the figures
}

// knownFrom reports whether a member with observation o knows of the change or of a later one of the same subject. A
// view may omit a process that has ended.
func (c *change) knownFrom(o observation) bool {
	switch {
	case o == notObserved:
		return c.kind == changeEnded
	case o.generation() < c.generation:
		return false
	case o.generation() > c.generation:
		return true
	}
	return c.kind == changeStarted || o.ended()
}

// observedIn reports whether observation o shows this change and not a later one.
func (c *change) observedIn(o observation) bool {
	return o != notObserved && c.knownFrom(o) && o.generation() == c.generation
}

func (t *groundTruth) addChange(kind changeKind, p *process) {
	index := p.member.index
	t.openChanges[index] = append(t.openChanges[index], &change{
		kind:       kind,
		subject:    p.member,
		generation: p.generation,
		happenedAt: t.sim.now,
		measured:   t.measuring,
	})
	t.openCount++
}

func (t *groundTruth) removeChange(c *change) {
	list := t.openChanges[c.subject.index]
	if index := slices.Index(list, c); index >= 0 {
		t.openChanges[c.subject.index] = slices.Delete(list, index, index+1)
		t.openCount--
	}
}

// updateChange applies a process's new observation of the subject to a change.
func (t *groundTruth) updateChange(c *change, p *process, o observation) {
	if c.pending != nil {
		if c.knownFrom(o) {
			t.markKnown(c, p.member.index)
		}
		return
	}
	if p.control == nil || p.member == c.subject || o == notObserved || !c.knownFrom(o) {
		return
	}
	if !c.observedIn(o) { // superseded by a later change before it was detected
		t.removeChange(c)
		return
	}
	t.detect(c, p.member)
}

// detect records the detection of a change. It awaits the members that are responsive, reachable and not slow readers
// at this time.
func (t *groundTruth) detect(c *change, detector *member) {
	c.detectedAt = t.sim.now
	c.lastKnownAt = t.sim.now
	c.pending = make([]bool, len(t.sim.members))
	for _, m := range t.sim.members {
		reads := m.queueLimit == defaultQueueLimit
		awaited := m != c.subject && m.responsive() && reads && t.sim.network.indirectlyReachable(m, detector)
		if awaited && !c.knownFrom(t.observations[m.index][c.subject.index]) {
			c.pending[m.index] = true
			c.pendingCount++
		}
	}
	if c.pendingCount == 0 {
		t.complete(c)
	}
}

// markKnown stops awaiting a member that knows of the change, or that is no longer responsive. It updates lastKnownAt
// only in the first case.
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

// complete removes a change that all awaited members know of from the open changes.
func (t *groundTruth) complete(c *change) {
	t.removeChange(c)
	if c.measured {
		t.propagated = append(t.propagated, c)
	}
	c.pending = []bool{}
}

// stopWaitingFor stops awaiting a member that is no longer responsive, for all changes.
func (t *groundTruth) stopWaitingFor(index int) {
	if t.openCount == 0 {
		return
	}
	for _, m := range t.sim.members {
		for _, c := range slices.Clone(t.openChanges[m.index]) {
			if c.pending != nil {
				t.markKnown(c, index)
			}
		}
	}
}

// delays returns the detection times of ended processes and the propagation delays of changes, both sorted. It omits
// changes that are not measured or not known to all awaited members yet.
func (t *groundTruth) delays() (detection, propagation []monotime.Micros) {
	for _, c := range t.propagated {
		propagation = append(propagation, c.lastKnownAt-c.detectedAt)
		if c.kind == changeEnded {
			detection = append(detection, c.detectedAt-c.happenedAt)
		}
	}
	slices.Sort(detection)
	slices.Sort(propagation)
	return detection, propagation
}

// unreached returns the number of measured and detected changes that are not known to all awaited members yet.
func (t *groundTruth) unreached() (count int) {
	for _, list := range t.openChanges {
		for _, c := range list {
			if c.measured && c.pending != nil {
				count++
			}
		}
	}
	return count
}
