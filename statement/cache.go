package statement

import (
	"unsafe"

	"github.com/maypok86/otter/v2"

	"chutechute/statement/estimate"
	"chutechute/statement/syntax"
)

// cacheEntry is what is cached of a shape: the parse and the models, never an estimate.
type cacheEntry struct {
	shape  string
	facts  *syntax.Facts
	plan   estimate.FeaturePlan
	cost   *estimate.Model // nil until something was measured
	memory *estimate.Model // nil until something was measured

	matchingRules   []uint16 // indexes of the rules that match, of the generation
	rulesGeneration int
}

// cacheEntryOverhead is what the cache itself needs for an entry, and what the allocator rounds up, in bytes.
const cacheEntryOverhead = 256

// size returns the memory that an entry takes, in bytes.
func (e *cacheEntry) size() int {
	size := cacheEntryOverhead +
		int(unsafe.Sizeof(cacheEntry{})) +
		len(e.shape) +
		e.plan.Size() +
		int(unsafe.Sizeof(syntax.Facts{})) +
		int(unsafe.Sizeof(syntax.Table{}))*cap(e.facts.Tables) +
		int(unsafe.Sizeof(""))*cap(e.facts.Functions) +
		int(unsafe.Sizeof(syntax.Predicate{}))*cap(e.facts.Predicates) +
		int(unsafe.Sizeof(uint16(0)))*cap(e.matchingRules)
	for _, model := range []*estimate.Model{e.cost, e.memory} {
		if model != nil {
			size += estimate.ModelSize
		}
	}
	return size
}

// shapeCache is the cache of shapes, bounded in bytes. Its admission is W-TinyLFU's: a new shape replaces another
// only if it was requested more often of late, so that a scan of shapes that come once evicts nothing.
//
// A fingerprint finds an entry, and the shape itself confirms it: texts made to collide can't pass for one
// another.
type shapeCache struct {
	maxBytes int
	cache    *otter.Cache[uint64, *cacheEntry] // nil until there is a shape to cache: an idle program holds none
}

// get returns the entry of a shape, or nil.
func (s *shapeCache) get(fingerprint uint64, shape []byte) *cacheEntry {
	if s.cache == nil {
		return nil
	}
	if entry, ok := s.cache.GetIfPresent(fingerprint); ok && entry.shape == string(shape) {
		return entry
	}
	return nil
}

// put adds an entry, which the cache may evict at once.
func (s *shapeCache) put(fingerprint uint64, entry *cacheEntry) {
	if s.cache == nil {
		s.cache = otter.Must(&otter.Options[uint64, *cacheEntry]{
			MaximumWeight: uint64(s.maxBytes),
			Weigher:       func(_ uint64, entry *cacheEntry) uint32 { return uint32(entry.size()) },
			// The cache belongs to one goroutine: its maintenance runs within the calls.
			Executor: func(work func()) { work() },
		})
	}
	s.cache.Set(fingerprint, entry)
}

// updateWeight updates the weight of an entry that has grown, if it is still cached.
func (s *shapeCache) updateWeight(fingerprint uint64, entry *cacheEntry) {
	if cached, ok := s.cache.GetEntryQuietly(fingerprint); ok && cached.Value == entry {
		s.cache.Set(fingerprint, entry)
	}
}

// usage returns the number of entries and their size together, in bytes.
func (s *shapeCache) usage() (entries, bytes int) {
	if s.cache == nil {
		return 0, 0
	}
	return s.cache.EstimatedSize(), int(s.cache.WeightedSize())
}

// resize changes the bound of the cache and evicts what exceeds it.
func (s *shapeCache) resize(maxBytes int) {
	s.maxBytes = maxBytes
	if s.cache != nil {
		s.cache.SetMaximum(uint64(maxBytes))
	}
}
