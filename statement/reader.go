// Package statement reads bare statements: it finds their class, what they cost and need, and the group of tables
// that they read, so that a query can be scheduled whose client has reported none of that. Statements of one shape are
// parsed once; how their values affect the cost is learned from outcomes.
//
// The package decides the class, the estimates and what a statement that can't be parsed may do. It leaves the
// choice of an engine, retries and rejections to package scheduler. It does no I/O, reads no clock and starts no
// goroutine. A Reader belongs to one goroutine.
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

// Reader reads statements and learns what they cost. Use New.
type Reader struct {
	options         Options
	unparsedClass   int // index of Options.UnparsedClass
	rules           *classify.Rules
	rulesGeneration int // counts the changes of the rules
	cache           shapeCache
	normalizer      shape.Normalizer
	parser          syntax.Parser
	costByClass     []estimate.Mean
	memoryByClass   []estimate.Mean
	counts          Counts
}

// Counts are the counters of a reader.
type Counts struct {
	Hits     int // statements of a cached shape
	Misses   int // statements that were parsed
	Failures int // statements that could not be parsed
	Learned  int // outcomes learned from
	Shapes   int // in the cache now
	Bytes    int // in the cache now
}

// New returns a reader. An error names the key of the invalid option.
func New(o Options) (*Reader, error) {
	r := &Reader{}
	if err := r.Apply(o); err != nil {
		return nil, err
	}
	return r, nil
}

// Apply replaces the options, all of them or, with an error, none. The error names the key of the invalid option. What
// was learned of shapes stays; so does what was learned of classes, if they are the same.
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
	r.rulesGeneration++
	r.parser.MaxDepth = o.MaxDepth
	return nil
}

// resetMeans discards what was learned of classes.
func (r *Reader) resetMeans(classes []Class) {
	r.costByClass, r.memoryByClass = nil, nil
	for _, class := range classes {
		r.costByClass = append(r.costByClass, estimate.NewMean(class.AssumedCostMS))
		r.memoryByClass = append(r.memoryByClass, estimate.NewMean(class.AssumedMemoryMB))
	}
}

// Reading is one statement that was read. It stays valid while the reader goes on.
type Reading struct {
	entry       *cacheEntry
	fingerprint uint64
	features    estimate.Features
}

// Facts returns what the statement does. All statements of the shape share it, so it must not be changed.
func (r *Reading) Facts() *syntax.Facts { return r.entry.facts }

// Shape returns the statement's canonical shape.
func (r *Reading) Shape() string { return r.entry.shape }

// Fingerprint returns the fingerprint of the shape, which is the same in all processes and versions.
func (r *Reading) Fingerprint() uint64 { return r.fingerprint }

// Read reads a statement. If its shape is cached, that takes one pass over the text and no allocation. An error is a
// *syntax.Error, with the place in the text.
func (r *Reader) Read(text []byte) (Reading, error) {
	// The text is not retained: a shape has a copy without its values, which the parser reads.
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

// parse parses the shape that was normalized. Where that fails the text itself is parsed, which gives the place of the
// error.
func (r *Reader) parse(text string) (*cacheEntry, error) {
	canonical := string(r.normalizer.Shape)
	facts, err := r.parser.Parse(canonical)
	if err != nil {
		if facts, err = r.parser.Parse(strings.Clone(text)); err != nil {
			return nil, err
		}
		// Legal with its values and not without them: their indexes in the shape are not known.
		facts.Predicates, facts.LimitValue, facts.OffsetValue = nil, -1, -1
	}
	for _, name := range facts.Functions {
		facts.Writes = facts.Writes || slices.Contains(r.options.SideEffectFunctions, name)
	}
	plan := estimate.NewFeaturePlan(facts, len(r.normalizer.Values))
	entry := &cacheEntry{shape: canonical, facts: facts, plan: plan}
	r.updateMatchingRules(entry)
	return entry, nil
}

// updateMatchingRules finds the rules that match a shape, once for each generation of rules.
func (r *Reader) updateMatchingRules(entry *cacheEntry) {
	if entry.rulesGeneration != r.rulesGeneration {
		entry.matchingRules, entry.rulesGeneration = r.rules.Matching(entry.facts), r.rulesGeneration
	}
}

// TableGroup returns the group of the tables that a statement names, and 0 where it names none. A statement that
// can't be parsed is searched for the words that tables follow.
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
