package syntax

// aggregates are functions that read all rows of what they are asked of.
var aggregates = set(`count sum avg min max array_agg string_agg json_agg jsonb_agg stddev variance percentile_cont
	percentile_disc mode every bool_and bool_or corr regr_slope group_concat listagg approx_count_distinct`)

// call is a function's arguments and what may follow them. The role is Function for one in the place of a
// table.
func (p *Parser) call(name string, role Role) {
	if role == Function {
		p.facts.table(name, Function)
	}
	p.facts.function(name)
	if aggregates[name] {
		p.facts.Aggregates++
	}
	p.enter()
	defer p.leave()
	p.need("(")
	if !p.cur().op(")") {
		if !p.special(name) {
			p.parameters()
		}
	}
	p.need(")")
	if p.words("within", "group") {
		p.need("(")
		if p.words("order", "by") {
			p.order()
		}
		p.need(")")
	}
	if p.cur().word("filter") && p.ahead(1).op("(") {
		p.at += 2
		p.needWord("where")
		p.expr()
		p.need(")")
	}
	if p.cur().word("ignore", "respect") && p.ahead(1).word("nulls") {
		p.at += 2
	}
	if p.word("over") {
		p.facts.Aggregates++
		if p.cur().op("(") {
			p.window()
		} else {
			p.name("a window")
		}
	}
}

// parameters are ordinary arguments.
func (p *Parser) parameters() {
	p.word("distinct", "all")
	p.word("variadic")
	if p.begins() {
		p.facts.Subqueries++
		p.query(false)
	} else {
		p.expr()
	}
	for p.op(",") {
		p.word("variadic")
		p.expr()
		if p.op("=>") || p.op(":=") {
			p.expr()
		}
	}
	if p.words("order", "by") {
		p.order()
	}
	if p.word("separator") {
		p.expr()
	}
	if p.word("on") { // listagg's ON OVERFLOW, JSON's ON ERROR
		p.skip()
	}
}

// special takes the arguments of functions with a syntax of their own.
func (p *Parser) special(name string) bool {
	switch name {
	case "extract":
		p.next()
		p.needWord("from")
		p.expr()
	case "substring", "overlay", "position":
		p.sum()
		switch {
		case p.word("in"):
			p.sum()
		case p.op(","):
			p.list()
		default:
			for p.word("placing", "from", "for", "similar", "escape") {
				p.sum()
			}
		}
	case "trim":
		p.word("leading", "trailing", "both")
		if !p.cur().word("from") {
			p.sum()
		}
		if p.word("from") {
			p.sum()
		}
		if p.op(",") {
			p.list()
		}
	case "xmlelement", "xmlforest", "xmlparse", "xmltable", "json_table", "json_query", "json_value", "json_exists",
		"json_object", "json_array", "json_objectagg", "json_arrayagg", "xmlserialize", "xmlagg":
		p.skip()
	default:
		return false
	}
	return true
}

// window is a window's definition in parentheses.
func (p *Parser) window() {
	p.need("(")
	if !p.cur().op(")") && !p.cur().word("partition", "order", "rows", "range", "groups") {
		p.name("a window")
	}
	if p.words("partition", "by") {
		p.list()
	}
	if p.words("order", "by") {
		p.order()
	}
	if p.word("rows", "range", "groups") {
		if p.word("between") {
			p.bound()
			p.needWord("and")
		}
		p.bound()
		if p.word("exclude") {
			if !p.words("current", "row") && !p.words("no", "others") {
				p.needWord("group", "ties")
			}
		}
	}
	p.need(")")
}

// bound is one end of a window's frame.
func (p *Parser) bound() {
	if p.words("current", "row") {
		return
	}
	if !p.word("unbounded") {
		p.sum()
	}
	p.needWord("preceding", "following")
}
