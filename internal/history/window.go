package history

import "fmt"

// CheckWindow returns a violation for each window, of the given length in microseconds, in which more than the total
// was consumed. The time of a consumption is known only within bounds; a violation is reported only if the total is
// exceeded for all possible times.
func CheckWindow(consumptions []Consumption, total float64, window int64) (violations []Violation) {
	for i, first := range consumptions {
		sum, earliest := 0.0, first.Earliest
		for _, consumption := range consumptions[i:] {
			earliest = min(earliest, consumption.Earliest)
			if consumption.Event.At-earliest >= window { // they may be a whole window apart
				break
			}
			sum += consumption.Units
		}
		if sum > total+roundingError {
			violations = append(violations, Violation{
				Anomaly: fmt.Sprintf("%g within a window where the total is %g", sum, total),
				Events:  []Event{first.Event},
			})
		}
	}
	return violations
}
