package syntax

// aggregateFunctions are the functions that combine all rows of a group into one value.
var aggregateFunctions = wordSet(`count sum avg min max array_agg string_agg json_agg jsonb_agg stddev variance
	percentile_cont percentile_disc mode every bool_and bool_or corr regr_slope group_concat listagg
	approx_count_distinct`)

// parseCall parses the arguments of a function and the clauses that may follow them. The role is Function if the
// function is used as a table, and empty otherwise.
func (p *Parser) parseCall(name string, role Role) {
	if role == Function {
		p.facts.addTable(name, Function)
	}
	p.facts.addFunction(name)
	if aggregateFunctions[name] {
		p.facts.Aggregates++
	}
	p.enterLevel()
	defer p.leaveLevel()
	p.expectOperator("(")
	if !p.current().isOperator(")") && !p.parseSpecialArguments(name) {
		p.parseArguments()
	}
	p.expectOperator(")")
	p.parseCallSuffix()
}

// parseCallSuffix parses the clauses that may follow the arguments of a function: WITHIN GROUP, FILTER, IGNORE NULLS
// and OVER.
func (p *Parser) parseCallSuffix() {
	if p.acceptWords("within", "group") {
		p.expectOperator("(")
		if p.acceptWords("order", "by") {
			p.parseOrderBy()
		}
		p.expectOperator(")")
	}
	if p.current().isWord("filter") && p.peek(1).isOperator("(") {
		p.position += 2
		p.expectWord("where")
		p.parseExpr()
		p.expectOperator(")")
	}
	if p.current().isWord("ignore", "respect") && p.peek(1).isWord("nulls") {
		p.position += 2
	}
	if p.acceptWord("over") {
		p.facts.Aggregates++
		if p.current().isOperator("(") {
			p.parseWindowDefinition()
		} else {
			p.parseName("a window")
		}
	}
}

// parseArguments parses the arguments of a function without a special syntax.
func (p *Parser) parseArguments() {
	p.acceptWord("distinct", "all")
	p.acceptWord("variadic")
	if p.atQueryStart() {
		p.facts.Subqueries++
		p.parseQuery(false)
	} else {
		p.parseExpr()
	}
	for p.acceptOperator(",") {
		p.acceptWord("variadic")
		p.parseExpr()
		if p.acceptOperator("=>") || p.acceptOperator(":=") {
			p.parseExpr()
		}
	}
	if p.acceptWords("order", "by") {
		p.parseOrderBy()
	}
	if p.acceptWord("separator") {
		p.parseExpr()
	}
	if p.acceptWord("on") { // ON OVERFLOW of LISTAGG, ON ERROR of JSON functions
		p.skipUntil()
	}
}

// parseSpecialArguments parses the arguments of a function that has a special syntax for them. It returns false for
// other functions.
func (p *Parser) parseSpecialArguments(name string) bool {
	switch name {
	case "extract":
		p.next()
		p.expectWord("from")
		p.parseExpr()
	case "substring", "overlay", "position":
		p.parseSubstringArguments()
	case "trim":
		p.parseTrimArguments()
	case "xmlelement", "xmlforest", "xmlparse", "xmltable", "json_table", "json_query", "json_value", "json_exists",
		"json_object", "json_array", "json_objectagg", "json_arrayagg", "xmlserialize", "xmlagg":
		p.skipUntil()
	default:
		return false
	}
	return true
}

// parseSubstringArguments parses the arguments of SUBSTRING, OVERLAY and POSITION.
func (p *Parser) parseSubstringArguments() {
	p.parseArithmetic()
	switch {
	case p.acceptWord("in"):
		p.parseArithmetic()
	case p.acceptOperator(","):
		p.parseExprList()
	default:
		for p.acceptWord("placing", "from", "for", "similar", "escape") {
			p.parseArithmetic()
		}
	}
}

// parseTrimArguments parses the arguments of TRIM.
func (p *Parser) parseTrimArguments() {
	p.acceptWord("leading", "trailing", "both")
	if !p.current().isWord("from") {
		p.parseArithmetic()
	}
	if p.acceptWord("from") {
		p.parseArithmetic()
	}
	if p.acceptOperator(",") {
		p.parseExprList()
	}
}

// parseWindowDefinition parses a parenthesized window definition.
func (p *Parser) parseWindowDefinition() {
	p.expectOperator("(")
	if !p.current().isOperator(")") && !p.current().isWord("partition", "order", "rows", "range", "groups") {
		p.parseName("a window")
	}
	if p.acceptWords("partition", "by") {
		p.parseExprList()
	}
	if p.acceptWords("order", "by") {
		p.parseOrderBy()
	}
	if p.acceptWord("rows", "range", "groups") {
		p.parseFrame()
	}
	p.expectOperator(")")
}

// parseFrame parses a window frame after its unit.
func (p *Parser) parseFrame() {
	if p.acceptWord("between") {
		p.parseFrameBound()
		p.expectWord("and")
	}
	p.parseFrameBound()
	if p.acceptWord("exclude") && !p.acceptWords("current", "row") && !p.acceptWords("no", "others") {
		p.expectWord("group", "ties")
	}
}

// parseFrameBound parses one bound of a window frame.
func (p *Parser) parseFrameBound() {
	if p.acceptWords("current", "row") {
		return
	}
	if !p.acceptWord("unbounded") {
		p.parseArithmetic()
	}
	p.expectWord("preceding", "following")
}
