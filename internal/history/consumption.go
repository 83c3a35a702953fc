package history

// The checks of budgets are based on the starts that engines observed. A front end consumes a budget at an unknown time
// between the client's sending of the request and the start on the engine. A check therefore reports a violation only
// if the limit is exceeded for all possible times of consumption within those bounds; CheckRate has an exception.

// Consumption is the consumption of a budget by one execution.
type Consumption struct {
	Event    Event // the start that an engine observed: the latest possible time of consumption
	Earliest int64 // the earliest possible time of consumption
	Units    float64
}

// Consumptions returns the consumption of a budget by each execution. units returns the units that a start consumes,
// 0 if it is not counted. within is the longest time between the consumption and the start on the engine, in
// microseconds.
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

// byDeadline is a heap of consumptions, ordered by the latest possible time of consumption.
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
