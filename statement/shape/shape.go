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

// Scan is the reading of one statement's tokens. The zero value is ready; it may be used again and again.
type Scan struct {
	Text   string
	Shape  []byte  // valid until the next Read
	Values []Value // valid until the next Read
	Rows   int     // rows of the VALUES lists, folded or not
	Fault  string  // what was wrong with the token at FaultAt; empty where all was well
	// FaultAt is a place in Text, in bytes.
	FaultAt int

	l    lex.Lexer
	prev lex.Token // the last token taken
	sign int       // where in Shape the signs begin that may be the next value's; -1 without any
	list list
	rows rows
}

// list is a list of literals that is still open: it folds if nothing else comes before it closes.
type list struct {
	open   bool
	close  byte
	shape  int // length of Shape behind its opening mark
	values int // length of Values there
	count  int
}

// rows are the rows of a VALUES list: one that looks as the row before it is left out.
type rows struct {
	in         bool // within VALUES
	depth      int  // of marks within a row; 0 between rows
	start, end int  // of the current and behind the last row in Shape
	first      int  // start of the last row kept
	values     int  // length of Values before the current row
}

// mostKept is how large a buffer is kept for the next statement, in bytes or values.
const mostKept = 64 << 10

// Read finds the shape of a statement. It is false where some token could not be read: Fault says why, and
// Shape holds what came before it.
func (s *Scan) Read(text string) bool {
	if cap(s.Shape) > mostKept || cap(s.Values) > mostKept {
		s.Shape, s.Values = nil, nil
	}
	*s = Scan{Text: text, Shape: s.Shape[:0], Values: s.Values[:0], sign: -1}
	s.l.Reset(text)
	for {
		t := s.l.Next()
		switch t.Kind {
		case lex.End:
			s.trim()
			return true
		case lex.Bad:
			s.Fault, s.FaultAt = s.l.Fault, t.Start
			return false
		case lex.String, lex.Number, lex.Param:
			s.value(t)
		default:
			s.other(t)
		}
		s.prev = t
	}
}

// Fingerprint is the 64-bit xxHash of the shape: the same in all processes and versions.
func (s *Scan) Fingerprint() uint64 { return xxhash.Sum64(s.Shape) }

// trim takes off the semicolons at the end.
func (s *Scan) trim() {
	s.Shape = bytes.TrimRight(s.Shape, " ;")
}

// value takes a literal or a parameter.
func (s *Scan) value(t lex.Token) {
	if t.Kind == lex.String && s.prev.Kind == lex.String { // texts that follow one another are one
		s.Values[len(s.Values)-1].End = t.End
		return
	}
	v := Value{Kind: t.Kind, Start: t.Start, End: t.End, Count: 1}
	if s.sign >= 0 {
		v.Negative = bytes.Count(s.Shape[s.sign:], []byte{'-'})%2 == 1
		s.Shape = s.Shape[:s.sign]
	}
	s.sign = -1
	s.Values = append(s.Values, v)
	s.list.count++
	s.gap(t)
	s.Shape = append(s.Shape, '?')
}

// other takes any other token.
func (s *Scan) other(t lex.Token) {
	sign := -1
	switch t.Kind {
	case lex.Word:
		s.list.open = false
		s.gap(t)
		s.Shape = lower(s.Shape, s.Text[t.Start:t.End])
		s.rows.in = s.rows.in && s.rows.depth > 0
		if s.word(t, "values") {
			s.rows = rows{in: true}
		}
	case lex.Quoted:
		s.list.open = false
		s.gap(t)
		s.Shape = append(s.Shape, s.Text[t.Start:t.End]...)
	case lex.Op:
		if t.End == t.Start+1 {
			s.mark(s.Text[t.Start], t)
			if c := s.Text[t.Start]; (c == '-' || c == '+') && s.sign >= 0 {
				sign = s.sign
			} else if (c == '-' || c == '+') && !s.operand() {
				sign = s.before(t)
			}
		} else {
			s.list.open = false
			s.gap(t)
			s.Shape = append(s.Shape, s.Text[t.Start:t.End]...)
		}
	}
	s.sign = sign
}

