package history

import "fmt"

// CheckWindow finds windows, in microseconds, in which more than a total was consumed, whenever within its bounds each
// unit was consumed.
func CheckWindow(consumptions []Consumption, total float64, window int64) (violations []Violation) {
	for i, first := range consumptions {
		sum, earliest := 0.0, first.Earliest
		for _, consumption := range consumptions[i:] {
			earliest = min(earliest, consumption.Earliest)
			if consumption.Event.At-earliest >= window { // they may lie a window apart
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
