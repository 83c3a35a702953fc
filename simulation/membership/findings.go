package membership

import (
	"fmt"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// maxDescribedFindings limits how many findings of each kind are described.
const maxDescribedFindings = 20

// findings counts the errors of one kind that were found in views, and describes the first of them.
type findings struct {
	count        int
	descriptions []string // of the first findings
}

func (f *findings) add(s *simulation, format string, args ...any) {
	f.count++
	if len(f.descriptions) < maxDescribedFindings {
		description := fmt.Sprintf("%.3f s: ", inSeconds(s.now)) + fmt.Sprintf(format, args...)
		f.descriptions = append(f.descriptions, description)
	}
}

// checkGeneration adds a finding if a member observes a process after it has observed a later process of the same
// subject. Observing the earlier process as dead is no error.
func (t *groundTruth) checkGeneration(p *process, subject *member, o observation) {
	highest := &t.highestGeneration[p.member.index][subject.index]
	seen := &t.observedGenerations[p.member.index][subject.index]
	bit := uint64(1) << (o.generation() % 64)
	if o.generation() < int(*highest) && o.state() != membership.Dead {
		found := &t.outOfOrder
		if *seen&bit != 0 {
			found = &t.resurrections
		}
		found.add(t.sim, "%s sees process %d of %s as %s after process %d",
			p.member.name, o.generation(), subject.name, o.state(), *highest)
	}
	*seen |= bit
	*highest = max(*highest, uint16(o.generation()))
}

// checkFalseDeath adds a finding on a false positive of failure detection.
func (t *groundTruth) checkFalseDeath(p *process, subject *member, o observation) {
	if o.state() == membership.Dead && t.falselyDead(p.member, subject, o.generation()) {
		t.falseDeaths.add(t.sim, "%s sees %s as dead although it is running", p.member.name, subject.name)
	}
}

// resumeGracePeriod is the time after a member is resumed during which it may still be observed as dead.
const resumeGracePeriod = 2 * monotime.Second

// falselyDead reports whether an observer that observes a process as dead should know that it is running.
func (t *groundTruth) falselyDead(observer, subject *member, generation int) bool {
	if subject.resumedAt != 0 && t.sim.now-subject.resumedAt < resumeGracePeriod {
		return false
	}
	return subject.responsive() && subject.generation == generation &&
		t.sim.network.indirectlyReachable(observer, subject)
}
