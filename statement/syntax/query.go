package syntax

import (
	"strings"

	"chutechute/statement/lex"
)

// query is a SELECT, a VALUES list or TABLE name, with set operations, WITH, ORDER BY and the rest. Where main
// is set, WITH may also stand before a statement that writes. It gives the verb of its main statement.
func (p *Parser) query(main bool) string {
	p.enter()
	defer p.leave()
	seen := len(p.names)
	defer func() { p.names = p.names[:seen] }()
	if p.word("with") {
		p.with()
		if main || p.cur().word("insert", "update", "delete", "merge") {
			if verb, ok := p.write(); ok {
				return verb
			}
		}
	}
	verb := p.term()
	for p.word("union", "intersect", "except", "minus") {
		p.word("all", "distinct")
		p.facts.Subqueries++
		if p.words("corresponding", "by") {
			p.group()
		} else {
			p.word("corresponding")
		}
		p.term()
	}
	p.tail()
	return verb
}

// with is the list of a WITH clause. A name is in sight behind its own query, or within it too where the list
// is RECURSIVE.
func (p *Parser) with() {
	recursive := p.word("recursive")
	for {
		if len(p.names) >= mostNames {
			p.fail("fewer names in WITH")
		}
		name := p.name("a name in WITH")
		if p.cur().op("(") {
			p.group()
		}
		p.needWord("as")
		if !p.words("not", "materialized") {
			p.word("materialized")
		}
		if recursive {
			p.names = append(p.names, unquoted(name))
		}
		p.need("(")
		if _, ok := p.write(); !ok {
			p.query(true)
		}
		p.need(")")
		if !recursive {
			p.names = append(p.names, unquoted(name))
		}
		if p.cur().word("search", "cycle") {
			p.skip("select", "insert", "update", "delete", "merge", "values")
		}
		if !p.op(",") {
			return
		}
	}
}

func unquoted(name string) string {
	if len(name) > 1 && (name[0] == '"' || name[0] == '`') {
		return name[1 : len(name)-1]
	}
	return name
}

// term is one side of a set operation.
func (p *Parser) term() string {
	switch {
	case p.op("("):
		verb := p.query(false)
		p.need(")")
		return verb
	case p.word("select"):
		p.selection()
		return "select"
	case p.word("values"):
		p.rows()
		return "values"
	case p.word("table"):
		p.word("only")
		p.read(p.name("a table"))
		return "table"
	}
	p.fail("SELECT, VALUES, TABLE or (")
	return ""
}

// rows are the rows of a VALUES list.
func (p *Parser) rows() {
	for {
		p.word("row")
		p.need("(")
		if !p.cur().op(")") {
			p.list()
		}
		p.need(")")
		if !p.op(",") {
			return
		}
	}
}

// selection is a SELECT behind its first word.
func (p *Parser) selection() {
	p.facts.Reads = true
	for p.word("all", "distinct", "sql_no_cache", "straight_join") {
		if p.tokens[p.at-1].text == "distinct" {
			p.facts.Aggregates++
			if p.word("on") {
				p.need("(")
				p.list()
				p.need(")")
			}
		}
	}
	if p.cur().word("top") && (p.ahead(1).Kind == lex.Number || p.ahead(1).Kind == lex.Param) {
		p.at++
		p.limit()
	}
	if !p.cur().word("from", "into", "where") && !p.stop() {
		p.columns()
	}
	if p.word("into") {
		p.word("temporary", "temp", "unlogged")
		p.word("table")
		p.facts.table(p.name("a table behind INTO"), Written)
	}
	if p.word("from") {
		p.from()
	}
	if p.word("where") {
		p.expr()
	}
	p.grouping()
}

// stop says whether a statement or a subquery ends here.
func (p *Parser) stop() bool {
	t := p.cur()
	return t.Kind == lex.End || t.op(")") || t.op(";") || t.word("union", "intersect", "except")
}

// columns is the list of what is selected or returned.
func (p *Parser) columns() {
	for {
		p.expr()
		p.alias()
		if !p.op(",") {
			return
		}
	}
}

// grouping is what may follow WHERE within one SELECT.
func (p *Parser) grouping() {
	if p.words("group", "by") {
		p.facts.Aggregates++
		p.word("all", "distinct")
		for {
			switch {
			case p.word("rollup", "cube"):
				p.need("(")
				p.list()
				p.need(")")
			case p.words("grouping", "sets"):
				p.group()
			default:
				p.expr()
			}
			if !p.op(",") {
				break
			}
		}
		p.words("with", "rollup")
	}
	if p.word("having") {
		p.expr()
	}
	if p.word("window") {
		for {
			p.name("a window's name")
			p.needWord("as")
			p.window()
			if !p.op(",") {
				break
			}
		}
	}
	if p.word("qualify") {
		p.expr()
	}
}

