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
	scanMBPerMS  = 1.0   // one core reads a gigabyte a second
	rowsPerMS    = 5000  // that are written
	leastWork    = 1.0   // ms, of any statement
	equalShare   = 0.001 // of a table that a comparison with one value leaves
	rangeShare   = 0.1
	workMemory   = 0.2 // of what is read, for a sort, a join or an aggregate
	leastMemory  = 4.0 // MB
	priorScatter = 6.0 // the bound over the figure
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
			share = min(share, equalShare)
		case syntax.Between, syntax.Above, syntax.Below, syntax.Span, syntax.Like:
			share = min(share, rangeShare)
		}
	}
	read *= share
	work := leastWork + read/scanMBPerMS*math.Pow(1.5, float64(min(f.Joins+f.Aggregates+f.Sorts, 6))) +
		written*1000/rowsPerMS
	cost = Estimate{work, work * priorScatter}
	need := leastMemory
	if f.Joins+f.Aggregates+f.Sorts > 0 {
		need += workMemory * read
	}
	memory = Estimate{need, need * priorScatter}
	return cost, memory, true
}
