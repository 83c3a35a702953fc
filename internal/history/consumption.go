package history

// The checks of budgets rest on the executions that engines started. A front end consumes a budget some while before an
// engine observes the start, and after the client sent the request. So a check reports a violation only where no times
// of consumption within those bounds keep the limit.

// Consumption is the consumption of a budget by one execution.
type Consumption struct {
	Event    Event // the start that an engine observed, before which it was consumed
	Earliest int64 // the earliest time at which it may have been consumed
	Units    float64
}

// Consumptions returns the consumption of a budget by all executions. units returns how much a start consumes, 0 if it
// does not count. within is the longest time between consumption and the start on an engine, in microseconds.
func Consumptions(events []Event, within int64, units func(start Event) float64) (consumptions []Consumption) {
	requestedAt := map[string]int64{}
	for _, event := range events {
		switch event.Kind {
		case RequestSent:
			requestedAt[event.CallID] = event.At
		case ExecutionStarted:
			if consumed := units(event); consumed > 0 {
				earliest := max(requestedAt[event.CallID], event.At-within)
				consumptions = append(consumptions, Consumption{Event: event, Earliest: earliest, Units: consumed})
			}
		}
	}
	return consumptions
}

// byDeadline is a heap of consumptions, ordered by the time before which each was consumed.
type byDeadline []Consumption

func (q byDeadline) Len() int           { return len(q) }
func (q byDeadline) Less(i, j int) bool { return q[i].Event.At < q[j].Event.At }
func (q byDeadline) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *byDeadline) Push(x any)        { *q = append(*q, x.(Consumption)) }
func (q *byDeadline) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
