package docs

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// checkGlossary reports, with line numbers, which names in the glossary's tables the code does not have. Names used on
// the wire or in files are looked up in string literals and struct tags.
func (c *codeBase) checkGlossary(page string) (problems []string) {
	terms := map[string]int{}
	for i, line := range strings.Split(page, "\n") {
		report := func(format string, args ...any) {
			problems = append(problems, fmt.Sprintf("line %d: ", i+1)+fmt.Sprintf(format, args...))
		}
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| term ") {
			continue
		}
		row := strings.Split(strings.TrimSuffix(strings.TrimPrefix(line, "|"), "|"), "|")
		if len(row) != 4 {
			report("%d cells, not 4", len(row))
			continue
		}
		if term := strings.TrimSpace(row[0]); terms[term] != 0 {
			report("%s is defined in line %d too", term, terms[term])
		} else {
			terms[term] = i + 1
		}
		if len(codeSpan.FindAllString(row[2], -1)) == 0 {
			report("no name from the code")
		}
		for _, span := range codeSpan.FindAllString(row[2], -1) {
			if text := strings.Trim(span, "`"); !qualifiedName.MatchString(text) && c.names[text] == nil {
				report("%q is not a name in the code", text)
			} else if problem := c.checkSpan(text); problem != "" {
				report("%s", problem)
			}
		}
		for _, span := range codeSpan.FindAllString(row[3], -1) {
			if text := strings.Trim(span, "`"); !c.counters[text] && !c.inLiterals(text) {
				report("%q is in no string literal of the code", text)
			}
		}
	}
	return problems
}

// inLiterals reports whether a string literal or struct tag contains word as a whole word.
func (c *codeBase) inLiterals(word string) bool {
	whole := regexp.MustCompile(`(^|\W)` + regexp.QuoteMeta(word) + `($|\W)`)
	for text := range c.literals {
		if whole.MatchString(text) {
			return true
		}
	}
	return false
}

// Every name in GLOSSARY.md exists in the code, and the check reports each kind of error with its line.
func TestGlossary(t *testing.T) {
	code, err := readCode(os.DirFS(repositoryRoot))
	require.NoError(t, err)
	text, err := os.ReadFile("GLOSSARY.md")
	require.NoError(t, err)
	page := string(text)
	problems := code.checkGlossary(page)
	require.Empty(t, problems, strings.Join(problems, "\n"))
	for name, change := range map[string]struct{ old, new, want string }{
		"a name":             {"`scheduler.Idempotent` |", "`scheduler.Idempotents` |", "no Idempotents in scheduler"},
		"a word on the wire": {"`pushback` (wire)", "`pushbak` (wire)", "\"pushbak\" is in no string literal"},
		"a counter": {"`probes sent` (counter)", "`probes made` (counter)",
			"\"probes made\" is in no string literal"},
		"a duplicate term":      {"| demand |", "| budget |", "budget is defined in line"},
		"a term without a name": {"`scheduler.Idempotent` |", "the same |", "no name from the code"},
		"an extra cell":         {"| demand |", "| demand | too |", "5 cells, not 4"},
	} {
		require.Contains(t, page, change.old, name)
		found := strings.Join(code.checkGlossary(strings.Replace(page, change.old, change.new, 1)), "\n")
		assert.Contains(t, found, change.want, name)
		at := strings.Count(page[:strings.Index(page, change.old)], "\n") + 1
		assert.Contains(t, found, fmt.Sprintf("line %d: ", at), name)
	}
}
