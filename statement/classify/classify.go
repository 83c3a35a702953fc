// Package classify assigns classes to statements by the rules of an installation. The first rule that matches decides.
//
// A class whose statements lock the tables that they write is only assigned to statements that write, and any other
// class only to statements that do not write.
package classify

import (
	"path"
	"slices"
	"strings"

	"chutechute/statement/estimate"
	"chutechute/statement/syntax"
)

// Class describes a class as far as the rules depend on it.
type Class struct {
	Name        string
	LocksTables bool // whether its statements write tables and lock them meanwhile
	Threads     int  // number of threads that run one of its statements
}

// Rules is a list of checked and compiled rules.
type Rules struct {
	classes []Class
	rules   []compiledRule
}

// compiledRule is a rule with verbs and patterns in lower case, the default of Threads applied and its class resolved.
type compiledRule struct {
	Rule
	classIndex int
}

// Matching returns the indexes of the rules whose verbs and tables match a statement, regardless of its cost. The
// result depends on the statement's shape only and may be cached with it.
func (r *Rules) Matching(facts *syntax.Facts) (indexes []uint16) {
	for i, rule := range r.rules {
		if r.classes[rule.classIndex].LocksTables == facts.Writes && rule.matchesVerb(facts) && rule.matchesTable(facts) {
			indexes = append(indexes, uint16(i))
		}
	}
	return indexes
}

// Classify returns the index of the class of the first matching rule whose limit on the cost the statement does not
// exceed. ok is false if there is none. The function cost estimates the statement's cost for a class, in milliseconds
// on one core.
func (r *Rules) Classify(matching []uint16, cost func(class int) estimate.Estimate) (class int, ok bool) {
	for _, i := range matching {
		rule := &r.rules[i]
		if rule.CostMS == 0 || cost(rule.classIndex).UpperBound/float64(rule.Threads) <= rule.CostMS {
			return rule.classIndex, true
		}
	}
	return 0, false
}

// matchesVerb reports whether the rule applies to the statement's verb.
func (r *compiledRule) matchesVerb(facts *syntax.Facts) bool {
	return len(r.Verbs) == 0 || slices.Contains(r.Verbs, facts.Verb)
}

// matchesTable reports whether the rule applies to one of the tables that the statement reads or writes.
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

// matchesName reports whether one of the rule's patterns matches a table name, given in lower case and without quotes.
func (r *compiledRule) matchesName(name string) bool {
	for _, pattern := range r.Tables {
		// New has checked the patterns. Names have no slash unless quoted, so * matches any characters.
		if ok, _ := path.Match(pattern, name); ok {
			return true
		}
	}
	return false
}

// quoteRemover removes quotes from names.
var quoteRemover = strings.NewReplacer(`"`, "", "`", "")
