package syntax

import (
	"slices"
	"strings"
)

// parseFrom parses the list of table sources after FROM or USING.
func (p *Parser) parseFrom() {
	for {
		p.parseJoinedTables()
		if !p.acceptOperator(",") {
			return
		}
		p.facts.Joins++
	}
}

// parseJoinedTables parses a table source and those joined to it.
func (p *Parser) parseJoinedTables() {
	p.parseTableSource()
	for {
		natural := p.acceptWord("natural")
		cross := p.acceptWord("cross")
		if !cross && p.acceptWord("left", "right", "full") {
			p.acceptWord("outer")
		} else if !cross {
			p.acceptWord("inner", "straight_join")
		}
		if !p.acceptWord("join") {
			if cross && p.acceptWord("apply") {
				p.parseTableSource()
				continue
			}
			if natural || cross {
				p.failExpected("JOIN")
			}
			return
		}
		p.facts.Joins++
		p.parseTableSource()
		switch {
		case p.acceptWord("on"):
			p.parseExpr()
		case p.acceptWord("using"):
			p.skipParentheses()
			p.parseAlias()
		}
	}
}

// parseTableSource parses one item of a FROM list: a table, a function, a subquery or parenthesized joins.
func (p *Parser) parseTableSource() {
	p.enterLevel()
	defer p.leaveLevel()
	p.acceptWord("lateral")
	switch {
	case p.current().isOperator("("):
		p.parseParenthesizedSource()
	case p.acceptWords("rows", "from"):
		p.parseRowsFrom()
	default:
		p.parseTableOrFunction()
	}
	if p.acceptWord("tablesample") {
		p.parseName("a sampling method")
		p.skipParentheses()
		if p.acceptWord("repeatable") {
			p.skipParentheses()
		}
	}
}

// parseRowsFrom parses the list of functions after ROWS FROM.
func (p *Parser) parseRowsFrom() {
	p.expectOperator("(")
	for {
		p.parseCall(p.parseName("a function"), Function)
		if p.acceptWord("as") {
			p.skipParentheses()
		}
		if !p.acceptOperator(",") {
			break
		}
	}
	p.expectOperator(")")
	p.acceptWords("with", "ordinality")
	p.parseCorrelation()
}

// parseTableOrFunction parses a table or a function with an optional alias.
func (p *Parser) parseTableOrFunction() {
	p.acceptWord("only")
	name := p.parseName("a table")
	if p.current().isOperator("(") && !p.atTableHint() {
		p.parseCall(name, Function)
		p.acceptWords("with", "ordinality")
	} else {
		p.acceptOperator("*")
		p.addReadTable(name)
	}
	p.parseCorrelation()
}

// atTableHint reports whether the parenthesis here begins a table hint of another engine, as in t (NOLOCK).
func (p *Parser) atTableHint() bool { return p.peek(1).isWord("nolock") }

// parseParenthesizedSource parses a parenthesized subquery or parenthesized joins, with an optional alias.
func (p *Parser) parseParenthesizedSource() {
	p.expectOperator("(")
	if p.atQueryStart() {
		p.facts.Subqueries++
		p.parseQuery(true)
		p.expectOperator(")")
		if alias := p.parseCorrelation(); alias != "" {
			p.facts.addTable(alias, Derived)
		}
		return
	}
	p.parseJoinedTables()
	for p.acceptOperator(",") {
		p.parseJoinedTables()
	}
	p.expectOperator(")")
	p.parseCorrelation()
}

// parseCorrelation parses an optional alias of a table source, which a parenthesized list of column names or column
// definitions may follow, and returns the alias.
func (p *Parser) parseCorrelation() string {
	alias := p.parseAlias()
	if alias != "" || p.tokens[max(0, p.position-1)].isWord("as") { // AS may lack an alias if column definitions follow
		p.skipOptionalParentheses()
	}
	return alias
}

// addReadTable records a table that is read. An unqualified name may refer to a visible CTE instead.
func (p *Parser) addReadTable(name string) {
	if !strings.Contains(name, ".") {
		if slices.Contains(p.visibleCTEs, unquote(name)) {
			p.facts.addTable(name, CTE)
			return
		}
	}
	p.facts.addTable(name, Read)
}
