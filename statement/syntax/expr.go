package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// operand is what is known of an operand, as far as predicates need it.
type operand struct {
	column string // set where it is a column alone
	value  int    // place of the literal or parameter that it is alone; -1 otherwise
}

var unknown = operand{value: -1}

// list is a list of expressions.
func (p *Parser) list() {
	for {
		p.expr()
		if !p.op(",") {
			return
		}
	}
}

// expr is an expression. Precedence counts only as far as predicates need it: AND and OR part comparisons, and
// these part everything else.
func (p *Parser) expr() operand {
	p.enter()
	defer p.leave()
	left := p.comparison()
	for p.word("and", "or", "xor") {
		p.comparison()
		left = unknown
	}
	return left
}

// comparison is an operand and the comparisons that follow it.
func (p *Parser) comparison() operand {
	not := false
	for p.word("not") {
		not = true
	}
	left := p.sum()
	for {
		t := p.cur()
		switch {
		case t.Kind == lex.Op && comparisons[t.text] != 0:
			p.at++
			if p.cur().word("any", "all", "some") && p.ahead(1).op("(") {
				p.at++
				p.arguments()
			} else if right := p.sum(); !not {
				p.compare(left, comparisons[t.text], right)
			}
		case t.word("is"):
			p.at++
			p.is()
		case t.word("isnull", "notnull"):
			p.at++
		case t.word("not") && p.ahead(1).word("between", "in", "like", "ilike", "similar", "regexp", "rlike", "glob"):
			p.at++
			p.tested(unknown)
		case t.word("between", "in", "like", "ilike", "similar", "regexp", "rlike", "glob"):
			p.tested(left)
		case t.word("overlaps"):
			p.at++
			p.sum()
		default:
			if not {
				return unknown
			}
			return left
		}
		left = unknown
	}
}

// comparisons gives the operator of a predicate, or 255 for one that tells nothing.
var comparisons = map[string]Operator{"=": Equal, "==": Equal, "<=>": Equal, "<": Below, "<=": Below, ">": Above,
	">=": Above, "<>": 255, "!=": 255, "^=": 255}

func (p *Parser) compare(left operand, op Operator, right operand) {
	if op == 255 {
		return
	}
	if left.column == "" && right.column != "" && left.value >= 0 { // 5 < a
		left, right = right, left
		switch op {
		case Above:
			op = Below
		case Below:
			op = Above
		}
	}
	if left.column != "" && right.value >= 0 {
		p.predicate(Predicate{left.column, op, right.value, -1})
	}
}

func (p *Parser) predicate(q Predicate) {
	if len(p.facts.Predicates) < mostNames {
		p.facts.Predicates = append(p.facts.Predicates, q)
	}
}

// is follows IS: NULL, a truth value, DISTINCT FROM, a form of JSON or a document.
func (p *Parser) is() {
	p.word("not")
	switch {
	case p.word("null", "true", "false", "unknown", "normalized", "document"):
	case p.words("distinct", "from"):
		p.sum()
	case p.word("json"):
		p.word("value", "array", "object", "scalar")
		if p.word("with", "without") {
			p.needWord("unique")
			p.word("keys")
		}
	case p.word("of"):
		p.group()
	case p.cur().word("nfc", "nfd", "nfkc", "nfkd"):
		p.at++
		p.needWord("normalized")
	default:
		p.fail("NULL, TRUE, FALSE, UNKNOWN or DISTINCT FROM")
	}
}

// tested is BETWEEN, IN, LIKE and their like behind the operand that they test.
func (p *Parser) tested(left operand) {
	switch word := p.next().text; word {
	case "between":
		p.word("symmetric", "asymmetric")
		low := p.sum()
		p.needWord("and")
		high := p.sum()
		if left.column != "" && low.value >= 0 && high.value >= 0 {
			p.predicate(Predicate{left.column, Between, low.value, high.value})
		}
	case "in":
		if !p.cur().op("(") { // IN array or parameter
			p.sum()
			return
		}
		at := p.values
		literal := p.ahead(1).literal()
		p.arguments()
		if left.column != "" && literal {
			p.predicate(Predicate{left.column, In, at, -1})
		}
	default:
		if word == "similar" {
			p.needWord("to")
		}
		if p.cur().word("any", "all", "some") && p.ahead(1).op("(") {
			p.at++
			p.arguments()
			return
		}
		right := p.sum()
		if left.column != "" && right.value >= 0 && (word == "like" || word == "ilike") {
			p.predicate(Predicate{left.column, Like, right.value, -1})
		}
		if p.word("escape") {
			p.sum()
		}
	}
}

