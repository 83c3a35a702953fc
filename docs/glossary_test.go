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

// checkGlossary says which names of the glossary's tables the code does not have. What stands on a wire or in a
// form is found in the sources' strings and tags.
func (c *codeBase) checkGlossary(page string) (faults []string) {
	terms := map[string]int{}
	for i, line := range strings.Split(page, "\n") {
		fault := func(format string, args ...any) {
			faults = append(faults, fmt.Sprintf("line %d: ", i+1)+fmt.Sprintf(format, args...))
		}
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| term ") {
			continue
		}
		row := strings.Split(strings.TrimSuffix(strings.TrimPrefix(line, "|"), "|"), "|")
		if len(row) != 4 {
			fault("%d cells, not 4", len(row))
			continue
		}
		if term := strings.TrimSpace(row[0]); terms[term] != 0 {
			fault("%s stands in line %d too", term, terms[term])
		} else {
			terms[term] = i + 1
		}
		if len(codeSpan.FindAllString(row[2], -1)) == 0 {
			fault("no name in the code")
		}
		for _, span := range codeSpan.FindAllString(row[2], -1) {
			if text := strings.Trim(span, "`"); !qualified.MatchString(text) && c.names[text] == nil {
				fault("%q is no name of the code", text)
			} else if is := c.span(text); is != "" {
				fault("%s", is)
			}
		}
		for _, span := range codeSpan.FindAllString(row[3], -1) {
			if text := strings.Trim(span, "`"); !c.counters[text] && !c.inText(text) {
				fault("%q stands in no string of the code", text)
			}
		}
	}
	return faults
}

// inText says whether a word stands by itself in a string or a tag.
func (c *codeBase) inText(word string) bool {
	whole := regexp.MustCompile(`(^|\W)` + regexp.QuoteMeta(word) + `($|\W)`)
	for text := range c.literals {
		if whole.MatchString(text) {
			return true
		}
	}
	return false
}

// The glossary names nothing that the code does not have.
func TestGlossary(t *testing.T) {
	code, err := readCode(os.DirFS(repository))
	require.NoError(t, err)
	text, err := os.ReadFile("GLOSSARY.md")
	require.NoError(t, err)
	page := string(text)
	faults := code.checkGlossary(page)
	require.Empty(t, faults, strings.Join(faults, "\n"))
	for name, change := range map[string]struct{ old, new, fault string }{
		"a name":             {"`scheduler.Idempotent` |", "`scheduler.Idempotents` |", "no Idempotents in scheduler"},
		"a wire's word":      {"`pushback` (wire)", "`pushbak` (wire)", "\"pushbak\" stands in no string"},
		"a counter":          {"`probes sent` (counter)", "`probes made` (counter)", "\"probes made\" stands in no string"},
		"a term twice":       {"| demand |", "| budget |", "budget stands in line"},
		"a term without one": {"`scheduler.Idempotent` |", "the same |", "no name in the code"},
		"a cell more":        {"| demand |", "| demand | too |", "5 cells, not 4"},
	} {
		require.Contains(t, page, change.old, name)
		found := strings.Join(code.checkGlossary(strings.Replace(page, change.old, change.new, 1)), "\n")
		assert.Contains(t, found, change.fault, name)
		at := strings.Count(page[:strings.Index(page, change.old)], "\n") + 1
		assert.Contains(t, found, fmt.Sprintf("line %d: ", at), name)
	}
}
