package history

import "math"

// Run is one execution of a request on an engine.
type Run struct {
	Began Event
	Over  Event // the zero Event if it has not ended
}

// endTime returns when the execution ended, or a time after all events if it has not.
func (r Run) endTime() int64 {
	if r.Over.What == "" {
		return math.MaxInt64
	}
	return r.Over.At
}

// Runs returns the executions on all engines, in the order in which they started.
func Runs(events []Event) (executions []Run) {
	type executionID struct{ engine, call string }
	running := map[executionID]int{} // indexes into executions
	for _, event := range events {
		id := executionID{event.Engine, event.Call}
		switch event.What {
		case Began:
			running[id] = len(executions)
			executions = append(executions, Run{Began: event})
		case Ended, Deleted, Unasked:
			if i, ok := running[id]; ok {
				executions[i].Over = event
				delete(running, id)
			}
		}
	}
	return executions
}
