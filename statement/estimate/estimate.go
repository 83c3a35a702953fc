// Package estimate estimates what statements cost and learns it from what they turn out to cost.
//
// A Model belongs to one shape of statements and one quantity, cost or memory. It predicts from the values that a
// statement names, since a shape may be cheap with some values and expensive with others, and gives an upper bound
// that widens where measurements disagree. The package does no I/O and reads no clock.
package estimate

import "math"

// Estimate is an estimated quantity and its upper bound, in the unit of the quantity: milliseconds on one core for a
// cost, MB for memory.
type Estimate struct {
	Value      float64
	UpperBound float64 // the upper bound
}

// minQuantity is the least quantity, since none is nothing.
const minQuantity = 1e-3

// clampedLog returns the log of a quantity, which counts as minQuantity where it is less.
func clampedLog(x float64) float64 { return math.Log(max(x, minQuantity)) }
