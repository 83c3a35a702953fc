package statement

import (
	"errors"

	"chutechute/internal/monotime"
	"chutechute/statement/estimate"
	"chutechute/statement/syntax"
)

// Call is what a client has told of a statement.
type Call struct {
	Text     []byte
	Class    int // -1: not told
	Keyed    bool
	CostMS   float64 // work on one core; 0: not told
	MemoryMB float64
}

// Completion is what is known of a call once its statement was read. What the client told stands before what
// was found.
type Completion struct {
	Class      int
	CostMS     float64
	CostHighMS float64
	MemoryMB   float64
	Group      int
	// Unsafe says that a second execution may do harm, whatever the class says.
	Unsafe bool
	// Single says that no second attempt is to be made, even where the first is known not to have run.
	Single bool
	// Guessed says that CostMS was not told.
	Guessed bool

	reading Reading // without an entry where the statement could not be read
}

// ErrNoRule says that no rule gives a class to a statement.
var ErrNoRule = errors.New("op: not told, and no rule gives the statement a class")

// Complete reads a call's statement and decides what is not told of it. An error is the call's one answer.
//
// A statement that changes something is Unsafe unless engines can tell its repeat: in a keyed class, with the
// client's key. One that can't be read may be such a one, so it is Unsafe too; where its class is told the call
// goes on under it, and else by the setting for such statements.
func (r *Reader) Complete(c Call) (Completion, error) {
	reading, err := r.Read(c.Text)
	if err != nil {
		return r.completeUnparsed(c, err)
	}
	facts := reading.entry.facts
	out := Completion{Class: c.Class, CostMS: c.CostMS, CostHighMS: c.CostMS, MemoryMB: c.MemoryMB,
		Group: facts.TableGroup, reading: reading}
	if out.Class < 0 {
		var ok bool
		if out.Class, ok = r.Classify(&reading); !ok {
			return Completion{}, ErrNoRule
		}
	}
	if !facts.Repeatable() {
		out.Unsafe = !(r.options.Classes[out.Class].Keyed && c.Keyed)
	}
	if c.CostMS == 0 {
		cost := r.Cost(&reading, out.Class)
		out.CostMS, out.CostHighMS, out.Guessed = cost.Value, cost.High, true
	}
	if c.MemoryMB == 0 {
		out.MemoryMB = r.Memory(&reading, out.Class).Value
	}
	return out, nil
}

// completeUnparsed decides on a statement that can't be read.
func (r *Reader) completeUnparsed(c Call, fault error) (Completion, error) {
	out := Completion{Class: c.Class, CostMS: c.CostMS, CostHighMS: c.CostMS, MemoryMB: c.MemoryMB,
		Group: scanTableGroup(string(c.Text)), Unsafe: true}
	if out.Class < 0 {
		if r.options.Unparsed == RejectUnparsed {
			return Completion{}, fault
		}
		out.Class, out.Single = r.unparsedClass, true
	} else if c.Keyed && r.options.Classes[out.Class].Keyed {
		out.Unsafe = false // whatever it does, engines discard its repeat
	}
	if c.CostMS == 0 {
		cost := r.costByClass[out.Class].Estimate()
		out.CostMS, out.CostHighMS, out.Guessed = cost.Value, cost.High, true
	}
	if c.MemoryMB == 0 {
		out.MemoryMB = r.memoryByClass[out.Class].Estimate().Value
	}
	return out, nil
}

// Classify gives a statement its class by the rules; false where none holds.
func (r *Reader) Classify(reading *Reading) (class int, ok bool) {
	r.updateMatchingRules(reading.entry)
	return r.rules.Classify(reading.entry.matchingRules, func(class int) estimate.Estimate { return r.Cost(reading, class) })
}

// Cost is the work in milliseconds on one core of a statement as one of a class: by what was learned of its
// shape, or else by the sizes of its tables, or else by the class.
func (r *Reader) Cost(reading *Reading, class int) estimate.Estimate {
	if m := reading.entry.cost; m != nil {
		return m.Predict(&reading.features)
	}
	if cost, _, ok := estimate.Prior(reading.entry.facts, r.tableSizes); ok {
		return cost
	}
	if class < 0 || class >= len(r.costByClass) {
		return estimate.Estimate{}
	}
	return r.costByClass[class].Estimate()
}

// Memory is the memory in MB that a statement needs, found likewise.
func (r *Reader) Memory(reading *Reading, class int) estimate.Estimate {
	if m := reading.entry.memory; m != nil {
		return m.Predict(&reading.features)
	}
	if _, memory, ok := estimate.Prior(reading.entry.facts, r.tableSizes); ok {
		return memory
	}
	if class < 0 || class >= len(r.memoryByClass) {
		return estimate.Estimate{}
	}
	return r.memoryByClass[class].Estimate()
}

func (r *Reader) tableSizes(name string) (estimate.Sizes, bool) {
	s, ok := r.options.Tables[name]
	return s, ok
}

// Outcome is what a served query turned out to need; 0 where that is not known.
type Outcome struct {
	CostMS   float64 // work on one core
	Weight   float64 // of CostMS, above 0 and 1 at most
	MemoryMB float64
}

// Learn takes the outcome of a call of that class.
func (r *Reader) Learn(c *Completion, o Outcome, now monotime.Micros) {
	e := c.reading.entry
	if e == nil || c.Class < 0 || c.Class >= len(r.costByClass) {
		return
	}
	grown := false
	learn := func(m **estimate.Model, mean *estimate.Mean, value, weight float64, prior func() estimate.Estimate) {
		if value <= 0 || weight <= 0 {
			return
		}
		if *m == nil {
			*m, grown = estimate.NewModel(&e.plan, prior(), now), true
		}
		(*m).Learn(&c.reading.features, value, min(weight, 1), now)
		mean.Learn(value)
	}
	learn(&e.cost, &r.costByClass[c.Class], o.CostMS, o.Weight,
		func() estimate.Estimate { return r.Cost(&c.reading, c.Class) })
	learn(&e.memory, &r.memoryByClass[c.Class], o.MemoryMB, 1,
		func() estimate.Estimate { return r.Memory(&c.reading, c.Class) })
	r.counts.Learned++
	if grown {
		r.cache.updateWeight(c.reading.fingerprint, e)
	}
}

// Facts is what the statement does; nil where it could not be read.
func (c *Completion) Facts() *syntax.Facts {
	if c.reading.entry == nil {
		return nil
	}
	return c.reading.entry.facts
}
