package history_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
)

const second = 1_000_000 // µs

// sent, ended and onEngine return events of the histories below. Times are in seconds.

func sent(at int64, frontEnd, call, idempotencyKey, orderKey string) history.Event {
	return history.Event{
		At: at * second, Kind: history.RequestSent, FrontEnd: frontEnd, CallID: call, IdempotencyKey: idempotencyKey,
		OrderKey: orderKey,
	}
}

func ended(at int64, call, idempotencyKey, outcome, body string) history.Event {
	return history.Event{
		At: at * second, Kind: history.RequestEnded, CallID: call, IdempotencyKey: idempotencyKey,
		Outcome: outcome, Body: body,
	}
}

func onEngine(at int64, kind, call, idempotencyKey string) history.Event {
	return history.Event{At: at * second, Kind: kind, Engine: "engine", CallID: call, IdempotencyKey: idempotencyKey}
}

func TestCheckAcceptsACorrectHistory(t *testing.T) {
	assert.Empty(t, history.Check([]history.Event{
		sent(1, "a", "call-1", "request-1", "key"),
		onEngine(2, history.ExecutionStarted, "call-1", "request-1"),
		onEngine(3, history.ExecutionFinished, "call-1", "request-1"),
		ended(4, "call-1", "request-1", history.Succeeded, "call-1 rows"),
		sent(5, "b", "call-2", "request-1", "key"),
		ended(6, "call-2", "request-1", history.Succeeded, "call-1 rows"),
		sent(7, "b", "call-3", "request-2", "key"),
		onEngine(8, history.ExecutionStarted, "call-3", "request-2"),
		onEngine(9, history.ExecutionFinished, "call-3", "request-2"),
	}))
}

func TestCheckFindsEachAnomalyOfIdempotentRequests(t *testing.T) {
	for _, test := range []struct {
		anomaly string
		events  []history.Event
	}{
		{"two attempts of a request at once", []history.Event{
			onEngine(1, history.ExecutionStarted, "call-1", "request"),
			onEngine(2, history.ExecutionStarted, "call-2", "request"),
			onEngine(3, history.ExecutionFinished, "call-1", "request"),
		}},
		{"an attempt after a client got the outcome", []history.Event{
			onEngine(1, history.ExecutionStarted, "call-1", "request"),
			onEngine(2, history.ExecutionFinished, "call-1", "request"),
			ended(3, "call-1", "request", history.Succeeded, "call-1 rows"),
			onEngine(4, history.ExecutionStarted, "call-2", "request"),
		}},
		{"two outcomes of a request", []history.Event{
			onEngine(1, history.ExecutionStarted, "call-1", "request"),
			onEngine(2, history.ExecutionFinished, "call-1", "request"),
			ended(3, "call-1", "request", history.Succeeded, "call-1 rows"),
			ended(4, "call-2", "request", history.Succeeded, "call-1 other rows"),
		}},
		{"rows that no engine produced", []history.Event{
			onEngine(1, history.ExecutionStarted, "call-1", "request"),
			onEngine(2, history.ExecutionCanceled, "call-1", "request"),
			ended(3, "call-1", "request", history.Succeeded, "call-1 rows"),
		}},
		{"a delivered outcome was lost", []history.Event{
			onEngine(1, history.ExecutionStarted, "call-1", "request"),
			onEngine(2, history.ExecutionFinished, "call-1", "request"),
			ended(3, "call-1", "request", history.Succeeded, "call-1 rows"),
			sent(4, "a", "call-2", "request", ""),
			ended(5, "call-2", "request", history.Failed, ""),
		}},
		{"a rejected call ran", []history.Event{
			ended(1, "call-1", "request", history.Rejected, ""),
			onEngine(2, history.ExecutionStarted, "call-1", "request"),
		}},
		{history.ConcurrentRequestsOfKey, []history.Event{
			sent(1, "a", "call-1", "request-1", "key"),
			sent(1, "b", "call-2", "request-2", "key"),
			onEngine(2, history.ExecutionStarted, "call-1", "request-1"),
			onEngine(3, history.ExecutionStarted, "call-2", "request-2"),
			onEngine(4, history.ExecutionFinished, "call-1", "request-1"),
		}},
		{"requests of a key out of the order in which one front end received them", []history.Event{
			sent(1, "a", "call-1", "request-1", "key"),
			sent(2, "a", "call-2", "request-2", "key"),
			onEngine(3, history.ExecutionStarted, "call-2", "request-2"),
			onEngine(4, history.ExecutionFinished, "call-2", "request-2"),
			onEngine(5, history.ExecutionStarted, "call-1", "request-1"),
		}},
	} {
		t.Run(test.anomaly, func(t *testing.T) {
			violations := history.Check(test.events)
			require.Len(t, violations, 1)
			assert.Equal(t, test.anomaly, violations[0].Anomaly)
			assert.Subset(t, test.events, violations[0].Events)
		})
	}
}

