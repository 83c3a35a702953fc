package history

import (
	"fmt"
	"strings"
)

// Violation is a violation of a guarantee, with the events that show it.
type Violation struct {
	Anomaly string // what went wrong, in words
	Events  []Event
}

// String formats the violation: the anomaly, and one event a line.
func (v Violation) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:", v.Anomaly)
	for _, event := range v.Events {
		fmt.Fprintf(&text, "\n  %s", event)
	}
	return text.String()
}

// Around returns the last n events, at most, that have an idempotency key or an order key in common with a
// violation.
func Around(events []Event, violation Violation, n int) (related []Event) {
	idempotencyKeys := map[string]bool{}
	orderKeys := map[string]bool{}
	for _, event := range violation.Events {
		idempotencyKeys[event.Once] = true
		if event.Key != "" {
			orderKeys[event.Key] = true
		}
	}
	for _, event := range events {
		if idempotencyKeys[event.Once] || orderKeys[event.Key] {
			related = append(related, event)
		}
	}
	return related[max(0, len(related)-n):]
}
