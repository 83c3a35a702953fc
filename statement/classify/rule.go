package classify

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

// Rule assigns a class to the statements that meet all of its conditions. A condition with the zero value always holds.
type Rule struct {
	Class  string
	Verbs  []string // the statement's verb has to be one of these
	Tables []string // patterns, one of which has to match a table that is read or written; * matches any characters
	// CostMS limits the estimated run time of the statement when it runs alone on Threads threads, which is the upper
	// bound of its cost divided by Threads. It is in milliseconds; 0 means no limit.
	CostMS  float64
	Threads int // 0 for the threads of the class
}

// Verbs that always write, verbs that never write, and all verbs that rules may name.
var (
	writingVerbs = []string{"insert", "update", "delete", "merge", "truncate", "create", "alter", "drop", "call", "do",
		"execute"}
	readingVerbs = []string{"values", "table", "show"}
	knownVerbs   = slices.Concat([]string{"select", "explain", "copy", "begin", "commit", "rollback", "set", "analyze",
		"vacuum", "refresh", "lock", "grant", "revoke", "comment"}, writingVerbs, readingVerbs)
)

// AlwaysWrites reports whether every statement with the given verb writes.
func AlwaysWrites(verb string) bool { return slices.Contains(writingVerbs, strings.ToLower(verb)) }

// New checks the rules against the classes and compiles them. An error names the key of the invalid rule.
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

// compile checks and compiles a rule. The key of the rule is used in errors.
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
			return compiledRule{}, fmt.Errorf("%s.tables[%d]: %q is not a valid pattern", key, i, rule.Tables[i])
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

// checkVerb returns an error if a rule for the class may not name the verb, which is in lower case.
func checkVerb(verb string, class Class, key string) error {
	switch {
	case !slices.Contains(knownVerbs, verb):
		return fmt.Errorf("%s: unknown verb %q", key, verb)
	case class.LocksTables && slices.Contains(readingVerbs, verb):
		return fmt.Errorf("%s: verb %q never writes, but class %q is for statements that write", key, verb, class.Name)
	case !class.LocksTables && slices.Contains(writingVerbs, verb):
		return fmt.Errorf("%s: verb %q always writes, but class %q is for statements that do not write",
			key, verb, class.Name)
	}
	return nil
}
