package syntax

import (
	"strconv"
	"strings"
)

// TableGroup returns the group of tables that a schema belongs to: the number behind the last underscore of its name,
// as 17 of sales_17. A schema without a number, such as staging, belongs to none.
func TableGroup(schema string) (group int, ok bool) {
	schema = unquote(schema)
	i := strings.LastIndexByte(schema, '_')
	if i < 0 {
		return 0, false
	}
	number, err := strconv.ParseUint(schema[i+1:], 10, tableGroupBits)
	return int(number), err == nil
}

// tableGroupBits is the size of the numbers of groups.
const tableGroupBits = 31

// tableGroupOfName returns the group that a qualified name gives by the part before its last.
func tableGroupOfName(name string) (int, bool) {
	lastDot, previousDot := -1, -1
	quote := byte(0) // that is open
	for i := range len(name) {
		switch c := name[i]; {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '"' || c == '`':
			quote = c
		case c == '.':
			previousDot, lastDot = lastDot, i
		}
	}
	if lastDot < 0 {
		return 0, false
	}
	return TableGroup(name[previousDot+1 : lastDot])
}
