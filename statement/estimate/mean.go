package estimate

import "math"

// Mean is the usual figure of a class, for shapes that nothing else is known of. The zero value knows nothing.
type Mean struct {
	log, high float64
	scale     float64
	n         float64
}

const (
	meanRate  = 0.02 // weight of a new measure: about the last 50 count
	meanFirst = 1.38 // log of the bound over a figure that is only supposed: just under 4 times
)

// NewMean begins with a figure that is only supposed.
func NewMean(supposed float64) Mean {
	return Mean{log: logOf(supposed), high: meanFirst, scale: 1}
}

// Learn takes a measure.
func (m *Mean) Learn(value float64) {
	err := logOf(value) - m.log
	rate := max(meanRate, 1/(m.n+1))
	m.log += rate * err
	m.scale += max(meanRate, 0.5/(m.n+1)) * (math.Abs(err) - m.scale)
	if err > m.high {
		m.high += 0.5 * m.scale
	} else {
		m.high = max(0.2, m.high-0.5*m.scale*uncovered/(1-uncovered))
	}
	m.n++
}

// Estimate is the usual figure and its bound.
func (m *Mean) Estimate() Estimate { return Estimate{math.Exp(m.log), math.Exp(m.log + m.high)} }
