package config

import (
	"testing"

	"chutechute/internal/golden"
)

var statementSections = []string{
	`{}`,
	`{"enabled": true}`,
	`{"enabled": true, "unparsed": "fail", "cache_mb": 1, "max_bytes": 1000, "max_depth": 10,
		"effects": ["nextval"],
		"tables": {"Big": {"rows": 1000000, "mb": 64}},
		"rules": [{"class": "load", "verbs": ["insert"], "tables": ["big"], "cost_ms": 5, "threads": 2}]}`,
	`{"enabled": true, "unparsed": "once", "unparsed_class": "load"}`,
	`{"enabled": true, "unparsed": "once"}`,
	`{"enabled": true, "unparsed": "once", "unparsed_class": "none"}`,
	`{"enabled": true, "unparsed": "twice"}`,
	`{"enabled": true, "cache_mb": -1}`, `{"enabled": true, "cache_mb": 0.05}`,
	`{"enabled": true, "cache_mb": 25}`,
	`{"enabled": true, "max_bytes": -1}`, `{"enabled": true, "max_bytes": 262145}`,
	`{"enabled": true, "max_depth": -1}`, `{"enabled": true, "max_depth": 1001}`,
	`{"enabled": true, "tables": {"a": {"rows": -1}}}`, `{"enabled": true, "tables": {"a": {"mb": -1}}}`,
	`{"enabled": true, "rules": [{"class": "none"}]}`,
	`{"enabled": true, "rules": [{"class": "load", "verbs": ["juggle"]}]}`,
	`{"enabled": true, "rules": [{"class": "load", "cost_ms": -1}]}`,
	`{"enabled": true, "more": 1}`,
}

func TestStatementSectionGivesRecordedResults(t *testing.T) {
	classes := Classes(parsedSettings(t, keyedSettings))
	recorded := []string{resultLine("classes", classes, nil)}
	recorded = append(recorded, sectionLines("statement", statementSections,
		func(section string, file *Installation) []string {
			options, err := file.Statement.optionsWithin(classes, testMemoryMB)
			return []string{
				resultLine(section, dereferenced(options), err),
				resultLine("classes of its rules", file.Statement.RuleClasses(), nil),
			}
		})...)
	golden.Lines(t, "testdata/statement.golden", recorded)
}
