package membership

import (
	"fmt"
	"slices"
)

// digestTransition is the change of a view's digest from one value to the next.
type digestTransition struct{ from, to uint64 }

// Limits of the cache of differences by transition.
const (
	maxCachedTransitions = 100_000
	maxCachedDifferences = 256 // of a transition; with more, comparing whole views is cheaper
)

// compareOnDigestChange compares a process's view with its previous observations, if the digest of the view has
// changed. Views with the same digest have the same entries, so the members that differ between two digests are
// determined once for all processes whose views make the same transition.
func (t *groundTruth) compareOnDigestChange(p *process) {
	transition := digestTransition{p.comparedDigest, p.view().Digest()}
	if transition.from == transition.to {
		return
	}
	p.comparedDigest = transition.to
	differing, known := t.differencesByTransition[transition]
	if known && len(differing) <= maxCachedDifferences {
		for _, subject := range differing {
			t.compareEntry(p, subject)
		}
		return
	}
	if len(t.differencesByTransition) >= maxCachedTransitions {
		clear(t.differencesByTransition)
	}
	t.differencesByTransition[transition] = t.compareView(p)
}

// compareEntry compares one entry of a process's view with its previous observation.
func (t *groundTruth) compareEntry(p *process, subject *member) {
	o := notObserved
	if entry, ok := p.view().Lookup(subject.name); ok {
		o = newObservation(t.generationOf(subject, entry.Incarnation), entry.State)
	}
	if o != t.observations[p.member.index][subject.index] {
		t.observe(p, subject, o)
	}
}

// compareView compares a process's whole view with its previous observations, and returns the members that differ. One
// pass is enough, because both the view and sortedByName are in order of names.
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
		t.sim.fail(fmt.Errorf("the view of %s has an unknown member %q", p.member.name, entries[0].Name))
	}
	return differing
}

// observe records and checks a changed observation of a member in a process's view.
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
