package membership

// maxIncarnations bounds the incarnations that a set remembers: at 3,000 restarts a day those of two days and more.
const maxIncarnations = 8192

// incarnationSet is a bounded set of incarnations that have ended; the oldest is dropped first.
type incarnationSet struct {
	indexes map[uint64]int // index in ring
	ring    []uint64
	next    int // the index that is overwritten next
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
