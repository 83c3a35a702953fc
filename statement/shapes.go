package statement

import (
	"unsafe"

	"github.com/maypok86/otter/v2"

	"chutechute/statement/estimate"
	"chutechute/statement/shape"
	"chutechute/statement/syntax"
)

// cacheEntry is what is kept of a shape: the parse and the models, never a figure.
type cacheEntry struct {
	shape  string
	facts  *syntax.Facts
	plan   estimate.FeaturePlan
	cost   *estimate.Model // nil until something was measured
	memory *estimate.Model

	matchingRules   []uint16 // that match, of the generation
	rulesGeneration int
}

// size is what an entry holds, in bytes.
func (e *cacheEntry) size() int {
	size := int(unsafe.Sizeof(cacheEntry{})) + int(unsafe.Sizeof(syntax.Facts{})) + len(e.shape) + e.plan.Size() +
		32*cap(e.facts.Tables) + 16*cap(e.facts.Functions) + 40*cap(e.facts.Predicates) + 2*cap(e.matchingRules) + cacheEntryOverhead
	for _, m := range []*estimate.Model{e.cost, e.memory} {
		if m != nil {
			size += estimate.ModelSize
		}
	}
	return size
}

// cacheEntryOverhead is what the cache itself holds for an entry, and what the allocator rounds up.
const cacheEntryOverhead = 256

// shapeCache is the cache of shapes, bounded in bytes. Its admission is W-TinyLFU's: a new shape displaces another
// only if it was asked for more often of late, so that a scan of shapes that come once flushes nothing.
//
// A fingerprint finds an entry, and the shape itself confirms it: texts made to collide can't pass for one
// another.
type shapeCache struct {
	maxBytes int
	cache    *otter.Cache[uint64, *cacheEntry] // nil until there is a shape to keep: an idle program holds none
}

// get is the entry of a shape that was read; nil where there is none.
func (s *shapeCache) get(fingerprint uint64, scan *shape.Normalizer) *cacheEntry {
	if s.cache == nil {
		return nil
	}
	if e, ok := s.cache.GetIfPresent(fingerprint); ok && e.shape == string(scan.Shape) {
		return e
	}
	return nil
}

func (s *shapeCache) put(fingerprint uint64, e *cacheEntry) {
	if s.cache == nil {
		s.cache = otter.Must(&otter.Options[uint64, *cacheEntry]{
			MaximumWeight: uint64(s.maxBytes),
			Weigher:       func(_ uint64, e *cacheEntry) uint32 { return uint32(e.size()) },
			// The cache is one loop's own: its upkeep is done in the calls themselves.
			Executor: func(work func()) { work() },
		})
	}
	s.cache.Set(fingerprint, e)
}

// updateWeight weighs an entry again that has grown, if it is still here.
func (s *shapeCache) updateWeight(fingerprint uint64, e *cacheEntry) {
	if kept, ok := s.cache.GetEntryQuietly(fingerprint); ok && kept.Value == e {
		s.cache.Set(fingerprint, e)
	}
}

// usage is how many entries there are and what they hold together, in bytes.
func (s *shapeCache) usage() (count, bytes int) {
	if s.cache == nil {
		return 0, 0
	}
	return s.cache.EstimatedSize(), int(s.cache.WeightedSize())
}

func (s *shapeCache) resize(bytes int) {
	if s.maxBytes = bytes; s.cache != nil {
		s.cache.SetMaximum(uint64(bytes))
	}
}
