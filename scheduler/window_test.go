package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/monotime"
)

// Guards against memory that grows with each request where retries are budgeted: arrivals were only dropped when a
// retry was asked for, and never where none was.
func TestRetryBudgetForgetsArrivals(t *testing.T) {
	rules := &Rules{RetryBudget: true, RetryBudgetWindow: monotime.Second, RetryRatio: 0.1}
	var budget retryBudget
	const perMillisecond = 50
	for now := monotime.Micros(0); now < 10*monotime.Second; now += monotime.Millisecond {
		for range perMillisecond {
			budget.countArrival(now, rules)
		}
	}
	assert.LessOrEqual(t, len(budget.arrivals.at), 1000, "entries of one second, one for each time")
	assert.EqualValues(t, 1000*perMillisecond, budget.arrivals.since(9*monotime.Second))
}

// Amounts that are recorded at the same time are summed, and those before the window are not.
func TestSlidingWindowSumsAmounts(t *testing.T) {
	var w slidingWindow
	w.add(10, 1)
	w.add(20, 2)
	w.add(20, 4)
	w.add(30, 8)
	assert.EqualValues(t, 14, w.since(20))
	assert.EqualValues(t, 8, w.since(21))
}