// arguments are a subquery or expressions in parentheses, which may be empty.
func (p *Parser) arguments() {
	p.need("(")
	switch {
	case p.cur().op(")"):
	case p.begins():
		p.facts.Subqueries++
		p.enter()
		p.query(false)
		p.leave()
		if p.op(",") {
			p.list()
		}
	default:
		p.list()
	}
	p.need(")")
}

// sum is operands with operators of any other kind between them.
func (p *Parser) sum() operand {
	left := p.unary()
	for {
		t := p.cur()
		switch {
		case t.Kind == lex.Op && infix(t.text):
			p.at++
			if t.text == ":" { // of a slice
				if p.cur().op("]") {
					return unknown
				}
			}
			p.unary()
		case t.Kind == lex.Param && t.text == "?": // of JSON: a ? 'b', a ?| b, a ?& b
			p.next()
			if !p.op("|") && !p.op("||") {
				p.op("&")
			}
			p.unary()
		case t.word("operator") && p.ahead(1).op("("):
			p.at++
			p.group()
			p.unary()
		case t.word("div", "mod") && !p.ahead(1).op(")") && !p.ahead(1).op(","):
			p.at++
			p.unary()
		default:
			return left
		}
		left = unknown
	}
}

// infix says whether an operator stands between two operands and is no comparison.
func infix(op string) bool {
	if comparisons[op] != 0 {
		return false
	}
	switch op {
	case "(", ")", "[", "]", "{", "}", ",", ";", ".", "::", ":=", "=>":
		return false
	}
	return true
}

// unary is an operand with its signs before it and its casts, subscripts and collation behind.
func (p *Parser) unary() operand {
	signed := false
	for t := p.cur(); t.Kind == lex.Op && (t.op("+") || t.op("-") || t.op("~") || t.op("@") || t.op("|/") ||
		t.op("||/") || t.op("!!")); t = p.cur() {
		p.at++
		signed = true
	}
	for p.word("prior", "binary") {
	}
	o := p.primary()
	if signed && o.column != "" {
		o = unknown
	}
	for {
		switch {
		case p.op("::"):
			p.typeName()
		case p.op("["):
			if !p.cur().op("]") {
				if p.op(":") {
					if !p.cur().op("]") {
						p.expr()
					}
				} else {
					p.expr()
				}
			}
			p.need("]")
			o = unknown
		case p.cur().op(".") && (p.ahead(1).name() || p.ahead(1).op("*")):
			p.at += 2
			o = unknown
		case p.word("collate"):
			p.name("a collation")
		case p.words("at", "time", "zone"):
			p.unary()
			o = unknown
		case p.words("at", "local"):
			o = unknown
		default:
			return o
		}
	}
}

// primary is an operand alone.
func (p *Parser) primary() operand {
	t := p.cur()
	switch {
	case t.literal():
		value := p.values
		p.next()
		for t.Kind == lex.String && p.cur().Kind == lex.String { // 'a' 'b' is one text
			p.next()
		}
		return operand{value: value}
	case t.op("("):
		return p.parens()
	case t.op("*"):
		p.at++
		return unknown
	case t.op("{"): // {d '2024-01-01'} and {fn f()} of drivers
		p.at++
		p.word("d", "t", "ts", "fn")
		o := p.expr()
		p.need("}")
		return o
	case t.Kind == lex.Quoted:
		return p.column()
	case t.Kind == lex.Word:
		return p.keyword(t)
	}
	p.fail("an expression")
	return unknown
}

// parens is a subquery, a row or an expression in parentheses.
func (p *Parser) parens() operand {
	if p.begins() {
		p.arguments()
		return unknown
	}
	p.need("(")
	if p.op(")") {
		return unknown
	}
	o := p.expr()
	for p.op(",") {
		p.expr()
		o = unknown
	}
	p.need(")")
	return o
}

