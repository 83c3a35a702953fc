package statement

import (
	"errors"
	"fmt"
	"slices"

	"chutechute/statement/classify"
	"chutechute/statement/estimate"
)

// UnparsedPolicy decides how a request is handled whose client reports no class and whose statement cannot be parsed.
type UnparsedPolicy int

// The policies for statements that cannot be parsed.
const (
	// RejectUnparsed answers the request with the parser's error.
	RejectUnparsed UnparsedPolicy = iota
	// AttemptUnparsedOnce serves the request under Options.UnparsedClass with a single attempt.
	AttemptUnparsedOnce
)

// Class describes a class of the installation.
type Class struct {
	classify.Class
	Keyed           bool    // whether engines discard repeats that carry the same idempotency key
	AssumedCostMS   float64 // work on one core, in milliseconds, that is assumed until a cost was measured
	AssumedMemoryMB float64 // memory, in MB, that is assumed until memory was measured
}

// Options are the settings of a Reader. For a limit of 0 the default applies.
type Options struct {
	CacheBytes          int // size of the cache of shapes
	MaxBytes            int // maximum length of a statement; longer ones are not parsed
	MaxDepth            int // maximum depth of nesting in a statement
	Classes             []Class
	Rules               []classify.Rule
	TableSizes          map[string]estimate.TableSize // by name, in lower case
	SideEffectFunctions []string                      // names of functions that have side effects
	UnparsedPolicy      UnparsedPolicy
	UnparsedClass       string // name of the class for AttemptUnparsedOnce
}

// Defaults and limits of Options.
const (
	DefaultCacheBytes = 1 << 20
	DefaultMaxBytes   = 64 << 10
	minCacheBytes     = 64 << 10
)

// withDefaults returns the options with limits of 0 replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.CacheBytes == 0 {
		o.CacheBytes = DefaultCacheBytes
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	return o
}

// checkLimits checks the limits and returns the index of UnparsedClass, or -1 if there is no such class.
func (o *Options) checkLimits() (unparsedClass int, err error) {
	if o.CacheBytes < minCacheBytes || o.MaxBytes < 0 || o.MaxDepth < 0 {
		return -1, errors.New("cache_mb, max_bytes or max_depth: out of range")
	}
	unparsedClass = -1
	for i, class := range o.Classes {
		if class.Name == o.UnparsedClass {
			unparsedClass = i
		}
	}
	if o.UnparsedPolicy == AttemptUnparsedOnce && unparsedClass < 0 {
		return -1, fmt.Errorf("unparsed_class: unknown class %q", o.UnparsedClass)
	}
	return unparsedClass, nil
}

// compileRules checks the rules against the classes and compiles them.
func (o *Options) compileRules() (*classify.Rules, error) {
	classes := make([]classify.Class, len(o.Classes))
	for i, class := range o.Classes {
		classes[i] = class.Class
	}
	return classify.New(o.Rules, classes)
}

// sameClasses reports whether two lists have classes of the same names in the same order.
func sameClasses(a, b []Class) bool {
	return slices.EqualFunc(a, b, func(x, y Class) bool { return x.Name == y.Name })
}
