package syntax

import "chutechute/statement/lex"

// literalTypes are the types whose names may precede a literal, as in DATE '2024-01-01'.
var literalTypes = wordSet(`date time timestamp timestamptz timetz json jsonb uuid numeric decimal text varchar char
	bytea xml double bit`)

// literalTypeLength returns the number of tokens of the type name that begins here, or 0 if no literal or parameter
// follows it.
func (p *Parser) literalTypeLength() int {
	length := 1
	if p.peek(1).isWord("precision") {
		length = 2
	}
	if p.peek(length).isWord("with", "without") && p.peek(length+1).isWord("time") && p.peek(length+2).isWord("zone") {
		length += 3
	}
	if t := p.peek(length); t.Kind == lex.String || t.Kind == lex.Parameter {
		return length
	}
	return 0
}

// parseTypedLiteral parses a type name of typeLength tokens and the literal or parameter after it.
func (p *Parser) parseTypedLiteral(typeLength int) operand {
	p.position += typeLength
	value := p.valueCount
	p.next()
	return operand{valueIndex: value}
}

// parseInterval parses an INTERVAL literal. It is recorded as a predicate wherever it occurs, since it indicates the
// width of a range condition.
func (p *Parser) parseInterval() operand {
	p.position++
	value := p.valueCount
	p.next()
	p.addPredicate(Predicate{"", Interval, value, noValue})
	if p.acceptWord(intervalUnits...) {
		p.skipOptionalParentheses()
		if p.acceptWord("to") {
			p.expectWord(intervalUnits...)
			p.skipOptionalParentheses()
		}
	}
	return opaqueOperand
}

// intervalUnits are the units that may follow an INTERVAL literal.
var intervalUnits = []string{"year", "month", "day", "hour", "minute", "second", "week", "years", "months", "days",
	"hours", "minutes", "seconds", "weeks"}

// parseCast parses CAST(x AS type) and similar conversions.
func (p *Parser) parseCast() operand {
	p.position++
	p.expectOperator("(")
	result := p.parseExpr()
	switch {
	case p.acceptWord("as"):
		p.parseTypeName()
		if p.acceptWord("format") {
			p.parseArithmetic()
		}
	case p.acceptWord("using"):
		p.parseName("a character set")
	case p.acceptOperator(","):
		p.parseExprList()
	}
	p.expectOperator(")")
	return result
}

// parseTypeName parses a type name with its modifiers.
func (p *Parser) parseTypeName() {
	p.acceptWord("setof")
	if p.acceptWord("interval") {
		if p.acceptWord(intervalUnits...) && p.acceptWord("to") {
			p.expectWord(intervalUnits...)
		}
	} else {
		p.parseName("a type")
	}
	p.acceptWord("precision", "varying")
	p.skipOptionalParentheses()
	if p.current().isWord("with", "without") && p.peek(1).isWord("time") {
		p.position += 2
		p.expectWord("zone")
	}
	if p.current().isWord("array") && !p.peek(1).isOperator("[") {
		p.position++
	}
	for p.acceptOperator("[") {
		if p.current().isValue() {
			p.next()
		}
		p.expectOperator("]")
	}
}
