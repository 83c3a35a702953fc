package classify

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

// Rule gives a class to the statements that meet all of its conditions; one that is left out is met by all.
type Rule struct {
	Class  string
	Verbs  []string // one of them is the statement's
	Tables []string // patterns; one of them matches a table that is read or written. * stands for anything
	// CostMS is the longest time, in milliseconds, that the statement may take alone on Threads threads: the upper
	// bound of its cost over Threads. 0 is no bound.
	CostMS  float64
	Threads int // 0: those of the class
}

// Verbs that always write, verbs that never do, and all that rules may name.
var (
	writingVerbs = []string{"insert", "update", "delete", "merge", "truncate", "create", "alter", "drop", "call", "do",
		"execute"}
	readingVerbs = []string{"values", "table", "show"}
	knownVerbs   = slices.Concat([]string{"select", "explain", "copy", "begin", "commit", "rollback", "set", "analyze",
		"vacuum", "refresh", "lock", "grant", "revoke", "comment"}, writingVerbs, readingVerbs)
)

// AlwaysWrites returns whether all statements of a verb write.
func AlwaysWrites(verb string) bool { return slices.Contains(writingVerbs, strings.ToLower(verb)) }

// New checks rules against the classes. An error names the key of the faulty rule.
func New(rules []Rule, classes []Class) (*Rules, error) {
	r := &Rules{classes: classes}
	for i, rule := range rules {
		compiled, err := compile(rule, classes, fmt.Sprintf("rules[%d]", i))
		if err != nil {
			return nil, err
		}
		r.rules = append(r.rules, compiled)
	}
	return r, nil
}

// compile checks a rule, whose key is for errors.
func compile(rule Rule, classes []Class, key string) (compiledRule, error) {
	index := slices.IndexFunc(classes, func(c Class) bool { return c.Name == rule.Class })
	if index < 0 {
		return compiledRule{}, fmt.Errorf("%s.class: unknown class %q", key, rule.Class)
	}
	class := classes[index]
	rule.Verbs, rule.Tables = slices.Clone(rule.Verbs), slices.Clone(rule.Tables)
	for i, verb := range rule.Verbs {
		rule.Verbs[i] = strings.ToLower(verb)
		if err := checkVerb(rule.Verbs[i], class, fmt.Sprintf("%s.verbs[%d]", key, i)); err != nil {
			return compiledRule{}, err
		}
	}
	for i, pattern := range rule.Tables {
		rule.Tables[i] = strings.ToLower(pattern)
		if _, err := path.Match(rule.Tables[i], ""); err != nil {
			return compiledRule{}, fmt.Errorf("%s.tables[%d]: %q is no pattern", key, i, rule.Tables[i])
		}
	}
	if rule.CostMS < 0 || rule.Threads < 0 {
		return compiledRule{}, fmt.Errorf("%s: cost_ms and threads may not be negative", key)
	}
	if rule.Threads == 0 {
		rule.Threads = max(1, class.Threads)
	}
	return compiledRule{rule, index}, nil
}

// checkVerb checks that statements of a verb, in lower case, may be of a class.
func checkVerb(verb string, class Class, key string) error {
	switch {
	case !slices.Contains(knownVerbs, verb):
		return fmt.Errorf("%s: unknown verb %q", key, verb)
	case class.LocksTables && slices.Contains(readingVerbs, verb):
		return fmt.Errorf("%s: %q only reads, and class %q loads", key, verb, class.Name)
	case !class.LocksTables && slices.Contains(writingVerbs, verb):
		return fmt.Errorf("%s: %q writes, and class %q does not load", key, verb, class.Name)
	}
	return nil
}
