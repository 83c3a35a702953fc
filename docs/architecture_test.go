package docs

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// checkArchitecture reports, with line numbers, the names and table rows of a page that do not match the code.
func (c *codeBase) checkArchitecture(page string) (problems []string) {
	fenced, section := false, ""
	for i, line := range strings.Split(page, "\n") {
		var found []string
		switch {
		case strings.HasPrefix(line, "```"):
			fenced = !fenced
			continue
		case fenced:
			for _, name := range diagramName.FindAllString(line, -1) {
				found = append(found, c.checkSpan(name))
			}
		default:
			if strings.HasPrefix(line, "## ") {
				section = line
			}
			if strings.Count(line, "`")%2 != 0 {
				found = append(found, "a code span crosses the end of the line")
			}
			for _, span := range codeSpan.FindAllString(line, -1) {
				found = append(found, c.checkSpan(strings.Trim(span, "`")))
			}
			if section == onCallHeading && strings.HasPrefix(line, "|") {
				found = append(found, c.checkOnCallRow(line)...)
			}
		}
		for _, problem := range found {
			if problem != "" {
				problems = append(problems, fmt.Sprintf("line %d: %s", i+1, problem))
			}
		}
	}
	return append(problems, c.checkLayers(page)...)
}

// checkOnCallRow checks that each cell of a row of the on-call table names something of its column's kind.
func (c *codeBase) checkOnCallRow(line string) (problems []string) {
	row := strings.Split(strings.Trim(line, "|"), "|")
	if strings.Contains(row[0], "---") || strings.TrimSpace(row[0]) == "fault" {
		return nil
	}
	if len(row) != 5 {
		return []string{fmt.Sprintf("%d cells, not 5", len(row))}
	}
	kinds := []struct {
		cell, name string
		exists     func(string) bool
	}{
		{row[1], "log line or package", func(s string) bool { return c.logMessages[s] || c.names[s] != nil }},
		{row[2], "counter", func(s string) bool { return c.counters[s] }},
		{row[3], "command", func(s string) bool { return strings.HasPrefix(s, "chutechute ") }},
		{row[4], "package", func(s string) bool { return c.names[s] != nil }},
	}
	for _, kind := range kinds {
		spans := codeSpan.FindAllString(kind.cell, -1)
		if len(spans) == 0 && !strings.HasPrefix(strings.TrimSpace(kind.cell), "none") {
			problems = append(problems, fmt.Sprintf("missing %s", kind.name))
		}
		for _, span := range spans {
			if text := strings.Trim(span, "`"); !kind.exists(text) {
				problems = append(problems, fmt.Sprintf("%q is not a %s", text, kind.name))
			}
		}
	}
	return problems
}

// checkLayers compares the page's tables of packages with the module. Each package has exactly one row. Packages listed
// under "Apart" may import any package; the others import none of these and none of a higher layer (a lower number).
func (c *codeBase) checkLayers(page string) (problems []string) {
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	layer, isApart := map[string]int{}, map[string]bool{}
	for _, section := range sections(page) {
		if !strings.HasPrefix(section, layersHeading) {
			continue
		}
		for number, part := range strings.Split(section, "\n### ") {
			for _, row := range tableRows(part) {
				folder := strings.Trim(row[0], "`")
				if layer[folder] != 0 {
					report("%s has two rows", folder)
				}
				layer[folder], isApart[folder] = number, strings.HasPrefix("### "+part, apartHeading)
			}
		}
	}
	for _, folder := range slices.Sorted(maps.Keys(c.names)) {
		program := strings.HasPrefix(folder, "cmd/")
		if program || folder == "." || folder == "docs" { // these two contain only tests
			continue
		}
		if layer[folder] == 0 {
			report("%s is not listed in any layer", folder)
			continue
		}
		for _, in := range c.imports[folder] {
			switch {
			case isApart[folder]:
			case isApart[in]:
				report("%s imports %s, which is listed under Apart", folder, in)
			case layer[in] < layer[folder]:
				report("%s of layer %d imports %s of layer %d", folder, layer[folder], in, layer[in])
			}
		}
	}
	return problems
}

// Every name in ARCHITECTURE.md exists in the code, and its tables match the module's packages and imports.
func TestArchitecturePage(t *testing.T) {
	code, err := readCode(os.DirFS(repositoryRoot))
	require.NoError(t, err)
	page, err := os.ReadFile("ARCHITECTURE.md")
	require.NoError(t, err)
	for _, problem := range code.checkArchitecture(string(page)) {
		t.Error(problem)
	}
}

