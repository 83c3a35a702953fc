package history

import (
	"maps"
	"slices"
	"strings"
)

// minOutcomeRetention is the minimum time for which an outcome is retained under its idempotency key, in
// microseconds.
const minOutcomeRetention = 50_000_000

// ConcurrentRequestsOfKey is the anomaly of two requests with the same order key that run at the same time.
const ConcurrentRequestsOfKey = "two requests of a key at once"

// observations is the input of the checks of idempotent requests.
type observations struct {
	events     []Event // of requests with an idempotency key
	executions []Execution
	requests   map[string]Event // the RequestSent events, by call ID
}

// Check returns all violations of the guarantees for requests that are idempotent by key. Events without an
// idempotency key are ignored.
func Check(events []Event) (violations []Violation) {
	events = slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.IdempotencyKey == "" })
	observed := observations{events: events, executions: Executions(events), requests: map[string]Event{}}
	for _, event := range events {
		if event.Kind == RequestSent {
			observed.requests[event.CallID] = event
		}
	}
	for _, check := range []func(observations) []Violation{
		checkNoConcurrentAttempts, checkNoAttemptAfterOutcome, checkSingleOutcome, checkOutcomeRetained,
		checkRejectedNeverRan, checkOrderOfKeys,
	} {
		violations = append(violations, check(observed)...)
	}
	return violations
}

// checkNoConcurrentAttempts finds attempts of the same request that ran at the same time.
func checkNoConcurrentAttempts(o observations) (violations []Violation) {
	previous := map[string]Execution{}
	for _, execution := range o.executions {
		idempotencyKey := execution.Start.IdempotencyKey
		before, ok := previous[idempotencyKey]
		if ok && before.endTime() > execution.Start.At {
			violations = append(violations, Violation{
				Anomaly: "two attempts of a request at once",
				Events:  []Event{before.Start, execution.Start, before.End},
			})
		}
		previous[idempotencyKey] = execution
	}
	return violations
}

// checkNoAttemptAfterOutcome finds attempts that started after a client had received the result.
func checkNoAttemptAfterOutcome(o observations) (violations []Violation) {
	firstResponses := firstSuccessfulResponses(o.events)
	for _, execution := range o.executions {
		response, ok := firstResponses[execution.Start.IdempotencyKey]
		if ok && execution.Start.At > response.At {
			violations = append(violations, Violation{
				Anomaly: "an attempt after a client got the outcome",
				Events:  []Event{response, execution.Start},
			})
		}
	}
	return violations
}

// firstSuccessfulResponses returns the first successful response to each request, by idempotency key.
func firstSuccessfulResponses(events []Event) map[string]Event {
	first := map[string]Event{}
	for _, event := range events {
		if event.Kind != RequestEnded || event.Outcome != Succeeded {
			continue
		}
		if _, known := first[event.IdempotencyKey]; !known {
			first[event.IdempotencyKey] = event
		}
	}
	return first
}

// checkSingleOutcome finds responses whose rows differ from those of an earlier response to the same request, or
// were not produced by an execution that finished earlier.
func checkSingleOutcome(o observations) (violations []Violation) {
	finished := map[string][]Event{}
	for _, execution := range o.executions {
		if execution.End.Kind == ExecutionFinished {
			idempotencyKey := execution.Start.IdempotencyKey
			finished[idempotencyKey] = append(finished[idempotencyKey], execution.End)
		}
	}
	first := map[string]Event{}
	for _, event := range o.events {
		if event.Kind != RequestEnded || event.Outcome != Succeeded {
			continue
		}
		before, known := first[event.IdempotencyKey]
		if known && before.Body != event.Body {
			violations = append(violations, Violation{"two outcomes of a request", []Event{before, event}})
		}
		if known {
			continue
		}
		first[event.IdempotencyKey] = event
		if !hasSource(event, finished[event.IdempotencyKey]) {
			violations = append(violations, Violation{"rows that no engine produced", []Event{event}})
		}
	}
	return violations
}

