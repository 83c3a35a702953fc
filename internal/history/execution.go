package history

import "math"

// Execution is the execution of one attempt on an engine.
type Execution struct {
	Start Event
	End   Event // the zero Event if the execution has not ended
}

// endTime returns the time at which the execution ended, or a time after all events if it has not ended.
func (e Execution) endTime() int64 {
	if e.End.Kind == "" {
		return math.MaxInt64
	}
	return e.End.At
}

// Executions returns the executions on all engines, in the order in which they started.
func Executions(events []Event) (executions []Execution) {
	type executionID struct{ engine, call string }
	running := map[executionID]int{} // indexes into executions
	for _, event := range events {
		id := executionID{event.Engine, event.CallID}
		switch event.Kind {
		case ExecutionStarted:
			running[id] = len(executions)
			executions = append(executions, Execution{Start: event})
		case ExecutionFinished, ExecutionCanceled, ExecutionAbandoned:
			if i, ok := running[id]; ok {
				executions[i].End = event
				delete(running, id)
			}
		}
	}
	return executions
}
