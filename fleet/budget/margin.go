package budget

import (
	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// clockMargin is added to each time span that must certainly have passed on another machine.
const clockMargin = monotime.Second / 4

// withMargin returns how long to wait by this machine's clock, which may run fast, until the given span has certainly
// passed on every other machine.
func withMargin(span monotime.Micros) monotime.Micros {
	return span + span/account.ClockDriftDivisor + clockMargin
}

// withoutMargin is the inverse of withMargin. It returns the longest span that has certainly passed on every other
// machine when the given span has passed on this one.
func withoutMargin(span monotime.Micros) monotime.Micros {
	return max(0, span-clockMargin) * account.ClockDriftDivisor / (account.ClockDriftDivisor + 1)
}