// before is where the mark just written began, its gap included.
func (s *Scan) before(t lex.Token) int {
	n := len(s.Shape) - (t.End - t.Start)
	if n > 0 && s.Shape[n-1] == ' ' {
		n--
	}
	return n
}

// mark takes a mark of one character.
func (s *Scan) mark(c byte, t lex.Token) {
	switch c {
	case '(', '[':
		s.gap(t)
		if s.rows.in {
			if s.rows.depth == 0 {
				s.row()
			}
			s.rows.depth++
		}
		s.Shape = append(s.Shape, c)
		s.list = list{}
		if c == '(' && s.word(s.prev, "in") {
			s.list = list{open: true, close: ')', shape: len(s.Shape), values: len(s.Values)}
		} else if c == '[' && s.word(s.prev, "array") {
			s.list = list{open: true, close: ']', shape: len(s.Shape), values: len(s.Values)}
		}
	case ')', ']':
		if s.list.open && s.list.close == c && s.list.count > 1 {
			s.Values[s.list.values].Count = len(s.Values) - s.list.values
			s.Values = s.Values[:s.list.values+1]
			s.Shape = append(s.Shape[:s.list.shape], '?')
		}
		s.list.open = false
		s.Shape = append(s.Shape, c)
		if s.rows.in && s.rows.depth > 0 {
			if s.rows.depth--; s.rows.depth == 0 {
				s.endRow()
			}
		} else {
			s.rows.in = false
		}
	case ',':
		s.Shape = append(s.Shape, ',')
	case '-', '+':
		s.gap(t)
		s.Shape = append(s.Shape, c)
	default:
		s.list.open = false
		s.gap(t)
		s.Shape = append(s.Shape, c)
	}
}

// row begins a row of VALUES, whose mark is about to be written.
func (s *Scan) row() {
	s.Rows++
	s.rows.start = len(s.Shape)
	s.rows.values = len(s.Values)
}

// endRow ends a row of VALUES and takes it out again if it looks as the last one did.
func (s *Scan) endRow() {
	r := &s.rows
	row := s.Shape[r.start:]
	if r.end > 0 && bytes.Equal(row, s.Shape[r.first:r.end]) && string(s.Shape[r.end:r.start]) == ", " {
		s.Shape, s.Values = s.Shape[:r.end], s.Values[:r.values]
		return
	}
	r.first, r.end = r.start, len(s.Shape)
}

// word says whether a token is that word, given in lower case.
func (s *Scan) word(t lex.Token, word string) bool {
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

// operand says whether the last token ends an operand, so that a sign behind it is an operator.
func (s *Scan) operand() bool {
	switch s.prev.Kind {
	case lex.Quoted, lex.String, lex.Number, lex.Param:
		return true
	case lex.Op:
		c := s.Text[s.prev.End-1]
		return c == ')' || c == ']'
	case lex.Word:
		var b [16]byte
		if s.prev.End-s.prev.Start > len(b) {
			return true
		}
		return !beforeOperand[string(lower(b[:0], s.Text[s.prev.Start:s.prev.End]))]
	}
	return false
}

// beforeOperand are the words behind which an operand begins.
var beforeOperand = func() map[string]bool {
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

// gap writes the space between two tokens: none behind an opening mark or round a dot, none before a closing
// mark, a comma or the mark of a call.
func (s *Scan) gap(t lex.Token) {
	if len(s.Shape) == 0 {
		return
	}
	last := s.Shape[len(s.Shape)-1]
	next := s.Text[t.Start]
	if t.Kind == lex.Op && t.End == t.Start+1 {
		switch next {
		case ';', '.':
			return
		case '(', '[':
			if s.prev.Kind == lex.Op && (last == '(' || last == '[' || last == '.') {
				return
			}
			s.Shape = append(s.Shape, ' ')
			return
		}
	}
	if s.prev.Kind == lex.Op && (last == '(' || last == '[' || last == '.') {
		return
	}
	s.Shape = append(s.Shape, ' ')
}

// lower appends a word with its ASCII letters in lower case.
func lower(b []byte, word string) []byte {
	for i := range len(word) {
		c := word[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		b = append(b, c)
	}
	return b
}
