package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// parseQuery is a SELECT, a VALUES list or TABLE name, with set operations, WITH, ORDER BY and the rest. Where main
// is set, WITH may also stand before a statement that writes. It gives the verb of its main statement.
func (p *Parser) parseQuery(main bool) string {
	p.enterLevel()
	defer p.leaveLevel()
	seen := len(p.visibleCTEs)
	defer func() { p.visibleCTEs = p.visibleCTEs[:seen] }()
	if p.acceptWord("with") {
		p.parseWith()
		if main || p.current().isWord("insert", "update", "delete", "merge") {
			if verb, ok := p.parseDML(); ok {
				return verb
			}
		}
	}
	verb := p.parseQueryTerm()
	for p.acceptWord("union", "intersect", "except", "minus") {
		p.acceptWord("all", "distinct")
		p.facts.Subqueries++
		if p.acceptWords("corresponding", "by") {
			p.skipParentheses()
		} else {
			p.acceptWord("corresponding")
		}
		p.parseQueryTerm()
	}
	p.parseTailClauses()
	return verb
}

// parseWith is the list of a WITH clause. A name is in sight behind its own query, or within it too where the list
// is RECURSIVE.
func (p *Parser) parseWith() {
	recursive := p.acceptWord("recursive")
	for {
		if len(p.visibleCTEs) >= maxPredicates {
			p.failExpected("fewer names in WITH")
		}
		name := p.parseName("a name in WITH")
		if p.current().isOperator("(") {
			p.skipParentheses()
		}
		p.expectWord("as")
		if !p.acceptWords("not", "materialized") {
			p.acceptWord("materialized")
		}
		if recursive {
			p.visibleCTEs = append(p.visibleCTEs, unquote(name))
		}
		p.expectOperator("(")
		if _, ok := p.parseDML(); !ok {
			p.parseQuery(true)
		}
		p.expectOperator(")")
		if !recursive {
			p.visibleCTEs = append(p.visibleCTEs, unquote(name))
		}
		if p.current().isWord("search", "cycle") {
			p.skipUntil("select", "insert", "update", "delete", "merge", "values")
		}
		if !p.acceptOperator(",") {
			return
		}
	}
}

func unquote(name string) string {
	if len(name) > 1 && (name[0] == '"' || name[0] == '`') {
		return name[1 : len(name)-1]
	}
	return name
}

// parseQueryTerm is one side of a set operation.
func (p *Parser) parseQueryTerm() string {
	switch {
	case p.acceptOperator("("):
		verb := p.parseQuery(false)
		p.expectOperator(")")
		return verb
	case p.acceptWord("select"):
		p.parseSelect()
		return "select"
	case p.acceptWord("values"):
		p.parseValuesRows()
		return "values"
	case p.acceptWord("table"):
		p.acceptWord("only")
		p.addReadTable(p.parseName("a table"))
		return "table"
	}
	p.failExpected("SELECT, VALUES, TABLE or (")
	return ""
}

// parseValuesRows are the rows of a VALUES list.
func (p *Parser) parseValuesRows() {
	for {
		p.acceptWord("row")
		p.expectOperator("(")
		if !p.current().isOperator(")") {
			p.parseExprList()
		}
		p.expectOperator(")")
		if !p.acceptOperator(",") {
			return
		}
	}
}

// parseSelect is a SELECT behind its first word.
func (p *Parser) parseSelect() {
	p.facts.Reads = true
	for p.acceptWord("all", "distinct", "sql_no_cache", "straight_join") {
		if p.tokens[p.position-1].text == "distinct" {
			p.facts.Aggregates++
			if p.acceptWord("on") {
				p.expectOperator("(")
				p.parseExprList()
				p.expectOperator(")")
			}
		}
	}
	if p.current().isWord("top") && (p.peek(1).Kind == lex.Number || p.peek(1).Kind == lex.Parameter) {
		p.position++
		p.parseLimit()
	}
	if !p.current().isWord("from", "into", "where") && !p.atQueryEnd() {
		p.parseSelectList()
	}
	if p.acceptWord("into") {
		p.acceptWord("temporary", "temp", "unlogged")
		p.acceptWord("table")
		p.facts.addTable(p.parseName("a table behind INTO"), Written)
	}
	if p.acceptWord("from") {
		p.parseFrom()
	}
	if p.acceptWord("where") {
		p.parseExpr()
	}
	p.parseGroupingClauses()
}

// atQueryEnd says whether a statement or a subquery ends here.
func (p *Parser) atQueryEnd() bool {
	t := p.current()
	return t.Kind == lex.EOF || t.isOperator(")") || t.isOperator(";") || t.isWord("union", "intersect", "except")
}

// parseSelectList is the list of what is selected or returned.
func (p *Parser) parseSelectList() {
	for {
		p.parseExpr()
		p.parseAlias()
		if !p.acceptOperator(",") {
			return
		}
	}
}

// parseGroupingClauses is what may follow WHERE within one SELECT.
func (p *Parser) parseGroupingClauses() {
	if p.acceptWords("group", "by") {
		p.facts.Aggregates++
		p.acceptWord("all", "distinct")
		for {
			switch {
			case p.acceptWord("rollup", "cube"):
				p.expectOperator("(")
				p.parseExprList()
				p.expectOperator(")")
			case p.acceptWords("grouping", "sets"):
				p.skipParentheses()
			default:
				p.parseExpr()
			}
			if !p.acceptOperator(",") {
				break
			}
		}
		p.acceptWords("with", "rollup")
	}
	if p.acceptWord("having") {
		p.parseExpr()
	}
	if p.acceptWord("window") {
		for {
			p.parseName("a window's name")
			p.expectWord("as")
			p.parseWindowDefinition()
			if !p.acceptOperator(",") {
				break
			}
		}
	}
	if p.acceptWord("qualify") {
		p.parseExpr()
	}
}

