package estimate

import (
	"math"

	"chutechute/statement/syntax"
)

// Sizes are what operators say of a table.
type Sizes struct {
	Rows float64
	MB   float64
}

// What a statement is held to do with tables of known sizes, before any was measured. They only have to be of
// the right order: a few outcomes outweigh them.
const (
	scanMBPerMS      = 1.0   // one core reads a gigabyte a second
	rowsPerMS        = 5000  // that are written
	minWorkMS        = 1.0   // ms, of any statement
	equalSelectivity = 0.001 // of a table that a comparison with one value leaves
	rangeSelectivity = 0.1
	workMemoryShare  = 0.2 // of what is read, for a sort, a join or an aggregate
	minMemoryMB      = 4.0 // MB
	priorBoundFactor = 6.0 // the bound over the figure
)

// Prior is the cost in milliseconds and the memory in MB of a statement by the sizes of its tables; ok is false
// where those of a table are not known.
func Prior(f *syntax.Facts, sizes func(name string) (Sizes, bool)) (cost, memory Estimate, ok bool) {
	read, written, tables := 0.0, 0.0, 0
	for _, t := range f.Tables {
		if t.Role != syntax.Read && t.Role != syntax.Written {
			continue
		}
		s, known := sizes(t.Name)
		if !known {
			return cost, memory, false
		}
		tables++
		if t.Role == syntax.Written && f.Verb != "update" && f.Verb != "delete" && f.Verb != "merge" {
			written += 1 // INSERT and its like cost by what they add, not by the table
		} else {
			read += s.MB
		}
	}
	if tables == 0 {
		return cost, memory, false
	}
	share := 1.0
	for _, q := range f.Predicates {
		switch q.Op {
		case syntax.Equal, syntax.In:
			share = min(share, equalSelectivity)
		case syntax.Between, syntax.Greater, syntax.Less, syntax.Interval, syntax.Like:
			share = min(share, rangeSelectivity)
		}
	}
	read *= share
	work := minWorkMS + read/scanMBPerMS*math.Pow(1.5, float64(min(f.Joins+f.Aggregates+f.Sorts, 6))) +
		written*1000/rowsPerMS
	cost = Estimate{work, work * priorBoundFactor}
	need := minMemoryMB
	if f.Joins+f.Aggregates+f.Sorts > 0 {
		need += workMemoryShare * read
	}
	memory = Estimate{need, need * priorBoundFactor}
	return cost, memory, true
}
