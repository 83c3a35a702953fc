package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// Limits of what is parsed.
const (
	DefaultMaxDepth = 100 // of parentheses, subqueries and CASE within one another
	maxNames        = 256 // tables, and functions, that are told
	maxPredicates   = 256 // predicates, and names of one WITH clause after another
)

// Parser parses statements, one after another; its buffers are used again.
type Parser struct {
	MaxDepth int // deepest nesting; DefaultDepth where 0

	text        string
	tokens      []token
	position    int
	depth       int
	facts       *Facts
	valueCount  int      // literals and parameters passed so far
	visibleCTEs []string // of the CTEs in sight
	lexer       lex.Lexer
}

// token is a lexer's token and its text, in lower case where it is a word.
type token struct {
	lex.Token
	text string
}

// Parse reads a text of one or more statements.
func (p *Parser) Parse(text string) (facts *Facts, err error) {
	p.text, p.tokens, p.position, p.depth, p.valueCount = text, p.tokens[:0], 0, 0, 0
	p.facts, p.visibleCTEs = &Facts{LimitValue: -1, OffsetValue: -1}, p.visibleCTEs[:0]
	p.lexer.Reset(text)
	for {
		t := p.lexer.Next()
		if t.Kind == lex.Illegal {
			return nil, NewError(text, t.Start, p.lexer.ErrorMessage)
		}
		word := text[t.Start:t.End]
		if t.Kind == lex.Word {
			word = strings.ToLower(word)
		}
		p.tokens = append(p.tokens, token{t, word})
		if t.Kind == lex.EOF {
			break
		}
	}
	defer func() {
		p.text = ""
		clear(p.tokens) // they hold the text
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

// failExpected gives the text up at the current token. It unwinds to Parse.
func (p *Parser) failExpected(expected string) {
	t := p.tokens[p.position]
	found := t.text
	if t.Kind == lex.EOF {
		found = "the end"
	}
	if len(found) > 40 {
		found = found[:40] + "..."
	}
	panic(NewError(p.text, t.Start, "expected "+expected+", found "+found))
}

// enterLevel goes one level deeper; leave returns.
func (p *Parser) enterLevel() {
	if p.depth++; p.depth > p.maxDepth() {
		panic(NewError(p.text, p.tokens[p.position].Start, "nested too deeply"))
	}
}

// maxDepth is the deepest nesting.
func (p *Parser) maxDepth() int {
	if p.MaxDepth == 0 {
		return DefaultMaxDepth
	}
	return p.MaxDepth
}

func (p *Parser) leaveLevel() { p.depth-- }

func (p *Parser) current() *token { return &p.tokens[p.position] }

// peek is the token n behind the current one.
func (p *Parser) peek(n int) *token { return &p.tokens[min(p.position+n, len(p.tokens)-1)] }

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

func (t *token) isOperator(op string) bool { return t.Kind == lex.Operator && t.text == op }

func (t *token) isName() bool { return t.Kind == lex.Word || t.Kind == lex.QuotedIdentifier }

func (t *token) isValue() bool {
	return t.Kind == lex.String || t.Kind == lex.Number || t.Kind == lex.Parameter
}

// acceptWord takes one of these words, if it is next.
func (p *Parser) acceptWord(words ...string) bool {
	if p.current().isWord(words...) {
		p.position++
		return true
	}
	return false
}

// acceptWords takes all of these words in turn, or none.
func (p *Parser) acceptWords(words ...string) bool {
	for i, w := range words {
		if !p.peek(i).isWord(w) {
			return false
		}
	}
	p.position += len(words)
	return true
}

// acceptOperator takes a mark or an operator, if it is next.
func (p *Parser) acceptOperator(op string) bool {
	if p.current().isOperator(op) {
		p.position++
		return true
	}
	return false
}

func (p *Parser) expectOperator(op string) {
	if !p.acceptOperator(op) {
		p.failExpected(op)
	}
}

func (p *Parser) expectWord(words ...string) {
	if !p.acceptWord(words...) {
		p.failExpected(strings.ToUpper(strings.Join(words, " or ")))
	}
}

// parseName is a name with its qualifiers, as it stands in the text but for spaces and the case of words.
func (p *Parser) parseName(what string) string {
	if !p.current().isName() || p.current().Kind == lex.Word && reservedWords[p.current().text] {
		p.failExpected(what)
	}
	return p.parseQualifiedName()
}

// parseQualifiedName is the current token and the names that follow it behind dots, as in the text where that has them in one
// piece and in lower case.
func (p *Parser) parseQualifiedName() string {
	first := p.position
	p.position++
	for p.current().isOperator(".") && (p.peek(1).isName() || p.peek(1).isOperator("*")) {
		p.position += 2
	}
	parts := p.tokens[first:p.position]
	last := parts[len(parts)-1]
	size, same := 0, true
	for i, t := range parts {
		size += len(t.text)
		same = same && t.text == p.text[t.Start:t.End] && (i == 0 || t.Start == parts[i-1].End)
	}
	if same {
		return p.text[parts[0].Start:last.End]
	}
	var b strings.Builder
	b.Grow(size)
	for _, t := range parts {
		b.WriteString(t.text)
	}
	return b.String()
}

// skipUntil passes over all up to the end of the statement or one of the words at this level.
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

// skipParentheses passes over a group in parentheses.
func (p *Parser) skipParentheses() {
	p.expectOperator("(")
	p.skipUntil()
	for p.current().isOperator(";") { // as a routine's body may hold
		p.next()
		p.skipUntil()
	}
	p.expectOperator(")")
}

// reservedWords words are no names of tables or columns and no aliases.
var reservedWords = wordSet(`all and any array as asc between both by case cast check collate conflict constraint create cross
	default desc distinct do else end except fetch for foreign from full grant group having in inner insert intersect
	into is join lateral leading left like ilike limit natural not null offset on only or order outer primary
	references returning right select set similar some table tablesample then to trailing true false union
	unique using values when where window with`)

// nonAliasWords are words that may be names but follow a table or a column as something else.
var nonAliasWords = wordSet(`partition range rows groups qualify escape isnull notnull nulls at overlaps update
	use force ignore lock minus`)

func wordSet(words string) map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(words) {
		m[w] = true
	}
	return m
}

// parseAlias takes an alias with AS or without, and the names of columns behind it; empty without one.
func (p *Parser) parseAlias() (alias string) {
	switch t := p.current(); {
	case p.acceptWord("as"):
		if t := p.current(); !t.isName() && t.Kind != lex.String && t.Kind != lex.Parameter && !t.isOperator("(") {
			p.failExpected("a name behind AS")
		}
		if !p.current().isOperator("(") {
			alias = p.next().text
		}
	case t.Kind == lex.QuotedIdentifier, t.Kind == lex.Word && !reservedWords[t.text] && !nonAliasWords[t.text]:
		alias = p.next().text
	}
	return alias
}
