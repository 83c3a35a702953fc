package statement

import (
	"errors"

	"chutechute/statement/estimate"
	"chutechute/statement/syntax"
)

// Call is a statement with what its client has reported of it.
type Call struct {
	Text     []byte
	Class    int     // index of the class; negative: not reported
	Keyed    bool    // whether the call has an idempotency key
	CostMS   float64 // work on one core, in milliseconds; 0: not reported
	MemoryMB float64 // 0: not reported
}

// Completion is what is known of a call once its statement was read. What the client has reported takes precedence over
// what was found.
type Completion struct {
	Class            int     // index of the class
	CostMS           float64 // work on one core, in milliseconds
	CostUpperBoundMS float64 // upper bound of CostMS; CostMS itself where that was reported
	MemoryMB         float64
	TableGroup       int // of tables; 0 without one
	// NonIdempotent says that a second execution may do harm, whatever the class says.
	NonIdempotent bool
	// SingleAttempt says that no second attempt may be made, even where the first is known not to have run.
	SingleAttempt bool
	// CostEstimated says that CostMS is an estimate and was not reported.
	CostEstimated bool

	reading Reading // without an entry where the statement could not be parsed
}

// Facts returns what the statement does; nil where it could not be parsed.
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

// ErrNoRule is the error of a call without a class to whose statement no rule gives one.
var ErrNoRule = errors.New("op: not told, and no rule gives the statement a class")

// Complete reads a call's statement and decides what its client has not reported. An error, which is ErrNoRule or a
// *syntax.Error, is the call's response.
//
// A statement that changes something is Unsafe unless engines can recognize its repeat: in a keyed class, with the
// client's key. One that can't be parsed may be such a statement, so it is Unsafe too; if its class is reported the
// call goes on under that class, and otherwise the UnparsedPolicy decides.
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
	if !facts.Idempotent() {
		completion.NonIdempotent = !r.recognizesRepeats(call, completion.Class)
	}
	if call.CostMS == 0 {
		completion.setCost(r.Cost(&reading, completion.Class))
	}
	if call.MemoryMB == 0 {
		completion.MemoryMB = r.Memory(&reading, completion.Class).Value
	}
	return completion, nil
}

// completion returns a completion with what the client has reported, and the group.
func (c *Call) completion(group int) Completion {
	return Completion{
		Class: c.Class, CostMS: c.CostMS, CostUpperBoundMS: c.CostMS, MemoryMB: c.MemoryMB, TableGroup: group,
	}
}

// recognizesRepeats returns whether engines discard repeats of a call of a class.
func (r *Reader) recognizesRepeats(call Call, class int) bool {
	return call.Keyed && r.options.Classes[class].Keyed
}

// completeUnparsed completes a call whose statement can't be parsed, with the error that was found.
func (r *Reader) completeUnparsed(call Call, err error) (Completion, error) {
	completion := call.completion(scanTableGroup(string(call.Text)))
	completion.NonIdempotent = true
	if completion.Class < 0 {
		if r.options.UnparsedPolicy == RejectUnparsed {
			return Completion{}, err
		}
		completion.Class, completion.SingleAttempt = r.unparsedClass, true
	} else if r.recognizesRepeats(call, completion.Class) {
		completion.NonIdempotent = false // whatever it does, engines discard its repeat
	}
	if call.CostMS == 0 {
		completion.setCost(r.costByClass[completion.Class].Estimate())
	}
	if call.MemoryMB == 0 {
		completion.MemoryMB = r.memoryByClass[completion.Class].Estimate().Value
	}
	return completion, nil
}
