// Package statement reads bare statements: it tells their class, what they cost and need, and which group of
// tables they read, so that a query can be scheduled of which nobody has told that. Statements of one shape
// are parsed once; what their values do to the cost is learned from outcomes.
//
// It holds decisions of its own (which class, which figures, what a statement that can't be read may do) and
// leaves the others, the engine, further attempts and refusals, to package scheduler. It does no I/O, reads no
// clock, starts no goroutine, and belongs to one goroutine.
package statement

import (
	"fmt"
	"strings"
	"unsafe"

	"chutechute/statement/classify"
	"chutechute/statement/estimate"
	"chutechute/statement/shape"
	"chutechute/statement/syntax"
)

// UnparsedPolicy is what becomes of a statement that can't be read.
type UnparsedPolicy int

// The ways with a statement that can't be read.
const (
	// RejectUnparsed ends its call at once with what is wrong with it.
	RejectUnparsed UnparsedPolicy = iota
	// Once serves it under a class that is named, with one attempt that is never repeated.
	Once
)

// Class is a class of the installation.
type Class struct {
	classify.Class
	Keyed   bool    // engines discard repeats that carry the same key
	UsualMS float64 // work on one core that is supposed until some was measured
	UsualMB float64
}

// Options are what an installation sets. Zero limits take the defaults.
type Options struct {
	CacheBytes    int // of shapes
	MaxBytes      int // of a statement that is parsed
	MaxDepth      int
	Classes       []Class
	Rules         []classify.Rule
	Tables        map[string]estimate.Sizes // by name, in lower case
	Effects       []string                  // names of functions whose call changes something
	Unparsed      UnparsedPolicy
	UnparsedClass string // for Once
}

// Defaults of Options.
const (
	DefaultCacheBytes = 1 << 20
	DefaultMaxBytes   = 64 << 10
	minCacheBytes     = 64 << 10
)

// Reader reads statements and learns what they cost.
type Reader struct {
	options         Options
	unparsedClass   int // place of UnparsedClass
	rules           *classify.Rules
	rulesGeneration int // generation of the rules
	cache           shapeCache
	normalizer      shape.Normalizer
	parser          syntax.Parser
	costByClass     []estimate.Mean // by class
	memoryByClass   []estimate.Mean
	counts          Counts
}

// Counts is what a reader has done.
type Counts struct {
	Hits, Misses, Failures, Learned int
	Shapes, Bytes                   int // kept now
}

// New builds a reader. An error names the faulty key.
func New(o Options) (*Reader, error) {
	r := &Reader{}
	if err := r.Apply(o); err != nil {
		return nil, err
	}
	return r, nil
}

// Apply puts other options into force, all of them or, with an error, none. What was learned of shapes stays;
// that of classes does too, where they are the same.
func (r *Reader) Apply(o Options) error {
	if o.CacheBytes == 0 {
		o.CacheBytes = DefaultCacheBytes
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.CacheBytes < minCacheBytes || o.MaxBytes < 0 || o.MaxDepth < 0 {
		return fmt.Errorf("cache_mb, max_bytes or max_depth: out of range")
	}
	classes := make([]classify.Class, len(o.Classes))
	unparsed := -1
	for i, c := range o.Classes {
		classes[i] = c.Class
		if c.Name == o.UnparsedClass {
			unparsed = i
		}
	}
	if o.Unparsed == Once && unparsed < 0 {
		return fmt.Errorf("unparsed_class: unknown class %q", o.UnparsedClass)
	}
	rules, err := classify.New(o.Rules, classes)
	if err != nil {
		return err
	}
	r.cache.resize(o.CacheBytes)
	if !sameClasses(o.Classes, r.options.Classes) {
		r.costByClass, r.memoryByClass = nil, nil
		for _, c := range o.Classes {
			r.costByClass = append(r.costByClass, estimate.NewMean(c.UsualMS))
			r.memoryByClass = append(r.memoryByClass, estimate.NewMean(c.UsualMB))
		}
	}
	r.options, r.unparsedClass, r.rules = o, unparsed, rules
	r.rulesGeneration++
	r.parser.MaxDepth = o.MaxDepth
	return nil
}

func sameClasses(a, b []Class) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name {
			return false
		}
	}
	return true
}

