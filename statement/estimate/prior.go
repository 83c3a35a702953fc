package estimate

import (
	"math"

	"chutechute/statement/syntax"
)

// TableSize are an operator's figures of a table.
type TableSize struct {
	Rows float64
	MB   float64
}

// Assumptions about statements on tables of known sizes, before any was measured. They only have to be of the right
// order of magnitude: a few measurements outweigh them.
const (
	scanMBPerMS         = 1.0 // one core reads a gigabyte a second
	writtenRowsPerMS    = 5000
	assumedWrittenRows  = 1000  // of a statement, for each table that it adds to
	minWorkMS           = 1.0   // of any statement
	equalSelectivity    = 0.001 // share of a table that a comparison with one value leaves
	rangeSelectivity    = 0.1   // share that any other predicate leaves
	operationCostFactor = 1.5   // for each join, sort or aggregate
	maxCostlyOperations = 6     // that count
	workMemoryShare     = 0.2   // of what is read, for a sort, a join or an aggregate
	minMemoryMB         = 4.0   // of any statement
	priorBoundFactor    = 6.0   // the bound over the estimate
)

// Prior estimates the cost, in milliseconds on one core, and the memory, in MB, of a statement by the sizes of its
// tables. ok is false where the size of a table is not known.
func Prior(facts *syntax.Facts, sizes func(name string) (TableSize, bool)) (cost, memory Estimate, ok bool) {
	readMB, tablesAddedTo, ok := tableAccess(facts, sizes)
	if !ok {
		return cost, memory, false
	}
	readMB *= selectivity(facts.Predicates)
	operations := facts.Joins + facts.Aggregates + facts.Sorts
	work := minWorkMS +
		readMB/scanMBPerMS*math.Pow(operationCostFactor, float64(min(operations, maxCostlyOperations))) +
		tablesAddedTo*assumedWrittenRows/writtenRowsPerMS
	cost = Estimate{work, work * priorBoundFactor}
	need := minMemoryMB
	if operations > 0 {
		need += workMemoryShare * readMB
	}
	memory = Estimate{need, need * priorBoundFactor}
	return cost, memory, true
}

// tableAccess returns the MB of the tables that a statement reads or changes, and the number of those that it only adds
// to. ok is false where the statement uses no table or the size of one is not known.
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

// addsOnly returns whether a statement that writes costs by what it adds to a table and not by the table's size.
func addsOnly(verb string) bool { return verb != "update" && verb != "delete" && verb != "merge" }

// selectivity returns the share of the tables that is left by the most selective predicate.
func selectivity(predicates []syntax.Predicate) float64 {
	share := 1.0
	for _, predicate := range predicates {
		switch predicate.Op {
		case syntax.Equal, syntax.In:
			share = min(share, equalSelectivity)
		case syntax.Between, syntax.Greater, syntax.Less, syntax.Interval, syntax.Like:
			share = min(share, rangeSelectivity)
		}
	}
	return share
}
