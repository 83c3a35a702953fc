// Package syntax parses SQL statements far enough to know what they do: the verb, whether they read or write, every
// table in its role, and the predicates whose values tell of a statement's cost. It is a recursive-descent parser of
// PostgreSQL's grammar that also accepts much of the syntax of other engines. It checks neither types nor names, and
// an engine may still refuse what it accepts.
//
// Depth and length are bounded, and the time is linear in the length of the text.
//
// A parse function, parseX, starts at the current token and moves behind X. It records what it finds in Facts and
// fails, by a panic that Parse recovers, where X does not stand there.
package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// DefaultMaxDepth is the deepest nesting of parentheses, subqueries and CASE that is parsed unless MaxDepth says
// otherwise.
const DefaultMaxDepth = 100

// Limits of what is recorded of a text.
const (
	maxNames      = 256 // tables, and functions
	maxPredicates = 256
	maxCTEs       = 256 // that are visible at one place
)

// maxFoundLength is how many bytes of an unexpected token an error shows.
const maxFoundLength = 40

// Parser parses statements, one after another, and reuses its buffers. The zero value is ready for use.
type Parser struct {
	MaxDepth int // the deepest nesting that is parsed; DefaultMaxDepth where 0

	lexer       lex.Lexer
	text        string
	tokens      []token // of the whole text; the last is EOF
	position    int     // index of the current token
	depth       int     // of the current nesting
	valueCount  int     // literals and parameters before the current token
	visibleCTEs []string
	facts       *Facts
}

// Parse parses a text of one or more statements. An error is an *Error.
func (p *Parser) Parse(text string) (facts *Facts, err error) {
	p.text, p.tokens, p.position, p.depth, p.valueCount = text, p.tokens[:0], 0, 0, 0
	p.facts, p.visibleCTEs = &Facts{LimitValue: noValue, OffsetValue: noValue}, p.visibleCTEs[:0]
	if err := p.tokenize(); err != nil {
		return nil, err
	}
	defer func() {
		p.text = ""
		clear(p.tokens) // they refer to the text, which would be retained
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

// tokenize reads the tokens of the whole text.
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

// failExpected stops parsing with an error at the current token. It panics with an *Error, which Parse recovers.
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

// enterLevel enters one more level of nesting, and fails where that is too deep.
func (p *Parser) enterLevel() {
	p.depth++
	if p.depth > p.maxDepth() {
		panic(NewError(p.text, p.tokens[p.position].Start, "nested too deeply"))
	}
}

// leaveLevel leaves the level that enterLevel entered.
func (p *Parser) leaveLevel() { p.depth-- }

// maxDepth returns the deepest nesting that is parsed.
func (p *Parser) maxDepth() int {
	if p.MaxDepth == 0 {
		return DefaultMaxDepth
	}
	return p.MaxDepth
}