// keyword is an operand that begins with a word.
func (p *Parser) keyword(t *token) operand {
	switch t.text {
	case "case":
		p.at++
		p.caseOf()
		return unknown
	case "exists", "unique":
		if p.ahead(1).op("(") {
			p.at++
			p.arguments()
			return unknown
		}
	case "any", "all", "some":
		if p.ahead(1).op("(") {
			p.at++
			p.arguments()
			return unknown
		}
	case "array":
		p.at++
		if p.cur().op("(") {
			p.arguments()
			return unknown
		}
		p.elements()
		return unknown
	case "row":
		if p.ahead(1).op("(") {
			p.at++
			p.arguments()
			return unknown
		}
	case "null", "true", "false", "default":
		p.at++
		return unknown
	case "not":
		p.at++
		p.comparison()
		return unknown
	case "current_date", "current_time", "current_timestamp", "localtime", "localtimestamp", "current_user",
		"session_user", "current_role", "user", "current_catalog", "current_schema", "sysdate":
		p.at++
		if p.cur().op("(") {
			p.group()
		}
		return unknown
	case "interval":
		if p.ahead(1).literal() {
			return p.interval()
		}
	case "cast", "try_cast", "convert", "treat":
		if p.ahead(1).op("(") {
			return p.cast()
		}
	case "left", "right": // functions too
		if p.ahead(1).op("(") {
			return p.column()
		}
	}
	if typed[t.text] {
		if n := p.typedLiteral(); n > 0 {
			p.at += n
			value := p.values
			p.next()
			return operand{value: value}
		}
	}
	if reserved[t.text] {
		p.fail("an expression")
	}
	return p.column()
}

// typed are the types that may stand before a literal.
var typed = set("date time timestamp timestamptz timetz json jsonb uuid numeric decimal text varchar char bytea xml double bit")

// typedLiteral is the number of tokens of a type's name that a literal follows; 0 where none does.
func (p *Parser) typedLiteral() int {
	n := 1
	if p.ahead(1).word("precision") {
		n = 2
	}
	if p.ahead(n).word("with", "without") && p.ahead(n+1).word("time") && p.ahead(n+2).word("zone") {
		n += 3
	}
	if t := p.ahead(n); t.Kind == lex.String || t.Kind == lex.Param {
		return n
	}
	return 0
}

// interval is a literal of a length of time, which tells of a condition's width wherever it stands.
func (p *Parser) interval() operand {
	p.at++
	value := p.values
	p.next()
	p.predicate(Predicate{"", Span, value, -1})
	if p.word(units...) {
		if p.cur().op("(") {
			p.group()
		}
		if p.word("to") {
			p.needWord(units...)
			if p.cur().op("(") {
				p.group()
			}
		}
	}
	return unknown
}

var units = []string{"year", "month", "day", "hour", "minute", "second", "week", "years", "months", "days", "hours",
	"minutes", "seconds", "weeks"}

// cast is CAST(x AS type) and its like.
func (p *Parser) cast() operand {
	p.at++
	p.need("(")
	o := p.expr()
	switch {
	case p.word("as"):
		p.typeName()
		if p.word("format") {
			p.sum()
		}
	case p.word("using"):
		p.name("a character set")
	case p.op(","):
		p.list()
	}
	p.need(")")
	return o
}

// caseOf is CASE behind its first word.
func (p *Parser) caseOf() {
	if !p.cur().word("when") {
		p.expr()
	}
	if !p.cur().word("when") {
		p.fail("WHEN")
	}
	for p.word("when") {
		p.expr()
		p.needWord("then")
		p.expr()
	}
	if p.word("else") {
		p.expr()
	}
	p.needWord("end")
}

// elements are those of an ARRAY, in brackets that may nest.
func (p *Parser) elements() {
	p.enter()
	defer p.leave()
	p.need("[")
	for !p.cur().op("]") {
		if p.cur().op("[") {
			p.elements()
		} else {
			p.expr()
		}
		if !p.op(",") {
			break
		}
	}
	p.need("]")
}

// typeName is the name of a type with its modifiers.
func (p *Parser) typeName() {
	p.word("setof")
	if p.cur().word("interval") {
		p.at++
		if p.word(units...) && p.word("to") {
			p.needWord(units...)
		}
	} else {
		p.name("a type")
	}
	p.word("precision", "varying")
	if p.cur().op("(") {
		p.group()
	}
	if p.cur().word("with", "without") && p.ahead(1).word("time") {
		p.at += 2
		p.needWord("zone")
	}
	if p.cur().word("array") && !p.ahead(1).op("[") {
		p.at++
	}
	for p.cur().op("[") {
		p.at++
		if p.cur().literal() {
			p.next()
		}
		p.need("]")
	}
}

// column is a column's name, qualified or not, or a call.
func (p *Parser) column() operand {
	name := p.dotted()
	if p.cur().op("(") {
		p.call(name, "")
		return unknown
	}
	if strings.IndexByte(name, '.') >= 0 {
		p.facts.named(name)
	}
	if p.cur().op("=>") || p.cur().op(":=") { // a named argument
		p.at++
		p.expr()
		return unknown
	}
	return operand{column: name, value: -1}
}
