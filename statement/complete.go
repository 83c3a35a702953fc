package statement

import (
	"errors"

	"chutechute/statement/estimate"
	"chutechute/statement/syntax"
)

// Call is the statement of a request and what the client has reported about it.
type Call struct {
	Text     []byte
	Class    int     // index of the class; negative if not reported
	Keyed    bool    // whether the request has an idempotency key
	CostMS   float64 // work on one core, in milliseconds; 0 if not reported
	MemoryMB float64 // 0 if not reported
}

// Completion describes a request after its statement has been read. Values that the client has reported take precedence
// over those that were derived from the statement.
type Completion struct {
	Class            int     // index of the class
	CostMS           float64 // work on one core, in milliseconds
	CostUpperBoundMS float64 // upper bound of CostMS; equals CostMS if that was reported
	MemoryMB         float64
	TableGroup       int // 0 if the statement has none
	// NonIdempotent is set if a second execution may do harm, whatever the effect of the class.
	NonIdempotent bool
	// SingleAttempt is set if no second attempt may be made, even if the first is known not to have run.
	SingleAttempt bool
	// CostEstimated is set if CostMS is an estimate and was not reported by the client.
	CostEstimated bool

	reading Reading // without an entry if the statement could not be parsed
}

// Facts returns the facts that were found by parsing the statement, or nil if it could not be parsed.
func (c *Completion) Facts() *syntax.Facts {
	if c.reading.entry == nil {
		return nil
	}
	return c.reading.entry.facts
}

// setCost sets the cost to an estimate.
func (c *Completion) setCost(cost estimate.Estimate) {
	c.CostMS, c.CostUpperBoundMS, c.CostEstimated = cost.Value, cost.UpperBound, true
}

// ErrNoRule is returned for a request whose client reports no class and whose statement matches no rule.
var ErrNoRule = errors.New("op: not told, and no rule gives the statement a class")

// Complete reads the statement of a request and derives from it what the client has not reported. An error is ErrNoRule
// or a *syntax.Error; it is the final answer to the request.
//
// A statement that is not idempotent makes the request NonIdempotent, unless engines can recognize its repeats: the
// class has to be keyed and the request has to carry an idempotency key. The same goes for a statement that cannot be
// parsed, since it may change something. Its request is served under the reported class; without one, the
// UnparsedPolicy decides.
func (r *Reader) Complete(call Call) (Completion, error) {
	reading, err := r.Read(call.Text)
	if err != nil {
		return r.completeUnparsed(call, err)
	}
	facts := reading.entry.facts
	completion := call.completion(facts.TableGroup)
	completion.reading = reading
	if completion.Class < 0 {
		var ok bool
		if completion.Class, ok = r.Classify(&reading); !ok {
			return Completion{}, ErrNoRule
		}
	}
	completion.NonIdempotent = !facts.Idempotent() && !r.recognizesRepeats(call, completion.Class)
	if call.CostMS == 0 {
		completion.setCost(r.Cost(&reading, completion.Class))
	}
	if call.MemoryMB == 0 {
		completion.MemoryMB = r.Memory(&reading, completion.Class).Value
	}
	return completion, nil
}

// IsNonIdempotent reports whether a completion would be NonIdempotent under the present options, which may have been
// replaced since. Once a completion is, it stays so. keyed is Call.Keyed of its call.
func (r *Reader) IsNonIdempotent(c *Completion, keyed bool) bool {
	if c.NonIdempotent || c.reading.entry == nil {
		return c.NonIdempotent
	}
	r.applyOptions(c.reading.entry)
	return !c.Facts().Idempotent() && !r.recognizesRepeats(Call{Keyed: keyed}, c.Class)
}

// completion returns a completion with the values that the client has reported and the given table group.
func (c *Call) completion(group int) Completion {
	return Completion{
		Class: c.Class, CostMS: c.CostMS, CostUpperBoundMS: c.CostMS, MemoryMB: c.MemoryMB, TableGroup: group,
	}
}

// recognizesRepeats reports whether engines recognize and discard repeats of the request if it is of the given class.
func (r *Reader) recognizesRepeats(call Call, class int) bool {
	return call.Keyed && r.options.Classes[class].Keyed
}

// completeUnparsed completes a request whose statement cannot be parsed; err is the parser's error.
func (r *Reader) completeUnparsed(call Call, err error) (Completion, error) {
	completion := call.completion(scanTableGroup(string(call.Text)))
	completion.NonIdempotent = true
	if completion.Class < 0 {
		if r.options.UnparsedPolicy == RejectUnparsed {
			return Completion{}, err
		}
		completion.Class, completion.SingleAttempt = r.unparsedClass, true
	} else if r.recognizesRepeats(call, completion.Class) {
		completion.NonIdempotent = false // whatever the statement does, engines discard its repeats
	}
	if call.CostMS == 0 {
		completion.setCost(r.costByClass[completion.Class].Estimate())
	}
	if call.MemoryMB == 0 {
		completion.MemoryMB = r.memoryByClass[completion.Class].Estimate().Value
	}
	return completion, nil
}
