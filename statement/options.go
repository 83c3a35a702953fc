package statement

import (
	"errors"
	"fmt"
	"slices"

	"chutechute/statement/classify"
	"chutechute/statement/estimate"
)

// UnparsedPolicy is what becomes of a call without a class whose statement can't be parsed.
type UnparsedPolicy int

// The policies for statements that can't be parsed.
const (
	// RejectUnparsed ends the call at once with the error.
	RejectUnparsed UnparsedPolicy = iota
	// AttemptUnparsedOnce serves it under Options.UnparsedClass, with one attempt that is never repeated.
	AttemptUnparsedOnce
)

// Class is a class of the installation.
type Class struct {
	classify.Class
	Keyed           bool    // whether engines discard repeats that carry the same idempotency key
	AssumedCostMS   float64 // work on one core, in milliseconds, that is assumed until some was measured
	AssumedMemoryMB float64 // memory, in MB, that is assumed until some was measured
}

// Options are an installation's settings. Limits of 0 take the defaults.
type Options struct {
	CacheBytes          int // of the cache of shapes
	MaxBytes            int // of a statement that is parsed
	MaxDepth            int // of the nesting that is parsed
	Classes             []Class
	Rules               []classify.Rule
	TableSizes          map[string]estimate.TableSize // by name, in lower case
	SideEffectFunctions []string                      // names of functions whose call changes something
	UnparsedPolicy      UnparsedPolicy
	UnparsedClass       string // for Once
}

// Defaults and limits of Options.
const (
	DefaultCacheBytes = 1 << 20
	DefaultMaxBytes   = 64 << 10
	minCacheBytes     = 64 << 10
)

// withDefaults returns the options with defaults in place of limits of 0.
func (o Options) withDefaults() Options {
	if o.CacheBytes == 0 {
		o.CacheBytes = DefaultCacheBytes
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	return o
}

// checkLimits checks the limits and returns the index of UnparsedClass, or -1 where there is no such class.
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

// compileRules checks the rules against the classes.
func (o *Options) compileRules() (*classify.Rules, error) {
	classes := make([]classify.Class, len(o.Classes))
	for i, class := range o.Classes {
		classes[i] = class.Class
	}
	return classify.New(o.Rules, classes)
}

// sameClasses returns whether two lists have classes of the same names in the same order.
func sameClasses(a, b []Class) bool {
	return slices.EqualFunc(a, b, func(x, y Class) bool { return x.Name == y.Name })
}
