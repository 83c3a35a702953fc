package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

// changeKind says what a change is.
type changeKind uint8

const (
	changeStarted changeKind = iota // a process has started
	changeEnded                     // a process has ended
)

// change is a start or end of a process that all responsive members have to learn. The first control member that
// observes it detects it; from then on it propagates to those that are responsive and reachable at that time.
type change struct {
	kind         changeKind
	subject      *member
	generation   int
	happenedAt   monotime.Micros
	detectedAt   monotime.Micros // 0 if it is not detected yet
	lastKnownAt  monotime.Micros // when the latest member so far observed it
	pending      []bool          // by index: who has to observe it; nil before it is detected
	pendingCount int
	measured     bool // it is part of the figures
}

// knownFrom reports whether a member with such an observation knows of the change, or of a later one. A process that
// has ended may be forgotten.
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

// observedIn reports whether an observation shows this change, and not a later one.
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

// updateChange follows a member's new observation of the subject of a change.
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
	if !c.observedIn(o) { // a later change has superseded it before it was detected
		t.removeChange(c)
		return
	}
	t.detect(c, p.member)
}

// detect begins to wait for all members that are responsive now, are reachable, and read what they are sent.
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

// markKnown records that a member knows of a change, or is not waited for any more because it is not responsive.
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

// complete follows the time when all know of a change.
func (t *groundTruth) complete(c *change) {
	t.removeChange(c)
	if c.measured {
		t.propagated = append(t.propagated, c)
	}
	c.pending = []bool{}
}

// stopWaitingFor has no change wait any more for a member that is not responsive.
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

// delays returns how long ends of processes took to be detected, and changes to propagate, both sorted.
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

// unreached returns how many detected changes some member still does not know of.
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
