package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// token is a token of the lexer with its text. The text of a word is in lower case.
type token struct {
	lex.Token
	text string
}

// isWord reports whether the token is one of the given words, which must be in lower case.
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

// isOperator reports whether the token is the given operator or punctuation character.
func (t *token) isOperator(op string) bool { return t.Kind == lex.Operator && t.text == op }

// isName reports whether the token is a quoted name or a word, which may also be a keyword.
func (t *token) isName() bool { return t.Kind == lex.Word || t.Kind == lex.QuotedIdentifier }

// isValue reports whether the token is a literal or a parameter.
func (t *token) isValue() bool {
	return t.Kind == lex.String || t.Kind == lex.Number || t.Kind == lex.Parameter
}

// current returns the current token.
func (p *Parser) current() *token { return &p.tokens[p.position] }

// peek returns the token n positions after the current one, or EOF past the end.
func (p *Parser) peek(n int) *token { return &p.tokens[min(p.position+n, len(p.tokens)-1)] }

// next consumes and returns the current token. If it is a literal or a parameter, valueCount increases.
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

// acceptWord consumes the current token if it is one of the given words, and reports whether it did.
func (p *Parser) acceptWord(words ...string) bool {
	if p.current().isWord(words...) {
		p.position++
		return true
	}
	return false
}

// acceptWords consumes the given words if the next tokens are exactly these, and reports whether it did.
func (p *Parser) acceptWords(words ...string) bool {
	for i, w := range words {
		if !p.peek(i).isWord(w) {
			return false
		}
	}
	p.position += len(words)
	return true
}

// acceptOperator consumes the current token if it is the given operator, and reports whether it did.
func (p *Parser) acceptOperator(op string) bool {
	if p.current().isOperator(op) {
		p.position++
		return true
	}
	return false
}

// expectOperator consumes the given operator, and fails if it is not the current token.
func (p *Parser) expectOperator(op string) {
	if !p.acceptOperator(op) {
		p.failExpected(op)
	}
}

// expectWord consumes one of the given words, and fails if the current token is none of them.
func (p *Parser) expectWord(words ...string) {
	if !p.acceptWord(words...) {
		p.failExpected(strings.ToUpper(strings.Join(words, " or ")))
	}
}

// skipUntil skips tokens up to the end of the statement or of the enclosing parentheses or brackets, or up to the first
// of the given words that is not nested in parentheses or brackets.
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

// skipOptionalParentheses skips a parenthesized group if the current token opens one.
func (p *Parser) skipOptionalParentheses() {
	if p.current().isOperator("(") {
		p.skipParentheses()
	}
}

// skipParentheses skips a parenthesized group.
func (p *Parser) skipParentheses() {
	p.expectOperator("(")
	p.skipUntil()
	for p.current().isOperator(";") { // the body of a routine may contain them
		p.next()
		p.skipUntil()
	}
	p.expectOperator(")")
}
