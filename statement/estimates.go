package statement

import (
	"chutechute/internal/monotime"
	"chutechute/statement/estimate"
)

// Classify returns the index of the class that the rules assign to a statement. ok is false if no rule applies.
func (r *Reader) Classify(reading *Reading) (class int, ok bool) {
	r.applyOptions(reading.entry)
	cost := func(class int) estimate.Estimate { return r.Cost(reading, class) }
	return r.rules.Classify(reading.entry.matchingRules, cost)
}

// Cost estimates the work of a statement, in milliseconds on one core. It uses the model of the statement's shape;
// without one it uses the sizes of the tables, and if these are not known, the mean cost of the given class.
func (r *Reader) Cost(reading *Reading, class int) estimate.Estimate {
	if model := reading.entry.cost; model != nil {
		return model.Predict(&reading.features)
	}
	if cost, _, ok := estimate.Prior(reading.entry.facts, r.tableSize); ok {
		return cost
	}
	return classEstimate(r.costByClass, class)
}

// Memory estimates the memory that a statement needs, in MB. It uses the same sources as Cost.
func (r *Reader) Memory(reading *Reading, class int) estimate.Estimate {
	if model := reading.entry.memory; model != nil {
		return model.Predict(&reading.features)
	}
	if _, memory, ok := estimate.Prior(reading.entry.facts, r.tableSize); ok {
		return memory
	}
	return classEstimate(r.memoryByClass, class)
}

// classEstimate returns the mean of a class as an estimate, or a zero Estimate if the index is out of range.
func classEstimate(means []estimate.Mean, class int) estimate.Estimate {
	if class < 0 || class >= len(means) {
		return estimate.Estimate{}
	}
	return means[class].Estimate()
}

// tableSize returns the configured size of a table.
func (r *Reader) tableSize(name string) (estimate.TableSize, bool) {
	size, ok := r.options.TableSizes[name]
	return size, ok
}

// Outcome is the measured cost and memory of a served query. A value of 0 means that it is not known.
type Outcome struct {
	CostMS   float64 // work on one core, in milliseconds
	Weight   float64 // reliability of CostMS, above 0 and at most 1
	MemoryMB float64
}

// Learn updates the models from the outcome of a query; now is in microseconds.
func (r *Reader) Learn(c *Completion, o Outcome, now monotime.Micros) {
	entry := c.reading.entry
	if entry == nil || c.Class < 0 || c.Class >= len(r.costByClass) {
		return
	}
	costModelAdded := r.learnCost(c, o, now)
	memoryModelAdded := r.learnMemory(c, o, now)
	r.counts.Learned++
	if costModelAdded || memoryModelAdded {
		r.cache.updateWeight(c.reading.fingerprint, entry)
	}
}

// learnCost learns the cost if it is known. It reports whether it has added a model to the shape.
func (r *Reader) learnCost(c *Completion, o Outcome, now monotime.Micros) (modelAdded bool) {
	if o.CostMS <= 0 || o.Weight <= 0 {
		return false
	}
	entry := c.reading.entry
	if entry.cost == nil {
		entry.cost = estimate.NewModel(&entry.plan, r.Cost(&c.reading, c.Class), now)
		modelAdded = true
	}
	entry.cost.Learn(&c.reading.features, o.CostMS, min(o.Weight, 1), now)
	r.costByClass[c.Class].Learn(o.CostMS)
	return modelAdded
}

// learnMemory learns the memory if it is known. It reports whether it has added a model to the shape.
func (r *Reader) learnMemory(c *Completion, o Outcome, now monotime.Micros) (modelAdded bool) {
	if o.MemoryMB <= 0 {
		return false
	}
	entry := c.reading.entry
	if entry.memory == nil {
		entry.memory = estimate.NewModel(&entry.plan, r.Memory(&c.reading, c.Class), now)
		modelAdded = true
	}
	entry.memory.Learn(&c.reading.features, o.MemoryMB, 1, now)
	r.memoryByClass[c.Class].Learn(o.MemoryMB)
	return modelAdded
}
