package estimate

import "math"

// Mean is the usual cost or memory of a class, with a bound: the estimate for shapes of which nothing else is known.
// Use NewMean.
type Mean struct {
	log          float64 // of the usual quantity
	boundWidth   float64 // log of the bound over that
	typicalError float64 // mean absolute error of the log
	measurements float64 // the number of measurements so far
}

// The parameters of means; widths and errors are of logs, as in models.
const (
	minMeanRate           = 0.02 // weight of a new measurement, at least: about the last 50 count
	initialMeanBoundWidth = 1.38 // of an assumed quantity: the bound is just under 4 times as large
	minMeanBoundWidth     = 0.2
	meanBoundStep         = 0.5 // typical errors by which a measurement above the bound raises it
	initialMeanError      = 1.0
)

// NewMean returns a mean that begins with an assumed quantity.
func NewMean(assumed float64) Mean {
	return Mean{log: clampedLog(assumed), boundWidth: initialMeanBoundWidth, typicalError: initialMeanError}
}

// Learn learns from a measurement.
func (m *Mean) Learn(value float64) {
	err := clampedLog(value) - m.log
	rate := max(minMeanRate, 1/(m.measurements+1))
	m.log += rate * err
	m.typicalError += max(minMeanRate, initialErrorRate/(m.measurements+1)) * (math.Abs(err) - m.typicalError)
	if err > m.boundWidth {
		m.boundWidth += meanBoundStep * m.typicalError
	} else {
		m.boundWidth = max(minMeanBoundWidth, m.boundWidth-meanBoundStep*m.typicalError*exceedanceRate/(1-exceedanceRate))
	}
	m.measurements++
}

// Estimate returns the usual quantity and its bound.
func (m *Mean) Estimate() Estimate { return Estimate{math.Exp(m.log), math.Exp(m.log + m.boundWidth)} }
