package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// parseExprList parses a comma-separated list of expressions.
func (p *Parser) parseExprList() {
	for {
		p.parseExpr()
		if !p.acceptOperator(",") {
			return
		}
	}
}

// parseExprsInParentheses parses a parenthesized list of expressions.
func (p *Parser) parseExprsInParentheses() {
	p.expectOperator("(")
	p.parseExprList()
	p.expectOperator(")")
}

// parseExpr parses an expression. Only the precedence that predicates depend on is respected: AND, OR and XOR bind less
// tightly than comparisons, and comparisons less tightly than all other operators.
func (p *Parser) parseExpr() operand {
	p.enterLevel()
	defer p.leaveLevel()
	left := p.parseComparison()
	for p.acceptWord("and", "or", "xor") {
		p.parseComparison()
		left = opaqueOperand
	}
	return left
}

// parseParenthesizedList parses a parenthesized subquery or a parenthesized list of expressions, which may be empty.
func (p *Parser) parseParenthesizedList() {
	p.expectOperator("(")
	switch {
	case p.current().isOperator(")"):
	case p.atQueryStart():
		p.facts.Subqueries++
		p.enterLevel()
		p.parseQuery(false)
		p.leaveLevel()
		if p.acceptOperator(",") {
			p.parseExprList()
		}
	default:
		p.parseExprList()
	}
	p.expectOperator(")")
}

// parseArithmetic parses operands joined by infix operators other than comparisons.
func (p *Parser) parseArithmetic() operand {
	left := p.parseUnary()
	for {
		t := p.current()
		switch {
		case t.Kind == lex.Operator && isInfix(t.text):
			p.position++
			if t.text == ":" && p.current().isOperator("]") { // an array slice without an upper bound
				return opaqueOperand
			}
			p.parseUnary()
		case t.Kind == lex.Parameter && t.text == "?": // JSON operators: a ? 'b', a ?| b, a ?& b
			p.next()
			if !p.acceptOperator("|") && !p.acceptOperator("||") {
				p.acceptOperator("&")
			}
			p.parseUnary()
		case t.isWord("operator") && p.peek(1).isOperator("("):
			p.position++
			p.skipParentheses()
			p.parseUnary()
		case t.isWord("div", "mod") && !p.peek(1).isOperator(")") && !p.peek(1).isOperator(","):
			p.position++
			p.parseUnary()
		default:
			return left
		}
		left = opaqueOperand
	}
}

// isInfix reports whether an operator may join two operands and is not a comparison.
func isInfix(op string) bool {
	if comparisonOperators[op] != 0 {
		return false
	}
	switch op {
	case "(", ")", "[", "]", "{", "}", ",", ";", ".", "::", ":=", "=>":
		return false
	}
	return true
}

// isPrefixOperator reports whether the token is an operator that may precede an operand.
func (t *token) isPrefixOperator() bool {
	if t.Kind != lex.Operator {
		return false
	}
	switch t.text {
	case "+", "-", "~", "@", "|/", "||/", "!!":
		return true
	}
	return false
}

// parseUnary parses an operand with its prefix operators and its suffixes, such as casts and subscripts.
func (p *Parser) parseUnary() operand {
	signed := false
	for p.current().isPrefixOperator() {
		p.position++
		signed = true
	}
	for p.acceptWord("prior", "binary") {
	}
	result := p.parsePrimary()
	if signed && result.column != "" {
		result = opaqueOperand
	}
	return p.parsePostfix(result)
}

// parsePostfix parses the casts, subscripts, field selections, collations and time zones after an operand, and returns
// the operand that results from them.
func (p *Parser) parsePostfix(result operand) operand {
	for {
		switch {
		case p.acceptOperator("::"):
			p.parseTypeName()
		case p.acceptOperator("["):
			p.parseSubscript()
			result = opaqueOperand
		case p.current().isOperator(".") && (p.peek(1).isName() || p.peek(1).isOperator("*")):
			p.position += 2
			result = opaqueOperand
		case p.acceptWord("collate"):
			p.parseName("a collation")
		case p.acceptWords("at", "time", "zone"):
			p.parseUnary()
			result = opaqueOperand
		case p.acceptWords("at", "local"):
			result = opaqueOperand
		default:
			return result
		}
	}
}

// parseSubscript parses a subscript or an array slice after its opening bracket.
func (p *Parser) parseSubscript() {
	if !p.current().isOperator("]") {
		p.acceptOperator(":")
		if !p.current().isOperator("]") {
			p.parseExpr()
		}
	}
	p.expectOperator("]")
}

