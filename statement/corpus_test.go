package statement_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/sqltext"
	"chutechute/statement"
	"chutechute/statement/syntax"
)

// corpusBlock holds statements of one shape and their expected properties.
type corpusBlock struct {
	line                int
	class, verb, effect string
	group               int
	tables              []string
	statements          []string
}

// readCorpus reads testdata/corpus.txt, which describes its format at the top.
func readCorpus(t testing.TB) (blocks []corpusBlock) {
	text, err := os.ReadFile("testdata/corpus.txt")
	require.NoError(t, err)
	for n, line := range strings.Split(string(text), "\n") {
		switch {
		case line == "" || line[0] == '#':
		case strings.HasPrefix(line, "= "):
			f := strings.Fields(line)
			group, err := strconv.Atoi(f[4])
			require.NoError(t, err, "line %d", n+1)
			blocks = append(blocks, corpusBlock{line: n + 1, class: f[1], verb: f[2], effect: f[3], group: group, tables: f[5:]})
		default:
			b := &blocks[len(blocks)-1]
			b.statements = append(b.statements, strings.ReplaceAll(line, `\n`, "\n"))
		}
	}
	return blocks
}

// classNames are the names of newReader's classes.
var classNames = []string{"lookup", "report", "load"}

// tableRoles returns the tables of a statement and their roles in the notation of the corpus.
func tableRoles(facts *syntax.Facts) string {
	var tables []string
	for _, table := range facts.Tables {
		tables = append(tables, table.Name+":"+string(table.Role))
	}
	return strings.Join(tables, " ")
}

// effect describes whether a statement reads and writes tables, in the notation of the corpus: r, w, rw or -.
func effect(facts *syntax.Facts) string {
	effect := ""
	if facts.Reads {
		effect = "r"
	}
	if facts.Writes {
		effect += "w"
	}
	if effect == "" {
		effect = "-"
	}
	return effect
}

// Each statement of the corpus has the class, verb, effect, table group and tables of its block. All statements of a
// block have the same shape, and different blocks have different shapes.
func TestCorpus(t *testing.T) {
	r := newReader(t, 0)
	shapes := map[string]int{}
	statements, scanMatches := 0, 0
	for _, b := range readCorpus(t) {
		shape := ""
		for _, s := range b.statements {
			statements++
			reading, err := r.Read([]byte(s))
			if !assert.NoError(t, err, "block of line %d: %s", b.line, s) {
				continue
			}
			f := reading.Facts()
			if shape == "" {
				shape = reading.Shape()
				assert.Zero(t, shapes[shape], "line %d has the same shape as another block: %s", b.line, shape)
				shapes[shape] = b.line
			}
			assert.Equal(t, shape, reading.Shape(), "line %d: %s", b.line, s)
			assert.Equal(t, strings.Join(b.tables, " "), tableRoles(f), s)
			assert.Equal(t, []string{b.verb, b.effect}, []string{f.Verb, effect(f)}, s)
			assert.Equal(t, b.group, f.TableGroup, s)
			if sqltext.TableGroup(s) == b.group {
				scanMatches++
			}
			class, ok := r.Classify(&reading)
			if assert.True(t, ok, s) {
				assert.Equal(t, b.class, classNames[class], s)
			}
		}
	}
	assert.GreaterOrEqual(t, statements, 300)
	assert.GreaterOrEqual(t, len(shapes), 60)
	t.Logf("%d statements of %d shapes; a scan of the text finds the group of %d", statements, len(shapes), scanMatches)
}

// The error of a statement that cannot be parsed has the position, what was expected and what was found.
func TestErrorsNamePlaceAndExpectation(t *testing.T) {
	r := newReader(t, 0)
	for text, want := range map[string]string{
		"":                                   "line 1, column 1: expected a statement, found the end",
		"select 1 from":                      "line 1, column 14: expected a table, found the end",
		"select *\nfrom ops_1.t\nwhere and":  "line 3, column 7: expected an expression, found and",
		"selec 1":                            "line 1, column 1: expected a statement, found selec",
		"select 'abc":                        "line 1, column 8: found a text that does not end",
		"select 1 /* x":                      "line 1, column 10: found a comment that does not end",
		"select (1, 2":                       "line 1, column 13: expected ), found the end",
		"select 1 )":                         "line 1, column 10: expected the end of the statement, found )",
		"insert into ops_1.t":                "line 1, column 20: expected SELECT, VALUES, TABLE or (, found the end",
		"update ops_1.t set a 1":             "line 1, column 22: expected =, found 1",
		"select case a when 1 then 2":        "line 1, column 28: expected END, found the end",
		"select \x01 from t":                 "",
		"select # from t":                    "line 1, column 8: expected an expression, found #",
		strings.Repeat("(", 5000):            "line 1, column 101: nested too deeply",
		"select " + strings.Repeat("a", 1e5): "line 1, column 1: the statement is longer than 65536 bytes",
	} {
		_, err := r.Read([]byte(text))
		if want == "" {
			assert.NoError(t, err, text)
			continue
		}
		if assert.Error(t, err, "%.80s", text) {
			assert.Equal(t, want, err.Error(), "%.80s", text)
		}
	}
}

// A statement that is not idempotent makes a request non-idempotent unless engines recognize its repeats by the
// client's idempotency key. So does a statement that cannot be parsed.
func TestWritesAreNonIdempotentWithoutKey(t *testing.T) {
	r := newReader(t, 0)
	complete := func(text string, class int, keyed bool) statement.Completion {
		c, err := r.Complete(statement.Call{Text: []byte(text), Class: class, Keyed: keyed})
		require.NoError(t, err, text)
		return c
	}
	const load, lookup = 2, 0
	assert.False(t, complete("select * from ops_1.t", -1, false).NonIdempotent)
	assert.True(t, complete("insert into ops_1.t values (1)", -1, false).NonIdempotent)
	assert.False(t, complete("insert into ops_1.t values (1)", -1, true).NonIdempotent)
	assert.True(t, complete("insert into ops_1.t values (1)", lookup, true).NonIdempotent,
		"engines do not discard repeats in that class")
	assert.True(t, complete("begin", lookup, false).NonIdempotent)
	assert.True(t, complete("selec", load, false).NonIdempotent, "a statement that was not parsed may change something")
	assert.False(t, complete("selec", load, true).NonIdempotent)
	_, err := r.Complete(statement.Call{Text: []byte("selec"), Class: -1})
	assert.ErrorContains(t, err, "line 1, column 1")
}
