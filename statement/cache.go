package statement

import (
	"unsafe"

	"github.com/maypok86/otter/v2"

	"chutechute/statement/estimate"
	"chutechute/statement/syntax"
)

// cacheEntry holds what is cached for a shape: the result of parsing and the models. Estimates are not cached.
type cacheEntry struct {
	shape  string
	facts  *syntax.Facts
	plan   estimate.FeaturePlan
	cost   *estimate.Model // nil until a cost was measured
	memory *estimate.Model // nil until memory was measured

	parsedWrites      bool     // facts.Writes as parsed, without Options.SideEffectFunctions
	matchingRules     []uint16 // indexes of the rules that match the shape
	optionsGeneration int      // the Reader's optionsGeneration when facts and matchingRules were updated
}

// cacheEntryOverhead is the memory, in bytes, that the cache itself uses for an entry, plus what the allocator adds by
// rounding up.
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

// shapeCache is a cache of shapes with a limit in bytes. Its admission policy is W-TinyLFU: a new shape replaces
// another one only if it was requested more often recently, so a scan of shapes that occur once evicts nothing.
//
// Entries are looked up by fingerprint, and the shape itself is compared too, so that texts crafted to have colliding
// fingerprints are not taken for each other.
type shapeCache struct {
	maxBytes int
	cache    *otter.Cache[uint64, *cacheEntry] // nil until the first shape, to save memory
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

// put adds an entry. The cache may evict it at once.
func (s *shapeCache) put(fingerprint uint64, entry *cacheEntry) {
	if s.cache == nil {
		s.cache = otter.Must(&otter.Options[uint64, *cacheEntry]{
			MaximumWeight: uint64(s.maxBytes),
			Weigher:       func(_ uint64, entry *cacheEntry) uint32 { return uint32(entry.size()) },
			// Maintenance runs synchronously, since the cache is used by one goroutine only.
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

// usage returns the number of entries and their total size in bytes.
func (s *shapeCache) usage() (entries, bytes int) {
	if s.cache == nil {
		return 0, 0
	}
	return s.cache.EstimatedSize(), int(s.cache.WeightedSize())
}

// resize changes the limit of the cache and evicts what exceeds it.
func (s *shapeCache) resize(maxBytes int) {
	s.maxBytes = maxBytes
	if s.cache != nil {
		s.cache.SetMaximum(uint64(maxBytes))
	}
}
