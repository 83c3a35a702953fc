package history_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
)

const second = 1_000_000 // µs

// The events of the histories below, at a time in seconds.

func sent(at int64, frontEnd, call, idempotencyKey, orderKey string) history.Event {
	return history.Event{
		At: at * second, What: history.Asked,
		Front: frontEnd, Call: call, Once: idempotencyKey, Key: orderKey,
	}
}

func ended(at int64, call, idempotencyKey, outcome, body string) history.Event {
	return history.Event{
		At: at * second, What: history.Answered,
		Call: call, Once: idempotencyKey, Detail: outcome, Body: body,
	}
}

func onEngine(at int64, what, call, idempotencyKey string) history.Event {
	return history.Event{At: at * second, What: what, Engine: "engine", Call: call, Once: idempotencyKey}
}

func TestCheckAcceptsACorrectHistory(t *testing.T) {
	assert.Empty(t, history.Check([]history.Event{
		sent(1, "a", "call-1", "request-1", "key"),
		onEngine(2, history.Began, "call-1", "request-1"),
		onEngine(3, history.Ended, "call-1", "request-1"),
		ended(4, "call-1", "request-1", history.Answer, "call-1 rows"),
		sent(5, "b", "call-2", "request-1", "key"),
		ended(6, "call-2", "request-1", history.Answer, "call-1 rows"),
		sent(7, "b", "call-3", "request-2", "key"),
		onEngine(8, history.Began, "call-3", "request-2"),
		onEngine(9, history.Ended, "call-3", "request-2"),
	}))
}

func TestCheckFindsEachAnomalyOfIdempotentRequests(t *testing.T) {
	for _, test := range []struct {
		anomaly string
		events  []history.Event
	}{
		{"two attempts of a request at once", []history.Event{
			onEngine(1, history.Began, "call-1", "request"),
			onEngine(2, history.Began, "call-2", "request"),
			onEngine(3, history.Ended, "call-1", "request"),
		}},
		{"an attempt after a client got the outcome", []history.Event{
			onEngine(1, history.Began, "call-1", "request"),
			onEngine(2, history.Ended, "call-1", "request"),
			ended(3, "call-1", "request", history.Answer, "call-1 rows"),
			onEngine(4, history.Began, "call-2", "request"),
		}},
		{"two outcomes of a request", []history.Event{
			onEngine(1, history.Began, "call-1", "request"),
			onEngine(2, history.Ended, "call-1", "request"),
			ended(3, "call-1", "request", history.Answer, "call-1 rows"),
			ended(4, "call-2", "request", history.Answer, "call-1 other rows"),
		}},
		{"rows that no engine produced", []history.Event{
			onEngine(1, history.Began, "call-1", "request"),
			onEngine(2, history.Deleted, "call-1", "request"),
			ended(3, "call-1", "request", history.Answer, "call-1 rows"),
		}},
		{"a delivered outcome was lost", []history.Event{
			onEngine(1, history.Began, "call-1", "request"),
			onEngine(2, history.Ended, "call-1", "request"),
			ended(3, "call-1", "request", history.Answer, "call-1 rows"),
			sent(4, "a", "call-2", "request", ""),
			ended(5, "call-2", "request", history.Fault, ""),
		}},
		{"a rejected call ran", []history.Event{
			ended(1, "call-1", "request", history.Shed, ""),
			onEngine(2, history.Began, "call-1", "request"),
		}},
		{history.ConcurrentRequestsOfKey, []history.Event{
			sent(1, "a", "call-1", "request-1", "key"),
			sent(1, "b", "call-2", "request-2", "key"),
			onEngine(2, history.Began, "call-1", "request-1"),
			onEngine(3, history.Began, "call-2", "request-2"),
			onEngine(4, history.Ended, "call-1", "request-1"),
		}},
		{"requests of a key out of the order in which one front end received them", []history.Event{
			sent(1, "a", "call-1", "request-1", "key"),
			sent(2, "a", "call-2", "request-2", "key"),
			onEngine(3, history.Began, "call-2", "request-2"),
			onEngine(4, history.Ended, "call-2", "request-2"),
			onEngine(5, history.Began, "call-1", "request-1"),
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
		{At: first, What: history.Began, Call: "call-1"},
		{At: next, What: history.Began, Call: "call-2"},
		{At: first + second, What: history.Ended, Call: "call-1"},
		{At: next + second, What: history.Ended, Call: "call-2"},
	}
}

func TestCheckRateAllowsOnlyWhatTheBucketHolds(t *testing.T) {
	const within = 100_000 // µs
	apart := func(gap int64) []history.Spending {
		return history.Spendings(twoStarts(10*second, 10*second+gap), within, oneUnit)
	}
	// At one a second, the second token is there a second after the first one was taken, up to 0.1 s before its start.
	assert.Empty(t, history.CheckRate(apart(second-within+2), 1, 1))
	assert.Len(t, history.CheckRate(apart(second-within-2), 1, 1), 1)
	assert.Empty(t, history.CheckRate(apart(0), 1, 2), "a burst of two")
}

func TestCheckConcurrencyAllowsOnlyTheCapacity(t *testing.T) {
	violations, maxInUse := history.CheckPlaces(twoStarts(0, second/2), 1, oneUnit)
	assert.Len(t, violations, 1)
	assert.EqualValues(t, 2, maxInUse)

	violations, maxInUse = history.CheckPlaces(twoStarts(0, second), 1, oneUnit)
	assert.Empty(t, violations, "the first one ends as the next one starts")
	assert.EqualValues(t, 1, maxInUse)
}

func TestCheckWindowAllowsOnlyTheTotal(t *testing.T) {
	consumptions := history.Spendings(twoStarts(10*second, 15*second), 0, oneUnit)
	assert.Empty(t, history.CheckWindow(consumptions, 1, 5*second))
	assert.Len(t, history.CheckWindow(consumptions, 1, 5*second+1), 1)
}

func TestRelatedEventsShareAKeyWithTheViolation(t *testing.T) {
	of := func(idempotencyKey, orderKey string) history.Event {
		return history.Event{Once: idempotencyKey, Key: orderKey}
	}
	events := []history.Event{of("1", "a"), of("2", "a"), of("3", ""), of("4", "b"), of("1", "")}
	violation := history.Violation{Events: []history.Event{of("1", "a")}}
	related := []history.Event{of("1", "a"), of("2", "a"), of("1", "")}
	assert.Equal(t, related, history.Around(events, violation, 9))
	assert.Equal(t, related[2:], history.Around(events, violation, 1))
}
