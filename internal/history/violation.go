package history

import (
	"fmt"
	"strings"
)

// Violation is a violation of a guarantee, with the events that prove it.
type Violation struct {
	Anomaly string // description of what went wrong
	Events  []Event
}

// String formats the violation: the anomaly, followed by one event per line.
func (v Violation) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:", v.Anomaly)
	for _, event := range v.Events {
		fmt.Fprintf(&text, "\n  %s", event)
	}
	return text.String()
}

// RelatedEvents returns the last n events, or fewer, that share an idempotency key or an order key with the events of a
// violation.
func RelatedEvents(events []Event, violation Violation, n int) (related []Event) {
	idempotencyKeys := map[string]bool{}
	orderKeys := map[string]bool{}
	for _, event := range violation.Events {
		idempotencyKeys[event.IdempotencyKey] = true
		if event.OrderKey != "" {
			orderKeys[event.OrderKey] = true
		}
	}
	for _, event := range events {
		if idempotencyKeys[event.IdempotencyKey] || orderKeys[event.OrderKey] {
			related = append(related, event)
		}
	}
	return related[max(0, len(related)-n):]
}