// hasSource reports whether one of the finished executions produced the rows of a response. The rows begin with the
// call ID of the execution that produced them.
func hasSource(response Event, finished []Event) bool {
	return slices.ContainsFunc(finished, func(end Event) bool {
		return end.At <= response.At && strings.HasPrefix(response.Body, end.CallID)
	})
}

// checkOutcomeRetained finds calls that failed although the rows of the same request had been delivered before the
// call was sent. Such a call should return the same rows, or be rejected for the time being.
func checkOutcomeRetained(o observations) (violations []Violation) {
	delivered := map[string]Event{}
	for _, event := range o.events {
		if event.Kind != RequestEnded {
			continue
		}
		response, known := delivered[event.IdempotencyKey]
		request := o.requests[event.CallID]
		switch {
		case event.Outcome == Succeeded && !known:
			delivered[event.IdempotencyKey] = event
		case event.Outcome == Failed && known && request.At > response.At && event.At < response.At+minOutcomeRetention:
			violations = append(violations, Violation{
				Anomaly: "a delivered outcome was lost",
				Events:  []Event{response, request, event},
			})
		}
	}
	return violations
}

// checkRejectedNeverRan finds calls that were rejected although an engine executed them.
func checkRejectedNeverRan(o observations) (violations []Violation) {
	rejections := map[string]Event{}
	for _, event := range o.events {
		if event.Kind == RequestEnded && event.Outcome == Rejected {
			rejections[event.CallID] = event
		}
	}
	for _, execution := range o.executions {
		if rejection, ok := rejections[execution.Start.CallID]; ok {
			violations = append(violations, Violation{"a rejected call ran", []Event{rejection, execution.Start}})
		}
	}
	return violations
}

// checkOrderOfKeys finds requests with the same order key that ran at the same time, whichever front ends received
// them, and requests with the same order key that did not start in the order in which they were sent to one front end.
func checkOrderOfKeys(o observations) (violations []Violation) {
	firstCalls := o.firstCalls()
	byKey := map[string][]Execution{}
	for _, execution := range o.executions {
		if request, ok := o.requests[execution.Start.CallID]; ok && request.OrderKey != "" {
			byKey[request.OrderKey] = append(byKey[request.OrderKey], execution)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		executions := byKey[key]
		for i, earlier := range executions {
			for _, later := range executions[i+1:] {
				violations = append(violations, o.checkPairOfKey(earlier, later, firstCalls)...)
			}
		}
	}
	return violations
}

// checkPairOfKey checks two executions with the same order key; earlier started first. The order is checked only for
// the first call of each request, because a repeated call keeps the position of its request.
func (o observations) checkPairOfKey(earlier, later Execution, firstCalls map[string]Event) (violations []Violation) {
	if earlier.endTime() > later.Start.At && earlier.Start.IdempotencyKey != later.Start.IdempotencyKey {
		violations = append(violations, Violation{
			Anomaly: ConcurrentRequestsOfKey,
			Events:  []Event{earlier.Start, later.Start, earlier.End},
		})
	}
	a, b := o.requests[earlier.Start.CallID], o.requests[later.Start.CallID]
	areFirst := firstCalls[a.IdempotencyKey] == a && firstCalls[b.IdempotencyKey] == b
	if a.FrontEnd == b.FrontEnd && b.At < a.At && a.IdempotencyKey != b.IdempotencyKey && areFirst {
		violations = append(violations, Violation{
			Anomaly: "requests of a key out of the order in which one front end received them",
			Events:  []Event{b, a, earlier.Start, later.Start},
		})
	}
	return violations
}

// firstCalls returns the first call of each request, by idempotency key.
func (o observations) firstCalls() map[string]Event {
	first := map[string]Event{}
	for _, call := range o.requests {
		known, ok := first[call.IdempotencyKey]
		if !ok || call.At < known.At || call.At == known.At && call.CallID < known.CallID {
			first[call.IdempotencyKey] = call
		}
	}
	return first
}
