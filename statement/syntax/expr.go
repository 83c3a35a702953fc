package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// operand is what is known of an operand, as far as predicates need it.
type operand struct {
	column     string // set where it is a column alone
	valueIndex int    // place of the literal or parameter that it is alone; -1 otherwise
}

var opaqueOperand = operand{valueIndex: -1}

// parseExprList is a list of expressions.
func (p *Parser) parseExprList() {
	for {
		p.parseExpr()
		if !p.acceptOperator(",") {
			return
		}
	}
}

// parseExpr is an expression. Precedence counts only as far as predicates need it: AND and OR part comparisons, and
// these part everything else.
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

// parseComparison is an operand and the comparisons that follow it.
func (p *Parser) parseComparison() operand {
	not := false
	for p.acceptWord("not") {
		not = true
	}
	left := p.parseArithmetic()
	for {
		t := p.current()
		switch {
		case t.Kind == lex.Operator && comparisonOperators[t.text] != 0:
			p.position++
			if p.current().isWord("any", "all", "some") && p.peek(1).isOperator("(") {
				p.position++
				p.parseParenthesizedList()
			} else if right := p.parseArithmetic(); !not {
				p.addComparison(left, comparisonOperators[t.text], right)
			}
		case t.isWord("is"):
			p.position++
			p.parseIs()
		case t.isWord("isnull", "notnull"):
			p.position++
		case t.isWord("not") && p.peek(1).isWord("between", "in", "like", "ilike", "similar", "regexp", "rlike", "glob"):
			p.position++
			p.parseRangeListOrPattern(opaqueOperand)
		case t.isWord("between", "in", "like", "ilike", "similar", "regexp", "rlike", "glob"):
			p.parseRangeListOrPattern(left)
		case t.isWord("overlaps"):
			p.position++
			p.parseArithmetic()
		default:
			if not {
				return opaqueOperand
			}
			return left
		}
		left = opaqueOperand
	}
}

// comparisonOperators gives the operator of a predicate, or 255 for one that tells nothing.
var comparisonOperators = map[string]Operator{"=": Equal, "==": Equal, "<=>": Equal, "<": Less, "<=": Less, ">": Greater,
	">=": Greater, "<>": 255, "!=": 255, "^=": 255}

func (p *Parser) addComparison(left operand, op Operator, right operand) {
	if op == 255 {
		return
	}
	if left.column == "" && right.column != "" && left.valueIndex >= 0 { // 5 < a
		left, right = right, left
		switch op {
		case Greater:
			op = Less
		case Less:
			op = Greater
		}
	}
	if left.column != "" && right.valueIndex >= 0 {
		p.addPredicate(Predicate{left.column, op, right.valueIndex, -1})
	}
}

func (p *Parser) addPredicate(q Predicate) {
	if len(p.facts.Predicates) < maxPredicates {
		p.facts.Predicates = append(p.facts.Predicates, q)
	}
}

// parseIs follows IS: NULL, a truth value, DISTINCT FROM, a form of JSON or a document.
func (p *Parser) parseIs() {
	p.acceptWord("not")
	switch {
	case p.acceptWord("null", "true", "false", "unknown", "normalized", "document"):
	case p.acceptWords("distinct", "from"):
		p.parseArithmetic()
	case p.acceptWord("json"):
		p.acceptWord("value", "array", "object", "scalar")
		if p.acceptWord("with", "without") {
			p.expectWord("unique")
			p.acceptWord("keys")
		}
	case p.acceptWord("of"):
		p.skipParentheses()
	case p.current().isWord("nfc", "nfd", "nfkc", "nfkd"):
		p.position++
		p.expectWord("normalized")
	default:
		p.failExpected("NULL, TRUE, FALSE, UNKNOWN or DISTINCT FROM")
	}
}

