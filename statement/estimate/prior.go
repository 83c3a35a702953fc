package estimate

import (
	"math"

	"chutechute/statement/syntax"
)

// TableSize is the size of a table as configured by an operator.
type TableSize struct {
	Rows float64
	MB   float64
}

// Assumptions about statements of unmeasured shapes on tables of known sizes. They only have to be of the right order
// of magnitude, since a few measurements outweigh them.
const (
	scanMBPerMS         = 1.0 // one core reads a gigabyte a second
	writtenRowsPerMS    = 5000
	assumedWrittenRows  = 1000  // per table that a statement adds rows to
	minWorkMS           = 1.0   // minimum work of a statement
	equalSelectivity    = 0.001 // fraction of a table that an = or IN predicate selects
	rangeSelectivity    = 0.1   // fraction of a table that any other predicate selects
	operationCostFactor = 1.5   // factor for each join, sort or aggregate
	maxCostlyOperations = 6     // maximum number of operations that are taken into account
	workMemoryFraction  = 0.2   // of the data that is read, if there is a join, sort or aggregate
	minMemoryMB         = 4.0   // minimum memory of a statement
	priorBoundFactor    = 6.0   // ratio of the bound to the estimate
)

// Prior estimates the cost, in milliseconds on one core, and the memory, in MB, of a statement from the sizes of its
// tables. ok is false if the statement uses no table or the size of one is not known.
func Prior(facts *syntax.Facts, sizes func(name string) (TableSize, bool)) (cost, memory Estimate, ok bool) {
	readMB, tablesAddedTo, ok := tableAccess(facts, sizes)
	if !ok {
		return cost, memory, false
	}
	readMB *= selectivity(facts.Predicates)
	operations := facts.Joins + facts.Aggregates + facts.Sorts
	workMS := minWorkMS +
		readMB/scanMBPerMS*math.Pow(operationCostFactor, float64(min(operations, maxCostlyOperations))) +
		tablesAddedTo*assumedWrittenRows/writtenRowsPerMS
	cost = Estimate{workMS, workMS * priorBoundFactor}
	requiredMB := minMemoryMB
	if operations > 0 {
		requiredMB += workMemoryFraction * readMB
	}
	memory = Estimate{requiredMB, requiredMB * priorBoundFactor}
	return cost, memory, true
}

// tableAccess returns the total size, in MB, of the tables whose existing rows a statement reads or changes, and the
// number of tables that it only adds rows to. ok is false if the statement uses no table or a size is not known.
func tableAccess(
	facts *syntax.Facts, sizes func(name string) (TableSize, bool),
) (readMB, tablesAddedTo float64, ok bool) {
	tables := 0
	for _, table := range facts.Tables {
		if table.Role != syntax.Read && table.Role != syntax.Written {
			continue
		}
		size, known := sizes(table.Name)
		if !known {
			return 0, 0, false
		}
		tables++
		if table.Role == syntax.Written && addsOnly(facts.Verb) {
			tablesAddedTo++
		} else {
			readMB += size.MB
		}
	}
	return readMB, tablesAddedTo, tables > 0
}

// addsOnly reports whether the cost of a write depends on the rows that it adds and not on the size of the table.
func addsOnly(verb string) bool { return verb != "update" && verb != "delete" && verb != "merge" }

// selectivity returns the fraction of the tables that the most selective predicate selects.
func selectivity(predicates []syntax.Predicate) float64 {
	fraction := 1.0
	for _, predicate := range predicates {
		switch predicate.Op {
		case syntax.Equal, syntax.In:
			fraction = min(fraction, equalSelectivity)
		case syntax.Between, syntax.Greater, syntax.Less, syntax.Interval, syntax.Like:
			fraction = min(fraction, rangeSelectivity)
		}
	}
	return fraction
}
