package membership

import (
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// scriptScenario is the scenario of a script of faults.
func scriptScenario(script string, shape scale.Shape) (Scenario, error) {
	faults, err := scale.ParseFaults(script)
	if err != nil {
		return Scenario{}, err
	}
	if err := scale.CheckFaults(faults, shape); err != nil {
		return Scenario{}, err
	}
	return Scenario{Name: script, About: script, Seconds: shape.Seconds, inject: func(s *simulation) {
		for i, f := range faults {
			s.scheduleAfter(f.At.Microseconds(), func() { s.injectFault(i+1, f) })
		}
	}}, nil
}

// injectFault begins one fault.
func (s *simulation) injectFault(number int, f scale.Fault) {
	if f.Kind == scale.Heal {
		s.network.healPartitions()
		return
	}
	s.markTrigger(fmt.Sprintf("fault %d, %s", number, f.Kind))
	list := s.faultTargets(f.Target)
	for i, p := range list {
		span := f.Over.Microseconds() * monotime.Micros(i) / monotime.Micros(len(list))
		s.scheduleAfter(span, func() { s.injectInto(p, f) })
	}
}

// injectInto does to one member what the fault says.
func (s *simulation) injectInto(p *member, f scale.Fault) {
	span := f.For.Microseconds()
	switch f.Kind {
	case scale.Kill:
		p.crash(false)
		if span > 0 {
			s.scheduleAfter(span, p.start)
		}
	case scale.Restart:
		p.crash(false)
		p.start()
	case scale.Stop:
		p.pause()
		s.scheduleAfter(span, p.resume)
	case scale.Cut:
		p.isolated = true
		s.network.partitionChanged()
		if span > 0 {
			s.scheduleAfter(span, func() { p.isolated = false })
		}
	case scale.Heal: // done for all at once
	}
}

// faultTargets is whom a fault befalls.
func (s *simulation) faultTargets(t scale.Target) (list []*member) {
	switch t.Kind {
	case scale.TargetControl:
		return s.controlMembers[t.Number-1 : t.Number]
	case scale.TargetAttached:
		return s.attachedFrontEnds[t.Number-1 : t.Number]
	case scale.TargetShare:
		count := max(1, int(float64(len(s.members))*t.Percent/100))
		for _, i := range s.rng.Perm(len(s.members))[:count] {
			list = append(list, s.members[i])
		}
	case scale.TargetZone:
		for _, p := range s.members {
			if p.zoneName() == t.Zone {
				list = append(list, p)
			}
		}
	case scale.TargetAll:
		return s.members
	case scale.TargetNone:
	}
	return list
}
