package syntax

import "chutechute/statement/lex"

// parseScript is the whole text: statements with semicolons between them.
func (p *Parser) parseScript() {
	f := p.facts
	writing, plain := false, false // whether the verb is of one that writes; of one that counts at all
	for {
		for p.acceptOperator(";") {
		}
		if p.current().Kind == lex.EOF {
			break
		}
		before, session := f.Writes, f.ChangesSession
		f.Writes, f.ChangesSession = false, false
		verb := p.parseStatement()
		f.Statements++
		counts := !controlVerbs[verb]
		if f.Statements == 1 || counts && !plain || f.Writes && !writing {
			f.Verb = verb
		}
		writing, plain = writing || f.Writes, plain || counts
		f.Writes, f.ChangesSession = f.Writes || before, f.ChangesSession || session
		if !p.current().isOperator(";") && p.current().Kind != lex.EOF {
			p.failExpected("the end of the statement")
		}
		p.visibleCTEs = p.visibleCTEs[:0]
	}
	if f.Statements == 0 {
		p.failExpected("a statement")
	}
}

// controlVerbs are the verbs that say nothing of what a text is for.
var controlVerbs = wordSet("begin start commit end rollback abort savepoint release set reset discard")

// parseStatement is one statement; it gives its verb.
func (p *Parser) parseStatement() string {
	t := p.current()
	if t.isOperator("(") || t.isWord("select", "with", "values", "table") {
		return p.parseQuery(true)
	}
	if verb, ok := p.parseDML(); ok {
		return verb
	}
	if t.Kind != lex.Word {
		p.failExpected("a statement")
	}
	verb := t.text
	p.position++
	switch verb {
	case "explain":
		p.parseExplain()
	case "copy":
		p.parseCopy()
	case "create":
		p.parseCreate()
	case "alter", "drop":
		p.parseAlterOrDrop()
	case "truncate":
		p.acceptWord("table")
		p.parseWrittenTables()
		p.skipUntil()
	case "call", "do", "execute", "exec":
		p.parseInvocation(verb)
	case "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release", "set", "reset", "discard",
		"listen", "unlisten", "notify", "deallocate", "declare", "fetch", "move", "close", "use":
		p.facts.ChangesSession = true
		if verb == "declare" {
			p.skipUntil("select", "with", "values")
			if !p.atQueryEnd() {
				p.parseQuery(true)
			}
		}
		p.skipUntil()
	case "prepare":
		p.facts.ChangesSession = true
		p.parseName("a name")
		if p.current().isOperator("(") {
			p.skipParentheses()
		}
		p.expectWord("as")
		p.parseStatement()
	case "show", "describe", "desc":
		p.skipUntil()
	case "vacuum", "analyze", "analyse", "reindex", "cluster", "refresh", "lock", "optimize":
		p.parseMaintenance()
	case "grant", "revoke", "comment", "reassign", "security", "import", "checkpoint", "load":
		p.facts.Writes = true
		p.skipUntil()
	default:
		p.position--
		p.failExpected("a statement")
	}
	return verb
}

// parseExplain only plans its statement, unless it is to ANALYZE it.
func (p *Parser) parseExplain() {
	runs := false
	if p.current().isOperator("(") && !p.atQueryStart() {
		p.position++
		for {
			option := p.next()
			on := true
			if !p.current().isOperator(",") && !p.current().isOperator(")") {
				value := p.next()
				on = !value.isWord("false", "off") && value.text != "0"
			}
			if option.isWord("analyze", "analyse") {
				runs = on
			}
			if !p.acceptOperator(",") {
				break
			}
		}
		p.expectOperator(")")
	} else {
		for p.current().isWord("analyze", "analyse", "verbose", "extended", "plan") {
			runs = runs || p.current().isWord("analyze", "analyse")
			p.position++
		}
		p.acceptWord("for")
	}
	p.parseStatement()
	if !runs {
		p.facts.Writes, p.facts.ChangesSession = false, false
		for i, t := range p.facts.Tables {
			if t.Role == Written {
				p.facts.Tables[i].Role, p.facts.Reads = Read, true
			}
		}
	}
}

