package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// Limits of what is parsed.
const (
	DefaultDepth = 100 // of parentheses, subqueries and CASE within one another
	mostTables   = 256 // tables, and functions, that are told
	mostNames    = 256 // predicates, and names of one WITH clause after another
)

// Parser parses statements, one after another; its buffers are used again.
type Parser struct {
	Depth int // deepest nesting; DefaultDepth where 0

	text   string
	tokens []token
	at     int
	depth  int
	facts  *Facts
	values int      // literals and parameters passed so far
	names  []string // of the CTEs in sight
	l      lex.Lexer
}

// token is a lexer's token and its text, in lower case where it is a word.
type token struct {
	lex.Token
	text string
}

// Parse reads a text of one or more statements.
func (p *Parser) Parse(text string) (facts *Facts, err error) {
	p.text, p.tokens, p.at, p.depth, p.values = text, p.tokens[:0], 0, 0, 0
	p.facts, p.names = &Facts{Limit: -1, Offset: -1}, p.names[:0]
	p.l.Reset(text)
	for {
		t := p.l.Next()
		if t.Kind == lex.Bad {
			return nil, NewError(text, t.Start, p.l.Fault)
		}
		word := text[t.Start:t.End]
		if t.Kind == lex.Word {
			word = strings.ToLower(word)
		}
		p.tokens = append(p.tokens, token{t, word})
		if t.Kind == lex.End {
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
	p.script()
	p.facts.finish()
	return p.facts, nil
}

// fail gives the text up at the current token. It unwinds to Parse.
func (p *Parser) fail(expected string) {
	t := p.tokens[p.at]
	found := t.text
	if t.Kind == lex.End {
		found = "the end"
	}
	if len(found) > 40 {
		found = found[:40] + "..."
	}
	panic(NewError(p.text, t.Start, "expected "+expected+", found "+found))
}

// enter goes one level deeper; leave returns.
func (p *Parser) enter() {
	if p.depth++; p.depth > p.most() {
		panic(NewError(p.text, p.tokens[p.at].Start, "nested too deeply"))
	}
}

// most is the deepest nesting.
func (p *Parser) most() int {
	if p.Depth == 0 {
		return DefaultDepth
	}
	return p.Depth
}

func (p *Parser) leave() { p.depth-- }

func (p *Parser) cur() *token { return &p.tokens[p.at] }

// ahead is the token n behind the current one.
func (p *Parser) ahead(n int) *token { return &p.tokens[min(p.at+n, len(p.tokens)-1)] }

func (p *Parser) next() *token {
	t := &p.tokens[p.at]
	if t.Kind != lex.End {
		p.at++
	}
	switch t.Kind {
	case lex.String, lex.Number, lex.Param:
		p.values++
	}
	return t
}

func (t *token) word(words ...string) bool {
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

func (t *token) op(op string) bool { return t.Kind == lex.Op && t.text == op }

func (t *token) name() bool { return t.Kind == lex.Word || t.Kind == lex.Quoted }

func (t *token) literal() bool {
	return t.Kind == lex.String || t.Kind == lex.Number || t.Kind == lex.Param
}

// word takes one of these words, if it is next.
func (p *Parser) word(words ...string) bool {
	if p.cur().word(words...) {
		p.at++
		return true
	}
	return false
}

// words takes all of these words in turn, or none.
func (p *Parser) words(words ...string) bool {
	for i, w := range words {
		if !p.ahead(i).word(w) {
			return false
		}
	}
	p.at += len(words)
	return true
}

// op takes a mark or an operator, if it is next.
func (p *Parser) op(op string) bool {
	if p.cur().op(op) {
		p.at++
		return true
	}
	return false
}

func (p *Parser) need(op string) {
	if !p.op(op) {
		p.fail(op)
	}
}

func (p *Parser) needWord(words ...string) {
	if !p.word(words...) {
		p.fail(strings.ToUpper(strings.Join(words, " or ")))
	}
}

// name is a name with its qualifiers, as it stands in the text but for spaces and the case of words.
func (p *Parser) name(what string) string {
	if !p.cur().name() || p.cur().Kind == lex.Word && reserved[p.cur().text] {
		p.fail(what)
	}
	return p.dotted()
}

// dotted is the current token and the names that follow it behind dots, as in the text where that has them in one
// piece and in lower case.
func (p *Parser) dotted() string {
	first := p.at
	p.at++
	for p.cur().op(".") && (p.ahead(1).name() || p.ahead(1).op("*")) {
		p.at += 2
	}
	parts := p.tokens[first:p.at]
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

// skip passes over all up to the end of the statement or one of the words at this level.
func (p *Parser) skip(until ...string) {
	for depth := 0; ; {
		t := p.cur()
		switch {
		case t.Kind == lex.End:
			if depth > 0 {
				p.fail(")")
			}
			return
		case t.op("(") || t.op("["):
			depth++
		case t.op(")") || t.op("]"):
			if depth == 0 {
				return
			}
			depth--
		case depth == 0 && (t.op(";") || t.word(until...)):
			return
		}
		p.next()
	}
}

// group passes over a group in parentheses.
func (p *Parser) group() {
	p.need("(")
	p.skip()
	for p.cur().op(";") { // as a routine's body may hold
		p.next()
		p.skip()
	}
	p.need(")")
}

// reserved words are no names of tables or columns and no aliases.
var reserved = set(`all and any array as asc between both by case cast check collate conflict constraint create cross
	default desc distinct do else end except fetch for foreign from full grant group having in inner insert intersect
	into is join lateral leading left like ilike limit natural not null offset on only or order outer primary
	references returning right select set similar some table tablesample then to trailing true false union
	unique using values when where window with`)

// notAlias are words that may be names but follow a table or a column as something else.
var notAlias = set(`partition range rows groups qualify escape isnull notnull nulls at overlaps update
	use force ignore lock minus`)

func set(words string) map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(words) {
		m[w] = true
	}
	return m
}

// alias takes an alias with AS or without, and the names of columns behind it; empty without one.
func (p *Parser) alias() (alias string) {
	switch t := p.cur(); {
	case p.word("as"):
		if t := p.cur(); !t.name() && t.Kind != lex.String && t.Kind != lex.Param && !t.op("(") {
			p.fail("a name behind AS")
		}
		if !p.cur().op("(") {
			alias = p.next().text
		}
	case t.Kind == lex.Quoted, t.Kind == lex.Word && !reserved[t.text] && !notAlias[t.text]:
		alias = p.next().text
	}
	return alias
}
