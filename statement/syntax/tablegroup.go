package syntax

import (
	"strconv"
	"strings"
)

// TableGroup returns the table group that a schema belongs to: the number after the last underscore of its name, such
// as 17 for sales_17. A schema without a number, such as staging, belongs to no table group.
func TableGroup(schema string) (group int, ok bool) {
	schema = unquote(schema)
	i := strings.LastIndexByte(schema, '_')
	if i < 0 {
		return 0, false
	}
	number, err := strconv.ParseUint(schema[i+1:], 10, tableGroupBits)
	return int(number), err == nil
}

// tableGroupBits limits the number of a table group to 31 bits.
const tableGroupBits = 31

// tableGroupOfName returns the table group of a qualified name, whose schema is the part before the last.
func tableGroupOfName(name string) (int, bool) {
	lastDot, previousDot := -1, -1
	quote := byte(0) // the open quote, or 0
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