// parseCopy is COPY behind its first word: FROM writes the table, TO reads it or a query.
func (p *Parser) parseCopy() {
	p.acceptWord("binary")
	if p.acceptOperator("(") {
		if _, ok := p.parseDML(); !ok {
			p.parseQuery(true)
		}
		p.expectOperator(")")
		p.expectWord("to")
		p.skipUntil()
		return
	}
	name := p.parseName("a table or a query")
	if p.current().isOperator("(") {
		p.skipParentheses()
	}
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

// parseInvocation is a call of something whose effects are not seen here.
func (p *Parser) parseInvocation(verb string) {
	p.facts.Writes, p.facts.ChangesSession = true, true
	if verb != "do" {
		name := p.parseName("a procedure")
		if p.current().isOperator("(") {
			p.parseCall(name, "")
		} else {
			p.facts.addFunction(name)
		}
	}
	p.skipUntil()
}

// parseWrittenTables are tables that are written, with commas between them.
func (p *Parser) parseWrittenTables() {
	for {
		p.acceptWords("if", "exists")
		p.acceptWord("only")
		p.facts.addTable(p.parseName("a table"), Written)
		p.acceptOperator("*")
		if !p.acceptOperator(",") {
			return
		}
	}
}

// parseCreate is CREATE behind its first word.
func (p *Parser) parseCreate() {
	p.facts.Writes = true
	if p.acceptWords("or", "replace") {
		p.acceptWord("alter")
	}
	for p.acceptWord("global", "local", "temporary", "temp", "unlogged", "materialized", "recursive", "unique", "foreign",
		"external", "transient", "constraint") {
	}
	switch {
	case p.acceptWord("table", "view"):
		p.acceptWords("if", "not", "exists")
		p.facts.addTable(p.parseName("a table"), Written)
		p.skipUntil("as", "like")
		if p.acceptWord("like") {
			p.facts.addTable(p.parseName("a table"), Read)
		} else if p.acceptWord("as") && !p.current().isWord("execute") {
			p.parseQuery(true)
		}
	case p.acceptWord("index"):
		p.acceptWord("concurrently")
		p.acceptWords("if", "not", "exists")
		if !p.current().isWord("on") {
			p.parseName("an index")
		}
		p.expectWord("on")
		p.acceptWord("only")
		p.facts.addTable(p.parseName("a table"), Written)
	case p.current().Kind == lex.Word:
		p.position++
		p.acceptWords("if", "not", "exists")
		if p.current().isName() {
			p.facts.noteQualifiedName(p.next().text)
		}
	default:
		p.failExpected("what is to be created")
	}
	p.skipUntil()
}

// parseAlterOrDrop is ALTER or DROP behind its first word.
func (p *Parser) parseAlterOrDrop() {
	p.facts.Writes = true
	p.acceptWord("foreign", "materialized", "temporary", "external")
	switch {
	case p.acceptWord("table", "view"):
		p.parseWrittenTables()
	case p.current().Kind == lex.Word:
		p.position++
		p.acceptWord("concurrently")
		p.acceptWords("if", "exists")
		if p.current().isName() && !reservedWords[p.current().text] {
			p.facts.noteQualifiedName(p.parseName("a name"))
		}
	default:
		p.failExpected("what is to be changed")
	}
	p.skipUntil()
}

// parseMaintenance is work on tables that changes no row.
func (p *Parser) parseMaintenance() {
	p.facts.Writes = true
	p.acceptWord("materialized")
	for p.acceptWord("full", "freeze", "verbose", "analyze", "concurrently", "view", "table", "index", "schema", "database",
		"system") {
	}
	if p.current().isOperator("(") {
		p.skipParentheses()
	}
	p.acceptWord("table", "index", "schema")
	if p.current().isName() && !reservedWords[p.current().text] {
		p.parseWrittenTables()
	}
	p.skipUntil()
}