// The check reports each kind of name that the code does not have, with its line, and each kind of table error.
func TestArchitecturePageCheckReportsEachError(t *testing.T) {
	code, err := readCode(os.DirFS(repositoryRoot))
	require.NoError(t, err)
	text, err := os.ReadFile("ARCHITECTURE.md")
	require.NoError(t, err)
	page := string(text)
	require.Empty(t, code.checkArchitecture(page))
	// Errors of whole tables are reported without a line.
	withoutLine := []string{"a missing row", "a duplicate row", "an import of a higher layer", "an import from Apart"}
	for name, change := range map[string]struct{ old, new, want string }{
		"a package": {"`gateway` | open requests", "`gatewai` | open requests",
			"\"gatewai\" is not a path"},
		"a package below another": {"`fleet/heartbeat` | failure", "`fleet/heartbeet` | failure",
			"\"fleet/heartbeet\" is not a path"},
		"a package's name":         {"`gateway.Core.Submit`", "`gatewai.Core.Submit`", "no package gatewai"},
		"a function":               {"`thrift.Next`", "`thrift.Nexd`", "no Nexd in internal/thrift"},
		"a type":                   {"`scheduler.Outcome`", "`scheduler.Outcomes`", "no Outcomes in scheduler"},
		"a method":                 {"`gateway.Core.Submit`", "`gateway.Core.Submid`", "no Core.Submid in gateway"},
		"a method of an interface": {"`gateway.Responder.Fail`", "`gateway.Responder.Failed`", "no Responder.Failed"},
		"a field": {"`scheduler.Limits.MaxAttempts`", "`scheduler.Limits.Attempts`",
			"no Limits.Attempts"},
		"an unexported name": {"`thrift.Next`", "`thrift.parse`", "parse of internal/thrift is not exported"},
		"an unexported name of the server": {"`server.enginePool.redial`", "`server.enginePool.redials`",
			"no enginePool.redials in internal/server"},
		"a name in a diagram": {"E->>G: gateway.Core.Submit", "E->>G: gateway.Core.Submid", "no Core.Submid"},
		"a counter": {"`answers refused`", "`answers rejected`",
			"\"answers rejected\" is not a counter"},
		"a counter in the wrong column": {"`answers refused`", "`accepting a client connection failed`",
			"\"accepting a client connection failed\" is not a counter"},
		"a log line": {"`certificate or revocation list expires soon`", "`certificate or revocation list expires sooner`",
			"\"certificate or revocation list expires sooner\" is not a log line"},
		"a literal that is not logged": {"`certificate or revocation list expires soon`", "`keyed`",
			"\"keyed\" is not a log line"},
		"a command":               {"`chutechute fleet ledger`", "`chutechute fleet loads`", "no command loads"},
		"a flag":                  {"`--log-level debug`", "`--log-depth debug`", "no flag log-depth"},
		"a key":                   {"`orphan_s`", "`orphan_sec`", "\"orphan_sec\" is not a path"},
		"an environment variable": {"`NODE_CONFIG`", "`NODE_CONFIGS`", "no string literal NODE_CONFIGS"},
		"a file":                  {"`docs/operators`", "`docs/operator`", "\"docs/operator\" is not a path"},
		"a missing row": {"| `internal/ring` |", "| `internal/decimal` |",
			"internal/ring is not listed in any layer"},
		"a duplicate row": {"| `internal/ring` |", "| `internal/decimal` |",
			"internal/decimal has two rows"},
		"an import of a higher layer": {"| `fleet/budget/account` |",
			"\n### 6a. Readings\n\n| package | what |\n| --- | --- |\n| `fleet/budget/account` |",
			"internal/settings of layer 7 imports scheduler of layer 6"},
		"an import from Apart": {"| `internal/history` |", "| `internal/monotime` |",
			"imports internal/monotime, which is listed under Apart"},
		"a missing cell": {"| none | `chutechute budget show` |", "| `chutechute budget show` |", "4 cells, not 5"},
		"an empty cell": {"| none | `chutechute budget show` |", "| | `chutechute budget show` |",
			"missing counter"},
		"a span across two lines": {"`scheduler.Outcome`", "`scheduler.\nOutcome`", "crosses the end of the line"},
	} {
		require.Contains(t, page, change.old, name)
		changed := strings.Replace(page, change.old, change.new, 1)
		at := strings.Count(page[:strings.Index(page, change.old)], "\n") + 1
		problems := strings.Join(code.checkArchitecture(changed), "\n")
		assert.Contains(t, problems, change.want, name)
		if !slices.Contains(withoutLine, name) {
			assert.Contains(t, problems, fmt.Sprintf("line %d: ", at), name)
		}
	}
}
