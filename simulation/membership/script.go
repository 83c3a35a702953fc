package membership

import (
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// scriptScenario returns the scenario of a script of faults. Its error is a scale.ScriptError.
func scriptScenario(script string, shape scale.Shape) (Scenario, error) {
	faults, err := scale.ParseFaults(script)
	if err != nil {
		return Scenario{}, err
	}
	if err := scale.CheckFaults(faults, shape); err != nil {
		return Scenario{}, err
	}
	inject := func(s *simulation) {
		for i, fault := range faults {
			s.scheduleAfter(fault.At.Microseconds(), func() { s.injectFault(i+1, fault) })
		}
	}
	return Scenario{Name: script, Description: script, Seconds: shape.Seconds, inject: inject}, nil
}

// injectFault injects a fault of a script into all its targets. number is the fault's position in the script, from 1.
func (s *simulation) injectFault(number int, fault scale.Fault) {
	if fault.Kind == scale.Heal {
		s.network.healPartitions()
		return
	}
	s.addTrigger(fmt.Sprintf("fault %d, %s", number, fault.Kind))
	targets := s.faultTargets(fault.Target)
	for i, m := range targets {
		delay := fault.Over.Microseconds() * monotime.Micros(i) / monotime.Micros(len(targets))
		s.scheduleAfter(delay, func() { s.injectFaultInto(m, fault) })
	}
}

// injectFaultInto injects a fault of a script into one member.
func (s *simulation) injectFaultInto(m *member, fault scale.Fault) {
	duration := fault.For.Microseconds() // 0 if only a heal ends the fault
	switch fault.Kind {
	case scale.Kill:
		m.crash(processCrash)
		if duration > 0 {
			s.scheduleAfter(duration, m.start)
		}
	case scale.Restart:
		m.crash(processCrash)
		m.start()
	case scale.Stop:
		m.pause()
		s.scheduleAfter(duration, m.resume)
	case scale.Cut:
		m.isolated = true
		s.network.partitionStarted()
		if duration > 0 {
			s.scheduleAfter(duration, func() { m.isolated = false })
		}
	case scale.Heal: // handled by injectFault, for all members
	}
}

// faultTargets returns the members that a fault is injected into.
func (s *simulation) faultTargets(target scale.Target) []*member {
	switch target.Kind {
	case scale.TargetControl:
		return s.controlMembers[target.Number-1 : target.Number]
	case scale.TargetAttached:
		return s.attachedFrontEnds[target.Number-1 : target.Number]
	case scale.TargetShare:
		count := max(1, int(float64(len(s.members))*target.Percent/100))
		return s.drawMembers(s.members, count)
	case scale.TargetZone:
		return filterMembers(s.members, func(m *member) bool { return m.zoneName() == target.Zone })
	case scale.TargetAll:
		return s.members
	case scale.TargetNone:
	}
	return nil
}

// drawMembers returns count random members of from, or all of them in random order if there are fewer.
func (s *simulation) drawMembers(from []*member, count int) (drawn []*member) {
	for _, i := range s.random.Perm(len(from))[:min(count, len(from))] {
		drawn = append(drawn, from[i])
	}
	return drawn
}

func filterMembers(members []*member, matches func(*member) bool) (matching []*member) {
	for _, m := range members {
		if matches(m) {
			matching = append(matching, m)
		}
	}
	return matching
}
