// Package lex splits the text of SQL statements into tokens.
//
// It knows the lexical rules of PostgreSQL (nested comments, dollar quotes, escape strings, operators) and
// takes back-quoted names, question marks and :name as other engines and drivers write them. It knows no
// grammar. It allocates nothing and takes time linear in the text.
package lex

import "strings"

// Kind is what a token is.
type Kind uint8

// The kinds of tokens.
const (
	End    Kind = iota
	Word        // a keyword or a name without quotes
	Quoted      // a name in quotes, which are part of the token
	String      // a text literal of any form, with its quotes and prefix
	Number
	Param // ?, $1 or :name
	Op    // an operator or a mark
	Bad   // what no token begins with, or what does not end
)

// Token is a piece of the text, from byte Start up to byte End.
type Token struct {
	Kind       Kind
	Start, End int
}

// Lexer hands out the tokens of one text. Its zero value with a Text is ready for use.
type Lexer struct {
	Text string
	// Lenient takes a character that no token begins with for a mark.
	Lenient bool
	// Fault says what is wrong with the last Bad token.
	Fault string

	at       int
	brackets int
	last     Token
}

// Reset begins with another text.
func (l *Lexer) Reset(text string) { *l = Lexer{Text: text} }

// class sorts the bytes that tokens begin with.
type class uint8

const (
	other class = iota
	space
	letter
	digit
	operator
	mark
)

var classes = func() (t [256]class) {
	for c := range 256 {
		switch b := byte(c); {
		case b <= ' ':
			t[c] = space
		case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b == '_', b >= 0x80:
			t[c] = letter
		case b >= '0' && b <= '9':
			t[c] = digit
		case strings.IndexByte("+-*/<>=~!@#%^&|", b) >= 0:
			t[c] = operator
		case strings.IndexByte("()[]{},;.", b) >= 0:
			t[c] = mark
		}
	}
	return t
}()

// Next is the next token; after the last it is End, and after a Bad one the rest of the text is given up.
func (l *Lexer) Next() Token {
	l.last = l.next()
	return l.last
}

func (l *Lexer) next() Token {
	for l.at < len(l.Text) {
		c := l.Text[l.at]
		switch classes[c] {
		case space:
			l.at++
		case letter:
			return l.word(c)
		case digit:
			return l.number()
		case operator:
			if c == '-' && l.peek(1) == '-' {
				l.line()
				continue
			}
			if c == '/' && l.peek(1) == '*' {
				if start := l.at; !l.comment() {
					return l.bad(start, "a comment that does not end")
				}
				continue
			}
			return l.operator()
		case mark:
			if c == '.' && classes[l.peek(1)] == digit {
				return l.number()
			}
			return l.mark(c)
		default:
			return l.odd(c)
		}
	}
	return Token{End, len(l.Text), len(l.Text)}
}

// mark is one of the single marks.
func (l *Lexer) mark(c byte) Token {
	switch c {
	case '[':
		l.brackets++
	case ']':
		l.brackets = max(0, l.brackets-1)
	}
	l.at++
	return Token{Op, l.at - 1, l.at}
}

// odd takes the tokens that begin with a byte of their own.
func (l *Lexer) odd(c byte) Token {
	start := l.at
	switch c {
	case '\'':
		return l.quoted(start, '\'', false, String)
	case '"', '`':
		return l.quoted(start, c, false, Quoted)
	case '?':
		l.at++
		return Token{Param, start, l.at}
	case '$':
		return l.dollar()
	case ':':
		return l.colon()
	}
	return l.strange(start, "a character that no token begins with")
}

// strange is a character where no token begins: with Lenient it is passed over.
func (l *Lexer) strange(start int, fault string) Token {
	if !l.Lenient {
		return l.bad(start, fault)
	}
	l.at = start + 1
	return Token{Op, start, l.at}
}

// peek is the byte n behind the current one, or 0.
func (l *Lexer) peek(n int) byte {
	if l.at+n < len(l.Text) {
		return l.Text[l.at+n]
	}
	return 0
}

func (l *Lexer) bad(start int, fault string) Token {
	l.Fault, l.at = fault, len(l.Text)
	return Token{Bad, start, len(l.Text)}
}

// line passes over a comment to the end of its line.
func (l *Lexer) line() {
	if i := strings.IndexByte(l.Text[l.at:], '\n'); i >= 0 {
		l.at += i + 1
	} else {
		l.at = len(l.Text)
	}
}

// comment passes over a comment, in which others may nest; it says whether it ends.
func (l *Lexer) comment() bool {
	depth := 0
	for l.at+1 < len(l.Text) {
		switch c, next := l.Text[l.at], l.Text[l.at+1]; {
		case c == '/' && next == '*':
			depth++
			l.at += 2
		case c == '*' && next == '/':
			depth--
			l.at += 2
			if depth == 0 {
				return true
			}
		default:
			l.at++
		}
	}
	return false
}

