package lex

import "strings"

// Lexer splits a text into tokens. A Lexer with only Text set is ready for use.
type Lexer struct {
	Text string
	// If Lenient is set, a character that cannot begin a token becomes an Operator token instead of an Illegal one.
	Lenient bool
	// ErrorMessage describes the last Illegal token.
	ErrorMessage string

	offset       int   // of the next byte to read
	bracketDepth int   // number of open square brackets
	previous     Token // the last token returned
}

// Reset prepares the lexer for another text and turns Lenient off.
func (l *Lexer) Reset(text string) { *l = Lexer{Text: text} }

// Next returns the next token, or EOF after the last one. An Illegal token extends to the end of the text.
func (l *Lexer) Next() Token {
	l.previous = l.scan()
	return l.previous
}

// scan skips white space and comments and returns the token after them.
func (l *Lexer) scan() Token {
	for l.offset < len(l.Text) {
		c := l.Text[l.offset]
		switch byteClasses[c] {
		case classSpace:
			l.offset++
		case classLetter:
			return l.scanWord(c)
		case classDigit:
			return l.scanNumber()
		case classOperator:
			if c == '-' && l.peek(1) == '-' {
				l.skipLineComment()
				continue
			}
			if c == '/' && l.peek(1) == '*' {
				if start := l.offset; !l.skipBlockComment() {
					return l.scanIllegal(start, "a comment that does not end")
				}
				continue
			}
			return l.scanOperator()
		case classPunctuation:
			if c == '.' && byteClasses[l.peek(1)] == classDigit {
				return l.scanNumber()
			}
			return l.scanPunctuation(c)
		default:
			return l.scanOther(c)
		}
	}
	return Token{EOF, len(l.Text), len(l.Text)}
}

// scanOther scans tokens that begin with a byte of classOther: quoted tokens, parameters and colons.
func (l *Lexer) scanOther(c byte) Token {
	start := l.offset
	switch c {
	case '\'':
		return l.scanQuoted(start, '\'', false, String)
	case '"', '`':
		return l.scanQuoted(start, c, false, QuotedIdentifier)
	case '?':
		l.offset++
		return Token{Parameter, start, l.offset}
	case '$':
		return l.scanDollar()
	case ':':
		return l.scanColon()
	}
	return l.scanUnexpected(start, "a character that no token begins with")
}

// scanUnexpected handles a character that cannot begin a token. It returns an Illegal token or, if Lenient is set, the
// character as an Operator token.
func (l *Lexer) scanUnexpected(start int, message string) Token {
	if !l.Lenient {
		return l.scanIllegal(start, message)
	}
	l.offset = start + 1
	return Token{Operator, start, l.offset}
}

// scanIllegal returns the text from start to its end as an Illegal token and sets the error message.
func (l *Lexer) scanIllegal(start int, message string) Token {
	l.ErrorMessage, l.offset = message, len(l.Text)
	return Token{Illegal, start, len(l.Text)}
}

// peek returns the byte n positions after the current one, or 0 past the end of the text.
func (l *Lexer) peek(n int) byte {
	if l.offset+n < len(l.Text) {
		return l.Text[l.offset+n]
	}
	return 0
}

// skipLineComment skips a -- comment, including the newline that ends it.
func (l *Lexer) skipLineComment() {
	if i := strings.IndexByte(l.Text[l.offset:], '\n'); i >= 0 {
		l.offset += i + 1
	} else {
		l.offset = len(l.Text)
	}
}

// skipBlockComment skips a block comment, which may contain nested ones. It returns false if the comment is not closed.
func (l *Lexer) skipBlockComment() bool {
	depth := 0
	for l.offset+1 < len(l.Text) {
		switch c, next := l.Text[l.offset], l.Text[l.offset+1]; {
		case c == '/' && next == '*':
			depth++
			l.offset += 2
		case c == '*' && next == '/':
			depth--
			l.offset += 2
			if depth == 0 {
				return true
			}
		default:
			l.offset++
		}
	}
	return false
}
