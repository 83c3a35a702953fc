package syntax

import "chutechute/statement/lex"

// parseCreate parses a CREATE statement after its first word.
func (p *Parser) parseCreate() {
	p.facts.Writes = true
	if p.acceptWords("or", "replace") {
		p.acceptWord("alter")
	}
	for p.acceptWord("global", "local", "temporary", "temp", "unlogged", "materialized", "recursive", "unique",
		"foreign", "external", "transient", "constraint") {
	}
	switch {
	case p.acceptWord("table", "view"):
		p.parseCreateTable()
	case p.acceptWord("index"):
		p.parseCreateIndex()
	case p.current().Kind == lex.Word:
		p.position++
		p.acceptWords("if", "not", "exists")
		if p.current().isName() {
			p.facts.recordQualifiedName(p.next().text)
		}
	default:
		p.failExpected("what is to be created")
	}
	p.skipUntil()
}

// parseCreateTable parses CREATE TABLE or CREATE VIEW after these words, including the query of the view or of CREATE
// TABLE AS.
func (p *Parser) parseCreateTable() {
	p.acceptWords("if", "not", "exists")
	p.facts.addTable(p.parseName("a table"), Written)
	p.skipUntil("as", "like")
	if p.acceptWord("like") {
		p.facts.addTable(p.parseName("a table"), Read)
	} else if p.acceptWord("as") && !p.current().isWord("execute") {
		p.parseQuery(true)
	}
}

// parseCreateIndex parses CREATE INDEX after these words.
func (p *Parser) parseCreateIndex() {
	p.acceptWord("concurrently")
	p.acceptWords("if", "not", "exists")
	if !p.current().isWord("on") {
		p.parseName("an index")
	}
	p.expectWord("on")
	p.acceptWord("only")
	p.facts.addTable(p.parseName("a table"), Written)
}

// parseAlterOrDrop parses an ALTER or DROP statement after its first word.
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
			p.facts.recordQualifiedName(p.parseName("a name"))
		}
	default:
		p.failExpected("what is to be changed")
	}
	p.skipUntil()
}

// parseMaintenance parses a statement that maintains tables without changing rows, such as VACUUM, after its first
// word.
func (p *Parser) parseMaintenance() {
	p.facts.Writes = true
	p.acceptWord("materialized")
	for p.acceptWord("full", "freeze", "verbose", "analyze", "concurrently", "view", "table", "index", "schema",
		"database", "system") {
	}
	p.skipOptionalParentheses()
	p.acceptWord("table", "index", "schema")
	if p.current().isName() && !reservedWords[p.current().text] {
		p.parseWrittenTables()
	}
	p.skipUntil()
}

// parseWrittenTables parses a list of tables and records them as written.
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
