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

// checkPage says what on a page the code does not bear out, with lines.
func (c *codeBase) checkPage(page string) (faults []string) {
	fenced, section := false, ""
	for i, line := range strings.Split(page, "\n") {
		var found []string
		switch {
		case strings.HasPrefix(line, "```"):
			fenced = !fenced
			continue
		case fenced:
			for _, name := range inDiagram.FindAllString(line, -1) {
				found = append(found, c.span(name))
			}
		default:
			if strings.HasPrefix(line, "## ") {
				section = line
			}
			if strings.Count(line, "`")%2 != 0 {
				found = append(found, "a code span goes over the line's end")
			}
			for _, span := range codeSpan.FindAllString(line, -1) {
				found = append(found, c.span(strings.Trim(span, "`")))
			}
			if section == onCallTable && strings.HasPrefix(line, "|") {
				found = append(found, c.onCall(line)...)
			}
		}
		for _, fault := range found {
			if fault != "" {
				faults = append(faults, fmt.Sprintf("line %d: %s", i+1, fault))
			}
		}
	}
	return append(faults, c.checkLayers(page)...)
}

// onCall checks the cells of a row of the on-call table, each by its column's kind.
func (c *codeBase) onCall(line string) (faults []string) {
	row := strings.Split(strings.Trim(line, "|"), "|")
	if strings.Contains(row[0], "---") || strings.TrimSpace(row[0]) == "fault" {
		return nil
	}
	if len(row) != 5 {
		return []string{fmt.Sprintf("%d cells, not 5", len(row))}
	}
	kinds := []struct {
		cell, name string
		has        func(string) bool
	}{
		{row[1], "log line or package", func(s string) bool { return c.logs[s] || c.names[s] != nil }},
		{row[2], "counter", func(s string) bool { return c.counters[s] }},
		{row[3], "command", func(s string) bool { return strings.HasPrefix(s, "chutechute ") }},
		{row[4], "package", func(s string) bool { return c.names[s] != nil }},
	}
	for _, kind := range kinds {
		spans := codeSpan.FindAllString(kind.cell, -1)
		if len(spans) == 0 && !strings.HasPrefix(strings.TrimSpace(kind.cell), "none") {
			faults = append(faults, fmt.Sprintf("no %s", kind.name))
		}
		for _, span := range spans {
			if text := strings.Trim(span, "`"); !kind.has(text) {
				faults = append(faults, fmt.Sprintf("%q is no %s", text, kind.name))
			}
		}
	}
	return faults
}

// checkLayers compares the tables of packages with the module: each package stands in one row, and imports none of
// a layer above.
func (c *codeBase) checkLayers(page string) (faults []string) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	layer, isApart := map[string]int{}, map[string]bool{}
	for _, section := range sections(page) {
		if !strings.HasPrefix(section, layers) {
			continue
		}
		for number, part := range strings.Split(section, "\n### ") {
			for _, row := range cells(part) {
				folder := strings.Trim(row[0], "`")
				if layer[folder] != 0 {
					fault("%s has two rows", folder)
				}
				layer[folder], isApart[folder] = number, strings.HasPrefix("### "+part, apart)
			}
		}
	}
	for _, folder := range slices.Sorted(maps.Keys(c.names)) {
		program := strings.HasPrefix(folder, "cmd/")
		if program || folder == "." || folder == "docs" { // the last two have tests only
			continue
		}
		if layer[folder] == 0 {
			fault("%s has no row in a layer", folder)
			continue
		}
		for _, in := range c.imports[folder] {
			switch {
			case isApart[folder]:
			case isApart[in]:
				fault("%s imports %s, which stands apart", folder, in)
			case layer[in] < layer[folder]:
				fault("%s of layer %d imports %s of layer %d", folder, layer[folder], in, layer[in])
			}
		}
	}
	return faults
}

// The page names nothing that the code does not have.
func TestArchitecturePage(t *testing.T) {
	code, err := readCode(os.DirFS(repository))
	require.NoError(t, err)
	page, err := os.ReadFile("ARCHITECTURE.md")
	require.NoError(t, err)
	for _, fault := range code.checkPage(string(page)) {
		t.Error(fault)
	}
}

