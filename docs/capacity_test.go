// Package docs checks the pages below docs: their figures against the result files, their names against the code.
package docs

import (
	"os"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each figure of CAPACITY.md equals the one computed from the result files, and each row and result file is used.
func TestCapacityPage(t *testing.T) {
	text, err := os.ReadFile("CAPACITY.md")
	require.NoError(t, err)
	page, err := parsePage(string(text))
	require.NoError(t, err)
	results, err := readResults(os.DirFS("capacity"))
	require.NoError(t, err)
	require.NotEmpty(t, page.figures)
	for _, problem := range page.check(results) {
		t.Error(problem)
	}
}

const smallFile = `{"name":"small","mode":"measure","date":"2026-12-02","machine":"m",
"front_ends":0,"controls":0,"zones":0,"seconds":0,"seed":0,
"points":[{"axis":"engines","x":10,"figures":{"query us":1000}},{"axis":"engines","x":20,"figures":{"query us":2000}},
{"axis":"engines","x":40,"figures":{"query us":4000}},{"axis":"engines","x":40,"figures":{"query us":4000}}]}`

const smallPage = `# Capacity

## What the users ask

| asked | what |
| --- | --- |
| **34,000 engines** | known to each |

## Decisions

A query takes 4.0 ms [q] at p99 and 3,400 ms [all] with 34,000 engines; see ` + "`small.json, 17`" + `.

## Figures

| id | figure | step | from | fit |
| --- | --- | --- | --- | --- |
| q | 4.0 ms | 0.1 | ` + "`mean(\"small\", \"engines\", 40, \"query us\") / 1000`" + ` |  |
| all | 3,400 ms | 1 | ` + "`at(\"small\", \"engines\", \"query us\", 34000) / 1000`" +
	` | linear, misses 0, 10 to 40, 8.5e+02 times beyond |

## Files

| file | date | points | scatter | sha256 |
| --- | --- | --- | --- | --- |
| small | 2026-12-02 | 4 points | one run | DIGEST |
`

// checkCapacity checks a page against a result file and copies of it under other names. DIGEST in the page stands for
// the digest of smallFile.
func checkCapacity(t *testing.T, pageText, file string, others ...string) []string {
	folder := fstest.MapFS{"small.json": {Data: []byte(file)}}
	for _, name := range others {
		folder[name+".json"] = &fstest.MapFile{Data: []byte(strings.Replace(file, `"small"`, `"`+name+`"`, 1))}
	}
	results, err := readResults(folder)
	require.NoError(t, err)
	original, err := readResults(fstest.MapFS{"small.json": {Data: []byte(smallFile)}})
	require.NoError(t, err)
	page, err := parsePage(strings.Replace(pageText, "DIGEST", original.digests["small"], 1))
	require.NoError(t, err)
	return page.check(results)
}

// The check reports a change to the page without the result file, and a change to the file without the page.
func TestCapacityPageCheckReportsEachChange(t *testing.T) {
	require.Empty(t, checkCapacity(t, smallPage, smallFile))
	for name, change := range map[string]struct{ in, old, new, want string }{
		"a figure in the text":         {"page", "takes 4.0 ms", "takes 4.1 ms", "its row has"},
		"more digits in the text":      {"page", "takes 4.0 ms", "takes 14.0 ms", "its row has"},
		"another unit in the text":     {"page", "takes 4.0 ms", "takes 4.0 us", "its row has"},
		"a figure in its row":          {"page", "| q | 4.0", "| q | 4.2", "computed as 4.0 ms"},
		"both":                         {"page", "4.0 ms", "4.2 ms", "computed as 4.0 ms"},
		"the fit":                      {"page", "misses 0,", "misses 1,", "computed as"},
		"a figure without a reference": {"page", "4.0 ms [q]", "4.0 ms", "a number without a source"},
		"another number":               {"page", "at p99", "at p99 and 7 times", "a number without a source"},
		"another required figure": {"page", "with 34,000 engines", "with 35,000 engines",
			"a number without a source"},
		"a reference without a row": {"page", "[q]", "[r]", "[r] has no row"},
		"an unused row":             {"page", "4.0 ms [q] at p99 and ", "", "[q] is not used"},
		"a missing point":           {"page", `"engines", 40,`, `"engines", 41,`, "no point"},
		"a missing figure":          {"page", `40, "query us"`, `40, "query ms"`, "no point"},
		"a missing file":            {"page", `mean("small"`, `mean("large"`, "no result file"},
		"numbers without a source": {"page", "query us\") / 1000`", "query us\") * 4 / 4 / 1000`",
			"without a source"},
		"a bare number as a source": {"page", "`mean(\"small\", \"engines\", 40, \"query us\") / 1000`", "`4`",
			"not a source"},
		"an unknown row in an expression":      {"page", ", 40, ", ", z, ", "no earlier row"},
		"a file's figure":                      {"file", `4000}}]`, `4400}}]`, "computed as 4.2 ms"},
		"a file's figure, by less than a step": {"file", `4000}}]`, `4000.001}}]`, "expected {small"},
		"a file's note":                        {"file", `"seed":0`, `"seed":0,"notes":["x"]`, "expected {small"},
	} {
		pageText, file := smallPage, smallFile
		if change.in == "page" {
			require.Contains(t, pageText, change.old, name)
			pageText = strings.ReplaceAll(pageText, change.old, change.new)
		} else {
			require.Contains(t, file, change.old, name)
			file = strings.Replace(file, change.old, change.new, 1)
		}
		assert.Contains(t, strings.Join(checkCapacity(t, pageText, file), "\n"), change.want, name)
	}
	assert.Contains(t, strings.Join(checkCapacity(t, smallPage, smallFile, "unlisted"), "\n"),
		"unlisted: result file without a row")
}
