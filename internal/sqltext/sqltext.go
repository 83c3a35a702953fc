// Package sqltext finds the table group of a statement by searching for the keywords that precede table names. The
// program used it before package statement replaced it, and no longer does. It remains as the baseline for the tests
// and measurements of package statement.
package sqltext

import (
	"strconv"
	"strings"
)

// TableGroup returns the table group of a statement: the number after the last underscore in the schema name of its
// first table that has such a number, such as 17 for sales_17.orders. If no table has one, the first qualified name
// with such a number determines the group. TableGroup returns 0 if there is none. Names in strings and comments and the
// schema staging are ignored.
func TableGroup(statement string) int {
	l := lexer{text: statement}
	expectTable, inTableList, fallback := false, false, 0
	for {
		t, ok := l.next()
		if !ok {
			return fallback
		}
		if t.kind != nameKind {
			expectTable = t.kind == ',' && inTableList || t.kind == '(' && expectTable
			continue
		}
		if !t.quoted {
			switch word := strings.ToLower(t.text); {
			case tableKeywords[word]:
				expectTable, inTableList = true, word == "from" || word == "join" || word == "using"
				continue
			case modifierKeywords[word]:
				continue
			case endKeywords[word]:
				expectTable, inTableList = false, false
				continue
			}
		}
		parts := []string{t.text}
		for l.acceptDot() {
			if t, ok = l.next(); !ok || t.kind != nameKind {
				break
			}
			parts = append(parts, t.text)
		}
		if len(parts) > 1 {
			group, ok := groupOfSchema(parts[len(parts)-2])
			if ok && expectTable {
				return group
			}
			if ok && fallback == 0 {
				fallback = group
			}
		}
		expectTable = false
	}
}

var (
	// tableKeywords are the keywords that a table name follows.
	tableKeywords = wordSet("from join into update table using copy truncate merge")
	// modifierKeywords may occur between a table keyword and the table name.
	modifierKeywords = wordSet("only lateral if exists not overwrite")
	// endKeywords end a list of tables.
	endKeywords = wordSet("select where group order having limit on set values union except intersect window")
)

// wordSet returns the set of the words of a list that is separated by white space.
func wordSet(list string) map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(list) {
		m[w] = true
	}
	return m
}

// groupOfSchema returns the number after the last underscore of a schema name, if it has one.
func groupOfSchema(schema string) (int, bool) {
	schema = strings.ToLower(schema)
	_, digits, ok := strings.Cut(schema, "_")
	if !ok || schema == "staging" {
		return 0, false
	}
	n, err := strconv.ParseUint(digits[strings.LastIndexByte(digits, '_')+1:], 10, 31)
	return int(n), err == nil
}

// nameKind is the kind of a name or a keyword. The kind of any other token is its first byte.
const nameKind = 'a'

type token struct {
	kind   byte
	text   string
	quoted bool
}

type lexer struct {
	text   string
	offset int // of the next byte to read
}

// next returns the next token, or false at the end of the text. It skips strings, numbers and comments.
func (l *lexer) next() (token, bool) {
	for l.offset < len(l.text) {
		c, rest := l.text[l.offset], l.text[l.offset:]
		switch {
		case strings.HasPrefix(rest, "--"):
			l.skipPast("\n", 2)
		case strings.HasPrefix(rest, "/*"):
			l.skipComment()
		case c == '\'':
			l.scanQuoted('\'', false)
		case (c == 'e' || c == 'E') && len(rest) > 1 && rest[1] == '\'':
			l.offset++
			l.scanQuoted('\'', true)
		case c == '"' || c == '`':
			return token{nameKind, l.scanQuoted(c, false), true}, true
		case c == '$' && dollarTag(rest) != "":
			tag := dollarTag(rest)
			l.skipPast(tag, len(tag))
		case isLetter(c):
			start := l.offset
			for l.offset < len(l.text) &&
				(isLetter(l.text[l.offset]) || isDigit(l.text[l.offset]) || l.text[l.offset] == '$') {
				l.offset++
			}
			return token{kind: nameKind, text: l.text[start:l.offset]}, true
		case isDigit(c):
			for l.offset < len(l.text) &&
				(isLetter(l.text[l.offset]) || isDigit(l.text[l.offset]) || l.text[l.offset] == '.') {
				l.offset++
			}
		case c <= ' ':
			l.offset++
		default:
			l.offset++
			return token{kind: c}, true
		}
	}
	return token{}, false
}

// acceptDot consumes the next token if it is a dot, and reports whether it did.
func (l *lexer) acceptDot() bool {
	save := *l
	if t, ok := l.next(); ok && t.kind == '.' {
		return true
	}
	*l = save
	return false
}

// skipPast moves past the next occurrence of end at least skip bytes ahead, or to the end of the text.
func (l *lexer) skipPast(end string, skip int) {
	if i := strings.Index(l.text[l.offset+skip:], end); i >= 0 {
		l.offset += skip + i + len(end)
	} else {
		l.offset = len(l.text)
	}
}

// skipComment skips a block comment, which may contain nested ones.
func (l *lexer) skipComment() {
	for depth := 0; l.offset < len(l.text); {
		switch rest := l.text[l.offset:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.offset += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.offset += 2
			if depth == 0 {
				return
			}
		default:
			l.offset++
		}
	}
}

// scanQuoted consumes a quoted string or name and returns its content. A doubled quote is an escaped quote. If escapes
// is set, a backslash and the byte after it are dropped.
func (l *lexer) scanQuoted(quote byte, escapes bool) string {
	var b strings.Builder
	for l.offset++; l.offset < len(l.text); l.offset++ {
		c := l.text[l.offset]
		switch {
		case escapes && c == '\\':
			l.offset++
			continue
		case c == quote && l.offset+1 < len(l.text) && l.text[l.offset+1] == quote:
			l.offset++
		case c == quote:
			l.offset++
			return b.String()
		}
		b.WriteByte(c)
	}
	l.offset = len(l.text)
	return b.String()
}

// dollarTag returns the tag of the dollar quote that s begins with, or an empty string if s begins with none.
func dollarTag(s string) string {
	for i := 1; i < len(s); i++ {
		if s[i] == '$' {
			return s[:i+1]
		}
		if !isLetter(s[i]) && !isDigit(s[i]) || i == 1 && isDigit(s[i]) {
			break
		}
	}
	return ""
}

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
