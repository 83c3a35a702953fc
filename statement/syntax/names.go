package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// parseName parses a name with its qualifiers and returns it without white space and with unquoted parts in lower case.
// The error message uses the description if no name follows.
func (p *Parser) parseName(description string) string {
	if !p.current().isName() || p.current().Kind == lex.Word && reservedWords[p.current().text] {
		p.failExpected(description)
	}
	return p.parseQualifiedName()
}

// parseQualifiedName parses the current token and the dot-separated names that follow it. It allocates nothing if the
// text contains the name without white space and in lower case.
func (p *Parser) parseQualifiedName() string {
	first := p.position
	p.position++
	for p.current().isOperator(".") && (p.peek(1).isName() || p.peek(1).isOperator("*")) {
		p.position += 2
	}
	parts := p.tokens[first:p.position]
	last := parts[len(parts)-1]
	size, contiguous := 0, true
	for i, t := range parts {
		size += len(t.text)
		contiguous = contiguous && t.text == p.text[t.Start:t.End] && (i == 0 || t.Start == parts[i-1].End)
	}
	if contiguous {
		return p.text[parts[0].Start:last.End]
	}
	var name strings.Builder
	name.Grow(size)
	for _, t := range parts {
		name.WriteString(t.text)
	}
	return name.String()
}

// parseAlias parses an optional alias, with or without AS, and returns it, or an empty string if there is none.
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

// unquote removes the quotes of a quoted name.
func unquote(name string) string {
	if len(name) > 1 && (name[0] == '"' || name[0] == '`') {
		return name[1 : len(name)-1]
	}
	return name
}

// reservedWords are the words that, unquoted, are neither names of tables or columns nor aliases.
var reservedWords = wordSet(`all and any array as asc between both by case cast check collate conflict constraint create
	cross default desc distinct do else end except fetch for foreign from full grant group having in inner insert intersect
	into is join lateral leading left like ilike limit natural not null offset on only or order outer primary
	references returning right select set similar some table tablesample then to trailing true false union
	unique using values when where window with`)

// nonAliasWords are words that may be names but, after a table or a column, are not an alias: they begin a clause or an
// operator.
var nonAliasWords = wordSet(`partition range rows groups qualify escape isnull notnull nulls at overlaps update
	use force ignore lock minus`)

// wordSet returns the set of the words of a list that is separated by white space.
func wordSet(words string) map[string]bool {
	set := map[string]bool{}
	for word := range strings.FieldsSeq(words) {
		set[word] = true
	}
	return set
}
