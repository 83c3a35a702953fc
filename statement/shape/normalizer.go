// Package shape normalizes statements: it finds the canonical shape of a statement, which is its text with literals and
// parameters replaced by question marks, lists of them folded, names kept, and white space, comments and the case of
// words removed. Two statements of one shape differ only in the values that they name.
//
// A shape is itself a statement, and its own shape. It is found from the tokens alone, in time linear in the length of
// the text, and without allocation once the buffers have grown.
package shape

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"chutechute/statement/lex"
)

// Value is a value that was taken out of the text: one literal or parameter, or a folded list of them. Values
// stand in the order of the question marks of the shape.
type Value struct {
	Kind       lex.Kind // of the first, where it is a list
	Negative   bool     // whether the signs before it make it negative
	Start, End int      // byte offsets in the text; of the first, where it is a list
	Count      int      // the number of values in the list; 1 for a single one
}

// Normalizer finds the shapes of statements, one after another. The zero value is ready for use. Its fields describe
// the last statement.
type Normalizer struct {
	Text         string
	Shape        []byte  // valid until the next Normalize
	Values       []Value // valid until the next Normalize
	RowCount     int     // the rows of the VALUES lists, folded or not
	ErrorMessage string  // what is wrong with the token at ErrorOffset; empty without an error
	ErrorOffset  int     // a byte offset in Text

	lexer     lex.Lexer
	previous  lex.Token // the last token processed
	signStart int       // offset in Shape of the signs that may belong to the next value; noSign without any
	list      valueList
	rows      valuesRows
}

// noSign is the offset of the signs where there are none.
const noSign = -1

// maxRetainedCapacity is the largest capacity of a buffer that is retained for the next statement, in bytes or values.
const maxRetainedCapacity = 64 << 10

// Normalize finds the shape of a statement. It returns false where a token can't be scanned: ErrorMessage and
// ErrorOffset describe the error, and Shape holds what precedes it.
func (n *Normalizer) Normalize(text string) bool {
	if cap(n.Shape) > maxRetainedCapacity || cap(n.Values) > maxRetainedCapacity {
		n.Shape, n.Values = nil, nil
	}
	*n = Normalizer{Text: text, Shape: n.Shape[:0], Values: n.Values[:0], signStart: noSign}
	n.lexer.Reset(text)
	for {
		token := n.lexer.Next()
		switch token.Kind {
		case lex.EOF:
			n.trimSemicolons()
			return true
		case lex.Illegal:
			n.ErrorMessage, n.ErrorOffset = n.lexer.ErrorMessage, token.Start
			return false
		case lex.String, lex.Number, lex.Parameter:
			n.appendValue(token)
		default:
			n.appendOther(token)
		}
		n.previous = token
	}
}

// Fingerprint returns the 64-bit xxHash of the shape. It is the same in all processes and versions.
func (n *Normalizer) Fingerprint() uint64 { return xxhash.Sum64(n.Shape) }

// trimSemicolons removes the semicolons at the end of the shape.
func (n *Normalizer) trimSemicolons() {
	n.Shape = bytes.TrimRight(n.Shape, " ;")
}

// appendValue replaces a literal or a parameter, and the signs before it, by a question mark.
func (n *Normalizer) appendValue(token lex.Token) {
	if token.Kind == lex.String && n.previous.Kind == lex.String { // adjacent string literals are one
		n.Values[len(n.Values)-1].End = token.End
		return
	}
	value := Value{Kind: token.Kind, Start: token.Start, End: token.End, Count: 1}
	if n.signStart >= 0 {
		value.Negative = bytes.Count(n.Shape[n.signStart:], []byte{'-'})%2 == 1
		n.Shape = n.Shape[:n.signStart]
	}
	n.signStart = noSign
	n.Values = append(n.Values, value)
	n.list.length++
	n.appendSpace(token)
	n.Shape = append(n.Shape, '?')
}

// appendOther appends any other token.
func (n *Normalizer) appendOther(token lex.Token) {
	signStart := noSign
	switch token.Kind {
	case lex.Word:
		n.list.open = false
		n.appendSpace(token)
		n.Shape = appendLower(n.Shape, n.Text[token.Start:token.End])
		n.rows.inside = n.rows.inside && n.rows.depth > 0
		if n.isWord(token, "values") {
			n.rows = valuesRows{inside: true}
		}
	case lex.QuotedIdentifier:
		n.appendVerbatim(token)
	case lex.Operator:
		if token.End != token.Start+1 {
			n.appendVerbatim(token)
			break
		}
		c := n.Text[token.Start]
		n.appendPunctuation(c, token)
		if c == '-' || c == '+' {
			signStart = n.signStartOf(token)
		}
	}
	n.signStart = signStart
}

// appendVerbatim appends a token as it is in the text.
func (n *Normalizer) appendVerbatim(token lex.Token) {
	n.list.open = false
	n.appendSpace(token)
	n.Shape = append(n.Shape, n.Text[token.Start:token.End]...)
}

// signStartOf returns the offset in Shape of the signs that end with the plus or minus just appended, including the
// space before them. It is noSign where that is an operator between two operands.
func (n *Normalizer) signStartOf(token lex.Token) int {
	if n.signStart >= 0 {
		return n.signStart
	}
	if n.followsOperand() {
		return noSign
	}
	start := len(n.Shape) - (token.End - token.Start)
	if start > 0 && n.Shape[start-1] == ' ' {
		start--
	}
	return start
}

// appendPunctuation appends an operator or punctuation of one character.
func (n *Normalizer) appendPunctuation(c byte, token lex.Token) {
	switch c {
	case '(', '[':
		n.appendSpace(token)
		n.openRow()
		n.Shape = append(n.Shape, c)
		n.openList(c)
	case ')', ']':
		n.closeList(c)
		n.Shape = append(n.Shape, c)
		n.closeRow()
	case ',':
		n.Shape = append(n.Shape, ',')
	case '-', '+': // may be the sign of a value in a list, which stays open
		n.appendSpace(token)
		n.Shape = append(n.Shape, c)
	default:
		n.list.open = false
		n.appendSpace(token)
		n.Shape = append(n.Shape, c)
	}
}

// appendLower appends a word with its ASCII letters in lower case.
func appendLower(buffer []byte, word string) []byte {
	for i := range len(word) {
		c := word[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		buffer = append(buffer, c)
	}
	return buffer
}
