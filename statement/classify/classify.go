// Package classify gives statements their class by an installation's rules: the first that matches.
//
// A class that loads, that is one that holds the tables it writes, is never given to a statement that only
// reads, and no other class to one that writes.
package classify

import (
	"fmt"
	"path"
	"slices"
	"strings"

	"chutechute/statement/estimate"
	"chutechute/statement/syntax"
)

// Class is what rules need to know of a class.
type Class struct {
	Name    string
	Loads   bool
	Threads int
}

// Rule gives a class to the statements that all of its conditions hold for; one left out holds for all.
type Rule struct {
	Class  string
	Verbs  []string // one of them
	Tables []string // patterns; one of them matches a table that is read or written. * stands for anything
	// CostMS bounds the upper bound of the cost over Threads, so it is the longest that the statement would
	// take alone on them, in milliseconds; 0 is no bound.
	CostMS  float64
	Threads int // the class's own where 0
}

// Writes says whether statements of a verb always write.
func Writes(verb string) bool { return slices.Contains(writingVerbs, strings.ToLower(verb)) }

// Rules are the rules in force.
type Rules struct {
	classes []Class
	rules   []compiledRule
}

type compiledRule struct {
	Rule
	classIndex int
}

// writingVerbs are the verbs that always write, and reading those that never do.
var (
	writingVerbs = []string{"insert", "update", "delete", "merge", "truncate", "create", "alter", "drop", "call", "do",
		"execute"}
	readingVerbs = []string{"values", "table", "show"}
	knownVerbs   = append(append([]string{"select", "explain", "copy", "begin", "commit", "rollback", "set", "analyze",
		"vacuum", "refresh", "lock", "grant", "revoke", "comment"}, writingVerbs...), readingVerbs...)
)

// New checks rules against the classes. An error names the rule and its key.
func New(rules []Rule, classes []Class) (*Rules, error) {
	r := &Rules{classes: classes}
	for i, one := range rules {
		key := fmt.Sprintf("rules[%d]", i)
		class := slices.IndexFunc(classes, func(c Class) bool { return c.Name == one.Class })
		if class < 0 {
			return nil, fmt.Errorf("%s.class: unknown class %q", key, one.Class)
		}
		one.Verbs, one.Tables = slices.Clone(one.Verbs), slices.Clone(one.Tables)
		for j, verb := range one.Verbs {
			verb = strings.ToLower(verb)
			one.Verbs[j] = verb
			switch {
			case !slices.Contains(knownVerbs, verb):
				return nil, fmt.Errorf("%s.verbs[%d]: unknown verb %q", key, j, verb)
			case classes[class].Loads && slices.Contains(readingVerbs, verb):
				return nil, fmt.Errorf("%s.verbs[%d]: %q only reads, and class %q loads", key, j, verb, one.Class)
			case !classes[class].Loads && slices.Contains(writingVerbs, verb):
				return nil, fmt.Errorf("%s.verbs[%d]: %q writes, and class %q does not load", key, j, verb, one.Class)
			}
		}
		for j, pattern := range one.Tables {
			pattern = strings.ToLower(pattern)
			if _, err := path.Match(pattern, ""); err != nil {
				return nil, fmt.Errorf("%s.tables[%d]: %q is no pattern", key, j, pattern)
			}
			one.Tables[j] = pattern
		}
		if one.CostMS < 0 || one.Threads < 0 {
			return nil, fmt.Errorf("%s: cost_ms and threads may not be negative", key)
		}
		if one.Threads == 0 {
			one.Threads = max(1, classes[class].Threads)
		}
		r.rules = append(r.rules, compiledRule{one, class})
	}
	return r, nil
}

// Matching are the rules that a statement's text satisfies, whatever it costs: they may be kept with its shape.
func (r *Rules) Matching(f *syntax.Facts) (list []uint16) {
	for i, one := range r.rules {
		if r.classes[one.classIndex].Loads == f.Writes && one.matchesVerb(f) && one.matchesTable(f) {
			list = append(list, uint16(i))
		}
	}
	return list
}

func (r *compiledRule) matchesVerb(f *syntax.Facts) bool {
	return len(r.Verbs) == 0 || slices.Contains(r.Verbs, f.Verb)
}

var quoteRemover = strings.NewReplacer(`"`, "", "`", "")

func (r *compiledRule) matchesTable(f *syntax.Facts) bool {
	if len(r.Tables) == 0 {
		return true
	}
	for _, t := range f.Tables {
		if t.Role != syntax.Read && t.Role != syntax.Written {
			continue
		}
		name := strings.ToLower(quoteRemover.Replace(t.Name))
		for _, pattern := range r.Tables {
			// New has checked the patterns. Names hold no slash unless quoted, so * stands for anything.
			if ok, _ := path.Match(pattern, name); ok {
				return true
			}
		}
	}
	return false
}

// Classify is the place of the class that the first of these matches gives; cost is the estimate of the statement
// as one of that class. It is false where no rule holds.
func (r *Rules) Classify(matches []uint16, cost func(class int) estimate.Estimate) (int, bool) {
	for _, i := range matches {
		one := &r.rules[i]
		if one.CostMS == 0 || cost(one.classIndex).High/float64(one.Threads) <= one.CostMS {
			return one.classIndex, true
		}
	}
	return 0, false
}