// parseRangeListOrPattern is BETWEEN, IN, LIKE and their like behind the operand that they test.
func (p *Parser) parseRangeListOrPattern(left operand) {
	switch word := p.next().text; word {
	case "between":
		p.acceptWord("symmetric", "asymmetric")
		low := p.parseArithmetic()
		p.expectWord("and")
		high := p.parseArithmetic()
		if left.column != "" && low.valueIndex >= 0 && high.valueIndex >= 0 {
			p.addPredicate(Predicate{left.column, Between, low.valueIndex, high.valueIndex})
		}
	case "in":
		if !p.current().isOperator("(") { // IN array or parameter
			p.parseArithmetic()
			return
		}
		at := p.valueCount
		literal := p.peek(1).isValue()
		p.parseParenthesizedList()
		if left.column != "" && literal {
			p.addPredicate(Predicate{left.column, In, at, -1})
		}
	default:
		if word == "similar" {
			p.expectWord("to")
		}
		if p.current().isWord("any", "all", "some") && p.peek(1).isOperator("(") {
			p.position++
			p.parseParenthesizedList()
			return
		}
		right := p.parseArithmetic()
		if left.column != "" && right.valueIndex >= 0 && (word == "like" || word == "ilike") {
			p.addPredicate(Predicate{left.column, Like, right.valueIndex, -1})
		}
		if p.acceptWord("escape") {
			p.parseArithmetic()
		}
	}
}

// parseParenthesizedList are a subquery or expressions in parentheses, which may be empty.
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

