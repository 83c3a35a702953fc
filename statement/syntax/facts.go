package syntax

// Role is how a statement uses a table that it names.
type Role string

// The roles of tables.
const (
	Read     Role = "read"
	Written  Role = "written"
	CTE      Role = "cte"      // a name from a WITH clause
	Derived  Role = "derived"  // the alias of a subquery or of a VALUES list
	Function Role = "function" // a function in place of a table
)

// Table is a table that a statement names.
type Table struct {
	Name string // as in the text, with dots; words in lower case, quoted names in their quotes
	Role Role
}

// Operator is how a predicate compares its column with values.
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
	// Value and Upper are indexes, among the statement's literals and parameters, of what the column is compared
	// with. Upper is that of the upper bound of Between, and -1 otherwise.
	Value, Upper int
}

// Facts is what is known of a text, which may hold several statements.
type Facts struct {
	// Verb is the first word of the statement that decides: of several the first that writes, or else the first
	// that is no transaction control. Of a WITH it is that of the main statement.
	Verb   string
	Reads  bool // whether it reads tables
	Writes bool // whether PostgreSQL refuses the text in a read-only transaction; row locks count too
	// ChangesSession says that the text changes the state of a session or a transaction, or runs code that can't be
	// seen here, so that two runs differ from one.
	ChangesSession bool
	Statements     int     // the number of statements
	Tables         []Table // in the order of the text, each once in each of its roles
	Functions      []string
	Predicates     []Predicate
	LimitValue     int // index of the value of LIMIT or FETCH; -1 without one
	OffsetValue    int // index of the value of OFFSET; -1 without one
	Joins          int
	Subqueries     int
	Aggregates     int // GROUP BY, DISTINCT, window clauses and aggregate functions
	Sorts          int
	TableGroup     int // see the function TableGroup; 0 without one

	fallbackGroup int // group of the first qualified name that is no table
}

// Idempotent returns whether a second run of the text, as far as it can be seen here, changes nothing.
func (f *Facts) Idempotent() bool { return !f.Writes && !f.ChangesSession }

// addTable records a table in a role. The first one with a group, unless it is a CTE or a subquery, gives the group of
// the text.
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

// discardWrites makes the facts those of a statement that is planned but not run: it only reads.
func (f *Facts) discardWrites() {
	f.Writes, f.ChangesSession = false, false
	for i, t := range f.Tables {
		if t.Role == Written {
			f.Tables[i].Role, f.Reads = Read, true
		}
	}
}

// noteQualifiedName records the group of a qualified name that is no table. It is the group of a text whose tables
// have none.
func (f *Facts) noteQualifiedName(name string) {
	if f.fallbackGroup == 0 {
		f.fallbackGroup, _ = tableGroupOfName(name)
	}
}

// addFunction records the name of a function that is called.
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

// resolveTableGroup takes the group from another qualified name where the text names no table.
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
