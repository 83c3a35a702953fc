// Package lex splits the text of SQL statements into tokens.
//
// It follows the lexical rules of PostgreSQL (nested comments, dollar quoting, escape strings, operators) and also
// accepts back-quoted names and the parameters ? and :name, which other engines and drivers use. It does not parse the
// grammar, allocates nothing, and takes time linear in the length of the text.
package lex

import "strings"

// Kind classifies a token.
type Kind uint8

// The kinds of tokens.
const (
	EOF              Kind = iota
	Word                  // a keyword or a name without quotes
	QuotedIdentifier      // a quoted name, including its quotes and prefix
	String                // a string literal of any form, including its quotes and prefix
	Number                // an unsigned numeric literal
	Parameter             // ?, $1 or :name
	Operator              // an operator or a punctuation character
	Illegal               // an unexpected character, or an unterminated token
)

// Token is the part of the text from byte offset Start up to but not including End.
type Token struct {
	Kind       Kind
	Start, End int
}

// Position converts a byte offset of a text into a line and a column. Both count from 1; the column counts bytes.
func Position(text string, offset int) (line, column int) {
	before := text[:min(offset, len(text))]
	return 1 + strings.Count(before, "\n"), len(before) - strings.LastIndexByte(before, '\n')
}
