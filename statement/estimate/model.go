package estimate

import (
	"math"
	"unsafe"

	"chutechute/internal/monotime"
)

// Model predicts one quantity for the statements of one shape.
//
// The log of the quantity is a linear function of the numeric features, learned by recursive least squares with
// forgetting (Ljung, System Identification, 2nd ed., ch. 11), plus a piecewise linear correction of each number and an
// offset for each frequent categorical value, learned by stochastic approximation. The bound follows a quantile of the
// errors by the Robbins-Monro rule.
type Model struct {
	plan        *FeaturePlan
	weights     [termCount]float64             // of the inputs
	covariance  [termCount][termCount]float64  // of the weights, in units of the error's variance
	centers     [MaxNumbers]float64            // the first number seen; NaN before
	corrections [MaxNumbers][knotCount]float32 // at the knots
	categories  [MaxCategories][trackedCategories]category

	measurements float64         // the number of measurements so far
	typicalError float64         // mean absolute error of the log
	boundWidth   float64         // log of the bound over the estimate
	outlierRun   int             // outliers in a row; negative for those below the prediction
	learnedAt    monotime.Micros // of the last measurement
}

// ModelSize is the size of a model, in bytes.
const ModelSize = int(unsafe.Sizeof(Model{}))

// NewModel returns a model of a shape with that plan, which predicts the prior estimate until it has learned.
func NewModel(plan *FeaturePlan, prior Estimate, now monotime.Micros) *Model {
	m := &Model{plan: plan, typicalError: initialTypicalError, boundWidth: initialBoundWidth, learnedAt: now}
	m.weights[0] = clampedLog(prior.Value)
	if prior.UpperBound > prior.Value {
		m.boundWidth = max(m.boundWidth, clampedLog(prior.UpperBound)-m.weights[0])
	}
	m.covariance[0][0] = priorInterceptVariance
	for i := range m.centers {
		m.centers[i] = math.NaN()
		m.covariance[i+1][i+1] = priorSlopeVariance
		if i < len(plan.numbers) {
			m.weights[i+1] = priorSlopes[plan.numbers[i].kind]
		}
	}
	return m
}

// Predict returns the estimate for a statement with these features.
func (m *Model) Predict(f *Features) Estimate {
	x := m.inputs(f)
	y := m.predictLog(&x, f)
	return Estimate{math.Exp(y), math.Exp(y + m.boundWidth + initialBoundWidth/(1+m.measurements))}
}

// inputs returns the inputs of the linear function: 1 and the numbers, each relative to the first seen. A number that
// is not known counts as the first.
func (m *Model) inputs(f *Features) (x [termCount]float64) {
	x[0] = 1
	for i, feature := range m.plan.numbers {
		if v := f.Numbers[i] - m.centers[i]; !math.IsNaN(v) {
			if feature.kind == openBound { // of any size: what matters is how far from the first it lies
				v = math.Asinh(v)
			}
			x[i+1] = v
		}
	}
	return x
}

// predictLog returns the predicted log of the quantity.
func (m *Model) predictLog(x *[termCount]float64, f *Features) float64 {
	y := 0.0
	for i, weight := range m.weights {
		y += weight * x[i]
	}
	for i := range m.plan.numbers {
		knot, part := knotPosition(x[i+1])
		y += (1-part)*float64(m.corrections[i][knot]) + part*float64(m.corrections[i][knot+1])
	}
	for i, hash := range f.Categories {
		if tracked := m.findCategory(i, hash); tracked != nil {
			y += float64(tracked.offset)
		}
	}
	return y
}

// Learn learns from a measurement of a statement with these features. The weight, above 0 and at most 1, says how
// reliable the measurement is; now is in microseconds.
func (m *Model) Learn(f *Features, value, weight float64, now monotime.Micros) {
	for i := range m.centers {
		if math.IsNaN(m.centers[i]) {
			m.centers[i] = f.Numbers[i]
		}
	}
	m.growVariance(now)
	x := m.inputs(f)
	err := clampedLog(value) - m.predictLog(&x, f)
	m.updateBound(err, weight)
	err = m.clipOutlier(err)
	m.updateWeights(&x, err, weight)
	remaining := err
	if m.measurements > 0 { // the first says nothing of how values differ
		remaining = err - m.explainedError(&x, err, weight)
		m.updateCorrections(&x, remaining, weight)
	}
	for i, hash := range f.Categories {
		m.updateCategory(i, hash, remaining, weight)
	}
	rate := max(minErrorRate, initialErrorRate/(m.measurements+1))
	m.typicalError = max(minTypicalError, m.typicalError+weight*rate*(math.Abs(err)-m.typicalError))
	m.measurements++
	m.learnedAt = now
}

// microsPerHour is an hour in the unit of clock readings.
const microsPerHour = 3600 * float64(monotime.Second)

// growVariance makes the model less certain of what was not measured for long, so that it learns faster.
func (m *Model) growVariance(now monotime.Micros) {
	if hours := float64(now-m.learnedAt) / microsPerHour; hours > 0 {
		m.covariance[0][0] = min(maxVariance, m.covariance[0][0]+varianceGrowthPerHour*hours)
	}
}
