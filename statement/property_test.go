package statement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"chutechute/statement/lex"
	"chutechute/statement/shape"
	"chutechute/statement/syntax"
)

// rewrite returns a statement with the same tokens but other values, white space, comments and letter case, none of
// which affects the shape.
func rewrite(t *rapid.T, text string) string {
	gaps := rapid.SampledFrom([]string{" ", "\n", "\t ", " /* from ops_99.x */ ", " -- ops_98.y\n",
		" /* a /* b */ 'c */ "})
	values := rapid.SampledFrom([]string{"1", "2.5", "1e3", "'x'", "'it''s'", "$$from ops_97.z$$",
		"$3", ":name", "?", "E'\\''", "0"})
	var b strings.Builder
	l := lex.Lexer{Text: text}
	prev := lex.Token{}
	for tok := l.Next(); tok.Kind != lex.EOF; prev, tok = tok, l.Next() {
		word := text[tok.Start:tok.End]
		joined := tok.Start == prev.End && (tok.Kind == lex.Operator || prev.Kind == lex.Operator)
		if !joined || rapid.Bool().Draw(t, "apart") {
			b.WriteString(gaps.Draw(t, "gap"))
		}
		switch {
		case tok.Kind == lex.Word && rapid.Bool().Draw(t, "upper"):
			b.WriteString(strings.ToUpper(word))
		case tok.Kind == lex.String || tok.Kind == lex.Number || tok.Kind == lex.Parameter:
			b.WriteString(values.Draw(t, "value"))
		default:
			b.WriteString(word)
		}
	}
	return b.String()
}

// shapeOf returns the shape of a statement.
func shapeOf(t require.TestingT, text string) string {
	var s shape.Normalizer
	require.True(t, s.Normalize(text), "%s: %s", s.ErrorMessage, text)
	return string(s.Shape)
}

// expression draws a random expression of limited depth.
func expression(t *rapid.T, depth int) string {
	if depth == 0 {
		return rapid.SampledFrom([]string{"a", "t.b", "1", "'x'", "-2", "now()", "null", "\"C\"", "?"}).Draw(t, "leaf")
	}
	e := func() string { return expression(t, depth-1) }
	switch rapid.IntRange(0, 9).Draw(t, "form") {
	case 0:
		return e() + " + " + e()
	case 1:
		return "(" + e() + ")"
	case 2:
		return "f(" + e() + ", " + e() + ")"
	case 3:
		return "case when " + e() + " = 1 then " + e() + " else 2 end"
	case 4:
		return e() + "::text"
	case 5:
		return "extract(day from " + e() + ")"
	case 6:
		return "(select " + e() + " from ops_2.u limit 3)"
	case 7:
		return "array[" + e() + ", " + e() + "]"
	case 8:
		return "coalesce(" + e() + ", 0)"
	}
	return e()
}

// query draws a random statement.
func query(t *rapid.T) string {
	e := func() string { return expression(t, rapid.IntRange(0, 2).Draw(t, "depth")) }
	condition := rapid.SampledFrom([]string{"a in (1, 2, 3)", "a between 1 and 2", "b like 'x%'", "a is distinct from 4",
		"not a > 5", "exists (select 1 from ops_3.v)"}).Draw(t, "condition") + " and " + e() + " = " + e()
	switch rapid.IntRange(0, 4).Draw(t, "statement") {
	case 0:
		return "insert into ops_4.t (a, b) values (" + e() + ", 1), (" + e() + ", 2) returning " + e()
	case 1:
		return "update ops_4.t set a = " + e() + " where " + condition
	case 2:
		return "delete from ops_4.t using ops_5.u where " + condition
	case 3:
		return "with c as (select " + e() + " as x from ops_4.t) select * from c join ops_5.u on " + condition +
			" order by " + e()
	}
	return "select " + e() + ", " + e() + " from ops_4.t where " + condition + " group by " + e() + " limit 10"
}

// Values, white space, comments and the case of words do not affect the shape. A shape is itself a statement, with the
// same shape, tables and verb.
func TestShapeIgnoresValuesAndLayout(t *testing.T) {
	var p syntax.Parser
	check := func(t *rapid.T, text string) {
		want := shapeOf(t, text)
		other := rewrite(t, text)
		require.Equal(t, want, shapeOf(t, other), "%s\n%s", text, other)
		require.Equal(t, want, shapeOf(t, want))
		facts, err := p.Parse(text)
		require.NoError(t, err, text)
		again, err := p.Parse(want)
		require.NoError(t, err, want)
		require.Equal(t, facts.Tables, again.Tables)
		require.Equal(t, facts.Verb, again.Verb)
		written, err := p.Parse(other)
		require.NoError(t, err, other)
		require.Equal(t, facts.Tables, written.Tables)
	}
	rapid.Check(t, func(t *rapid.T) { check(t, query(t)) })
	blocks := readCorpus(t)
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SampledFrom(blocks).Draw(t, "block")
		text := rapid.SampledFrom(b.statements).Draw(t, "statement")
		require.Equal(t, shapeOf(t, text), shapeOf(t, shapeOf(t, text)))
	})
}