// parseTailClauses is what may follow a whole query: its order, its bounds and its locks, in any order.
func (p *Parser) parseTailClauses() {
	for {
		switch {
		case p.acceptWords("order", "by"):
			p.parseOrderBy()
		case p.acceptWord("limit"):
			if p.acceptWord("all") || p.acceptWord("null") {
				break
			}
			p.parseLimit()
			if p.acceptOperator(",") { // LIMIT offset, count
				p.facts.OffsetValue = p.facts.LimitValue
				p.parseLimit()
			}
		case p.acceptWord("offset"):
			if p.current().isValue() {
				p.facts.OffsetValue = p.valueCount
			}
			p.parseExpr()
			p.acceptWord("row", "rows")
		case p.acceptWord("fetch"):
			p.expectWord("first", "next")
			if !p.current().isWord("row", "rows") {
				p.parseLimit()
			}
			p.acceptWord("percent")
			p.expectWord("row", "rows")
			if !p.acceptWord("only") && !p.acceptWords("with", "ties") {
				p.failExpected("ONLY or WITH TIES")
			}
		case p.current().isWord("for") && p.peek(1).isWord("update", "share", "no", "key"):
			p.parseRowLock()
		case p.acceptWords("lock", "in", "share", "mode"):
			p.facts.Writes = true
		default:
			return
		}
	}
}

// parseLimit notes the place of a bound on the number of rows.
func (p *Parser) parseLimit() {
	if p.current().isValue() {
		p.facts.LimitValue = p.valueCount
	}
	p.parseExpr()
}

// parseRowLock is FOR UPDATE and its like. The locks are writes: a read-only transaction refuses them.
func (p *Parser) parseRowLock() {
	p.position++
	p.acceptWords("no", "key")
	p.acceptWord("key")
	p.expectWord("update", "share")
	p.facts.Writes = true
	if p.acceptWord("of") {
		for {
			p.parseName("a table behind OF")
			if !p.acceptOperator(",") {
				break
			}
		}
	}
	if !p.acceptWord("nowait") {
		p.acceptWords("skip", "locked")
	}
}

// parseOrderBy is a list to sort by.
func (p *Parser) parseOrderBy() {
	p.facts.Sorts++
	for {
		p.parseExpr()
		if p.acceptWord("using") {
			p.next()
		}
		p.acceptWord("asc", "desc")
		if p.acceptWord("nulls") {
			p.expectWord("first", "last")
		}
		if !p.acceptOperator(",") {
			return
		}
	}
}

// parseFrom is a list of tables.
func (p *Parser) parseFrom() {
	for {
		p.parseJoinedTables()
		if !p.acceptOperator(",") {
			return
		}
		p.facts.Joins++
	}
}

// parseJoinedTables is a table and those joined to it.
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

// parseTableSource is one thing that rows come from.
func (p *Parser) parseTableSource() {
	p.enterLevel()
	defer p.leaveLevel()
	p.acceptWord("lateral")
	switch {
	case p.current().isOperator("("):
		p.parseParenthesizedSource()
	case p.acceptWords("rows", "from"):
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
	default:
		p.acceptWord("only")
		name := p.parseName("a table")
		switch {
		case p.current().isOperator("(") && !p.atTableHint():
			p.parseCall(name, Function)
			p.acceptWords("with", "ordinality")
		default:
			p.acceptOperator("*")
			p.addReadTable(name)
		}
		p.parseCorrelation()
	}
	if p.acceptWord("tablesample") {
		p.parseName("a sampling method")
		p.skipParentheses()
		if p.acceptWord("repeatable") {
			p.skipParentheses()
		}
	}
}

// atTableHint says whether the parentheses here belong to a hint, as in t WITH (NOLOCK) of other engines.
func (p *Parser) atTableHint() bool { return p.peek(1).isWord("nolock") }

// parseParenthesizedSource is a subquery, or tables joined in parentheses.
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

// atQueryStart says whether a query begins here, behind any number of opening parentheses that may be nested.
func (p *Parser) atQueryStart() bool {
	for n := 0; ; n++ {
		if n > p.maxDepth() {
			return false
		}
		t := p.peek(n)
		if t.isOperator("(") {
			continue
		}
		if t.isWord("select", "with", "values") {
			return true
		}
		return t.isWord("table") && p.peek(n+1).isName()
	}
}

// parseCorrelation is an alias and the columns, with types or without, that it names.
func (p *Parser) parseCorrelation() string {
	alias := p.parseAlias()
	if alias != "" || p.tokens[max(0, p.position-1)].isWord("as") {
		if p.current().isOperator("(") {
			p.skipParentheses()
		}
	}
	return alias
}

// addReadTable notes a table that is read, or the CTE that the name stands for.
func (p *Parser) addReadTable(name string) {
	if !strings.Contains(name, ".") {
		plain := unquote(name)
		for i := len(p.visibleCTEs) - 1; i >= 0; i-- {
			if p.visibleCTEs[i] == plain {
				p.facts.addTable(name, CTE)
				return
			}
		}
	}
	p.facts.addTable(name, Read)
}
