// Package parsers compares ways to parse the statements of the corpus: how many each can read, how long it takes and
// what it allocates.
package parsers

import (
	"os"
	"strings"
	"testing"

	"github.com/xwb1989/sqlparser"

	"chutechute/statement/syntax"
)

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

// usual is a look-up that both can read.
const usual = `SELECT p.seat, p.name, b.tag, f.gate FROM ops_17.passengers p JOIN ops_17.bags b USING (booking)
 JOIN ops_17.flights f ON f.id = p.flight WHERE p.booking = 'X7K2QD' AND f.day >= 20261201 LIMIT 20`

func TestCoverage(t *testing.T) {
	own, library := 0, 0
	var p syntax.Parser
	all := corpus(t)
	for _, s := range all {
		if _, err := p.Parse(s); err == nil {
			own++
		}
		if _, err := sqlparser.Parse(s); err == nil {
			library++
		}
	}
	t.Logf("of %d statements: own %d, library %d", len(all), own, library)
}

func BenchmarkOwn(b *testing.B) {
	var p syntax.Parser
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Parse(usual); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkLibrary(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := sqlparser.Parse(usual); err != nil {
			b.Fatal(err)
		}
	}
}
