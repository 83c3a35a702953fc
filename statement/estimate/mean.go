package estimate

import "math"

// Mean is a moving geometric mean of the cost or memory of a class, with an upper bound. It is the estimate for shapes
// without measurements and without known table sizes. It is created by NewMean.
type Mean struct {
	meanLog      float64 // moving mean of the log of the quantity
	boundWidth   float64 // log of the ratio of the bound to the mean
	meanAbsError float64 // mean absolute error of the log
	measurements float64 // number of measurements
}

// The parameters of means. Widths and errors are in logs, as in models.
const (
	minMeanRate           = 0.02 // minimum weight of a new measurement: effectively, the last 50 count
	initialMeanBoundWidth = 1.38 // for an assumed quantity: the bound is just under 4 times as large
	minMeanBoundWidth     = 0.2
	meanBoundStep         = 0.5 // raise of the bound by a measurement above it, in mean absolute errors
	initialMeanError      = 1.0
)

// NewMean returns a mean without measurements, whose estimate is the assumed quantity.
func NewMean(assumed float64) Mean {
	return Mean{meanLog: clampedLog(assumed), boundWidth: initialMeanBoundWidth, meanAbsError: initialMeanError}
}

// Learn updates the mean and the bound with a measurement.
func (m *Mean) Learn(value float64) {
	err := clampedLog(value) - m.meanLog
	rate := max(minMeanRate, 1/(m.measurements+1))
	m.meanLog += rate * err
	m.meanAbsError += max(minMeanRate, initialErrorRate/(m.measurements+1)) * (math.Abs(err) - m.meanAbsError)
	if err > m.boundWidth {
		m.boundWidth += meanBoundStep * m.meanAbsError
	} else {
		m.boundWidth = max(minMeanBoundWidth, m.boundWidth-meanBoundStep*m.meanAbsError*exceedanceRate/(1-exceedanceRate))
	}
	m.measurements++
}

// Estimate returns the mean and the upper bound.
func (m *Mean) Estimate() Estimate {
	return Estimate{math.Exp(m.meanLog), math.Exp(m.meanLog + m.boundWidth)}
}