// FuzzRead reads arbitrary text. Reading must not panic, the table group must be the same with and without parsing, and
// the shape of a shape must be the shape itself.
func FuzzRead(f *testing.F) {
	for _, b := range readCorpus(f) {
		f.Add(b.statements[0])
	}
	for _, s := range []string{"", "\x00", "'", "\"", "$", "$$", "$a$", "?", ":", "::", "(((((", "))))", "--", "/*",
		"/*/*", "select 1..2", "select [", "values", "with", "with recursive", "insert", "case when", "in (", "e'\\",
		"u&\"", "select \xff\xfe", "select -", "a - -", "- 1 - - 2"} {
		f.Add(s)
	}
	r := newReader(f, 0)
	f.Fuzz(func(t *testing.T, text string) {
		reading, err := r.Read([]byte(text))
		group := r.TableGroup([]byte(text))
		if err != nil {
			return
		}
		assert.Equal(t, reading.Facts().TableGroup, group)
		again, err := r.Read([]byte(reading.Shape()))
		if err == nil {
			assert.Equal(t, reading.Shape(), again.Shape())
		}
	})
}

// Random sequences of tokens are read without panic. They reach deeper into the grammar than random bytes.
func TestRandomTokensAreRead(t *testing.T) {
	pieces := strings.Fields(`select from where and or not in ( ) ( ) , . ; * = < > - + :: [ ] 'x' 1 ? $1 :n "q"
		ops_1.t a b as with recursive values insert into update set delete using merge when matched then case else
		end join left on union all order by group limit offset fetch first rows only for over partition between
		interval date exists any array cast extract ( substring ( trim ( copy to create table explain analyze
		begin call is distinct null filter`)
	r := newReader(t, 0)
	rng := rand.New(rand.NewPCG(7, 7))
	read := 0
	for range 20000 {
		var words []string
		for range 1 + rng.IntN(24) {
			words = append(words, pieces[rng.IntN(len(pieces))])
		}
		if _, err := r.Read([]byte(strings.Join(words, " "))); err == nil {
			read++
		}
	}
	assert.Positive(t, read)
}

// Reading a statement takes linear time: a text of eight times the length takes far less than 64 times as long,
// whatever it consists of. The test measures the CPU time of its thread. In wall-clock time the factor was 52 on a busy
// machine, since long readings are preempted more often than short ones.
func TestReadingTakesLinearTime(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	threadTime := func() time.Duration {
		var cpuTime unix.Timespec
		require.NoError(t, unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &cpuTime))
		return time.Duration(cpuTime.Nano())
	}
	fastest := func(text string) time.Duration {
		duration := time.Duration(math.MaxInt64)
		for range 7 {
			var s shape.Normalizer
			var p syntax.Parser
			start := threadTime()
			s.Normalize(text)
			_, _ = p.Parse(text)
			duration = min(duration, threadTime()-start)
		}
		return duration
	}
	for name, piece := range map[string]string{
		"parens":     "(",
		"brackets":   "[",
		"commas":     "a,",
		"rows":       "(1,'x'),",
		"quotes":     "'a' ",
		"comments":   "/* x */ ",
		"dashes":     "- ",
		"ctes":       "x as (select 1),",
		"joins":      " join ops_1.t using (a)",
		"names":      "a.",
		"cases":      "case when ",
		"nots":       "not ",
		"tables":     "ops_1.t, ",
		"semicolons": ";",
		"dollars":    "$a$ $a$ ",
		"columns":    "a > 1 and a < 2 and ",
		"unions":     " union select 1",
	} {
		for _, head := range []string{
			"", "select ", "select * from ops_1.t", "with ", "values ", "select * from ", "select 1 where ",
		} {
			n := 700
			small, large := head+strings.Repeat(piece, n), head+strings.Repeat(piece, 8*n)
			ratio := float64(fastest(large)) / float64(fastest(small)+20*time.Microsecond)
			assert.Less(t, ratio, 32.0, fmt.Sprintf("%s after %q", name, head))
		}
	}
}
