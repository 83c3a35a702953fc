package syntax

import "chutechute/statement/lex"

// operand describes a parsed expression as far as predicates need it.
type operand struct {
	column     string // the column name if the expression is a single column; empty otherwise
	valueIndex int    // index of the value if the expression is a single literal or parameter; noValue otherwise
}

// opaqueOperand is an expression other than a single column, literal or parameter.
var opaqueOperand = operand{valueIndex: noValue}

// noValue is the value index where there is no value.
const noValue = -1

// parseComparison parses an operand and the comparisons that follow it.
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
			if p.atQuantifier() {
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
		case t.isWord("not") && p.peek(1).isWord(rangeListOrPatternWords...):
			p.position++
			p.parseRangeListOrPattern(opaqueOperand)
		case t.isWord(rangeListOrPatternWords...):
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

// rangeListOrPatternWords begin the predicates that parseRangeListOrPattern parses.
var rangeListOrPatternWords = []string{"between", "in", "like", "ilike", "similar", "regexp", "rlike", "glob"}

// atQuantifier reports whether ANY, ALL or SOME with a parenthesized list or subquery begins here.
func (p *Parser) atQuantifier() bool {
	return p.current().isWord("any", "all", "some") && p.peek(1).isOperator("(")
}

// comparisonOperators maps each comparison operator of SQL to the operator of its predicate.
var comparisonOperators = map[string]Operator{
	"=":   Equal,
	"==":  Equal,
	"<=>": Equal,
	"<":   Less,
	"<=":  Less,
	">":   Greater,
	">=":  Greater,
	"<>":  notEqual,
	"!=":  notEqual,
	"^=":  notEqual,
}

// notEqual is the operator of comparisons that are not recorded as predicates, since an inequality does not help to
// estimate the cost.
const notEqual Operator = 255

// addComparison records a predicate if a column is compared with a value, in either order.
func (p *Parser) addComparison(left operand, op Operator, right operand) {
	if op == notEqual {
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
		p.addPredicate(Predicate{left.column, op, right.valueIndex, noValue})
	}
}

// addPredicate records a predicate, up to maxPredicates.
func (p *Parser) addPredicate(predicate Predicate) {
	if len(p.facts.Predicates) < maxPredicates {
		p.facts.Predicates = append(p.facts.Predicates, predicate)
	}
}

// parseIs parses the test after IS: NULL, a truth value, DISTINCT FROM, JSON, DOCUMENT, NORMALIZED or OF.
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

// parseRangeListOrPattern parses BETWEEN, IN, LIKE and similar comparisons after their left operand.
func (p *Parser) parseRangeListOrPattern(left operand) {
	switch word := p.next().text; word {
	case "between":
		p.parseBetween(left)
	case "in":
		p.parseIn(left)
	default:
		p.parsePattern(left, word)
	}
}

// parseBetween parses the bounds after BETWEEN.
func (p *Parser) parseBetween(left operand) {
	p.acceptWord("symmetric", "asymmetric")
	low := p.parseArithmetic()
	p.expectWord("and")
	high := p.parseArithmetic()
	if left.column != "" && low.valueIndex >= 0 && high.valueIndex >= 0 {
		p.addPredicate(Predicate{left.column, Between, low.valueIndex, high.valueIndex})
	}
}

// parseIn parses the right operand of IN: a parenthesized list or subquery, an array or a parameter.
func (p *Parser) parseIn(left operand) {
	if !p.current().isOperator("(") {
		p.parseArithmetic()
		return
	}
	firstValue := p.valueCount
	beginsWithValue := p.peek(1).isValue()
	p.parseParenthesizedList()
	if left.column != "" && beginsWithValue {
		p.addPredicate(Predicate{left.column, In, firstValue, noValue})
	}
}

// parsePattern parses the pattern after LIKE or a similar word.
func (p *Parser) parsePattern(left operand, word string) {
	if word == "similar" {
		p.expectWord("to")
	}
	if p.atQuantifier() {
		p.position++
		p.parseParenthesizedList()
		return
	}
	pattern := p.parseArithmetic()
	if left.column != "" && pattern.valueIndex >= 0 && (word == "like" || word == "ilike") {
		p.addPredicate(Predicate{left.column, Like, pattern.valueIndex, noValue})
	}
	if p.acceptWord("escape") {
		p.parseArithmetic()
	}
}