// Each kind of name that the code does not have is found, with its line.
func TestArchitecturePageCheckSees(t *testing.T) {
	code, err := readCode(os.DirFS(repository))
	require.NoError(t, err)
	text, err := os.ReadFile("ARCHITECTURE.md")
	require.NoError(t, err)
	page := string(text)
	require.Empty(t, code.checkPage(page))
	// These are faults of the tables.
	withoutLine := []string{"a row less", "a package twice", "a package of a layer above", "a package apart"}
	for name, change := range map[string]struct{ old, new, fault string }{
		"a package":                        {"`gateway` | open requests", "`gatewai` | open requests", "\"gatewai\" is no path"},
		"a package below another":          {"`fleet/heartbeat` | failure", "`fleet/heartbeet` | failure", "\"fleet/heartbeet\" is no path"},
		"a package's name":                 {"`gateway.Core.Submit`", "`gatewai.Core.Submit`", "no package gatewai"},
		"a function":                       {"`thrift.Next`", "`thrift.Nexd`", "no Nexd in internal/thrift"},
		"a type":                           {"`scheduler.Outcome`", "`scheduler.Outcomes`", "no Outcomes in scheduler"},
		"a method":                         {"`gateway.Core.Submit`", "`gateway.Core.Submid`", "no Core.Submid in gateway"},
		"a method of an interface":         {"`gateway.Responder.Fail`", "`gateway.Responder.Failed`", "no Responder.Failed"},
		"a field":                          {"`scheduler.Limits.MaxAttempts`", "`scheduler.Limits.Attempts`", "no Limits.Attempts"},
		"an unexported name":               {"`thrift.Next`", "`thrift.parse`", "parse of internal/thrift is not exported"},
		"an unexported name of the driver": {"`server.enginePool.redial`", "`server.enginePool.redials`", "no enginePool.redials in internal/server"},
		"a name in a diagram":              {"E->>G: gateway.Core.Submit", "E->>G: gateway.Core.Submid", "no Core.Submid"},
		"a counter":                        {"`answers refused`", "`answers rejected`", "\"answers rejected\" is no counter"},
		"a counter in the wrong column":    {"`answers refused`", "`accept`", "\"accept\" is no counter"},
		"a log line":                       {"`expires soon`", "`expires sooner`", "\"expires sooner\" is no log line"},
		"a log line that is no message":    {"`expires soon`", "`keyed`", "\"keyed\" is no log line"},
		"a command":                        {"`chutechute fleet ledger`", "`chutechute fleet loads`", "no command loads"},
		"a flag":                           {"`--log-level debug`", "`--log-depth debug`", "no flag log-depth"},
		"a key":                            {"`orphan_s`", "`orphan_sec`", "\"orphan_sec\" is no path"},
		"a variable":                       {"`NODE_CONFIG`", "`NODE_CONFIGS`", "no source has NODE_CONFIGS"},
		"a file":                           {"`docs/operators`", "`docs/operator`", "\"docs/operator\" is no path"},
		"a row less":                       {"| `internal/ring` |", "| `internal/decimal` |", "internal/ring has no row in a layer"},
		"a package twice":                  {"| `internal/ring` |", "| `internal/decimal` |", "internal/decimal has two rows"},
		"a package of a layer above": {"| `fleet/budget/account` |",
			"\n### 6a. Readings\n\n| package | what |\n| --- | --- |\n| `fleet/budget/account` |",
			"internal/settings of layer 7 imports scheduler of layer 6"},
		"a package apart":       {"| `internal/history` |", "| `internal/monotime` |", "imports internal/monotime, which stands apart"},
		"a cell less":           {"| none | `chutechute budget show` |", "| `chutechute budget show` |", "4 cells, not 5"},
		"an empty cell":         {"| none | `chutechute budget show` |", "| | `chutechute budget show` |", "no counter"},
		"a span over two lines": {"`scheduler.Outcome`", "`scheduler.\nOutcome`", "over the line's end"},
	} {
		require.Contains(t, page, change.old, name)
		changed := strings.Replace(page, change.old, change.new, 1)
		at := strings.Count(page[:strings.Index(page, change.old)], "\n") + 1
		faults := strings.Join(code.checkPage(changed), "\n")
		assert.Contains(t, faults, change.fault, name)
		if !slices.Contains(withoutLine, name) {
			assert.Contains(t, faults, fmt.Sprintf("line %d: ", at), name)
		}
	}
}
