package membership

// Spans of chaos.
const (
	chaosEvery = 700 * ms    // between two faults, in the mean
	chaosMost  = 12 * second // that a fault lasts
	chaosDelay = 400 * ms    // the most that messages are late
	chaosLoss  = 0.2         // the greatest share that is lost
	chaosCalm  = 10 * second // at the end of the measured part nothing new happens
	chaosStop  = 15_000 * ms // for which a member stands still
	chaosDown  = 20 * second // until an ended process is followed by the next
	chaosTurns = 2           // processes of one name that may follow one another at once
)

// chaos has something drawn at random happen every so often, to anybody.
func chaos(s *Sim) {
	end := s.now + s.span() - chaosCalm
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		s.anything()
		s.after(s.between(chaosEvery/2, chaosEvery*3/2), next)
	}
	s.after(chaosEvery, next)
}

// anything is one fault.
func (s *Sim) anything() {
	p := s.places[s.rng.IntN(len(s.places))]
	if s.rng.IntN(3) == 0 {
		p = s.controls[s.rng.IntN(len(s.controls))]
	}
	switch s.rng.IntN(9) {
	case 0, 1:
		p.end(s.rng.IntN(2) == 0)
		s.after(s.between(0, chaosDown), p.start)
	case 2:
		for range chaosTurns {
			p.end(false)
			p.start()
		}
	case 3:
		p.pause()
		s.after(s.between(0, chaosStop), p.resume)
	case 4:
		s.briefly(&p.away)
	case 5:
		s.briefly(&s.controls[s.rng.IntN(len(s.controls))].deaf)
	case 6:
		s.apartBriefly()
	case 7:
		s.network.delay, s.network.loss = s.between(0, chaosDelay), chaosLoss*s.rng.Float64()
		s.network.reorder = s.rng.IntN(2) == 0
		s.after(s.between(0, chaosMost), func() { s.network.delay, s.network.loss, s.network.reorder = 0, 0, false })
	case 8:
		s.briefly(&p.stalled)
		p.room = slowRoom
	}
}

// briefly sets something that severs, for a while.
func (s *Sim) briefly(what *bool) {
	*what = true
	s.network.severedNow()
	s.after(s.between(0, chaosMost), func() { *what = false })
}

// apartBriefly has two regions lose each other, or some all others.
func (s *Sim) apartBriefly() {
	n := &s.network
	region := s.rng.IntN(min(regions, s.shape.Zones))
	if s.rng.IntN(2) == 0 {
		n.halves = func(p *place) bool { return p.region == region }
		s.after(s.between(0, chaosMost), func() { n.halves = nil })
	} else {
		pair := [2]int{min(region, 1), max(region, 1)}
		n.apart[pair] = pair[0] != pair[1]
		s.after(s.between(0, chaosMost), func() { delete(n.apart, pair) })
	}
	n.severedNow()
}
