package statement

import (
	"unsafe"

	"github.com/maypok86/otter/v2"

	"chutechute/statement/estimate"
	"chutechute/statement/shape"
	"chutechute/statement/syntax"
)

// entry is what is kept of a shape: the parse and the models, never a figure.
type entry struct {
	shape  string
	facts  *syntax.Facts
	plan   estimate.Plan
	cost   *estimate.Model // nil until something was measured
	memory *estimate.Model

	rules   []uint16 // that match, of the generation
	rulesOf int
}

// size is what an entry holds, in bytes.
func (e *entry) size() int {
	size := int(unsafe.Sizeof(entry{})) + int(unsafe.Sizeof(syntax.Facts{})) + len(e.shape) + e.plan.Size() +
		32*cap(e.facts.Tables) + 16*cap(e.facts.Functions) + 40*cap(e.facts.Predicates) + 2*cap(e.rules) + entryOverhead
	for _, m := range []*estimate.Model{e.cost, e.memory} {
		if m != nil {
			size += estimate.ModelSize
		}
	}
	return size
}

// entryOverhead is what the cache itself holds for an entry, and what the allocator rounds up.
const entryOverhead = 256

// shapes is the cache of shapes, bounded in bytes. Its admission is W-TinyLFU's: a new shape displaces another
// only if it was asked for more often of late, so that a scan of shapes that come once flushes nothing.
//
// A fingerprint finds an entry, and the shape itself confirms it: texts made to collide can't pass for one
// another.
type shapes struct {
	bytes int
	cache *otter.Cache[uint64, *entry] // nil until there is a shape to keep: an idle program holds none
}

// find is the entry of a shape that was read; nil where there is none.
func (s *shapes) find(fingerprint uint64, scan *shape.Scan) *entry {
	if s.cache == nil {
		return nil
	}
	if e, ok := s.cache.GetIfPresent(fingerprint); ok && e.shape == string(scan.Shape) {
		return e
	}
	return nil
}

func (s *shapes) keep(fingerprint uint64, e *entry) {
	if s.cache == nil {
		s.cache = otter.Must(&otter.Options[uint64, *entry]{
			MaximumWeight: uint64(s.bytes),
			Weigher:       func(_ uint64, e *entry) uint32 { return uint32(e.size()) },
			// The cache is one loop's own: its upkeep is done in the calls themselves.
			Executor: func(work func()) { work() },
		})
	}
	s.cache.Set(fingerprint, e)
}

// weigh weighs an entry again that has grown, if it is still here.
func (s *shapes) weigh(fingerprint uint64, e *entry) {
	if kept, ok := s.cache.GetEntryQuietly(fingerprint); ok && kept.Value == e {
		s.cache.Set(fingerprint, e)
	}
}

// held is how many entries there are and what they hold together, in bytes.
func (s *shapes) held() (count, bytes int) {
	if s.cache == nil {
		return 0, 0
	}
	return s.cache.EstimatedSize(), int(s.cache.WeightedSize())
}

func (s *shapes) resize(bytes int) {
	if s.bytes = bytes; s.cache != nil {
		s.cache.SetMaximum(uint64(bytes))
	}
}
