package config

import (
	"strings"

	"chutechute/statement"
	"chutechute/statement/classify"
	"chutechute/statement/estimate"
)

// Statement is the section "statement": how bare statements, which have no class, are parsed and classified.
type Statement struct {
	Enabled             bool             `json:"enabled"`
	Unparsed            string           `json:"unparsed"`       // "fail" (default) or "once"
	UnparsedClass       string           `json:"unparsed_class"` // required with "once"
	CacheMB             float64          `json:"cache_mb"`       // from 0.0625 to memory_mb / 8, default memory_mb / 32
	MaxBytes            int              `json:"max_bytes"`      // of a parsed statement; at most 262,144, default 65,536
	MaxDepth            int              `json:"max_depth"`      // of a parsed statement; at most 1000, default 100
	SideEffectFunctions []string         `json:"effects"`        // names of functions
	Tables              map[string]Table `json:"tables"`         // by name, without regard to case
	Rules               []Rule           `json:"rules"`          // the first that matches sets the class
}

// Table is the size of a table, from which costs are estimated until there are measurements.
type Table struct {
	Rows float64 `json:"rows"`
	MB   float64 `json:"mb"`
}

// Rule assigns a class to the statements that match all of its conditions. A condition that is not set always matches.
type Rule struct {
	Class   string   `json:"class"`
	Verbs   []string `json:"verbs"`   // one of them
	Tables  []string `json:"tables"`  // patterns; one has to match a table of the statement
	CostMS  float64  `json:"cost_ms"` // maximum of the upper bound of the work divided by Threads
	Threads int      `json:"threads"` // default: those of the class
}

// Limits of the section.
const (
	minCacheMB         = 0.0625
	defaultCacheShares = 32 // the default of cache_mb is memory_mb divided by this
	maxStatementBytes  = 256 << 10
	maxStatementDepth  = 1000
)

// The values of "unparsed".
const (
	unparsedFail = "fail"
	unparsedOnce = "once"
)

// statementSection creates the errors for keys of the section.
var statementSection = section{file: installationFile, path: "statement"}

// optionsWithin returns the options of package statement for a front end with memoryMB of memory, from which the limit
// and the default of the cache's size follow. It returns nil if the section is off.
func (s *Statement) optionsWithin(classes []statement.Class, memoryMB int) (*statement.Options, error) {
	if !s.Enabled {
		return nil, nil
	}
	options, err := s.Options(classes)
	if err != nil {
		return nil, err
	}
	maxCacheMB := float64(memoryMB) / memoryShares
	if s.CacheMB > maxCacheMB {
		return nil, statementSection.keyError("cache_mb", "%g is above an eighth of memory_mb, %g", s.CacheMB, maxCacheMB)
	}
	if s.CacheMB == 0 {
		options.CacheBytes = memoryMB << 20 / defaultCacheShares
	}
	return options, nil
}

// Options checks the section and converts it to options of package statement, whether it is on or off. The rules may
// name only the given classes. The error for a key is a *KeyError.
func (s *Statement) Options(classes []statement.Class) (*statement.Options, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	options := &statement.Options{
		CacheBytes:          int(s.CacheMB * (1 << 20)),
		MaxBytes:            s.MaxBytes,
		MaxDepth:            s.MaxDepth,
		Classes:             classes,
		Rules:               s.classifierRules(),
		TableSizes:          s.tableSizes(),
		SideEffectFunctions: s.SideEffectFunctions,
		UnparsedClass:       s.UnparsedClass,
	}
	if s.Unparsed == unparsedOnce {
		options.UnparsedPolicy = statement.AttemptUnparsedOnce
	}
	if _, err := statement.New(*options); err != nil { // checks the rules against the classes
		return nil, statementSection.addKey(err)
	}
	return options, nil
}

// check returns an error if a value is invalid. It does not check the rules against the classes.
func (s *Statement) check() error {
	keyError := statementSection.keyError
	switch {
	case s.CacheMB < 0 || s.CacheMB > 0 && s.CacheMB < minCacheMB:
		return keyError("cache_mb", "%g is below %g", s.CacheMB, minCacheMB)
	case s.MaxBytes < 0 || s.MaxBytes > maxStatementBytes:
		return keyError("max_bytes", "%d is not from 0 to %d", s.MaxBytes, maxStatementBytes)
	case s.MaxDepth < 0 || s.MaxDepth > maxStatementDepth:
		return keyError("max_depth", "%d is not from 0 to %d", s.MaxDepth, maxStatementDepth)
	case s.Unparsed == unparsedOnce && s.UnparsedClass == "":
		return keyError("unparsed_class", "missing, with unparsed = \"once\"")
	case s.Unparsed != "" && s.Unparsed != unparsedFail && s.Unparsed != unparsedOnce:
		return keyError("unparsed", "%q is neither \"fail\" nor \"once\"", s.Unparsed)
	}
	for name, table := range s.Tables {
		if table.Rows < 0 || table.MB < 0 {
			return keyError("tables."+name, "rows and mb may not be negative")
		}
	}
	return nil
}

// tableSizes returns the sizes of tables by lower-case name.
func (s *Statement) tableSizes() map[string]estimate.TableSize {
	sizes := map[string]estimate.TableSize{}
	for name, table := range s.Tables {
		sizes[strings.ToLower(name)] = estimate.TableSize{Rows: table.Rows, MB: table.MB}
	}
	return sizes
}

// classifierRules converts the rules to the type of package classify.
func (s *Statement) classifierRules() (rules []classify.Rule) {
	for _, rule := range s.Rules {
		rules = append(rules, classify.Rule{
			Class:   rule.Class,
			Verbs:   rule.Verbs,
			Tables:  rule.Tables,
			CostMS:  rule.CostMS,
			Threads: rule.Threads,
		})
	}
	return rules
}
