package membership

// mostPast bounds the past incarnations that are remembered: at 3,000 restarts a day those of two days and more.
const mostPast = 8192

// pastSet is incarnations that are no more, the oldest forgotten first.
type pastSet struct {
	has  map[uint64]int // place in ring
	ring []uint64
	next int
}

func (p *pastSet) contains(incarnation uint64) bool {
	_, ok := p.has[incarnation]
	return ok
}

func (p *pastSet) add(incarnation uint64) {
	if incarnation == 0 || p.contains(incarnation) {
		return
	}
	if p.has == nil {
		p.has = map[uint64]int{}
	}
	if len(p.ring) < mostPast {
		p.has[incarnation] = len(p.ring)
		p.ring = append(p.ring, incarnation)
		return
	}
	delete(p.has, p.ring[p.next])
	p.ring[p.next] = incarnation
	p.has[incarnation] = p.next
	p.next = (p.next + 1) % mostPast
}

func (p *pastSet) remove(incarnation uint64) {
	if place, ok := p.has[incarnation]; ok {
		delete(p.has, incarnation)
		p.ring[place] = 0
	}
}
