package syntax

import "chutechute/statement/lex"

// write is a statement that changes rows, if one begins here: INSERT, UPDATE, DELETE, MERGE or REPLACE.
func (p *Parser) write() (verb string, ok bool) {
	t := p.cur()
	switch t.text {
	case "insert", "replace":
		if t.Kind != lex.Word || !p.ahead(1).name() {
			return "", false
		}
		p.at++
		p.insert()
		return "insert", true
	case "update":
		p.at++
		p.update()
	case "delete":
		p.at++
		p.deletion()
	case "merge":
		p.at++
		p.merge()
	default:
		return "", false
	}
	return t.text, true
}

// target is the table that a statement writes, and its alias.
func (p *Parser) target() {
	p.word("only")
	p.facts.table(p.name("a table"), Written)
	p.op("*")
	if !p.cur().word("default", "overriding", "partition") {
		p.alias()
	}
}

// insert is INSERT behind its first word.
func (p *Parser) insert() {
	p.facts.Writes = true
	p.word("low_priority", "delayed", "high_priority", "ignore", "or")
	p.word("replace", "ignore", "abort", "fail", "rollback")
	if !p.word("into") {
		p.word("overwrite")
		p.word("into")
	}
	p.word("table")
	p.target()
	if p.word("partition") {
		p.group()
	}
	if p.cur().op("(") && !p.begins() {
		p.group()
	}
	if p.word("overriding") {
		p.needWord("system", "user")
		p.needWord("value")
	}
	switch {
	case p.words("default", "values"):
	case p.word("value"): // of MySQL
		p.rows()
	case p.word("set"):
		p.assignments()
	default:
		p.query(true)
	}
	if p.words("on", "duplicate") {
		p.needWord("key")
		p.needWord("update")
		p.assignments()
	} else if p.words("on", "conflict") {
		p.conflict()
	}
	p.returning()
}

func (p *Parser) conflict() {
	if p.cur().op("(") {
		p.group()
		if p.word("where") {
			p.expr()
		}
	} else if p.words("on", "constraint") {
		p.name("a constraint")
	}
	p.needWord("do")
	if p.word("nothing") {
		return
	}
	p.needWord("update")
	p.needWord("set")
	p.assignments()
	if p.word("where") {
		p.expr()
	}
}

// assignments are those behind SET.
func (p *Parser) assignments() {
	for {
		if p.cur().op("(") {
			p.group()
		} else {
			p.name("a column")
			for p.op("[") {
				p.expr()
				p.need("]")
			}
		}
		if !p.op("=") && !p.op(":=") {
			p.fail("=")
		}
		p.expr()
		if !p.op(",") {
			return
		}
	}
}

func (p *Parser) returning() {
	if p.word("returning") {
		p.columns()
		if p.word("into") {
			p.list()
		}
	}
}

func (p *Parser) update() {
	p.facts.Writes = true
	p.target()
	for p.cur().word("join", "inner", "left", "cross") { // of MySQL
		p.word("inner", "left", "cross")
		p.word("outer")
		p.needWord("join")
		p.source()
		if p.word("on") {
			p.expr()
		}
	}
	p.needWord("set")
	p.assignments()
	if p.word("from") {
		p.from()
	}
	p.condition()
	p.returning()
}

// condition is the WHERE of a statement that writes, and what may follow it.
func (p *Parser) condition() {
	if p.word("where") {
		if p.words("current", "of") {
			p.name("a cursor")
		} else {
			p.expr()
		}
	}
	p.tail()
}

func (p *Parser) deletion() {
	p.facts.Writes = true
	p.needWord("from")
	p.target()
	if p.word("using") {
		p.from()
	}
	p.condition()
	p.returning()
}

func (p *Parser) merge() {
	p.facts.Writes = true
	p.word("into")
	p.target()
	p.needWord("using")
	p.source()
	p.needWord("on")
	p.expr()
	if !p.cur().word("when") {
		p.fail("WHEN")
	}
	for p.word("when") {
		p.word("not")
		p.needWord("matched")
		if p.word("by") {
			p.needWord("source", "target")
		}
		if p.word("and") {
			p.expr()
		}
		p.needWord("then")
		switch {
		case p.words("do", "nothing"):
		case p.word("delete"):
		case p.word("update"):
			p.needWord("set")
			p.assignments()
		case p.word("insert"):
			if p.cur().op("(") {
				p.group()
			}
			if p.word("overriding") {
				p.needWord("system", "user")
				p.needWord("value")
			}
			if !p.words("default", "values") {
				p.needWord("values")
				p.rows()
			}
		default:
			p.fail("INSERT, UPDATE, DELETE or DO NOTHING")
		}
	}
	p.returning()
}
