package syntax

import "chutechute/statement/lex"

// script is the whole text: statements with semicolons between them.
func (p *Parser) script() {
	f := p.facts
	writing, plain := false, false // whether the verb is of one that writes; of one that counts at all
	for {
		for p.op(";") {
		}
		if p.cur().Kind == lex.End {
			break
		}
		before, session := f.Writes, f.Session
		f.Writes, f.Session = false, false
		verb := p.statement()
		f.Statements++
		counts := !control[verb]
		if f.Statements == 1 || counts && !plain || f.Writes && !writing {
			f.Verb = verb
		}
		writing, plain = writing || f.Writes, plain || counts
		f.Writes, f.Session = f.Writes || before, f.Session || session
		if !p.cur().op(";") && p.cur().Kind != lex.End {
			p.fail("the end of the statement")
		}
		p.names = p.names[:0]
	}
	if f.Statements == 0 {
		p.fail("a statement")
	}
}

// control are the verbs that say nothing of what a text is for.
var control = set("begin start commit end rollback abort savepoint release set reset discard")

// statement is one statement; it gives its verb.
func (p *Parser) statement() string {
	t := p.cur()
	if t.op("(") || t.word("select", "with", "values", "table") {
		return p.query(true)
	}
	if verb, ok := p.write(); ok {
		return verb
	}
	if t.Kind != lex.Word {
		p.fail("a statement")
	}
	verb := t.text
	p.at++
	switch verb {
	case "explain":
		p.explain()
	case "copy":
		p.copy()
	case "create":
		p.create()
	case "alter", "drop":
		p.change()
	case "truncate":
		p.word("table")
		p.targets()
		p.skip()
	case "call", "do", "execute", "exec":
		p.run(verb)
	case "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release", "set", "reset", "discard",
		"listen", "unlisten", "notify", "deallocate", "declare", "fetch", "move", "close", "use":
		p.facts.Session = true
		if verb == "declare" {
			p.skip("select", "with", "values")
			if !p.stop() {
				p.query(true)
			}
		}
		p.skip()
	case "prepare":
		p.facts.Session = true
		p.name("a name")
		if p.cur().op("(") {
			p.group()
		}
		p.needWord("as")
		p.statement()
	case "show", "describe", "desc":
		p.skip()
	case "vacuum", "analyze", "analyse", "reindex", "cluster", "refresh", "lock", "optimize":
		p.maintain()
	case "grant", "revoke", "comment", "reassign", "security", "import", "checkpoint", "load":
		p.facts.Writes = true
		p.skip()
	default:
		p.at--
		p.fail("a statement")
	}
	return verb
}

// explain only plans its statement, unless it is to ANALYZE it.
func (p *Parser) explain() {
	runs := false
	if p.cur().op("(") && !p.begins() {
		p.at++
		for {
			option := p.next()
			on := true
			if !p.cur().op(",") && !p.cur().op(")") {
				value := p.next()
				on = !value.word("false", "off") && value.text != "0"
			}
			if option.word("analyze", "analyse") {
				runs = on
			}
			if !p.op(",") {
				break
			}
		}
		p.need(")")
	} else {
		for p.cur().word("analyze", "analyse", "verbose", "extended", "plan") {
			runs = runs || p.cur().word("analyze", "analyse")
			p.at++
		}
		p.word("for")
	}
	p.statement()
	if !runs {
		p.facts.Writes, p.facts.Session = false, false
		for i, t := range p.facts.Tables {
			if t.Role == Written {
				p.facts.Tables[i].Role, p.facts.Reads = Read, true
			}
		}
	}
}

// copy is COPY behind its first word: FROM writes the table, TO reads it or a query.
func (p *Parser) copy() {
	p.word("binary")
	if p.op("(") {
		if _, ok := p.write(); !ok {
			p.query(true)
		}
		p.need(")")
		p.needWord("to")
		p.skip()
		return
	}
	name := p.name("a table or a query")
	if p.cur().op("(") {
		p.group()
	}
	if p.word("from") {
		p.facts.table(name, Written)
	} else {
		p.needWord("to")
		p.facts.table(name, Read)
	}
	if t := p.cur(); !t.literal() && !t.name() {
		p.fail("a file, a program or a stream")
	}
	p.skip()
}

// run is a call of something whose effects are not seen here.
func (p *Parser) run(verb string) {
	p.facts.Writes, p.facts.Session = true, true
	if verb != "do" {
		name := p.name("a procedure")
		if p.cur().op("(") {
			p.call(name, "")
		} else {
			p.facts.function(name)
		}
	}
	p.skip()
}

// targets are tables that are written, with commas between them.
func (p *Parser) targets() {
	for {
		p.words("if", "exists")
		p.word("only")
		p.facts.table(p.name("a table"), Written)
		p.op("*")
		if !p.op(",") {
			return
		}
	}
}

// create is CREATE behind its first word.
func (p *Parser) create() {
	p.facts.Writes = true
	if p.words("or", "replace") {
		p.word("alter")
	}
	for p.word("global", "local", "temporary", "temp", "unlogged", "materialized", "recursive", "unique", "foreign",
		"external", "transient", "constraint") {
	}
	switch {
	case p.word("table", "view"):
		p.words("if", "not", "exists")
		p.facts.table(p.name("a table"), Written)
		p.skip("as", "like")
		if p.word("like") {
			p.facts.table(p.name("a table"), Read)
		} else if p.word("as") && !p.cur().word("execute") {
			p.query(true)
		}
	case p.word("index"):
		p.word("concurrently")
		p.words("if", "not", "exists")
		if !p.cur().word("on") {
			p.name("an index")
		}
		p.needWord("on")
		p.word("only")
		p.facts.table(p.name("a table"), Written)
	case p.cur().Kind == lex.Word:
		p.at++
		p.words("if", "not", "exists")
		if p.cur().name() {
			p.facts.named(p.next().text)
		}
	default:
		p.fail("what is to be created")
	}
	p.skip()
}

// change is ALTER or DROP behind its first word.
func (p *Parser) change() {
	p.facts.Writes = true
	p.word("foreign", "materialized", "temporary", "external")
	switch {
	case p.word("table", "view"):
		p.targets()
	case p.cur().Kind == lex.Word:
		p.at++
		p.word("concurrently")
		p.words("if", "exists")
		if p.cur().name() && !reserved[p.cur().text] {
			p.facts.named(p.name("a name"))
		}
	default:
		p.fail("what is to be changed")
	}
	p.skip()
}

// maintain is work on tables that changes no row.
func (p *Parser) maintain() {
	p.facts.Writes = true
	p.word("materialized")
	for p.word("full", "freeze", "verbose", "analyze", "concurrently", "view", "table", "index", "schema", "database",
		"system") {
	}
	if p.cur().op("(") {
		p.group()
	}
	p.word("table", "index", "schema")
	if p.cur().name() && !reserved[p.cur().text] {
		p.targets()
	}
	p.skip()
}
