// Package classify gives statements their class by an installation's rules: the first rule that matches decides.
//
// A class that loads, that is one that holds the tables it writes, is never given to a statement that only
// reads, and no other class to one that writes.
package classify

import (
	"path"
	"slices"
	"strings"

	"chutechute/statement/estimate"
	"chutechute/statement/syntax"
)

// Class is what rules need to know of a class.
type Class struct {
	Name        string
	LocksTables bool // whether its statements write, and hold the tables that they write
	Threads     int  // that run one of its statements
}

// Rules are checked rules, ready to be applied.
type Rules struct {
	classes []Class
	rules   []compiledRule
}

// compiledRule is a rule with its verbs and patterns in lower case, its threads set and its class found.
type compiledRule struct {
	Rule
	classIndex int
}

// Matching returns the indexes of the rules whose verbs and tables match a statement, whatever it costs. They depend on
// the statement's shape alone and may be cached with it.
func (r *Rules) Matching(facts *syntax.Facts) (indexes []uint16) {
	for i, rule := range r.rules {
		if r.classes[rule.classIndex].LocksTables == facts.Writes && rule.matchesVerb(facts) && rule.matchesTable(facts) {
			indexes = append(indexes, uint16(i))
		}
	}
	return indexes
}

// Classify returns the index of the class that the first of the matching rules gives whose bound of the cost holds.
// Cost estimates the statement as one of a class, in milliseconds on one core. Classify returns false where no rule
// holds.
func (r *Rules) Classify(matching []uint16, cost func(class int) estimate.Estimate) (class int, ok bool) {
	for _, i := range matching {
		rule := &r.rules[i]
		if rule.CostMS == 0 || cost(rule.classIndex).UpperBound/float64(rule.Threads) <= rule.CostMS {
			return rule.classIndex, true
		}
	}
	return 0, false
}

// matchesVerb returns whether the rule is for the statement's verb.
func (r *compiledRule) matchesVerb(facts *syntax.Facts) bool {
	return len(r.Verbs) == 0 || slices.Contains(r.Verbs, facts.Verb)
}

// matchesTable returns whether the rule is for one of the tables that the statement reads or writes.
func (r *compiledRule) matchesTable(facts *syntax.Facts) bool {
	if len(r.Tables) == 0 {
		return true
	}
	for _, table := range facts.Tables {
		if table.Role != syntax.Read && table.Role != syntax.Written {
			continue
		}
		if r.matchesName(strings.ToLower(quoteRemover.Replace(table.Name))) {
			return true
		}
	}
	return false
}

// matchesName returns whether one of the rule's patterns matches a table's name in lower case and without quotes.
func (r *compiledRule) matchesName(name string) bool {
	for _, pattern := range r.Tables {
		// New has checked the patterns. Names hold no slash unless quoted, so * stands for anything.
		if ok, _ := path.Match(pattern, name); ok {
			return true
		}
	}
	return false
}

// quoteRemover removes the quotes of names.
var quoteRemover = strings.NewReplacer(`"`, "", "`", "")