// tail is what may follow a whole query: its order, its bounds and its locks, in any order.
func (p *Parser) tail() {
	for {
		switch {
		case p.words("order", "by"):
			p.order()
		case p.word("limit"):
			if p.word("all") || p.word("null") {
				break
			}
			p.limit()
			if p.op(",") { // LIMIT offset, count
				p.facts.Offset = p.facts.Limit
				p.limit()
			}
		case p.word("offset"):
			if p.cur().literal() {
				p.facts.Offset = p.values
			}
			p.expr()
			p.word("row", "rows")
		case p.word("fetch"):
			p.needWord("first", "next")
			if !p.cur().word("row", "rows") {
				p.limit()
			}
			p.word("percent")
			p.needWord("row", "rows")
			if !p.word("only") && !p.words("with", "ties") {
				p.fail("ONLY or WITH TIES")
			}
		case p.cur().word("for") && p.ahead(1).word("update", "share", "no", "key"):
			p.lock()
		case p.words("lock", "in", "share", "mode"):
			p.facts.Writes = true
		default:
			return
		}
	}
}

// limit notes the place of a bound on the number of rows.
func (p *Parser) limit() {
	if p.cur().literal() {
		p.facts.Limit = p.values
	}
	p.expr()
}

// lock is FOR UPDATE and its like. The locks are writes: a read-only transaction refuses them.
func (p *Parser) lock() {
	p.at++
	p.words("no", "key")
	p.word("key")
	p.needWord("update", "share")
	p.facts.Writes = true
	if p.word("of") {
		for {
			p.name("a table behind OF")
			if !p.op(",") {
				break
			}
		}
	}
	if !p.word("nowait") {
		p.words("skip", "locked")
	}
}

// order is a list to sort by.
func (p *Parser) order() {
	p.facts.Sorts++
	for {
		p.expr()
		if p.word("using") {
			p.next()
		}
		p.word("asc", "desc")
		if p.word("nulls") {
			p.needWord("first", "last")
		}
		if !p.op(",") {
			return
		}
	}
}

// from is a list of tables.
func (p *Parser) from() {
	for {
		p.joined()
		if !p.op(",") {
			return
		}
		p.facts.Joins++
	}
}

// joined is a table and those joined to it.
func (p *Parser) joined() {
	p.source()
	for {
		natural := p.word("natural")
		cross := p.word("cross")
		if !cross && p.word("left", "right", "full") {
			p.word("outer")
		} else if !cross {
			p.word("inner", "straight_join")
		}
		if !p.word("join") {
			if cross && p.word("apply") {
				p.source()
				continue
			}
			if natural || cross {
				p.fail("JOIN")
			}
			return
		}
		p.facts.Joins++
		p.source()
		switch {
		case p.word("on"):
			p.expr()
		case p.word("using"):
			p.group()
			p.alias()
		}
	}
}

// source is one thing that rows come from.
func (p *Parser) source() {
	p.enter()
	defer p.leave()
	p.word("lateral")
	switch {
	case p.cur().op("("):
		p.parenthesized()
	case p.words("rows", "from"):
		p.need("(")
		for {
			p.call(p.name("a function"), Function)
			if p.word("as") {
				p.group()
			}
			if !p.op(",") {
				break
			}
		}
		p.need(")")
		p.words("with", "ordinality")
		p.correlation()
	default:
		p.word("only")
		name := p.name("a table")
		switch {
		case p.cur().op("(") && !p.hint():
			p.call(name, Function)
			p.words("with", "ordinality")
		default:
			p.op("*")
			p.read(name)
		}
		p.correlation()
	}
	if p.word("tablesample") {
		p.name("a sampling method")
		p.group()
		if p.word("repeatable") {
			p.group()
		}
	}
}

// hint says whether the parentheses here belong to a hint, as in t WITH (NOLOCK) of other engines.
func (p *Parser) hint() bool { return p.ahead(1).word("nolock") }

// parenthesized is a subquery, or tables joined in parentheses.
func (p *Parser) parenthesized() {
	p.need("(")
	if p.begins() {
		p.facts.Subqueries++
		p.query(true)
		p.need(")")
		if alias := p.correlation(); alias != "" {
			p.facts.table(alias, Derived)
		}
		return
	}
	p.joined()
	for p.op(",") {
		p.joined()
	}
	p.need(")")
	p.correlation()
}

// begins says whether a query begins here, behind any number of opening parentheses that may be nested.
func (p *Parser) begins() bool {
	for n := 0; ; n++ {
		if n > p.most() {
			return false
		}
		t := p.ahead(n)
		if t.op("(") {
			continue
		}
		if t.word("select", "with", "values") {
			return true
		}
		return t.word("table") && p.ahead(n+1).name()
	}
}

// correlation is an alias and the columns, with types or without, that it names.
func (p *Parser) correlation() string {
	alias := p.alias()
	if alias != "" || p.tokens[max(0, p.at-1)].word("as") {
		if p.cur().op("(") {
			p.group()
		}
	}
	return alias
}

// read notes a table that is read, or the CTE that the name stands for.
func (p *Parser) read(name string) {
	if !strings.Contains(name, ".") {
		plain := unquoted(name)
		for i := len(p.names) - 1; i >= 0; i-- {
			if p.names[i] == plain {
				p.facts.table(name, CTE)
				return
			}
		}
	}
	p.facts.table(name, Read)
}