// Reading is one statement that was read. It stays valid while the reader goes on.
type Reading struct {
	entry       *cacheEntry
	fingerprint uint64
	features    estimate.Features
}

// Facts is what the statement does; it is shared by all of its shape and not to be changed.
func (r *Reading) Facts() *syntax.Facts { return r.entry.facts }

// Shape is the statement's canonical shape.
func (r *Reading) Shape() string { return r.entry.shape }

// Fingerprint is the shape's, stable over processes and versions.
func (r *Reading) Fingerprint() uint64 { return r.fingerprint }

// Read reads a statement. A shape that is known costs one pass over the text and no allocation. An error is a
// *syntax.Error, with the place in the text.
func (r *Reader) Read(text []byte) (Reading, error) {
	// The text is not kept: a shape has a copy without its values, which the parser reads.
	s := unsafe.String(unsafe.SliceData(text), len(text))
	if len(s) > r.options.MaxBytes {
		r.counts.Failures++
		return Reading{}, syntax.NewError("", 0, fmt.Sprintf("the statement is longer than %d bytes", r.options.MaxBytes))
	}
	if !r.normalizer.Normalize(s) {
		r.counts.Failures++
		return Reading{}, syntax.NewError(s, r.normalizer.ErrorOffset, "found "+r.normalizer.ErrorMessage)
	}
	out := Reading{fingerprint: r.normalizer.Fingerprint()}
	if out.entry = r.cache.get(out.fingerprint, &r.normalizer); out.entry == nil {
		e, err := r.parse(s)
		if err != nil {
			r.counts.Failures++
			return Reading{}, err
		}
		r.counts.Misses++
		r.cache.put(out.fingerprint, e)
		out.entry = e
	} else {
		r.counts.Hits++
	}
	out.features = out.entry.plan.Features(s, r.normalizer.Values, r.normalizer.RowCount)
	return out, nil
}

// parse parses the shape that was scanned. Where that fails the text itself is parsed, for the place of the
// fault.
func (r *Reader) parse(text string) (*cacheEntry, error) {
	canonical := string(r.normalizer.Shape)
	facts, err := r.parser.Parse(canonical)
	if err != nil {
		if facts, err = r.parser.Parse(strings.Clone(text)); err != nil {
			return nil, err
		}
		// Legal with its values and not without them: the values' places are not known in the shape.
		facts.Predicates, facts.LimitValue, facts.OffsetValue = nil, -1, -1
	}
	for _, name := range facts.Functions {
		for _, effect := range r.options.Effects {
			facts.Writes = facts.Writes || name == effect
		}
	}
	e := &cacheEntry{shape: canonical, facts: facts, plan: estimate.NewFeaturePlan(facts, len(r.normalizer.Values))}
	r.updateMatchingRules(e)
	return e, nil
}

// updateMatchingRules finds the rules that match a shape, once for each generation of rules.
func (r *Reader) updateMatchingRules(e *cacheEntry) {
	if e.rulesGeneration != r.rulesGeneration {
		e.matchingRules, e.rulesGeneration = r.rules.Matching(e.facts), r.rulesGeneration
	}
}

// Group is the group of tables that a statement names, 0 where it names none. One that can't be read is
// looked through for the words that tables follow.
func (r *Reader) Group(text []byte) int {
	reading, err := r.Read(text)
	if err != nil {
		return scanTableGroup(unsafe.String(unsafe.SliceData(text), len(text)))
	}
	return reading.entry.facts.TableGroup
}

// Counts is what the reader has done so far.
func (r *Reader) Counts() Counts {
	c := r.counts
	c.Shapes, c.Bytes = r.cache.usage()
	return c
}
