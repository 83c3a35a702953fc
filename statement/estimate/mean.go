package estimate

import "math"

// Mean is the usual figure of a class, for shapes that nothing else is known of. The zero value knows nothing.
type Mean struct {
	log, boundWidth float64
	typicalError    float64
	measurements    float64
}

const (
	minMeanRate           = 0.02 // weight of a new measure: about the last 50 count
	initialMeanBoundWidth = 1.38 // log of the bound over a figure that is only supposed: just under 4 times
)

// NewMean begins with a figure that is only supposed.
func NewMean(supposed float64) Mean {
	return Mean{log: clampedLog(supposed), boundWidth: initialMeanBoundWidth, typicalError: 1}
}

// Learn takes a measure.
func (m *Mean) Learn(value float64) {
	err := clampedLog(value) - m.log
	rate := max(minMeanRate, 1/(m.measurements+1))
	m.log += rate * err
	m.typicalError += max(minMeanRate, 0.5/(m.measurements+1)) * (math.Abs(err) - m.typicalError)
	if err > m.boundWidth {
		m.boundWidth += 0.5 * m.typicalError
	} else {
		m.boundWidth = max(0.2, m.boundWidth-0.5*m.typicalError*exceedanceRate/(1-exceedanceRate))
	}
	m.measurements++
}

// Estimate is the usual figure and its bound.
func (m *Mean) Estimate() Estimate { return Estimate{math.Exp(m.log), math.Exp(m.log + m.boundWidth)} }
