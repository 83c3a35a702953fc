package syntax

import "chutechute/statement/lex"

// parseScript parses the whole text: statements separated by semicolons.
func (p *Parser) parseScript() {
	f := p.facts
	// Whether any statement so far writes, and whether any is not a control statement.
	anyWrites, anyNonControl := false, false
	for {
		for p.acceptOperator(";") {
		}
		if p.current().Kind == lex.EOF {
			break
		}
		writes, changesSession := f.Writes, f.ChangesSession // of the preceding statements
		f.Writes, f.ChangesSession = false, false
		verb := p.parseStatement()
		f.Statements++
		nonControl := !controlVerbs[verb]
		if f.Statements == 1 || nonControl && !anyNonControl || f.Writes && !anyWrites {
			f.Verb = verb
		}
		anyWrites, anyNonControl = anyWrites || f.Writes, anyNonControl || nonControl
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

// controlVerbs are the verbs of statements that control a session or a transaction. Such a statement determines the
// verb of a text only if no other statement does.
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

// parseSessionStatement parses a statement about the session, a transaction or a cursor after its verb.
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

// parsePrepare parses a PREPARE statement after its first word.
func (p *Parser) parsePrepare() {
	p.facts.ChangesSession = true
	p.parseName("a name")
	p.skipOptionalParentheses()
	p.expectWord("as")
	p.parseStatement()
}

// parseExplain parses an EXPLAIN statement after its first word. Without ANALYZE, the explained statement is only
// planned and writes nothing.
func (p *Parser) parseExplain() {
	analyze := false
	if p.current().isOperator("(") && !p.atQueryStart() {
		analyze = p.parseExplainOptions()
	} else {
		for p.current().isWord("analyze", "analyse", "verbose", "extended", "plan") {
			analyze = analyze || p.current().isWord("analyze", "analyse")
			p.position++
		}
		p.acceptWord("for")
	}
	p.parseStatement()
	if !analyze {
		p.facts.discardWrites()
	}
}

// parseExplainOptions parses the parenthesized options of EXPLAIN and reports whether ANALYZE is on.
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

// parseInvocation parses a procedure call or a code block after its verb. Its effects are unknown, so it counts as a
// write that changes the session.
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
