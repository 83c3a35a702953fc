// Package parsers compares package statement/syntax with the library sqlparser: how many statements of the corpus each
// can parse, how long one statement takes and what it allocates.
package parsers

import (
	"os"
	"strings"
	"testing"

	"github.com/xwb1989/sqlparser"

	"chutechute/statement/syntax"
)

// corpus returns the statements of the corpus. A \n in a line of the file stands for a line break.
func corpus(t testing.TB) (list []string) {
	text, err := os.ReadFile("../../statement/testdata/corpus.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if line != "" && line[0] != '#' && line[0] != '=' {
			list = append(list, strings.ReplaceAll(line, `\n`, "\n"))
		}
	}
	return list
}

// lookupQuery is a typical statement that both parsers accept.
const lookupQuery = `SELECT p.seat, p.name, b.tag, f.gate FROM ops_17.passengers p JOIN ops_17.bags b USING (booking)
 JOIN ops_17.flights f ON f.id = p.flight WHERE p.booking = 'X7K2QD' AND f.day >= 20261201 LIMIT 20`

// TestCoverage logs how many statements each parser accepts.
func TestCoverage(t *testing.T) {
	parsedBySyntax, parsedByLibrary := 0, 0
	var p syntax.Parser
	all := corpus(t)
	for _, s := range all {
		if _, err := p.Parse(s); err == nil {
			parsedBySyntax++
		}
		if _, err := sqlparser.Parse(s); err == nil {
			parsedByLibrary++
		}
	}
	t.Logf("of %d statements: statement/syntax parsed %d, sqlparser %d", len(all), parsedBySyntax, parsedByLibrary)
}

func BenchmarkSyntax(b *testing.B) {
	var p syntax.Parser
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Parse(lookupQuery); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSQLParser(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := sqlparser.Parse(lookupQuery); err != nil {
			b.Fatal(err)
		}
	}
}
