package syntax

import "chutechute/statement/lex"

// parseDML parses a statement that changes rows if one begins here: INSERT, UPDATE, DELETE, MERGE or REPLACE. The verb
// of REPLACE is insert.
func (p *Parser) parseDML() (verb string, ok bool) {
	t := p.current()
	switch t.text {
	case "insert", "replace":
		if t.Kind != lex.Word || !p.peek(1).isName() {
			return "", false
		}
		p.position++
		p.parseInsert()
		return "insert", true
	case "update":
		p.position++
		p.parseUpdate()
	case "delete":
		p.position++
		p.parseDelete()
	case "merge":
		p.position++
		p.parseMerge()
	default:
		return "", false
	}
	return t.text, true
}

// parseTargetTable parses the table that a statement writes, with an optional alias.
func (p *Parser) parseTargetTable() {
	p.acceptWord("only")
	p.facts.addTable(p.parseName("a table"), Written)
	p.acceptOperator("*")
	if !p.current().isWord("default", "overriding", "partition") {
		p.parseAlias()
	}
}

// parseInsert parses an INSERT or REPLACE statement after its first word.
func (p *Parser) parseInsert() {
	p.facts.Writes = true
	p.acceptWord("low_priority", "delayed", "high_priority", "ignore", "or")
	p.acceptWord("replace", "ignore", "abort", "fail", "rollback")
	if !p.acceptWord("into") {
		p.acceptWord("overwrite")
		p.acceptWord("into")
	}
	p.acceptWord("table")
	p.parseTargetTable()
	if p.acceptWord("partition") {
		p.skipParentheses()
	}
	if p.current().isOperator("(") && !p.atQueryStart() {
		p.skipParentheses()
	}
	p.parseOverriding()
	switch {
	case p.acceptWords("default", "values"):
	case p.acceptWord("value"): // MySQL
		p.parseValuesRows()
	case p.acceptWord("set"):
		p.parseAssignments()
	default:
		p.parseQuery(true)
	}
	if p.acceptWords("on", "duplicate") {
		p.expectWord("key")
		p.expectWord("update")
		p.parseAssignments()
	} else if p.acceptWords("on", "conflict") {
		p.parseOnConflict()
	}
	p.parseReturning()
}

// parseOverriding parses an optional OVERRIDING SYSTEM VALUE or OVERRIDING USER VALUE.
func (p *Parser) parseOverriding() {
	if p.acceptWord("overriding") {
		p.expectWord("system", "user")
		p.expectWord("value")
	}
}

// parseOnConflict parses the target and the action of ON CONFLICT.
func (p *Parser) parseOnConflict() {
	if p.current().isOperator("(") {
		p.skipParentheses()
		if p.acceptWord("where") {
			p.parseExpr()
		}
	} else if p.acceptWords("on", "constraint") {
		p.parseName("a constraint")
	}
	p.expectWord("do")
	if p.acceptWord("nothing") {
		return
	}
	p.expectWord("update")
	p.expectWord("set")
	p.parseAssignments()
	if p.acceptWord("where") {
		p.parseExpr()
	}
}

// parseAssignments parses the assignments after SET.
func (p *Parser) parseAssignments() {
	for {
		if p.current().isOperator("(") {
			p.skipParentheses()
		} else {
			p.parseName("a column")
			for p.acceptOperator("[") {
				p.parseExpr()
				p.expectOperator("]")
			}
		}
		if !p.acceptOperator("=") && !p.acceptOperator(":=") {
			p.failExpected("=")
		}
		p.parseExpr()
		if !p.acceptOperator(",") {
			return
		}
	}
}

// parseReturning parses an optional RETURNING clause.
func (p *Parser) parseReturning() {
	if p.acceptWord("returning") {
		p.parseSelectList()
		if p.acceptWord("into") {
			p.parseExprList()
		}
	}
}

// parseUpdate parses an UPDATE statement after its first word.
func (p *Parser) parseUpdate() {
	p.facts.Writes = true
	p.parseTargetTable()
	for p.current().isWord("join", "inner", "left", "cross") { // MySQL
		p.acceptWord("inner", "left", "cross")
		p.acceptWord("outer")
		p.expectWord("join")
		p.parseTableSource()
		if p.acceptWord("on") {
			p.parseExpr()
		}
	}
	p.expectWord("set")
	p.parseAssignments()
	if p.acceptWord("from") {
		p.parseFrom()
	}
	p.parseWriteCondition()
	p.parseReturning()
}

// parseWriteCondition parses the optional WHERE clause of a statement that writes, and the clauses that may follow it.
func (p *Parser) parseWriteCondition() {
	if p.acceptWord("where") {
		if p.acceptWords("current", "of") {
			p.parseName("a cursor")
		} else {
			p.parseExpr()
		}
	}
	p.parseTailClauses()
}

// parseDelete parses a DELETE statement after its first word.
func (p *Parser) parseDelete() {
	p.facts.Writes = true
	p.expectWord("from")
	p.parseTargetTable()
	if p.acceptWord("using") {
		p.parseFrom()
	}
	p.parseWriteCondition()
	p.parseReturning()
}

// parseMerge parses a MERGE statement after its first word.
func (p *Parser) parseMerge() {
	p.facts.Writes = true
	p.acceptWord("into")
	p.parseTargetTable()
	p.expectWord("using")
	p.parseTableSource()
	p.expectWord("on")
	p.parseExpr()
	if !p.current().isWord("when") {
		p.failExpected("WHEN")
	}
	for p.acceptWord("when") {
		p.parseMergeCondition()
		p.expectWord("then")
		p.parseMergeAction()
	}
	p.parseReturning()
}

// parseMergeCondition parses the condition of one WHEN clause of MERGE.
func (p *Parser) parseMergeCondition() {
	p.acceptWord("not")
	p.expectWord("matched")
	if p.acceptWord("by") {
		p.expectWord("source", "target")
	}
	if p.acceptWord("and") {
		p.parseExpr()
	}
}

// parseMergeAction parses the action of one WHEN clause of MERGE.
func (p *Parser) parseMergeAction() {
	switch {
	case p.acceptWords("do", "nothing"):
	case p.acceptWord("delete"):
	case p.acceptWord("update"):
		p.expectWord("set")
		p.parseAssignments()
	case p.acceptWord("insert"):
		p.skipOptionalParentheses()
		p.parseOverriding()
		if !p.acceptWords("default", "values") {
			p.expectWord("values")
			p.parseValuesRows()
		}
	default:
		p.failExpected("INSERT, UPDATE, DELETE or DO NOTHING")
	}
}

// parseCopy parses a COPY statement after its first word. COPY FROM writes a table; COPY TO reads a table or a query.
func (p *Parser) parseCopy() {
	p.acceptWord("binary")
	if p.acceptOperator("(") {
		p.parseQueryOrDML()
		p.expectOperator(")")
		p.expectWord("to")
		p.skipUntil()
		return
	}
	name := p.parseName("a table or a query")
	p.skipOptionalParentheses()
	if p.acceptWord("from") {
		p.facts.addTable(name, Written)
	} else {
		p.expectWord("to")
		p.facts.addTable(name, Read)
	}
	if t := p.current(); !t.isValue() && !t.isName() {
		p.failExpected("a file, a program or a stream")
	}
	p.skipUntil()
}
