package membership

import (
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// scripted is the scenario of a script of faults.
func scripted(script string, shape scale.Shape) (Scenario, error) {
	faults, err := scale.ParseFaults(script)
	if err != nil {
		return Scenario{}, err
	}
	if err := scale.CheckFaults(faults, shape); err != nil {
		return Scenario{}, err
	}
	return Scenario{Name: script, About: script, Seconds: shape.Seconds, play: func(s *Sim) {
		for i, f := range faults {
			s.after(f.At.Microseconds(), func() { s.play(i+1, f) })
		}
	}}, nil
}

// play begins one fault.
func (s *Sim) play(number int, f scale.Fault) {
	if f.Kind == scale.Heal {
		s.network.heal()
		return
	}
	s.mark(fmt.Sprintf("fault %d, %s", number, f.Kind))
	list := s.targets(f.Target)
	for i, p := range list {
		span := f.Over.Microseconds() * monotime.Micros(i) / monotime.Micros(len(list))
		s.after(span, func() { s.befall(p, f) })
	}
}

// befall does to one member what the fault says.
func (s *Sim) befall(p *place, f scale.Fault) {
	span := f.For.Microseconds()
	switch f.Kind {
	case scale.Kill:
		p.end(false)
		if span > 0 {
			s.after(span, p.start)
		}
	case scale.Restart:
		p.end(false)
		p.start()
	case scale.Stop:
		p.pause()
		s.after(span, p.resume)
	case scale.Cut:
		p.away = true
		s.network.severedNow()
		if span > 0 {
			s.after(span, func() { p.away = false })
		}
	case scale.Heal: // done for all at once
	}
}

// targets is whom a fault befalls.
func (s *Sim) targets(t scale.Target) (list []*place) {
	switch t.Kind {
	case scale.TargetControl:
		return s.controls[t.Number-1 : t.Number]
	case scale.TargetAttached:
		return s.attached[t.Number-1 : t.Number]
	case scale.TargetShare:
		count := max(1, int(float64(len(s.places))*t.Percent/100))
		for _, i := range s.rng.Perm(len(s.places))[:count] {
			list = append(list, s.places[i])
		}
	case scale.TargetZone:
		for _, p := range s.places {
			if p.zoneName() == t.Zone {
				list = append(list, p)
			}
		}
	case scale.TargetAll:
		return s.places
	case scale.TargetNone:
	}
	return list
}
