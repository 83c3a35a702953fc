// Package syntax parses SQL statements far enough to know what they do: the verb, whether they read or write, every
// table with its role, and the predicates whose values help to estimate the cost of a statement. It is a
// recursive-descent parser for the grammar of PostgreSQL that also accepts much of the syntax of other engines. It
// checks neither types nor names, so an engine may still reject what it accepts.
//
// The nesting depth and the number of recorded facts are bounded, and parsing takes time linear in the length of the
// text.
//
// A method parseX consumes X, beginning with the current token, and records what it finds in Facts. If the tokens do
// not form an X, it panics with an *Error, which Parse recovers.
package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// DefaultMaxDepth limits the nesting of parentheses, subqueries and CASE if Parser.MaxDepth is not set.
const DefaultMaxDepth = 100

// Limits on what is recorded for a text.
const (
	maxNames      = 256 // of tables, and of functions
	maxPredicates = 256
	maxCTEs       = 256 // visible at the same time
)

// maxFoundLength limits how many bytes of an unexpected token an error message quotes.
const maxFoundLength = 40

// Parser parses texts, one at a time, and reuses its buffers. The zero value is ready for use.
type Parser struct {
	MaxDepth int // limit of the nesting; 0 means DefaultMaxDepth

	lexer       lex.Lexer
	text        string
	tokens      []token  // of the whole text; the last is EOF
	position    int      // index of the current token
	depth       int      // current nesting depth
	valueCount  int      // number of literals and parameters before the current token
	visibleCTEs []string // names without their quotes
	facts       *Facts
}

// Parse parses a text of one or more statements. A non-nil error is an *Error.
func (p *Parser) Parse(text string) (facts *Facts, err error) {
	p.text, p.tokens, p.position, p.depth, p.valueCount = text, p.tokens[:0], 0, 0, 0
	p.facts, p.visibleCTEs = &Facts{LimitValue: noValue, OffsetValue: noValue}, p.visibleCTEs[:0]
	if err := p.tokenize(); err != nil {
		return nil, err
	}
	defer func() {
		p.text = ""
		clear(p.tokens) // releases the text, to which the tokens refer
		switch r := recover().(type) {
		case nil:
		case *Error:
			facts, err = nil, r
		default:
			panic(r)
		}
	}()
	p.parseScript()
	p.facts.resolveTableGroup()
	return p.facts, nil
}

// tokenize fills p.tokens with the tokens of the whole text.
func (p *Parser) tokenize() error {
	p.lexer.Reset(p.text)
	for {
		t := p.lexer.Next()
		if t.Kind == lex.Illegal {
			return NewError(p.text, t.Start, p.lexer.ErrorMessage)
		}
		word := p.text[t.Start:t.End]
		if t.Kind == lex.Word {
			word = strings.ToLower(word)
		}
		p.tokens = append(p.tokens, token{t, word})
		if t.Kind == lex.EOF {
			return nil
		}
	}
}

// failExpected stops parsing with an error that names what was expected in place of the current token. It panics with
// an *Error, which Parse recovers.
func (p *Parser) failExpected(expected string) {
	t := p.tokens[p.position]
	found := t.text
	if t.Kind == lex.EOF {
		found = "the end"
	}
	if len(found) > maxFoundLength {
		found = found[:maxFoundLength] + "..."
	}
	panic(NewError(p.text, t.Start, "expected "+expected+", found "+found))
}

// enterLevel increases the nesting depth and fails if it exceeds the limit.
func (p *Parser) enterLevel() {
	p.depth++
	if p.depth > p.maxDepth() {
		panic(NewError(p.text, p.tokens[p.position].Start, "nested too deeply"))
	}
}

// leaveLevel reverts enterLevel.
func (p *Parser) leaveLevel() { p.depth-- }

// maxDepth returns the limit of the nesting depth.
func (p *Parser) maxDepth() int {
	if p.MaxDepth == 0 {
		return DefaultMaxDepth
	}
	return p.MaxDepth
}
