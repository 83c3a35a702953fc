package membership

import (
	"fmt"
	"slices"
)

// groundTruth records which processes are actually running, and checks all views against it.
type groundTruth struct {
	sim          *simulation
	generations  map[uint64]int  // generation of each process, by incarnation
	observations [][]observation // by the indexes of observer and subject

	// Propagation of changes; see change.
	openChanges [][]*change // not known to all yet, by the index of the subject
	openCount   int
	propagated  []*change // measured changes that are known to all
	measuring   bool      // new changes are measured

	// Errors found in views; see findings.
	highestGeneration   [][]uint16 // highest generation observed so far, by observer and subject
	observedGenerations [][]uint64 // bit set of the generations observed so far, modulo 64
	falseDeaths         findings   // a running and reachable process was observed as dead
	resurrections       findings   // a process was observed again after a later one
	outOfOrder          findings   // a process was observed for the first time after a later one

	differencesByTransition map[digestTransition][]*member
	observedFlaps           map[memberPair]int // observed changes of a flapping member, for pairs with an entry
}

// memberPair holds the indexes of an observer and a subject.
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
		t.observedGenerations = append(t.observedGenerations, make([]uint64, len(s.members)))
	}
	return t
}

// startMeasuring includes changes from now on in the figures, and discards earlier ones.
func (t *groundTruth) startMeasuring() {
	t.measuring = true
	t.propagated = nil
}

func (t *groundTruth) stopMeasuring() { t.measuring = false }

// recordStart records the start of a process, and clears the observations of the previous process.
func (t *groundTruth) recordStart(p *process) {
	index := p.member.index
	t.generations[p.incarnation] = p.generation
	clear(t.observations[index])
	clear(t.highestGeneration[index])
	clear(t.observedGenerations[index])
	p.comparedDigest = 0
	t.addChange(changeStarted, p)
}

// recordEnd records the end of a process. Other members no longer have to observe its start.
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

// generationOf returns the generation of the process with an incarnation. It checks the running process first, which
// is the usual case.
func (t *groundTruth) generationOf(subject *member, incarnation uint64) int {
	if subject.process != nil && subject.process.incarnation == incarnation {
		return subject.generation
	}
	return t.generations[incarnation]
}

// disagreement is an observation that does not match the ground truth.
type disagreement struct {
	observer, subject string
	observed          observation
}

func (d disagreement) String() string {
	return fmt.Sprintf("%s sees %s: %s", d.observer, d.subject, d.observed)
}

// disagreements compares the views of all responsive members with the ground truth, and returns at most limit
// disagreements.
func (t *groundTruth) disagreements(limit int) (list []disagreement) {
	for _, m := range t.sim.members {
		if !m.responsive() {
			continue
		}
		// Compare even if the digest is unchanged: it covers entries as received, while the view shows superseded
		// processes as dead.
		t.compareView(m.process)
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