// parsePrimary parses an operand without its prefix operators and suffixes.
func (p *Parser) parsePrimary() operand {
	t := p.current()
	switch {
	case t.isValue():
		value := p.valueCount
		p.next()
		for t.Kind == lex.String && p.current().Kind == lex.String { // 'a' 'b' is one string
			p.next()
		}
		return operand{valueIndex: value}
	case t.isOperator("("):
		return p.parseParenthesized()
	case t.isOperator("*"):
		p.position++
		return opaqueOperand
	case t.isOperator("{"): // ODBC escapes: {d '2024-01-01'}, {fn f()}
		p.position++
		p.acceptWord("d", "t", "ts", "fn")
		result := p.parseExpr()
		p.expectOperator("}")
		return result
	case t.Kind == lex.QuotedIdentifier:
		return p.parseColumnOrCall()
	case t.Kind == lex.Word:
		return p.parseWordOperand(t)
	}
	p.failExpected("an expression")
	return opaqueOperand
}

// parseParenthesized parses a parenthesized subquery, row or expression.
func (p *Parser) parseParenthesized() operand {
	if p.atQueryStart() {
		p.parseParenthesizedList()
		return opaqueOperand
	}
	p.expectOperator("(")
	if p.acceptOperator(")") {
		return opaqueOperand
	}
	result := p.parseExpr()
	for p.acceptOperator(",") { // a row
		p.parseExpr()
		result = opaqueOperand
	}
	p.expectOperator(")")
	return result
}

// parseWordOperand parses an operand that begins with a word.
func (p *Parser) parseWordOperand(t *token) operand {
	switch t.text {
	case "case":
		p.position++
		p.parseCase()
		return opaqueOperand
	case "array":
		p.position++
		p.parseArray()
		return opaqueOperand
	case "exists", "unique", "any", "all", "some", "row":
		if p.peek(1).isOperator("(") {
			p.position++
			p.parseParenthesizedList()
			return opaqueOperand
		}
	case "null", "true", "false", "default":
		p.position++
		return opaqueOperand
	case "not":
		p.position++
		p.parseComparison()
		return opaqueOperand
	case "current_date", "current_time", "current_timestamp", "localtime", "localtimestamp", "current_user",
		"session_user", "current_role", "user", "current_catalog", "current_schema", "sysdate":
		p.position++
		p.skipOptionalParentheses() // a precision
		return opaqueOperand
	case "interval":
		if p.peek(1).isValue() {
			return p.parseInterval()
		}
	case "cast", "try_cast", "convert", "treat":
		if p.peek(1).isOperator("(") {
			return p.parseCast()
		}
	case "left", "right": // also names of functions
		if p.peek(1).isOperator("(") {
			return p.parseColumnOrCall()
		}
	}
	if literalTypes[t.text] {
		if length := p.literalTypeLength(); length > 0 {
			return p.parseTypedLiteral(length)
		}
	}
	if reservedWords[t.text] {
		p.failExpected("an expression")
	}
	return p.parseColumnOrCall()
}

// parseCase parses a CASE expression after its first word.
func (p *Parser) parseCase() {
	if !p.current().isWord("when") {
		p.parseExpr()
	}
	if !p.current().isWord("when") {
		p.failExpected("WHEN")
	}
	for p.acceptWord("when") {
		p.parseExpr()
		p.expectWord("then")
		p.parseExpr()
	}
	if p.acceptWord("else") {
		p.parseExpr()
	}
	p.expectWord("end")
}

// parseArray parses an array after the word ARRAY: a parenthesized subquery, or elements in square brackets.
func (p *Parser) parseArray() {
	if p.current().isOperator("(") {
		p.parseParenthesizedList()
		return
	}
	p.parseArrayElements()
}

// parseArrayElements parses the elements of an array in square brackets, which may be nested.
func (p *Parser) parseArrayElements() {
	p.enterLevel()
	defer p.leaveLevel()
	p.expectOperator("[")
	for !p.current().isOperator("]") {
		if p.current().isOperator("[") {
			p.parseArrayElements()
		} else {
			p.parseExpr()
		}
		if !p.acceptOperator(",") {
			break
		}
	}
	p.expectOperator("]")
}

// parseColumnOrCall parses a column name, a function call or a named argument.
func (p *Parser) parseColumnOrCall() operand {
	name := p.parseQualifiedName()
	if p.current().isOperator("(") {
		p.parseCall(name, "")
		return opaqueOperand
	}
	if strings.IndexByte(name, '.') >= 0 {
		p.facts.recordQualifiedName(name)
	}
	if p.current().isOperator("=>") || p.current().isOperator(":=") { // a named argument
		p.position++
		p.parseExpr()
		return opaqueOperand
	}
	return operand{column: name, valueIndex: noValue}
}
