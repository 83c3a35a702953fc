// Package shape finds the canonical shape of a statement: its text with literals and parameters out, lists
// of them folded, names kept, and white space, comments and the case of words gone. Two statements of one
// shape differ in nothing but the values that they name.
//
// A shape is itself a statement, with a question mark for each value, and its own shape. It is found from the
// tokens alone, in time linear in the text, and without allocation once the buffers have grown.
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
	Negative   bool     // the signs before it make it negative
	Start, End int      // in the text; of the first, where it is a list
	Count      int      // values in the list; 1 for a single one
}

// Normalizer is the reading of one statement's tokens. The zero value is ready; it may be used again and again.
type Normalizer struct {
	Text         string
	Shape        []byte  // valid until the next Read
	Values       []Value // valid until the next Read
	RowCount     int     // rows of the VALUES lists, folded or not
	ErrorMessage string  // what was wrong with the token at FaultAt; empty where all was well
	// ErrorOffset is a place in Text, in bytes.
	ErrorOffset int

	lexer     lex.Lexer
	previous  lex.Token // the last token taken
	signStart int       // where in Shape the signs begin that may be the next value's; -1 without any
	list      valueList
	rows      valuesRows
}

// valueList is a list of literals that is still open: it folds if nothing else comes before it closes.
type valueList struct {
	open        bool
	close       byte
	shapeLength int // length of Shape behind its opening mark
	valueCount  int // length of Values there
	length      int
}

// valuesRows are the rows of a VALUES list: one that looks as the row before it is left out.
type valuesRows struct {
	inside             bool // within VALUES
	depth              int  // of marks within a row; 0 between rows
	start, previousEnd int  // of the current and behind the last row in Shape
	previousStart      int  // start of the last row kept
	valueCount         int  // length of Values before the current row
}

// maxRetainedCapacity is how large a buffer is kept for the next statement, in bytes or values.
const maxRetainedCapacity = 64 << 10

// Normalize finds the shape of a statement. It is false where some token could not be read: Fault says why, and
// Shape holds what came before it.
func (s *Normalizer) Normalize(text string) bool {
	if cap(s.Shape) > maxRetainedCapacity || cap(s.Values) > maxRetainedCapacity {
		s.Shape, s.Values = nil, nil
	}
	*s = Normalizer{Text: text, Shape: s.Shape[:0], Values: s.Values[:0], signStart: -1}
	s.lexer.Reset(text)
	for {
		t := s.lexer.Next()
		switch t.Kind {
		case lex.EOF:
			s.trimSemicolons()
			return true
		case lex.Illegal:
			s.ErrorMessage, s.ErrorOffset = s.lexer.ErrorMessage, t.Start
			return false
		case lex.String, lex.Number, lex.Parameter:
			s.appendValue(t)
		default:
			s.appendOther(t)
		}
		s.previous = t
	}
}

// Fingerprint is the 64-bit xxHash of the shape: the same in all processes and versions.
func (s *Normalizer) Fingerprint() uint64 { return xxhash.Sum64(s.Shape) }

// trimSemicolons takes off the semicolons at the end.
func (s *Normalizer) trimSemicolons() {
	s.Shape = bytes.TrimRight(s.Shape, " ;")
}

// appendValue takes a literal or a parameter.
func (s *Normalizer) appendValue(t lex.Token) {
	if t.Kind == lex.String && s.previous.Kind == lex.String { // texts that follow one another are one
		s.Values[len(s.Values)-1].End = t.End
		return
	}
	v := Value{Kind: t.Kind, Start: t.Start, End: t.End, Count: 1}
	if s.signStart >= 0 {
		v.Negative = bytes.Count(s.Shape[s.signStart:], []byte{'-'})%2 == 1
		s.Shape = s.Shape[:s.signStart]
	}
	s.signStart = -1
	s.Values = append(s.Values, v)
	s.list.length++
	s.appendSpace(t)
	s.Shape = append(s.Shape, '?')
}

// appendOther takes any other token.
func (s *Normalizer) appendOther(t lex.Token) {
	sign := -1
	switch t.Kind {
	case lex.Word:
		s.list.open = false
		s.appendSpace(t)
		s.Shape = appendLower(s.Shape, s.Text[t.Start:t.End])
		s.rows.inside = s.rows.inside && s.rows.depth > 0
		if s.isWord(t, "values") {
			s.rows = valuesRows{inside: true}
		}
	case lex.QuotedIdentifier:
		s.list.open = false
		s.appendSpace(t)
		s.Shape = append(s.Shape, s.Text[t.Start:t.End]...)
	case lex.Operator:
		if t.End == t.Start+1 {
			s.appendPunctuation(s.Text[t.Start], t)
			if c := s.Text[t.Start]; (c == '-' || c == '+') && s.signStart >= 0 {
				sign = s.signStart
			} else if (c == '-' || c == '+') && !s.followsOperand() {
				sign = s.startOfLast(t)
			}
		} else {
			s.list.open = false
			s.appendSpace(t)
			s.Shape = append(s.Shape, s.Text[t.Start:t.End]...)
		}
	}
	s.signStart = sign
}

// startOfLast is where the mark just written began, its gap included.
func (s *Normalizer) startOfLast(t lex.Token) int {
	n := len(s.Shape) - (t.End - t.Start)
	if n > 0 && s.Shape[n-1] == ' ' {
		n--
	}
	return n
}

