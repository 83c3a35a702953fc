package statement

import (
	"strings"

	"chutechute/statement/lex"
	"chutechute/statement/syntax"
)

// scanTableGroup returns the table group of a text that cannot be parsed: that of the first name that has one and that
// keywords mark as a table, or else that of the first qualified name that has one. Strings and comments are skipped.
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

// groupScanner searches a text for table names.
type groupScanner struct {
	lexer       lex.Lexer
	token       lex.Token // the current token
	tableNext   bool      // whether the next name is a table name
	inTableList bool      // whether another table name may follow after a comma
	fallback    int       // group of the first qualified name that has one; 0 before
}

// next advances to the next token.
func (s *groupScanner) next() { s.token = s.lexer.Next() }

// isName reports whether the current token may be a name or a keyword.
func (s *groupScanner) isName() bool {
	return s.token.Kind == lex.Word || s.token.Kind == lex.QuotedIdentifier
}

// tokenText returns the text of the current token.
func (s *groupScanner) tokenText() string { return s.lexer.Text[s.token.Start:s.token.End] }

// step advances past a token or a qualified name. If that was the name of a table with a group, it returns the group.
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

// acceptKeyword updates the state for a keyword, given in lower case, that affects where table names are expected. It
// returns false for any other word.
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

// scanName advances past a name and its qualifiers, and returns the table group of its schema, if any.
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

// Keywords before a table name, keywords between such a keyword and the table name, and keywords that end a list of
// tables.
var (
	wordsBeforeTables = wordSet("from join into update table using copy truncate merge")
	wordsAmongTables  = wordSet("only lateral if exists not overwrite")
	wordsEndingTables = wordSet("select where group order having limit on set values union except intersect window")
)

// wordSet returns the words of a list, which are separated by white space, as a set.
func wordSet(list string) map[string]bool {
	set := map[string]bool{}
	for word := range strings.FieldsSeq(list) {
		set[word] = true
	}
	return set
}
