package lex

import "strings"

// scanPunctuation returns a punctuation character as an Operator token and tracks the depth of square brackets.
func (l *Lexer) scanPunctuation(c byte) Token {
	switch c {
	case '[':
		l.bracketDepth++
	case ']':
		l.bracketDepth = max(0, l.bracketDepth-1)
	}
	l.offset++
	return Token{Operator, l.offset - 1, l.offset}
}

// scanOperator scans the longest operator. As in PostgreSQL, an operator of several characters ends in + or - only if
// it contains one of ~!@#%^&|. In a=-1, therefore, the operator is = and the minus sign belongs to the number.
func (l *Lexer) scanOperator() Token {
	start := l.offset
	special := false
	for l.offset < len(l.Text) && byteClasses[l.Text[l.offset]] == classOperator {
		c := l.Text[l.offset]
		if l.offset > start && (c == '-' && l.peek(1) == '-' || c == '/' && l.peek(1) == '*') {
			break
		}
		special = special || strings.IndexByte("~!@#%^&|", c) >= 0
		l.offset++
	}
	for !special && l.offset > start+1 && (l.Text[l.offset-1] == '+' || l.Text[l.offset-1] == '-') {
		l.offset--
	}
	return Token{Operator, start, l.offset}
}

// scanColon scans ::, := or a parameter. Within square brackets, a colon after a value is the separator of an array
// slice instead.
func (l *Lexer) scanColon() Token {
	start := l.offset
	switch c := l.peek(1); {
	case c == ':' || c == '=':
		l.offset += 2
	case !l.followsSliceBound() && isLetterOrDigit(c):
		for l.offset++; isLetterOrDigit(l.peek(0)); l.offset++ {
		}
		return Token{Parameter, start, l.offset}
	default:
		l.offset++
	}
	return Token{Operator, start, l.offset}
}

// followsSliceBound reports whether the current byte follows the lower bound of an array slice.
func (l *Lexer) followsSliceBound() bool {
	if l.bracketDepth == 0 {
		return false
	}
	switch l.previous.Kind {
	case Number, Parameter:
		return true
	case Word, QuotedIdentifier:
		return l.previous.End == l.offset // adjacent, unlike in [case when a then :b end]
	}
	return l.previous.Kind == Operator && (l.Text[l.previous.End-1] == ')' || l.Text[l.previous.End-1] == ']')
}
