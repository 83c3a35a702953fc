package membership

// maxIncarnations bounds the past incarnations that are remembered: at 3,000 restarts a day those of two days and more.
const maxIncarnations = 8192

// incarnationSet is incarnations that are no more, the oldest forgotten first.
type incarnationSet struct {
	indexes map[uint64]int // place in ring
	ring    []uint64
	next    int
}

func (p *incarnationSet) contains(incarnation uint64) bool {
	_, ok := p.indexes[incarnation]
	return ok
}

func (p *incarnationSet) add(incarnation uint64) {
	if incarnation == 0 || p.contains(incarnation) {
		return
	}
	if p.indexes == nil {
		p.indexes = map[uint64]int{}
	}
	if len(p.ring) < maxIncarnations {
		p.indexes[incarnation] = len(p.ring)
		p.ring = append(p.ring, incarnation)
		return
	}
	delete(p.indexes, p.ring[p.next])
	p.ring[p.next] = incarnation
	p.indexes[incarnation] = p.next
	p.next = (p.next + 1) % maxIncarnations
}

func (p *incarnationSet) remove(incarnation uint64) {
	if place, ok := p.indexes[incarnation]; ok {
		delete(p.indexes, incarnation)
		p.ring[place] = 0
	}
}
