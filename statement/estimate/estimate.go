// Package estimate estimates the cost and the memory of statements and learns them from measurements.
//
// A Model belongs to one shape of statements and one quantity, cost or memory. It predicts the quantity from the values
// in a statement, since a shape may be cheap with some values and expensive with others. Its upper bound widens if
// measurements vary. The package does no I/O and reads no clock.
package estimate

import "math"

// Estimate is an estimated quantity and its upper bound, in the unit of the quantity: milliseconds on one core for a
// cost, MB for memory.
type Estimate struct {
	Value      float64
	UpperBound float64 // estimated to be exceeded by few measurements
}

// minQuantity is the smallest quantity. It keeps logs finite.
const minQuantity = 1e-3

// clampedLog returns the log of a quantity, or that of minQuantity if the quantity is smaller.
func clampedLog(x float64) float64 { return math.Log(max(x, minQuantity)) }
