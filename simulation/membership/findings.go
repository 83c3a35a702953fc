package membership

import (
	"fmt"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// maxDescribedFindings limits the findings of a kind that are described.
const maxDescribedFindings = 20

// findings is errors of one kind that were found in views.
type findings struct {
	count        int
	descriptions []string // of the first ones
}

func (f *findings) add(s *simulation, format string, args ...any) {
	f.count++
	if len(f.descriptions) < maxDescribedFindings {
		description := fmt.Sprintf("%.3f s: ", inSeconds(s.now)) + fmt.Sprintf(format, args...)
		f.descriptions = append(f.descriptions, description)
	}
}

// checkGeneration finds a process that a member observes after it has observed a later one, unless as dead.
func (t *groundTruth) checkGeneration(p *process, subject *member, o observation) {
	highest := &t.highestGeneration[p.member.index][subject.index]
	seen := &t.seenGenerations[p.member.index][subject.index]
	bit := uint64(1) << (o.generation() % 64)
	if o.generation() < int(*highest) && o.state() != membership.Dead {
		found := &t.outOfOrder
		if *seen&bit != 0 {
			found = &t.resurrections
		}
		found.add(t.sim, "%s sees process %d of %s %s after %d",
			p.member.name, o.generation(), subject.name, o.state(), *highest)
	}
	*seen |= bit
	*highest = max(*highest, uint16(o.generation()))
}

// checkFalseDeath finds a false positive of failure detection.
func (t *groundTruth) checkFalseDeath(p *process, subject *member, o observation) {
	if o.state() == membership.Dead && t.falselyDead(p.member, subject, o.generation()) {
		t.falseDeaths.add(t.sim, "%s sees %s dead, which runs", p.member.name, subject.name)
	}
}

// resumeGracePeriod is for how long after a member was resumed it may still be observed as dead.
const resumeGracePeriod = 2 * monotime.Second

// falselyDead reports whether an observer that has a process of a member as dead could have known that it runs.
func (t *groundTruth) falselyDead(observer, subject *member, generation int) bool {
	if subject.resumedAt != 0 && t.sim.now-subject.resumedAt < resumeGracePeriod {
		return false
	}
	return subject.responsive() && subject.generation == generation &&
		t.sim.network.indirectlyReachable(observer, subject)
}