// word is a word, or a text whose prefix looked like one: E”, B”, X”, N” or U&”.
func (l *Lexer) word(c byte) Token {
	start := l.at
	switch next := l.peek(1); {
	case next == '\'' && strings.IndexByte("eEbBxXnN", c) >= 0:
		l.at++
		return l.quoted(start, '\'', c == 'e' || c == 'E', String)
	case (c == 'u' || c == 'U') && next == '&' && l.peek(2) == '\'':
		l.at += 2
		return l.quoted(start, '\'', false, String)
	case (c == 'u' || c == 'U') && next == '&' && l.peek(2) == '"':
		l.at += 2
		return l.quoted(start, '"', false, Quoted)
	}
	for l.at < len(l.Text) {
		if k := classes[l.Text[l.at]]; k != letter && k != digit && l.Text[l.at] != '$' {
			break
		}
		l.at++
	}
	return Token{Word, start, l.at}
}

// number is an integer, a decimal number with or without exponent, or one of 0x, 0o and 0b.
func (l *Lexer) number() Token {
	start := l.at
	if l.Text[l.at] == '0' && strings.IndexByte("xXoObB", l.peek(1)) >= 0 && l.peek(1) != 0 {
		for l.at++; classes[l.peek(0)] == letter && l.peek(0) < 0x80 || classes[l.peek(0)] == digit; l.at++ {
		}
		return Token{Number, start, l.at}
	}
	l.digits()
	if l.peek(0) == '.' && l.peek(1) != '.' {
		l.at++
		l.digits()
	}
	if c := l.peek(0); c == 'e' || c == 'E' {
		n := 1
		if s := l.peek(1); s == '+' || s == '-' {
			n = 2
		}
		if classes[l.peek(n)] == digit {
			l.at += n
			l.digits()
		}
	}
	return Token{Number, start, l.at}
}

func (l *Lexer) digits() {
	for l.at < len(l.Text) && (classes[l.Text[l.at]] == digit || l.Text[l.at] == '_') {
		l.at++
	}
}

// operator is the longest operator here. As in PostgreSQL, one of several characters does not end in a
// sign unless it holds a character that no standard operator has: in a=-1 the sign is the number's.
func (l *Lexer) operator() Token {
	start := l.at
	special := false
	for l.at < len(l.Text) && classes[l.Text[l.at]] == operator {
		c := l.Text[l.at]
		if l.at > start && (c == '-' && l.peek(1) == '-' || c == '/' && l.peek(1) == '*') {
			break
		}
		special = special || strings.IndexByte("~!@#%^&|", c) >= 0
		l.at++
	}
	for !special && l.at > start+1 && (l.Text[l.at-1] == '+' || l.Text[l.at-1] == '-') {
		l.at--
	}
	return Token{Op, start, l.at}
}

// colon is ::, := or a parameter; within brackets one behind a bound parts the bounds of a slice.
func (l *Lexer) colon() Token {
	start := l.at
	switch c := l.peek(1); {
	case c == ':' || c == '=':
		l.at += 2
	case !l.slice() && (classes[c] == letter || classes[c] == digit):
		for l.at++; classes[l.peek(0)] == letter || classes[l.peek(0)] == digit; l.at++ {
		}
		return Token{Param, start, l.at}
	default:
		l.at++
	}
	return Token{Op, start, l.at}
}

// slice says whether a colon here stands behind the bound of a slice.
func (l *Lexer) slice() bool {
	if l.brackets == 0 {
		return false
	}
	switch l.last.Kind {
	case Number, Param:
		return true
	case Word, Quoted:
		return l.last.End == l.at // in [case when a then :b end] it stands apart
	}
	return l.last.Kind == Op && (l.Text[l.last.End-1] == ')' || l.Text[l.last.End-1] == ']')
}

// dollar is a parameter such as $1 or a text in dollar quotes.
func (l *Lexer) dollar() Token {
	start := l.at
	l.at++
	if classes[l.peek(0)] == digit {
		l.digits()
		return Token{Param, start, l.at}
	}
	for classes[l.peek(0)] == letter || classes[l.peek(0)] == digit {
		l.at++
	}
	if l.peek(0) != '$' {
		return l.strange(start, "a dollar sign that begins neither a parameter nor a text")
	}
	l.at++
	tag := l.Text[start:l.at]
	i := strings.Index(l.Text[l.at:], tag)
	if i < 0 {
		return l.bad(start, "a text in dollar quotes that does not end")
	}
	l.at += i + len(tag)
	return Token{String, start, l.at}
}

// quoted is a text or a name up to its closing quote; a doubled quote stands for itself. It begins at start,
// and the opening quote is the current byte.
func (l *Lexer) quoted(start int, q byte, escapes bool, kind Kind) Token {
	for l.at++; l.at < len(l.Text); l.at++ {
		switch c := l.Text[l.at]; {
		case escapes && c == '\\':
			l.at++
		case c == q && l.peek(1) == q:
			l.at++
		case c == q:
			l.at++
			return Token{kind, start, l.at}
		}
	}
	if kind == Quoted {
		return l.bad(start, "a quoted name that does not end")
	}
	return l.bad(start, "a text that does not end")
}

// Position is the line and the column, both from 1 and the latter in bytes, of a byte of a text.
func Position(text string, at int) (line, column int) {
	before := text[:min(at, len(text))]
	return 1 + strings.Count(before, "\n"), len(before) - strings.LastIndexByte(before, '\n')
}
