package membership

// maxIncarnations limits the size of a set. At 3,000 restarts a day it covers more than two days.
const maxIncarnations = 8192

// incarnationSet is a bounded set of incarnations. When it is full, a new one replaces the oldest.
type incarnationSet struct {
	indexes map[uint64]int // indexes in ring
	ring    []uint64
	next    int // index to overwrite next
}

func (s *incarnationSet) contains(incarnation uint64) bool {
	_, ok := s.indexes[incarnation]
	return ok
}

func (s *incarnationSet) add(incarnation uint64) {
	if incarnation == 0 || s.contains(incarnation) {
		return
	}
	if s.indexes == nil {
		s.indexes = map[uint64]int{}
	}
	if len(s.ring) < maxIncarnations {
		s.indexes[incarnation] = len(s.ring)
		s.ring = append(s.ring, incarnation)
		return
	}
	delete(s.indexes, s.ring[s.next])
	s.ring[s.next] = incarnation
	s.indexes[incarnation] = s.next
	s.next = (s.next + 1) % maxIncarnations
}

func (s *incarnationSet) remove(incarnation uint64) {
	if index, ok := s.indexes[incarnation]; ok {
		delete(s.indexes, incarnation)
		s.ring[index] = 0
	}
}
