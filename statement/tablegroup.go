package statement

import (
	"strings"

	"chutechute/statement/lex"
	"chutechute/statement/syntax"
)

// scanTableGroup returns the group of a text that can't be parsed: that of the first name behind a word that tables
// follow or, without one, of the first qualified name. Strings and comments don't count.
func scanTableGroup(text string) int {
	scanner := groupScanner{lexer: lex.Lexer{Text: text, Lenient: true}}
	scanner.next()
	for scanner.token.Kind != lex.EOF && scanner.token.Kind != lex.Illegal {
		if group, found := scanner.step(); found {
			return group
		}
	}
	return scanner.fallback
}

// groupScanner searches a text for the names of tables.
type groupScanner struct {
	lexer       lex.Lexer
	token       lex.Token // the current token
	tableNext   bool      // whether the next name is that of a table
	inTableList bool      // whether another table may follow behind a comma
	fallback    int       // group of the first qualified name that is not known to be a table
}

// next moves to the next token.
func (s *groupScanner) next() { s.token = s.lexer.Next() }

// isName returns whether the current token may be a name or a keyword.
func (s *groupScanner) isName() bool {
	return s.token.Kind == lex.Word || s.token.Kind == lex.QuotedIdentifier
}

// tokenText returns the text of the current token.
func (s *groupScanner) tokenText() string { return s.lexer.Text[s.token.Start:s.token.End] }

// step moves behind a token or a qualified name. It returns the group of a table, if that is what it was.
func (s *groupScanner) step() (group int, found bool) {
	if !s.isName() {
		punctuation := s.tokenText()
		s.tableNext = punctuation == "," && s.inTableList || punctuation == "(" && s.tableNext
		s.next()
		return 0, false
	}
	if s.token.Kind == lex.Word && s.acceptKeyword(strings.ToLower(s.tokenText())) {
		s.next()
		return 0, false
	}
	group, hasGroup := s.scanName()
	isTable := s.tableNext
	s.tableNext = false
	if hasGroup && isTable {
		return group, true
	}
	if hasGroup && s.fallback == 0 {
		s.fallback = group
	}
	return 0, false
}

// acceptKeyword follows a word, in lower case, that says where tables stand. It returns false for any other word.
func (s *groupScanner) acceptKeyword(word string) bool {
	switch {
	case wordsBeforeTables[word]:
		s.tableNext = true
		s.inTableList = word == "from" || word == "join" || word == "using"
	case wordsAmongTables[word]:
	case wordsEndingTables[word]:
		s.tableNext, s.inTableList = false, false
	default:
		return false
	}
	return true
}

// scanName moves behind a name with its qualifiers and returns the group that its schema gives, if any.
func (s *groupScanner) scanName() (group int, ok bool) {
	schema, last := lex.Token{}, s.token
	for s.next(); s.token.Kind == lex.Operator && s.tokenText() == "."; s.next() {
		if s.next(); !s.isName() {
			break
		}
		schema, last = last, s.token
	}
	if schema.End == 0 { // not qualified
		return 0, false
	}
	return syntax.TableGroup(s.lexer.Text[schema.Start:schema.End])
}

// Words that tables follow, that may stand between such a word and a table, and that end a list of tables.
var (
	wordsBeforeTables = wordSet("from join into update table using copy truncate merge")
	wordsAmongTables  = wordSet("only lateral if exists not overwrite")
	wordsEndingTables = wordSet("select where group order having limit on set values union except intersect window")
)

// wordSet returns the set of the words of a list with white space between them.
func wordSet(list string) map[string]bool {
	set := map[string]bool{}
	for word := range strings.FieldsSeq(list) {
		set[word] = true
	}
	return set
}
