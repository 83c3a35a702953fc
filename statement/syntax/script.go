package syntax

import "chutechute/statement/lex"

// parseScript parses the whole text: statements with semicolons between them.
func (p *Parser) parseScript() {
	f := p.facts
	verbWrites, verbDecides := false, false // whether f.Verb is of a statement that writes; of no transaction control
	for {
		for p.acceptOperator(";") {
		}
		if p.current().Kind == lex.EOF {
			break
		}
		writes, changesSession := f.Writes, f.ChangesSession // of the statements before
		f.Writes, f.ChangesSession = false, false
		verb := p.parseStatement()
		f.Statements++
		decides := !controlVerbs[verb]
		if f.Statements == 1 || decides && !verbDecides || f.Writes && !verbWrites {
			f.Verb = verb
		}
		verbWrites, verbDecides = verbWrites || f.Writes, verbDecides || decides
		f.Writes, f.ChangesSession = f.Writes || writes, f.ChangesSession || changesSession
		if !p.current().isOperator(";") && p.current().Kind != lex.EOF {
			p.failExpected("the end of the statement")
		}
		p.visibleCTEs = p.visibleCTEs[:0]
	}
	if f.Statements == 0 {
		p.failExpected("a statement")
	}
}

// controlVerbs are verbs of sessions and transactions, which do not decide the verb of a text.
var controlVerbs = wordSet("begin start commit end rollback abort savepoint release set reset discard")

// parseStatement parses one statement and returns its verb.
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
		p.parseSessionStatement(verb)
	case "prepare":
		p.parsePrepare()
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

// parseSessionStatement parses a statement about the session, a transaction or a cursor behind its verb.
func (p *Parser) parseSessionStatement(verb string) {
	p.facts.ChangesSession = true
	if verb == "declare" {
		p.skipUntil("select", "with", "values")
		if !p.atQueryEnd() {
			p.parseQuery(true)
		}
	}
	p.skipUntil()
}

// parsePrepare parses PREPARE behind its first word.
func (p *Parser) parsePrepare() {
	p.facts.ChangesSession = true
	p.parseName("a name")
	p.skipOptionalParentheses()
	p.expectWord("as")
	p.parseStatement()
}

// parseExplain parses EXPLAIN behind its first word. The statement is only planned unless it is to ANALYZE it.
func (p *Parser) parseExplain() {
	runs := false
	if p.current().isOperator("(") && !p.atQueryStart() {
		runs = p.parseExplainOptions()
	} else {
		for p.current().isWord("analyze", "analyse", "verbose", "extended", "plan") {
			runs = runs || p.current().isWord("analyze", "analyse")
			p.position++
		}
		p.acceptWord("for")
	}
	p.parseStatement()
	if !runs {
		p.facts.discardWrites()
	}
}

// parseExplainOptions parses the options of EXPLAIN in parentheses and returns whether ANALYZE is on.
func (p *Parser) parseExplainOptions() (analyze bool) {
	p.expectOperator("(")
	for {
		option := p.next()
		on := true
		if !p.current().isOperator(",") && !p.current().isOperator(")") {
			value := p.next()
			on = !value.isWord("false", "off") && value.text != "0"
		}
		if option.isWord("analyze", "analyse") {
			analyze = on
		}
		if !p.acceptOperator(",") {
			break
		}
	}
	p.expectOperator(")")
	return analyze
}

// parseInvocation parses a call of a procedure or a block of code, whose effects are not known.
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
