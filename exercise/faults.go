package exercise

import "chutechute/internal/monotime"

// Traffic has clients send loads at random, so many a second, for a span.
func (s *Sim) Traffic(perSecond float64, keys int, span monotime.Micros) {
	until := s.now + span
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.Insist(s.Fronts[s.rng.IntN(len(s.Fronts))], s.NewLoad(keys))
		s.after(monotime.Micros(s.rng.ExpFloat64()*float64(second)/perSecond), next)
	}
	s.after(0, next)
}

// Chaos has something fail every so often for a span, and heals all in the end. No more disks are lost than the record bears:
// one at a time, and the next only once all copies are there again.
func (s *Sim) Chaos(every, span monotime.Micros) {
	until := s.now + span
	var next func()
	next = func() {
		if s.now >= until {
			s.Heal()
			return
		}
		s.fault()
		s.after(s.between(every/2, every*3/2), next)
	}
	s.after(every, next)
}

// Heal ends all faults.
func (s *Sim) Heal() {
	s.did("heal")
	s.calm = true
	clear(s.cuts)
	s.delays, s.twice, s.late = 2*ms, false, false
	for _, f := range s.Fronts {
		f.Resume()
		f.Start()
	}
}

func (s *Sim) fault() {
	f := s.Fronts[s.rng.IntN(len(s.Fronts))]
	o := s.Fronts[s.rng.IntN(len(s.Fronts))]
	switch s.rng.IntN(13) {
	case 0, 1:
		if f.proc == nil {
			return
		}
		empty := !s.o.Lasting || s.chance(2)
		if empty && !s.Whole() {
			if !s.o.Lasting {
				return
			}
			empty = false
		}
		f.Kill(empty)
		s.after(s.between(50*ms, 4*second), f.Start)
	case 2, 3:
		f.Pause()
		s.after(s.between(50*ms, 10*second), f.Resume)
	case 4, 5:
		s.cut(f, o, s.between(100*ms, 8*second))
	case 6:
		s.cut(f, o, s.between(100*ms, 8*second))
		s.cut(o, f, s.between(100*ms, 8*second))
	case 7: // one side and the rest
		span := s.between(500*ms, 10*second)
		side := map[int]bool{}
		for _, x := range s.Fronts {
			side[x.n] = s.chance(2)
		}
		for _, x := range s.Fronts {
			for _, y := range s.Fronts {
				if side[x.n] != side[y.n] {
					s.cut(x, y, span)
				}
			}
		}
	case 8:
		s.delays = s.between(2*ms, 400*ms)
		s.did("messages take up to %d ms", s.delays/ms)
		s.after(s.between(0, 4*second), func() { s.delays = 2 * ms })
	case 9:
		s.twice = !s.twice
		s.did("messages come twice: %v", s.twice)
	case 10:
		s.late = !s.late
		s.did("messages come late: %v", s.late)
	case 12: // all at one instant; only disks outlive that
		if s.o.Lasting {
			for _, x := range s.Fronts {
				x.Kill(false)
				s.after(s.between(50*ms, second), x.Start)
			}
		}
	case 11: // the leader
		for _, x := range s.Fronts {
			if x.Up() && x.proc.node.Replica().IsLeader() {
				x.Pause()
				s.after(s.between(second, 6*second), x.Resume)
				return
			}
		}
	}
}

// cut severs one way for a span.
func (s *Sim) cut(from, to *Front, span monotime.Micros) {
	if from == to {
		return
	}
	way := [2]int{from.n, to.n}
	s.did("cut %s to %s", from.Name, to.Name)
	s.cuts[way] = true
	s.after(span, func() { delete(s.cuts, way) })
}

// Open is how many loads front ends hold, and how many questions of theirs have no answer.
func (s *Sim) Open() (held int) {
	for _, f := range s.Fronts {
		if f.proc != nil {
			held += f.proc.records.Len()
		}
	}
	return held
}