// parseArithmetic is operands with operators of any other kind between them.
func (p *Parser) parseArithmetic() operand {
	left := p.parseUnary()
	for {
		t := p.current()
		switch {
		case t.Kind == lex.Operator && isInfix(t.text):
			p.position++
			if t.text == ":" { // of a slice
				if p.current().isOperator("]") {
					return opaqueOperand
				}
			}
			p.parseUnary()
		case t.Kind == lex.Parameter && t.text == "?": // of JSON: a ? 'b', a ?| b, a ?& b
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

// isInfix says whether an operator stands between two operands and is no comparison.
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

// parseUnary is an operand with its signs before it and its casts, subscripts and collation behind.
func (p *Parser) parseUnary() operand {
	signed := false
	for t := p.current(); t.Kind == lex.Operator && (t.isOperator("+") || t.isOperator("-") || t.isOperator("~") || t.isOperator("@") || t.isOperator("|/") ||
		t.isOperator("||/") || t.isOperator("!!")); t = p.current() {
		p.position++
		signed = true
	}
	for p.acceptWord("prior", "binary") {
	}
	o := p.parsePrimary()
	if signed && o.column != "" {
		o = opaqueOperand
	}
	for {
		switch {
		case p.acceptOperator("::"):
			p.parseTypeName()
		case p.acceptOperator("["):
			if !p.current().isOperator("]") {
				if p.acceptOperator(":") {
					if !p.current().isOperator("]") {
						p.parseExpr()
					}
				} else {
					p.parseExpr()
				}
			}
			p.expectOperator("]")
			o = opaqueOperand
		case p.current().isOperator(".") && (p.peek(1).isName() || p.peek(1).isOperator("*")):
			p.position += 2
			o = opaqueOperand
		case p.acceptWord("collate"):
			p.parseName("a collation")
		case p.acceptWords("at", "time", "zone"):
			p.parseUnary()
			o = opaqueOperand
		case p.acceptWords("at", "local"):
			o = opaqueOperand
		default:
			return o
		}
	}
}

// parsePrimary is an operand alone.
func (p *Parser) parsePrimary() operand {
	t := p.current()
	switch {
	case t.isValue():
		value := p.valueCount
		p.next()
		for t.Kind == lex.String && p.current().Kind == lex.String { // 'a' 'b' is one text
			p.next()
		}
		return operand{valueIndex: value}
	case t.isOperator("("):
		return p.parseParenthesized()
	case t.isOperator("*"):
		p.position++
		return opaqueOperand
	case t.isOperator("{"): // {d '2024-01-01'} and {fn f()} of drivers
		p.position++
		p.acceptWord("d", "t", "ts", "fn")
		o := p.parseExpr()
		p.expectOperator("}")
		return o
	case t.Kind == lex.QuotedIdentifier:
		return p.parseColumnOrCall()
	case t.Kind == lex.Word:
		return p.parseWordOperand(t)
	}
	p.failExpected("an expression")
	return opaqueOperand
}

// parseParenthesized is a subquery, a row or an expression in parentheses.
func (p *Parser) parseParenthesized() operand {
	if p.atQueryStart() {
		p.parseParenthesizedList()
		return opaqueOperand
	}
	p.expectOperator("(")
	if p.acceptOperator(")") {
		return opaqueOperand
	}
	o := p.parseExpr()
	for p.acceptOperator(",") {
		p.parseExpr()
		o = opaqueOperand
	}
	p.expectOperator(")")
	return o
}

// parseWordOperand is an operand that begins with a word.
func (p *Parser) parseWordOperand(t *token) operand {
	switch t.text {
	case "case":
		p.position++
		p.parseCase()
		return opaqueOperand
	case "exists", "unique":
		if p.peek(1).isOperator("(") {
			p.position++
			p.parseParenthesizedList()
			return opaqueOperand
		}
	case "any", "all", "some":
		if p.peek(1).isOperator("(") {
			p.position++
			p.parseParenthesizedList()
			return opaqueOperand
		}
	case "array":
		p.position++
		if p.current().isOperator("(") {
			p.parseParenthesizedList()
			return opaqueOperand
		}
		p.parseArrayElements()
		return opaqueOperand
	case "row":
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
		if p.current().isOperator("(") {
			p.skipParentheses()
		}
		return opaqueOperand
	case "interval":
		if p.peek(1).isValue() {
			return p.parseInterval()
		}
	case "cast", "try_cast", "convert", "treat":
		if p.peek(1).isOperator("(") {
			return p.parseCast()
		}
	case "left", "right": // functions too
		if p.peek(1).isOperator("(") {
			return p.parseColumnOrCall()
		}
	}
	if literalTypes[t.text] {
		if n := p.literalTypeLength(); n > 0 {
			p.position += n
			value := p.valueCount
			p.next()
			return operand{valueIndex: value}
		}
	}
	if reservedWords[t.text] {
		p.failExpected("an expression")
	}
	return p.parseColumnOrCall()
}

// literalTypes are the types that may stand before a literal.
var literalTypes = wordSet("date time timestamp timestamptz timetz json jsonb uuid numeric decimal text varchar char bytea xml double bit")

// literalTypeLength is the number of tokens of a type's name that a literal follows; 0 where none does.
func (p *Parser) literalTypeLength() int {
	n := 1
	if p.peek(1).isWord("precision") {
		n = 2
	}
	if p.peek(n).isWord("with", "without") && p.peek(n+1).isWord("time") && p.peek(n+2).isWord("zone") {
		n += 3
	}
	if t := p.peek(n); t.Kind == lex.String || t.Kind == lex.Parameter {
		return n
	}
	return 0
}

// parseInterval is a literal of a length of time, which tells of a condition's width wherever it stands.
func (p *Parser) parseInterval() operand {
	p.position++
	value := p.valueCount
	p.next()
	p.addPredicate(Predicate{"", Interval, value, -1})
	if p.acceptWord(intervalUnits...) {
		if p.current().isOperator("(") {
			p.skipParentheses()
		}
		if p.acceptWord("to") {
			p.expectWord(intervalUnits...)
			if p.current().isOperator("(") {
				p.skipParentheses()
			}
		}
	}
	return opaqueOperand
}

var intervalUnits = []string{"year", "month", "day", "hour", "minute", "second", "week", "years", "months", "days", "hours",
	"minutes", "seconds", "weeks"}

// parseCast is CAST(x AS type) and its like.
func (p *Parser) parseCast() operand {
	p.position++
	p.expectOperator("(")
	o := p.parseExpr()
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
	return o
}

// parseCase is CASE behind its first word.
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

// parseArrayElements are those of an ARRAY, in brackets that may nest.
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

// parseTypeName is the name of a type with its modifiers.
func (p *Parser) parseTypeName() {
	p.acceptWord("setof")
	if p.current().isWord("interval") {
		p.position++
		if p.acceptWord(intervalUnits...) && p.acceptWord("to") {
			p.expectWord(intervalUnits...)
		}
	} else {
		p.parseName("a type")
	}
	p.acceptWord("precision", "varying")
	if p.current().isOperator("(") {
		p.skipParentheses()
	}
	if p.current().isWord("with", "without") && p.peek(1).isWord("time") {
		p.position += 2
		p.expectWord("zone")
	}
	if p.current().isWord("array") && !p.peek(1).isOperator("[") {
		p.position++
	}
	for p.current().isOperator("[") {
		p.position++
		if p.current().isValue() {
			p.next()
		}
		p.expectOperator("]")
	}
}

// parseColumnOrCall is a column's name, qualified or not, or a call.
func (p *Parser) parseColumnOrCall() operand {
	name := p.parseQualifiedName()
	if p.current().isOperator("(") {
		p.parseCall(name, "")
		return opaqueOperand
	}
	if strings.IndexByte(name, '.') >= 0 {
		p.facts.noteQualifiedName(name)
	}
	if p.current().isOperator("=>") || p.current().isOperator(":=") { // a named argument
		p.position++
		p.parseExpr()
		return opaqueOperand
	}
	return operand{column: name, valueIndex: -1}
}
