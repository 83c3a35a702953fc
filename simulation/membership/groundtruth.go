package membership

import (
	"fmt"
	"slices"
)

// groundTruth knows which processes really run, and compares all views with that.
type groundTruth struct {
	sim          *simulation
	generations  map[uint64]int  // of each process, by incarnation
	observations [][]observation // by the index of the observer and of the subject

	// Propagation of changes; see change.
	openChanges [][]*change // not yet known to all, by the index of the subject
	openCount   int
	propagated  []*change // known to all, of those that are measured
	measuring   bool      // changes from now on are measured

	// Errors of views; see findings.
	highestGeneration [][]uint16 // that was ever observed, by observer and subject
	seenGenerations   [][]uint64 // those that were ever observed, as bits
	falseDeaths       findings   // a process that runs and is reachable was observed as dead
	resurrections     findings   // a process was observed again after a later one
	outOfOrder        findings   // a process was observed for the first time after a later one

	differencesByTransition map[digestTransition][]*member
	observedFlaps           map[memberPair]int // changes of a flapping member, for pairs that have an entry
}

// memberPair is the indexes of an observer and of a subject.
type memberPair struct{ observer, subject int }

func newGroundTruth(s *simulation) *groundTruth {
	t := &groundTruth{
		sim:                     s,
		generations:             map[uint64]int{},
		openChanges:             make([][]*change, len(s.members)),
		observedFlaps:           map[memberPair]int{},
		differencesByTransition: map[digestTransition][]*member{},
	}
	for range s.members {
		t.observations = append(t.observations, make([]observation, len(s.members)))
		t.highestGeneration = append(t.highestGeneration, make([]uint16, len(s.members)))
		t.seenGenerations = append(t.seenGenerations, make([]uint64, len(s.members)))
	}
	return t
}

// startMeasuring has changes from now on be part of the figures.
func (t *groundTruth) startMeasuring() {
	t.measuring = true
	t.propagated = nil
}

func (t *groundTruth) stopMeasuring() { t.measuring = false }

// recordStart records the start of a process, which has observed nothing yet.
func (t *groundTruth) recordStart(p *process) {
	index := p.member.index
	t.generations[p.incarnation] = p.generation
	clear(t.observations[index])
	clear(t.highestGeneration[index])
	clear(t.seenGenerations[index])
	p.comparedDigest = 0
	t.addChange(changeStarted, p)
}

// recordEnd records the end of a process. Nobody has to learn any more that it had started.
func (t *groundTruth) recordEnd(p *process) {
	index := p.member.index
	t.stopWaitingFor(index)
	for _, c := range slices.Clone(t.openChanges[index]) {
		if c.kind == changeStarted {
			t.removeChange(c)
		}
	}
	t.addChange(changeEnded, p)
}

// generationOf returns the generation of a process of a member; mostly it is the latest one.
func (t *groundTruth) generationOf(subject *member, incarnation uint64) int {
	if subject.process != nil && subject.process.incarnation == incarnation {
		return subject.generation
	}
	return t.generations[incarnation]
}

// disagreement is a member that a view has wrong.
type disagreement struct {
	observer, subject string
	observed          observation
}

func (d disagreement) String() string {
	return fmt.Sprintf("%s sees %s: %s", d.observer, d.subject, d.observed)
}

// disagreements compares the views of all responsive members with the ground truth. It returns at most limit of the
// differences.
func (t *groundTruth) disagreements(limit int) (list []disagreement) {
	for _, m := range t.sim.members {
		if !m.responsive() {
			continue
		}
		t.compareView(m.process) // a view may show a change that its digest, which is over what was received, does not
		for i, o := range t.observations[m.index] {
			if subject := t.sim.members[i]; !agrees(subject, o) {
				list = append(list, disagreement{m.name, subject.name, o})
			}
			if len(list) >= limit {
				return list
			}
		}
	}
	return list
}

// describeDisagreements describes the first disagreements.
func (t *groundTruth) describeDisagreements() (descriptions []string) {
	for _, d := range t.disagreements(maxDescribedDisagreements) {
		descriptions = append(descriptions, d.String())
	}
	return descriptions
}
