// Package statement derives the class, the cost, the memory and the table group of a query from its statement, so that
// the query can be scheduled even if its client has reported none of them. Statements of the same shape are parsed
// once; the effect of their values on the cost is learned from outcomes.
//
// The package decides the class, the estimates and how a statement that cannot be parsed is handled. It leaves the
// choice of an engine, retries and rejections to package scheduler. It does no I/O, reads no clock and starts no
// goroutine. A Reader must be used by one goroutine only.
package statement

import (
	"fmt"
	"slices"
	"strings"
	"unsafe"

	"chutechute/statement/classify"
	"chutechute/statement/estimate"
	"chutechute/statement/shape"
	"chutechute/statement/syntax"
)

// Reader reads statements and learns their cost and memory. It is created by New.
type Reader struct {
	options           Options
	unparsedClass     int // index of Options.UnparsedClass; -1 without one
	rules             *classify.Rules
	optionsGeneration int // number of times that the options were replaced
	cache             shapeCache
	normalizer        shape.Normalizer
	parser            syntax.Parser
	costByClass       []estimate.Mean
	memoryByClass     []estimate.Mean
	counts            Counts
}

// Counts are the counters of a reader.
type Counts struct {
	Hits     int // statements whose shape was cached
	Misses   int // statements that were parsed
	Failures int // statements that could not be parsed
	Learned  int // outcomes that were learned from
	Shapes   int // number of shapes in the cache
	Bytes    int // size of the cached shapes
}

// New returns a reader with the given options. An error names the key of the invalid option.
func New(o Options) (*Reader, error) {
	r := &Reader{}
	if err := r.Apply(o); err != nil {
		return nil, err
	}
	return r, nil
}

// Apply replaces all options. If it returns an error, which names the key of the invalid option, it has changed none.
// What was learned about shapes is kept, and what was learned about classes too if the classes are the same.
func (r *Reader) Apply(o Options) error {
	o = o.withDefaults()
	unparsedClass, err := o.checkLimits()
	if err != nil {
		return err
	}
	rules, err := o.compileRules()
	if err != nil {
		return err
	}
	r.cache.resize(o.CacheBytes)
	if !sameClasses(o.Classes, r.options.Classes) {
		r.resetMeans(o.Classes)
	}
	r.options, r.unparsedClass, r.rules = o, unparsedClass, rules
	r.optionsGeneration++
	r.parser.MaxDepth = o.MaxDepth
	return nil
}

// resetMeans replaces what was learned about classes by their assumed costs and memory.
func (r *Reader) resetMeans(classes []Class) {
	r.costByClass, r.memoryByClass = nil, nil
	for _, class := range classes {
		r.costByClass = append(r.costByClass, estimate.NewMean(class.AssumedCostMS))
		r.memoryByClass = append(r.memoryByClass, estimate.NewMean(class.AssumedMemoryMB))
	}
}

// Reading is the result of reading one statement. It remains valid when the reader reads other statements.
type Reading struct {
	entry       *cacheEntry
	fingerprint uint64
	features    estimate.Features
}

// Facts returns the facts that were found by parsing. All statements of the shape share them, so they must not be
// modified.
func (r *Reading) Facts() *syntax.Facts { return r.entry.facts }

// Shape returns the statement's canonical shape.
func (r *Reading) Shape() string { return r.entry.shape }

// Fingerprint returns the fingerprint of the shape. It is the same in all processes and versions of the program.
func (r *Reading) Fingerprint() uint64 { return r.fingerprint }

// Read reads a statement. If its shape is cached, this takes one pass over the text and does not allocate. An error is
// a *syntax.Error, which has the position in the text.
func (r *Reader) Read(text []byte) (Reading, error) {
	// The conversion is safe because the text is not retained: the parser reads the shape, which is a copy.
	s := unsafe.String(unsafe.SliceData(text), len(text))
	if len(s) > r.options.MaxBytes {
		r.counts.Failures++
		message := fmt.Sprintf("the statement is longer than %d bytes", r.options.MaxBytes)
		return Reading{}, syntax.NewError("", 0, message)
	}
	if !r.normalizer.Normalize(s) {
		r.counts.Failures++
		return Reading{}, syntax.NewError(s, r.normalizer.ErrorOffset, "found "+r.normalizer.ErrorMessage)
	}
	reading := Reading{fingerprint: r.normalizer.Fingerprint()}
	reading.entry = r.cache.get(reading.fingerprint, r.normalizer.Shape)
	if reading.entry != nil {
		r.counts.Hits++
		r.applyOptions(reading.entry)
	} else {
		entry, err := r.parse(s)
		if err != nil {
			r.counts.Failures++
			return Reading{}, err
		}
		r.counts.Misses++
		r.cache.put(reading.fingerprint, entry)
		reading.entry = entry
	}
	reading.features = reading.entry.plan.Features(s, r.normalizer.Values, r.normalizer.RowCount)
	return reading, nil
}

// parse parses the shape in the normalizer. If that fails, it parses the text itself, so that an error has its position
// in the text.
func (r *Reader) parse(text string) (*cacheEntry, error) {
	canonical := string(r.normalizer.Shape)
	facts, err := r.parser.Parse(canonical)
	if err != nil {
		if facts, err = r.parser.Parse(strings.Clone(text)); err != nil {
			return nil, err
		}
		// The text is valid, but its shape is not. So the positions of its values among those of the shape are unknown.
		facts.Predicates, facts.LimitValue, facts.OffsetValue = nil, -1, -1
	}
	plan := estimate.NewFeaturePlan(facts, len(r.normalizer.Values))
	entry := &cacheEntry{shape: canonical, facts: facts, parsedWrites: facts.Writes, plan: plan}
	r.applyOptions(entry)
	return entry, nil
}

// applyOptions updates what depends on the options in the cached result for a shape, if they have been replaced:
// whether it writes, and the rules that match it. Facts that were handed out stay as they are.
func (r *Reader) applyOptions(entry *cacheEntry) {
	if entry.optionsGeneration == r.optionsGeneration {
		return
	}
	writes := entry.parsedWrites || slices.ContainsFunc(entry.facts.Functions, r.hasSideEffect)
	if writes != entry.facts.Writes {
		facts := *entry.facts
		facts.Writes = writes
		entry.facts = &facts
	}
	entry.matchingRules, entry.optionsGeneration = r.rules.Matching(entry.facts), r.optionsGeneration
}

// hasSideEffect reports whether a call of the function changes something.
func (r *Reader) hasSideEffect(function string) bool {
	return slices.Contains(r.options.SideEffectFunctions, function)
}

// TableGroup returns the table group of a statement, or 0 if it has none. A statement that cannot be parsed is scanned
// for table names instead.
func (r *Reader) TableGroup(text []byte) int {
	reading, err := r.Read(text)
	if err != nil {
		return scanTableGroup(unsafe.String(unsafe.SliceData(text), len(text)))
	}
	return reading.entry.facts.TableGroup
}

// Counts returns the counters.
func (r *Reader) Counts() Counts {
	counts := r.counts
	counts.Shapes, counts.Bytes = r.cache.usage()
	return counts
}
