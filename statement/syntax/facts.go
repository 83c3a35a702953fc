// Package syntax parses SQL statements far enough to know what they do: the verb, whether they read or write,
// every table in its role, and the predicates whose values tell of a statement's cost. It is a
// recursive-descent parser of PostgreSQL's grammar, wide enough for its neighbours; it checks neither types
// nor names, and what it accepts an engine may still refuse.
//
// Depth, length and time are bounded: the time is linear in the text.
package syntax

import (
	"fmt"
	"strconv"
	"strings"

	"chutechute/statement/lex"
)

// Role is how a statement uses a table that it names.
type Role string

// The roles.
const (
	Read     Role = "read"
	Written  Role = "written"
	CTE      Role = "cte"      // a name from a WITH clause
	Derived  Role = "derived"  // the alias of a subquery or of a VALUES list
	Function Role = "function" // a function in the place of a table
)

// Table is a table that a statement names.
type Table struct {
	Name string // as in the text, with dots; words in lower case, quoted names in their quotes
	Role Role
}

// Operator is what a predicate asks of its column.
type Operator uint8

// The operators of predicates.
const (
	Equal Operator = iota + 1
	In
	Between
	Greater // > and >=
	Less    // < and <=
	Like
	Interval // an interval anywhere in a condition
)

// Predicate is a comparison of a column with values.
type Predicate struct {
	Column string
	Op     Operator
	// Value and Upper are the places, among the statement's literals and parameters, of what the column is
	// compared with; Upper is that of the upper bound of Between and -1 otherwise.
	Value, Upper int
}

// Facts are what is known of a text, which may hold several statements.
type Facts struct {
	// Verb is the first word of the statement that counts: of several the first that writes, or else the
	// first that is no transaction control. WITH gives that of its main statement.
	Verb   string
	Reads  bool
	Writes bool // what PostgreSQL refuses in a read-only transaction, row locks included
	// ChangesSession says that the text changes the state of a session or a transaction, or runs what can't be seen
	// here, so that a second run is not the same as one.
	ChangesSession bool
	Statements     int
	Tables         []Table // in the order of the text, each with its roles once
	Functions      []string
	Predicates     []Predicate
	LimitValue     int // place of LIMIT's or FETCH's literal; -1 without one
	OffsetValue    int
	Joins          int
	Subqueries     int
	Aggregates     int // GROUP BY, DISTINCT, window clauses and aggregate functions
	Sorts          int
	TableGroup     int // of tables, see GroupOf; 0 without one

	fallbackGroup int // group of the first qualified name that is no table
}

// Repeatable says whether a second run of the text, as far as it can be seen here, changes nothing.
func (f *Facts) Repeatable() bool { return !f.Writes && !f.ChangesSession }

// Error says where a text could not be read.
type Error struct {
	Line, Column int // from 1; the column in bytes
	Message      string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// NewError places a message at a byte of a text.
func NewError(text string, at int, message string) *Error {
	line, column := lex.Position(text, at)
	return &Error{line, column, message}
}

// TableGroup is the group of tables that a schema name gives: the number behind its last underscore, as 17 in
// sales_17. The schema staging, and one without a number, gives none.
func TableGroup(schema string) (group int, ok bool) {
	if len(schema) > 1 && (schema[0] == '"' || schema[0] == '`') {
		schema = schema[1 : len(schema)-1]
	}
	i := strings.LastIndexByte(schema, '_')
	if i < 0 {
		return 0, false
	}
	n, err := strconv.ParseUint(schema[i+1:], 10, 31)
	return int(n), err == nil
}

// tableGroupOfName is the group that a qualified name gives by the part before its last.
func tableGroupOfName(name string) (int, bool) {
	last, quote := -1, byte(0)
	before := -1
	for i := range len(name) {
		switch c := name[i]; {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '"' || c == '`':
			quote = c
		case c == '.':
			before, last = last, i
		}
	}
	if last < 0 {
		return 0, false
	}
	return TableGroup(name[before+1 : last])
}

func (f *Facts) addTable(name string, role Role) {
	if g, ok := tableGroupOfName(name); ok && f.TableGroup == 0 && role != CTE && role != Derived {
		f.TableGroup = g
	}
	for _, t := range f.Tables {
		if t.Role == role && t.Name == name {
			return
		}
	}
	if len(f.Tables) < maxNames {
		f.Tables = append(f.Tables, Table{name, role})
	}
	switch role {
	case Read:
		f.Reads = true
	case Written:
		f.Writes = true
	}
}

// noteQualifiedName notes a qualified name that is no table: it gives the group of a text that names none.
func (f *Facts) noteQualifiedName(name string) {
	if f.fallbackGroup == 0 {
		f.fallbackGroup, _ = tableGroupOfName(name)
	}
}

func (f *Facts) addFunction(name string) {
	f.noteQualifiedName(name)
	for _, known := range f.Functions {
		if known == name {
			return
		}
	}
	if len(f.Functions) < maxNames {
		f.Functions = append(f.Functions, name)
	}
}

// resolveTableGroup gives the group by another name where no table has one.
func (f *Facts) resolveTableGroup() {
	if f.TableGroup != 0 {
		return
	}
	for _, t := range f.Tables {
		if t.Role == Read || t.Role == Written {
			return
		}
	}
	f.TableGroup = f.fallbackGroup
}
