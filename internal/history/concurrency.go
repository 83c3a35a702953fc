package history

import (
	"cmp"
	"fmt"
	"slices"
)

// usageChange is a change of the number of units in use, at the start or the end of an execution.
type usageChange struct {
	at    int64
	units float64 // negative at the end of an execution
	event Event
}

// CheckConcurrency returns a violation for each start at which the units in use on all engines together exceed the
// capacity. units returns the units that an execution uses from its start to its end, 0 if it is not counted.
// maxInUse is the highest number of units in use at any time.
func CheckConcurrency(events []Event, capacity float64, units func(start Event) float64) (
	violations []Violation, maxInUse float64,
) {
	inUse := 0.0
	for _, change := range usageChanges(events, units) {
		inUse += change.units
		maxInUse = max(maxInUse, inUse)
		if change.units > 0 && inUse > capacity {
			violations = append(violations, Violation{
				Anomaly: fmt.Sprintf("%g in use at a time where the capacity is %g", inUse, capacity),
				Events:  []Event{change.event},
			})
		}
	}
	return violations, maxInUse
}

// usageChanges returns the changes of the number of units in use, ordered by time. Among changes at the same time,
// ends come before starts. Changes that differ by less than one unit keep the order of their executions.
func usageChanges(events []Event, units func(start Event) float64) (list []usageChange) {
	for _, execution := range Executions(events) {
		if n := units(execution.Start); n > 0 {
			list = append(list,
				usageChange{execution.Start.At, n, execution.Start},
				usageChange{execution.endTime(), -n, execution.End})
		}
	}
	slices.SortStableFunc(list, func(a, b usageChange) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return int(min(1, max(-1, a.units-b.units)))
	})
	return list
}