// appendPunctuation takes a mark of one character.
func (s *Normalizer) appendPunctuation(c byte, t lex.Token) {
	switch c {
	case '(', '[':
		s.appendSpace(t)
		if s.rows.inside {
			if s.rows.depth == 0 {
				s.beginRow()
			}
			s.rows.depth++
		}
		s.Shape = append(s.Shape, c)
		s.list = valueList{}
		if c == '(' && s.isWord(s.previous, "in") {
			s.list = valueList{open: true, close: ')', shapeLength: len(s.Shape), valueCount: len(s.Values)}
		} else if c == '[' && s.isWord(s.previous, "array") {
			s.list = valueList{open: true, close: ']', shapeLength: len(s.Shape), valueCount: len(s.Values)}
		}
	case ')', ']':
		if s.list.open && s.list.close == c && s.list.length > 1 {
			s.Values[s.list.valueCount].Count = len(s.Values) - s.list.valueCount
			s.Values = s.Values[:s.list.valueCount+1]
			s.Shape = append(s.Shape[:s.list.shapeLength], '?')
		}
		s.list.open = false
		s.Shape = append(s.Shape, c)
		if s.rows.inside && s.rows.depth > 0 {
			if s.rows.depth--; s.rows.depth == 0 {
				s.endRow()
			}
		} else {
			s.rows.inside = false
		}
	case ',':
		s.Shape = append(s.Shape, ',')
	case '-', '+':
		s.appendSpace(t)
		s.Shape = append(s.Shape, c)
	default:
		s.list.open = false
		s.appendSpace(t)
		s.Shape = append(s.Shape, c)
	}
}

// beginRow begins a row of VALUES, whose mark is about to be written.
func (s *Normalizer) beginRow() {
	s.RowCount++
	s.rows.start = len(s.Shape)
	s.rows.valueCount = len(s.Values)
}

// endRow ends a row of VALUES and takes it out again if it looks as the last one did.
func (s *Normalizer) endRow() {
	r := &s.rows
	row := s.Shape[r.start:]
	if r.previousEnd > 0 && bytes.Equal(row, s.Shape[r.previousStart:r.previousEnd]) && string(s.Shape[r.previousEnd:r.start]) == ", " {
		s.Shape, s.Values = s.Shape[:r.previousEnd], s.Values[:r.valueCount]
		return
	}
	r.previousStart, r.previousEnd = r.start, len(s.Shape)
}

// isWord says whether a token is that word, given in lower case.
func (s *Normalizer) isWord(t lex.Token, word string) bool {
	if t.Kind != lex.Word || t.End-t.Start != len(word) {
		return false
	}
	for i := range len(word) {
		if s.Text[t.Start+i]|0x20 != word[i] {
			return false
		}
	}
	return true
}

// followsOperand says whether the last token ends an operand, so that a sign behind it is an operator.
func (s *Normalizer) followsOperand() bool {
	switch s.previous.Kind {
	case lex.QuotedIdentifier, lex.String, lex.Number, lex.Parameter:
		return true
	case lex.Operator:
		c := s.Text[s.previous.End-1]
		return c == ')' || c == ']'
	case lex.Word:
		var b [16]byte
		if s.previous.End-s.previous.Start > len(b) {
			return true
		}
		return !wordsBeforeOperand[string(appendLower(b[:0], s.Text[s.previous.Start:s.previous.End]))]
	}
	return false
}

// wordsBeforeOperand are the words behind which an operand begins.
var wordsBeforeOperand = func() map[string]bool {
	m := map[string]bool{}
	for _, w := range []string{"select", "where", "and", "or", "not", "on", "when", "then", "else", "case", "between",
		"in", "like", "ilike", "limit", "offset", "values", "set", "by", "having", "return", "returning", "distinct",
		"all", "any", "some", "default", "from", "interval", "to", "using", "fetch", "first", "next", "escape",
		"collate", "only", "as", "is", "with", "top", "call", "symmetric", "asymmetric", "for", "placing", "rows", "range",
		"groups", "xor", "div", "mod", "overlaps", "zone", "similar", "regexp", "rlike", "variadic", "separator", "qualify"} {
		m[w] = true
	}
	return m
}()

// appendSpace writes the space between two tokens: none behind an opening mark or round a dot, none before a closing
// mark, a comma or the mark of a call.
func (s *Normalizer) appendSpace(t lex.Token) {
	if len(s.Shape) == 0 {
		return
	}
	last := s.Shape[len(s.Shape)-1]
	next := s.Text[t.Start]
	if t.Kind == lex.Operator && t.End == t.Start+1 {
		switch next {
		case ';', '.':
			return
		case '(', '[':
			if s.previous.Kind == lex.Operator && (last == '(' || last == '[' || last == '.') {
				return
			}
			s.Shape = append(s.Shape, ' ')
			return
		}
	}
	if s.previous.Kind == lex.Operator && (last == '(' || last == '[' || last == '.') {
		return
	}
	s.Shape = append(s.Shape, ' ')
}

// appendLower appends a word with its ASCII letters in lower case.
func appendLower(b []byte, word string) []byte {
	for i := range len(word) {
		c := word[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		b = append(b, c)
	}
	return b
}
