package history

import (
	"fmt"
	"strings"
)

// Breach is a violation of a guarantee, with the events that show it.
type Breach struct {
	Rule   string // what went wrong
	Events []Event
}

// String formats the violation: the rule, and one event a line.
func (b Breach) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:", b.Rule)
	for _, event := range b.Events {
		fmt.Fprintf(&text, "\n  %s", event)
	}
	return text.String()
}

// Around returns the last n events, at most, that have an idempotency key or a key in common with a violation.
func Around(events []Event, b Breach, n int) (related []Event) {
	idempotencyKeys := map[string]bool{}
	keys := map[string]bool{}
	for _, event := range b.Events {
		idempotencyKeys[event.Once] = true
		if event.Key != "" {
			keys[event.Key] = true
		}
	}
	for _, event := range events {
		if idempotencyKeys[event.Once] || keys[event.Key] {
			related = append(related, event)
		}
	}
	return related[max(0, len(related)-n):]
}
