package syntax

import "chutechute/statement/lex"

// parseQuery parses a query: an optional WITH clause, SELECT, VALUES and TABLE terms combined by set operations, and
// the clauses that follow them. If main is set, the WITH clause may also precede a statement that changes rows. It
// returns the verb of the main statement.
func (p *Parser) parseQuery(main bool) string {
	p.enterLevel()
	defer p.leaveLevel()
	visible := len(p.visibleCTEs)
	defer func() { p.visibleCTEs = p.visibleCTEs[:visible] }()
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

// parseQueryOrDML parses a query, or a statement that changes rows.
func (p *Parser) parseQueryOrDML() {
	if _, ok := p.parseDML(); !ok {
		p.parseQuery(true)
	}
}

// parseWith parses a WITH clause after its first word. The name of a CTE is visible after its query and, with
// RECURSIVE, within it too.
func (p *Parser) parseWith() {
	recursive := p.acceptWord("recursive")
	for {
		if len(p.visibleCTEs) >= maxCTEs {
			p.failExpected("fewer names in WITH")
		}
		name := p.parseName("a name in WITH")
		p.skipOptionalParentheses()
		p.expectWord("as")
		if !p.acceptWords("not", "materialized") {
			p.acceptWord("materialized")
		}
		if recursive {
			p.visibleCTEs = append(p.visibleCTEs, unquote(name))
		}
		p.expectOperator("(")
		p.parseQueryOrDML()
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

// parseQueryTerm parses one operand of a set operation and returns its verb.
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

// parseValuesRows parses the rows of a VALUES list.
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

// parseSelect parses a SELECT after its first word, up to the clauses that apply to the whole query.
func (p *Parser) parseSelect() {
	p.facts.Reads = true
	for p.acceptWord("all", "distinct", "sql_no_cache", "straight_join") {
		if p.tokens[p.position-1].text == "distinct" {
			p.facts.Aggregates++
			if p.acceptWord("on") {
				p.parseExprsInParentheses()
			}
		}
	}
	if p.current().isWord("top") && (p.peek(1).Kind == lex.Number || p.peek(1).Kind == lex.Parameter) {
		p.position++
		p.parseRowCount()
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

// atQueryStart reports whether a query begins here, possibly after opening parentheses. It returns false if there are
// more of these than the nesting limit allows.
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

// atQueryEnd reports whether a statement or a subquery ends here.
func (p *Parser) atQueryEnd() bool {
	t := p.current()
	return t.Kind == lex.EOF || t.isOperator(")") || t.isOperator(";") || t.isWord("union", "intersect", "except")
}

// parseSelectList parses the list of expressions that a SELECT or a RETURNING clause returns.
func (p *Parser) parseSelectList() {
	for {
		p.parseExpr()
		p.parseAlias()
		if !p.acceptOperator(",") {
			return
		}
	}
}

// parseGroupingClauses parses the clauses that may follow WHERE within one SELECT: GROUP BY, HAVING, WINDOW and
// QUALIFY.
func (p *Parser) parseGroupingClauses() {
	if p.acceptWords("group", "by") {
		p.parseGroupBy()
	}
	if p.acceptWord("having") {
		p.parseExpr()
	}
	if p.acceptWord("window") {
		p.parseWindowClause()
	}
	if p.acceptWord("qualify") {
		p.parseExpr()
	}
}

// parseGroupBy parses the list after GROUP BY.
func (p *Parser) parseGroupBy() {
	p.facts.Aggregates++
	p.acceptWord("all", "distinct")
	for {
		switch {
		case p.acceptWord("rollup", "cube"):
			p.parseExprsInParentheses()
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

// parseWindowClause parses the named windows after WINDOW.
func (p *Parser) parseWindowClause() {
	for {
		p.parseName("a window's name")
		p.expectWord("as")
		p.parseWindowDefinition()
		if !p.acceptOperator(",") {
			return
		}
	}
}

// parseTailClauses parses the clauses that may follow a whole query, in any order: the sort order, the row limits and
// the row locks.
func (p *Parser) parseTailClauses() {
	for {
		switch {
		case p.acceptWords("order", "by"):
			p.parseOrderBy()
		case p.acceptWord("limit"):
			p.parseLimit()
		case p.acceptWord("offset"):
			p.parseOffset()
		case p.acceptWord("fetch"):
			p.parseFetch()
		case p.current().isWord("for") && p.peek(1).isWord("update", "share", "no", "key"):
			p.parseRowLock()
		case p.acceptWords("lock", "in", "share", "mode"):
			p.facts.Writes = true
		default:
			return
		}
	}
}

// parseLimit parses the row count, or the offset and the row count, after LIMIT.
func (p *Parser) parseLimit() {
	if p.acceptWord("all") || p.acceptWord("null") {
		return
	}
	p.parseRowCount()
	if p.acceptOperator(",") { // LIMIT offset, count
		p.facts.OffsetValue = p.facts.LimitValue
		p.parseRowCount()
	}
}

// parseOffset parses the number of rows after OFFSET and records its value.
func (p *Parser) parseOffset() {
	if p.current().isValue() {
		p.facts.OffsetValue = p.valueCount
	}
	p.parseExpr()
	p.acceptWord("row", "rows")
}

// parseFetch parses a FETCH FIRST or FETCH NEXT clause after its first word.
func (p *Parser) parseFetch() {
	p.expectWord("first", "next")
	if !p.current().isWord("row", "rows") {
		p.parseRowCount()
	}
	p.acceptWord("percent")
	p.expectWord("row", "rows")
	if !p.acceptWord("only") && !p.acceptWords("with", "ties") {
		p.failExpected("ONLY or WITH TIES")
	}
}

// parseRowCount parses the maximum number of rows and records its value.
func (p *Parser) parseRowCount() {
	if p.current().isValue() {
		p.facts.LimitValue = p.valueCount
	}
	p.parseExpr()
}

// parseRowLock parses FOR UPDATE and similar clauses. Row locks count as writes, since a read-only transaction rejects
// them.
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

// parseOrderBy parses the sort keys after ORDER BY.
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