func oneUnit(history.Event) float64 { return 1 }

// twoStarts returns two executions that start at the given times, in microseconds, and last one second.
func twoStarts(first, next int64) []history.Event {
	return []history.Event{
		{At: first, Kind: history.ExecutionStarted, CallID: "call-1"},
		{At: next, Kind: history.ExecutionStarted, CallID: "call-2"},
		{At: first + second, Kind: history.ExecutionFinished, CallID: "call-1"},
		{At: next + second, Kind: history.ExecutionFinished, CallID: "call-2"},
	}
}

func TestCheckRateAllowsOnlyWhatTheBucketHolds(t *testing.T) {
	const within = 100_000 // µs
	apart := func(gap int64) []history.Consumption {
		return history.Consumptions(twoStarts(10*second, 10*second+gap), within, oneUnit)
	}
	// At a rate of one per second, the second token is available one second after the first was taken. Each may be
	// taken up to 0.1 s before the start on the engine.
	assert.Empty(t, history.CheckRate(apart(second-within+2), 1, 1))
	assert.Len(t, history.CheckRate(apart(second-within-2), 1, 1), 1)
	assert.Empty(t, history.CheckRate(apart(0), 1, 2), "a burst of two")
}

func TestCheckConcurrencyAllowsOnlyTheCapacity(t *testing.T) {
	violations, maxInUse := history.CheckConcurrency(twoStarts(0, second/2), 1, oneUnit)
	assert.Len(t, violations, 1)
	assert.EqualValues(t, 2, maxInUse)

	violations, maxInUse = history.CheckConcurrency(twoStarts(0, second), 1, oneUnit)
	assert.Empty(t, violations, "the first one ends as the next one starts")
	assert.EqualValues(t, 1, maxInUse)
}

func TestCheckWindowAllowsOnlyTheTotal(t *testing.T) {
	consumptions := history.Consumptions(twoStarts(10*second, 15*second), 0, oneUnit)
	assert.Empty(t, history.CheckWindow(consumptions, 1, 5*second))
	assert.Len(t, history.CheckWindow(consumptions, 1, 5*second+1), 1)
}

func TestRelatedEventsShareAKeyWithTheViolation(t *testing.T) {
	of := func(idempotencyKey, orderKey string) history.Event {
		return history.Event{IdempotencyKey: idempotencyKey, OrderKey: orderKey}
	}
	events := []history.Event{of("1", "a"), of("2", "a"), of("3", ""), of("4", "b"), of("1", "")}
	violation := history.Violation{Events: []history.Event{of("1", "a")}}
	assert.Equal(t, []history.Event{of("1", "a"), of("2", "a"), of("1", "")}, history.RelatedEvents(events, violation, 9))
	assert.Equal(t, []history.Event{of("1", "")}, history.RelatedEvents(events, violation, 1))
}
