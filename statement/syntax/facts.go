package syntax

// Role is the way in which a statement uses a table.
type Role string

// The roles of tables.
const (
	Read     Role = "read"
	Written  Role = "written"
	CTE      Role = "cte"      // a common table expression, defined by a WITH clause
	Derived  Role = "derived"  // the alias of a subquery or a VALUES list
	Function Role = "function" // a function used as a table
)

// Table is a reference to a table in a statement.
type Table struct {
	Name string // with qualifiers; unquoted parts in lower case, quoted parts with their quotes
	Role Role
}

// Operator is the comparison that a predicate makes.
type Operator uint8

// The operators of predicates.
const (
	Equal Operator = iota + 1
	In
	Between
	Greater // > and >=
	Less    // < and <=
	Like
	Interval // an INTERVAL literal anywhere in a statement; the predicate has no column
)

// Predicate is a comparison of a column with values.
type Predicate struct {
	Column string
	Op     Operator
	// Value and Upper are the indexes, among the literals and parameters of the text, of the values that the column is
	// compared with. Value is the lower bound of Between and the first element of In. Upper is the upper bound of
	// Between and -1 for other operators.
	Value, Upper int
}

// Facts describes a text, which may contain several statements.
type Facts struct {
	// Verb is the first word of the main statement; for a statement that begins with WITH, the verb after the WITH
	// clause. REPLACE counts as insert. The main statement of a text is the first that writes. If none writes, it is
	// the first that does not control a session or a transaction, and if all do, the first.
	Verb   string
	Reads  bool // whether the text reads tables
	Writes bool // whether PostgreSQL rejects the text in a read-only transaction, as it does for row locks
	// ChangesSession is set if the text changes the state of a session or a transaction, or runs code that the parser
	// cannot see, so that running it twice may differ from running it once.
	ChangesSession bool
	Statements     int     // number of statements
	Tables         []Table // in the order of their first occurrence; each once per role
	Functions      []string
	Predicates     []Predicate
	LimitValue     int // index of the value of LIMIT, FETCH or TOP; -1 if there is none
	OffsetValue    int // index of the value of OFFSET; -1 if there is none
	Joins          int
	Subqueries     int
	Aggregates     int // GROUP BY, DISTINCT, window clauses and aggregate functions
	Sorts          int
	TableGroup     int // number of the table group, see function TableGroup; 0 if there is none

	fallbackGroup int // table group of the first qualified name that has one and is not a table
}

// Idempotent reports whether running the text twice has the same effect as running it once, as far as the parser knows.
func (f *Facts) Idempotent() bool { return !f.Writes && !f.ChangesSession }

// addTable records a table with a role. The table group of the text is that of its first table that has one, not
// counting CTEs and subqueries.
func (f *Facts) addTable(name string, role Role) {
	if group, ok := tableGroupOfName(name); ok && f.TableGroup == 0 && role != CTE && role != Derived {
		f.TableGroup = group
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

// discardWrites converts the facts to those of a statement that is planned but not executed: its written tables count
// as read.
func (f *Facts) discardWrites() {
	f.Writes, f.ChangesSession = false, false
	for i, t := range f.Tables {
		if t.Role == Written {
			f.Tables[i].Role, f.Reads = Read, true
		}
	}
}

// recordQualifiedName records the table group of a qualified name that is not a table. resolveTableGroup uses it for a
// text without tables.
func (f *Facts) recordQualifiedName(name string) {
	if f.fallbackGroup == 0 {
		f.fallbackGroup, _ = tableGroupOfName(name)
	}
}

// addFunction records the name of a called function.
func (f *Facts) addFunction(name string) {
	f.recordQualifiedName(name)
	for _, known := range f.Functions {
		if known == name {
			return
		}
	}
	if len(f.Functions) < maxNames {
		f.Functions = append(f.Functions, name)
	}
}

// resolveTableGroup sets the table group to fallbackGroup if the text neither reads nor writes a table.
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
