package membership

import (
	"fmt"
	"slices"
)

// digestTransition is two digests of a view, one after the other.
type digestTransition struct{ from, to uint64 }

// Limits of what is remembered of transitions.
const (
	maxRememberedTransitions = 100_000
	maxRememberedDifferences = 256 // of a transition; beyond, comparing whole views is cheaper
)

// compareOnDigestChange compares a process's view with what was observed before, if its digest has changed. Views
// with the same digest have the same entries, so the members that differ between two digests are found once for all
// processes that go from the one to the other.
func (t *groundTruth) compareOnDigestChange(p *process) {
	transition := digestTransition{p.comparedDigest, p.view().Digest()}
	if transition.from == transition.to {
		return
	}
	p.comparedDigest = transition.to
	differing, known := t.differencesByTransition[transition]
	if known && len(differing) <= maxRememberedDifferences {
		for _, subject := range differing {
			t.compareEntry(p, subject)
		}
		return
	}
	if len(t.differencesByTransition) >= maxRememberedTransitions {
		clear(t.differencesByTransition)
	}
	t.differencesByTransition[transition] = t.compareView(p)
}

// compareEntry compares one entry of a process's view with what was observed before.
func (t *groundTruth) compareEntry(p *process, subject *member) {
	o := notObserved
	if entry, ok := p.view().Lookup(subject.name); ok {
		o = newObservation(t.generationOf(subject, entry.Incarnation), entry.State)
	}
	if o != t.observations[p.member.index][subject.index] {
		t.observe(p, subject, o)
	}
}

// compareView compares a process's whole view with what was observed before, and returns the members that differ. View
// and members are both in order of names, so that one pass is enough.
func (t *groundTruth) compareView(p *process) (differing []*member) {
	entries := p.view().Entries()
	before := t.observations[p.member.index]
	for _, subject := range t.sim.sortedByName {
		o := notObserved
		if len(entries) > 0 && entries[0].Name == subject.name {
			o = newObservation(t.generationOf(subject, entries[0].Incarnation), entries[0].State)
			entries = entries[1:]
		}
		if o != before[subject.index] {
			t.observe(p, subject, o)
			differing = append(differing, subject)
		}
	}
	if len(entries) > 0 {
		t.sim.fail(fmt.Errorf("%s sees %q, which does not exist", p.member.name, entries[0].Name))
	}
	return differing
}

// observe records that a process's view has a member in another way than before.
func (t *groundTruth) observe(p *process, subject *member, o observation) {
	t.observations[p.member.index][subject.index] = o
	pair := memberPair{p.member.index, subject.index}
	if _, counted := t.observedFlaps[pair]; counted {
		t.observedFlaps[pair]++
	}
	if o != notObserved {
		t.checkGeneration(p, subject, o)
		t.checkFalseDeath(p, subject, o)
	}
	for _, c := range slices.Clone(t.openChanges[subject.index]) {
		t.updateChange(c, p, o)
	}
}
