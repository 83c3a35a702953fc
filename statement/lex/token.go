// Package lex splits the text of SQL statements into tokens.
//
// It knows the lexical rules of PostgreSQL (nested comments, dollar quotes, escape strings, operators) and also takes
// back-quoted names, question marks and :name, as other engines and drivers write them. It knows no grammar, allocates
// nothing, and takes time linear in the length of the text.
package lex

import "strings"

// Kind is the kind of a token.
type Kind uint8

// The kinds of tokens.
const (
	EOF              Kind = iota
	Word                  // a keyword or a name without quotes
	QuotedIdentifier      // a name in quotes, which are part of the token
	String                // a string literal of any form, with its quotes and prefix
	Number                // a numeric literal without sign
	Parameter             // ?, $1 or :name
	Operator              // an operator or a punctuation character
	Illegal               // a character that begins no token, or a token that does not end
)

// Token is a piece of the text, from byte offset Start up to but not including End.
type Token struct {
	Kind       Kind
	Start, End int
}

// Position returns the line and the column of a byte offset of a text. Both count from 1; the column counts bytes.
func Position(text string, offset int) (line, column int) {
	before := text[:min(offset, len(text))]
	return 1 + strings.Count(before, "\n"), len(before) - strings.LastIndexByte(before, '\n')
}
