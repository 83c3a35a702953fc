package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// token is a lexer's token with its text, which is in lower case where it is a word.
type token struct {
	lex.Token
	text string
}

// isWord returns whether the token is one of these words, which are in lower case.
func (t *token) isWord(words ...string) bool {
	if t.Kind != lex.Word {
		return false
	}
	for _, w := range words {
		if t.text == w {
			return true
		}
	}
	return false
}

// isOperator returns whether the token is this operator or punctuation.
func (t *token) isOperator(op string) bool { return t.Kind == lex.Operator && t.text == op }

// isName returns whether the token may be a name, quoted or not.
func (t *token) isName() bool { return t.Kind == lex.Word || t.Kind == lex.QuotedIdentifier }

// isValue returns whether the token is a literal or a parameter.
func (t *token) isValue() bool {
	return t.Kind == lex.String || t.Kind == lex.Number || t.Kind == lex.Parameter
}

// current returns the current token.
func (p *Parser) current() *token { return &p.tokens[p.position] }

// peek returns the token n behind the current one, or EOF behind the end.
func (p *Parser) peek(n int) *token { return &p.tokens[min(p.position+n, len(p.tokens)-1)] }

// next returns the current token and moves behind it. It counts the values that it passes.
func (p *Parser) next() *token {
	t := &p.tokens[p.position]
	if t.Kind != lex.EOF {
		p.position++
	}
	switch t.Kind {
	case lex.String, lex.Number, lex.Parameter:
		p.valueCount++
	}
	return t
}

// acceptWord moves behind the current token if it is one of these words, and returns whether it is.
func (p *Parser) acceptWord(words ...string) bool {
	if p.current().isWord(words...) {
		p.position++
		return true
	}
	return false
}

// acceptWords moves behind all of these words in turn, or behind none, and returns whether they follow.
func (p *Parser) acceptWords(words ...string) bool {
	for i, w := range words {
		if !p.peek(i).isWord(w) {
			return false
		}
	}
	p.position += len(words)
	return true
}

// acceptOperator moves behind the current token if it is this operator, and returns whether it is.
func (p *Parser) acceptOperator(op string) bool {
	if p.current().isOperator(op) {
		p.position++
		return true
	}
	return false
}

// expectOperator moves behind an operator, and fails where it is not the current token.
func (p *Parser) expectOperator(op string) {
	if !p.acceptOperator(op) {
		p.failExpected(op)
	}
}

// expectWord moves behind one of these words, and fails where none is the current token.
func (p *Parser) expectWord(words ...string) {
	if !p.acceptWord(words...) {
		p.failExpected(strings.ToUpper(strings.Join(words, " or ")))
	}
}

// skipUntil skips all up to the end of the statement or of the enclosing parentheses, or up to one of the words at
// this level.
func (p *Parser) skipUntil(until ...string) {
	for depth := 0; ; {
		t := p.current()
		switch {
		case t.Kind == lex.EOF:
			if depth > 0 {
				p.failExpected(")")
			}
			return
		case t.isOperator("(") || t.isOperator("["):
			depth++
		case t.isOperator(")") || t.isOperator("]"):
			if depth == 0 {
				return
			}
			depth--
		case depth == 0 && (t.isOperator(";") || t.isWord(until...)):
			return
		}
		p.next()
	}
}

// skipOptionalParentheses skips a group in parentheses, if one begins here.
func (p *Parser) skipOptionalParentheses() {
	if p.current().isOperator("(") {
		p.skipParentheses()
	}
}

// skipParentheses skips a group in parentheses.
func (p *Parser) skipParentheses() {
	p.expectOperator("(")
	p.skipUntil()
	for p.current().isOperator(";") { // as a routine's body may hold
		p.next()
		p.skipUntil()
	}
	p.expectOperator(")")
}
