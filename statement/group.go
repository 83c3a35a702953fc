package statement

import (
	"strings"

	"chutechute/statement/lex"
	"chutechute/statement/syntax"
)

// scanTableGroup is the group of a text that can't be parsed: that of the first name behind a word that tables
// follow or, without one, of the first qualified name. Strings and comments don't count.
func scanTableGroup(text string) int {
	l := lex.Lexer{Text: text, Lenient: true}
	tables, list, fallback := false, false, 0
	t := l.Next()
	for t.Kind != lex.EOF && t.Kind != lex.Illegal {
		if t.Kind != lex.Word && t.Kind != lex.QuotedIdentifier {
			mark := text[t.Start:t.End]
			tables = mark == "," && list || mark == "(" && tables
			t = l.Next()
			continue
		}
		if t.Kind == lex.Word {
			switch word := strings.ToLower(text[t.Start:t.End]); {
			case wordsBeforeTables[word]:
				tables, list = true, word == "from" || word == "join" || word == "using"
				t = l.Next()
				continue
			case wordsAmongTables[word]:
				t = l.Next()
				continue
			case wordsEndingTables[word]:
				tables, list = false, false
				t = l.Next()
				continue
			}
		}
		schema, last := lex.Token{}, t
		for t = l.Next(); t.Kind == lex.Operator && text[t.Start:t.End] == "."; t = l.Next() {
			if t = l.Next(); t.Kind != lex.Word && t.Kind != lex.QuotedIdentifier {
				break
			}
			schema, last = last, t
		}
		if schema.End > 0 {
			if g, ok := syntax.TableGroup(text[schema.Start:schema.End]); ok && tables {
				return g
			} else if ok && fallback == 0 {
				fallback = g
			}
		}
		tables = false
	}
	return fallback
}

// Words that tables follow, that may stand between, and that end a list of tables.
var (
	wordsBeforeTables = wordSet("from join into update table using copy truncate merge")
	wordsAmongTables  = wordSet("only lateral if exists not overwrite")
	wordsEndingTables = wordSet("select where group order having limit on set values union except intersect window")
)

func wordSet(list string) map[string]bool {
	m := map[string]bool{}
	for w := range strings.FieldsSeq(list) {
		m[w] = true
	}
	return m
}
