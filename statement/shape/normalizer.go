// Package shape normalizes statements. The canonical shape of a statement is its text without comments and extra white
// space, with words in lower case, literals and parameters replaced by question marks, and lists of these folded to
// one. Names are kept. Statements of the same shape differ only in their values.
//
// A shape is itself a statement, and normalizing it yields the same shape. Normalization works on tokens only, takes
// time linear in the length of the text, and does not allocate once the buffers have grown.
package shape

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"chutechute/statement/lex"
)

// Value is a value that a question mark of the shape replaces: a literal, a parameter or a folded list of these.
type Value struct {
	Kind       lex.Kind // kind of the value, or of the first one in a list
	Negative   bool     // whether the signs before the value make it negative
	Start, End int      // byte offsets in the text of the value, or of the first one in a list
	Count      int      // number of values in the list; 1 for a single value
}

// Normalizer determines the shapes of statements, one after another. The zero value is ready for use. Its exported
// fields describe the last statement.
type Normalizer struct {
	Text         string
	Shape        []byte  // valid until the next Normalize
	Values       []Value // in the order of the question marks in Shape; valid until the next Normalize
	RowCount     int     // number of rows in VALUES lists, including those that were folded
	ErrorMessage string  // describes the error in the token at ErrorOffset; empty without an error
	ErrorOffset  int     // byte offset in Text

	lexer     lex.Lexer
	previous  lex.Token // the last token processed
	signStart int       // offset in Shape of the signs that the next value may have; noSign without any
	list      valueList
	rows      valuesRows
}

// noSign is the value of signStart if there are no signs.
const noSign = -1

// maxRetainedCapacity is the largest capacity, in bytes or values, of a buffer that is reused for the next statement.
const maxRetainedCapacity = 64 << 10

// Normalize determines the shape of a statement. It returns false if a token is invalid. ErrorMessage and ErrorOffset
// then describe the error, and Shape is the shape of the text before that token.
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

// Fingerprint returns the 64-bit xxHash of the shape. It is the same in all processes and versions of the program.
func (n *Normalizer) Fingerprint() uint64 { return xxhash.Sum64(n.Shape) }

// trimSemicolons removes the semicolons at the end of the shape.
func (n *Normalizer) trimSemicolons() {
	n.Shape = bytes.TrimRight(n.Shape, " ;")
}

// appendValue appends a question mark for a literal or a parameter and removes the signs before it.
func (n *Normalizer) appendValue(token lex.Token) {
	if token.Kind == lex.String && n.previous.Kind == lex.String { // adjacent string literals form one
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
	n.list.valueCount++
	n.appendSpace(token)
	n.Shape = append(n.Shape, '?')
}

// appendOther appends a token that is neither a literal nor a parameter.
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

// appendVerbatim appends a token unchanged.
func (n *Normalizer) appendVerbatim(token lex.Token) {
	n.list.open = false
	n.appendSpace(token)
	n.Shape = append(n.Shape, n.Text[token.Start:token.End]...)
}

// signStartOf returns the offset in Shape of the sequence of signs that ends with the plus or minus just appended,
// including the space before it. It returns noSign if the token is a binary operator.
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
	case '-', '+': // does not end a list, since it may be the sign of a value
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
