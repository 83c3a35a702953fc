package lex

import (
	"strings"
	"unicode/utf8"
)

// scanWord scans a word, or a quoted token whose prefix looks like one, such as E'x', B'x', U&'x' or the name U&"x".
func (l *Lexer) scanWord(c byte) Token {
	start := l.offset
	switch next := l.peek(1); {
	case next == '\'' && strings.IndexByte("eEbBxXnN", c) >= 0:
		l.offset++
		return l.scanQuoted(start, '\'', c == 'e' || c == 'E', String)
	case (c == 'u' || c == 'U') && next == '&' && l.peek(2) == '\'':
		l.offset += 2
		return l.scanQuoted(start, '\'', false, String)
	case (c == 'u' || c == 'U') && next == '&' && l.peek(2) == '"':
		l.offset += 2
		return l.scanQuoted(start, '"', false, QuotedIdentifier)
	}
	for l.offset < len(l.Text) {
		if c := l.Text[l.offset]; !isLetterOrDigit(c) && c != '$' {
			break
		}
		l.offset++
	}
	return Token{Word, start, l.offset}
}

// scanNumber scans an integer, a decimal number with an optional exponent, or an integer with the prefix 0x, 0o or 0b.
func (l *Lexer) scanNumber() Token {
	start := l.offset
	if l.Text[l.offset] == '0' && strings.IndexByte("xXoObB", l.peek(1)) >= 0 && l.peek(1) != 0 {
		for l.offset++; l.peek(0) < utf8.RuneSelf && isLetterOrDigit(l.peek(0)); l.offset++ {
		}
		return Token{Number, start, l.offset}
	}
	l.skipDigits()
	if l.peek(0) == '.' && l.peek(1) != '.' {
		l.offset++
		l.skipDigits()
	}
	if c := l.peek(0); c == 'e' || c == 'E' {
		prefix := 1 // length of the e and an optional sign
		if sign := l.peek(1); sign == '+' || sign == '-' {
			prefix = 2
		}
		if byteClasses[l.peek(prefix)] == classDigit {
			l.offset += prefix
			l.skipDigits()
		}
	}
	return Token{Number, start, l.offset}
}

// skipDigits skips decimal digits and the underscores that group them.
func (l *Lexer) skipDigits() {
	for l.offset < len(l.Text) && (byteClasses[l.Text[l.offset]] == classDigit || l.Text[l.offset] == '_') {
		l.offset++
	}
}

// scanDollar scans a parameter such as $1, or a dollar-quoted string.
func (l *Lexer) scanDollar() Token {
	start := l.offset
	l.offset++
	if byteClasses[l.peek(0)] == classDigit {
		l.skipDigits()
		return Token{Parameter, start, l.offset}
	}
	for isLetterOrDigit(l.peek(0)) {
		l.offset++
	}
	if l.peek(0) != '$' {
		return l.scanUnexpected(start, "a dollar sign that begins neither a parameter nor a text")
	}
	l.offset++
	tag := l.Text[start:l.offset]
	i := strings.Index(l.Text[l.offset:], tag)
	if i < 0 {
		return l.scanIllegal(start, "a text in dollar quotes that does not end")
	}
	l.offset += i + len(tag)
	return Token{String, start, l.offset}
}

// scanQuoted scans a string or a quoted name. The current byte is the opening quote; the token begins at start, which
// is earlier if the quote has a prefix. A doubled quote is an escaped quote. If escapes is set, a backslash escapes the
// next byte.
func (l *Lexer) scanQuoted(start int, quote byte, escapes bool, kind Kind) Token {
	for l.offset++; l.offset < len(l.Text); l.offset++ {
		switch c := l.Text[l.offset]; {
		case escapes && c == '\\':
			l.offset++
		case c == quote && l.peek(1) == quote:
			l.offset++
		case c == quote:
			l.offset++
			return Token{kind, start, l.offset}
		}
	}
	if kind == QuotedIdentifier {
		return l.scanIllegal(start, "a quoted name that does not end")
	}
	return l.scanIllegal(start, "a text that does not end")
}
