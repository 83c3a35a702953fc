package budget

import (
	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// clockMargin is added to each time span that has to have passed for certain.
const clockMargin = monotime.Second / 4

// withMargin returns the time span after which, by a clock that may run fast, the given span has certainly passed on
// every other machine.
func withMargin(span monotime.Micros) monotime.Micros {
	return span + span/account.ClockDriftDivisor + clockMargin
}

// withoutMargin is the inverse of withMargin: the longest span that has certainly passed on every other machine once
// the given one has passed here.
func withoutMargin(span monotime.Micros) monotime.Micros {
	return max(0, span-clockMargin) * account.ClockDriftDivisor / (account.ClockDriftDivisor + 1)
}
