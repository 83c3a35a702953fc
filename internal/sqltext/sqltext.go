// Package sqltext finds the group of tables that a statement reads or writes by looking for the words that tables
// follow. It is what the program had before package statement, kept as the baseline of its tests and measurements; the
// program does not use it.
package sqltext

import (
	"strconv"
	"strings"
)

// Group is the number after the underscore in the schema name of the first table that the statement
// names, as 17 in sales_17.orders; 0 where there is none. Names in strings and comments do not count,
// nor does the schema staging. Where no table stands where a statement names its tables, any qualified
// name serves.
func Group(statement string) int {
	l := lexer{text: statement}
	tables, list, fallback := false, false, 0
	for {
		t, ok := l.next()
		if !ok {
			return fallback
		}
		if t.kind != name {
			tables = t.kind == ',' && list || t.kind == '(' && tables
			continue
		}
		if !t.quoted {
			switch word := strings.ToLower(t.text); {
			case before[word]:
				tables, list = true, word == "from" || word == "join" || word == "using"
				continue
			case between[word]:
				continue
			case after[word]:
				tables, list = false, false
				continue
			}
		}
		parts := []string{t.text}
		for l.dot() {
			if t, ok = l.next(); !ok || t.kind != name {
				break
			}
			parts = append(parts, t.text)
		}
		if len(parts) > 1 {
			g, ok := number(parts[len(parts)-2])
			if ok && tables {
				return g
			}
			if ok && fallback == 0 {
				fallback = g
			}
		}
		tables = false
	}
}

// Words that tables follow, that may stand between, and that end a list of tables.
var (
	before  = words("from join into update table using copy truncate merge")
	between = words("only lateral if exists not overwrite")
	after   = words("select where group order having limit on set values union except intersect window")
)

func words(list string) map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(list) {
		m[w] = true
	}
	return m
}

func number(schema string) (int, bool) {
	schema = strings.ToLower(schema)
	_, digits, ok := strings.Cut(schema, "_")
	if !ok || schema == "staging" {
		return 0, false
	}
	n, err := strconv.ParseUint(digits[strings.LastIndexByte(digits, '_')+1:], 10, 31)
	return int(n), err == nil
}

// name is the kind of a name or a word; other tokens' kind is their first byte.
const name = 'a'

type token struct {
	kind   byte
	text   string
	quoted bool
}

type lexer struct {
	text string
	at   int
}

// next is the next token; strings, numbers and comments are passed over.
func (l *lexer) next() (token, bool) {
	for l.at < len(l.text) {
		c, rest := l.text[l.at], l.text[l.at:]
		switch {
		case strings.HasPrefix(rest, "--"):
			l.past("\n", 2)
		case strings.HasPrefix(rest, "/*"):
			l.comment()
		case c == '\'':
			l.quote('\'', false)
		case (c == 'e' || c == 'E') && len(rest) > 1 && rest[1] == '\'':
			l.at++
			l.quote('\'', true)
		case c == '"' || c == '`':
			return token{name, l.quote(c, false), true}, true
		case c == '$' && dollarTag(rest) != "":
			tag := dollarTag(rest)
			l.past(tag, len(tag))
		case letter(c):
			start := l.at
			for l.at < len(l.text) && (letter(l.text[l.at]) || digit(l.text[l.at]) || l.text[l.at] == '$') {
				l.at++
			}
			return token{kind: name, text: l.text[start:l.at]}, true
		case digit(c):
			for l.at < len(l.text) && (letter(l.text[l.at]) || digit(l.text[l.at]) || l.text[l.at] == '.') {
				l.at++
			}
		case c <= ' ':
			l.at++
		default:
			l.at++
			return token{kind: c}, true
		}
	}
	return token{}, false
}

// dot takes a dot, if that is what follows.
func (l *lexer) dot() bool {
	save := *l
	if t, ok := l.next(); ok && t.kind == '.' {
		return true
	}
	*l = save
	return false
}

// past moves behind the next end, looked for skip bytes on.
func (l *lexer) past(end string, skip int) {
	if i := strings.Index(l.text[l.at+skip:], end); i >= 0 {
		l.at += skip + i + len(end)
	} else {
		l.at = len(l.text)
	}
}

// comment moves behind a comment; these may nest.
func (l *lexer) comment() {
	for depth := 0; l.at < len(l.text); {
		switch rest := l.text[l.at:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.at += 2
			if depth == 0 {
				return
			}
		default:
			l.at++
		}
	}
}

// quote moves behind a quoted text and gives what it holds; a doubled quote stands for itself.
func (l *lexer) quote(q byte, escapes bool) string {
	var b strings.Builder
	for l.at++; l.at < len(l.text); l.at++ {
		c := l.text[l.at]
		switch {
		case escapes && c == '\\':
			l.at++
			continue
		case c == q && l.at+1 < len(l.text) && l.text[l.at+1] == q:
			l.at++
		case c == q:
			l.at++
			return b.String()
		}
		b.WriteByte(c)
	}
	l.at = len(l.text)
	return b.String()
}

func dollarTag(s string) string {
	for i := 1; i < len(s); i++ {
		if s[i] == '$' {
			return s[:i+1]
		}
		if !letter(s[i]) && !digit(s[i]) || i == 1 && digit(s[i]) {
			break
		}
	}
	return ""
}

func letter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}
func digit(c byte) bool { return c >= '0' && c <= '9' }
