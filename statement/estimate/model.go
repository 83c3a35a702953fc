package estimate

import (
	"math"
	"unsafe"

	"chutechute/internal/monotime"
)

// Model predicts one quantity for the statements of one shape.
//
// The predicted log of the quantity is the sum of a linear function of the numeric features, learned by recursive least
// squares with forgetting (Ljung, System Identification, 2nd ed., ch. 11), a piecewise linear correction for each
// numeric feature, and an offset for each frequent categorical value. Corrections and offsets are learned by stochastic
// approximation. The upper bound tracks a quantile of the errors by the Robbins-Monro rule.
type Model struct {
	plan        *FeaturePlan
	weights     [termCount]float64             // weights of the inputs
	covariance  [termCount][termCount]float64  // covariance of the weights, in units of the variance of the error
	centers     [MaxNumbers]float64            // first known value of each number; NaN before
	corrections [MaxNumbers][knotCount]float32 // corrections at the knots
	categories  [MaxCategories][trackedCategories]category

	measurements float64         // number of measurements
	meanAbsError float64         // mean absolute error of the log
	boundWidth   float64         // log of the ratio of the bound to the estimate
	outlierRun   int             // length of the current run of outliers; negative if they are below the prediction
	learnedAt    monotime.Micros // time of the last measurement
}

// ModelSize is the size of a model, in bytes.
const ModelSize = int(unsafe.Sizeof(Model{}))

// NewModel returns a model without measurements for a shape with the given plan. It starts from the prior estimate.
func NewModel(plan *FeaturePlan, prior Estimate, now monotime.Micros) *Model {
	m := &Model{plan: plan, meanAbsError: initialMeanAbsError, boundWidth: initialBoundWidth, learnedAt: now}
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

// Predict returns the estimate for a statement with the given features.
func (m *Model) Predict(f *Features) Estimate {
	x := m.inputs(f)
	y := m.predictLog(&x, f)
	return Estimate{math.Exp(y), math.Exp(y + m.boundWidth + initialBoundWidth/(1+m.measurements))}
}

// inputs returns the inputs of the linear function: 1 for the intercept and the numbers relative to their centers. For
// an unknown number, the input is 0.
func (m *Model) inputs(f *Features) (x [termCount]float64) {
	x[0] = 1
	for i, feature := range m.plan.numbers {
		if v := f.Numbers[i] - m.centers[i]; !math.IsNaN(v) {
			if feature.kind == openBound { // may be of any magnitude, so it is compressed
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
		knot, fraction := knotPosition(x[i+1])
		y += (1-fraction)*float64(m.corrections[i][knot]) + fraction*float64(m.corrections[i][knot+1])
	}
	for i, hash := range f.Categories {
		if tracked := m.findCategory(i, hash); tracked != nil {
			y += float64(tracked.offset)
		}
	}
	return y
}

// Learn updates the model with a measurement of a statement with the given features. The weight, above 0 and at most 1,
// is the reliability of the measurement; now is in microseconds.
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
	residual := err
	if m.measurements > 0 { // a single measurement shows no effect of values
		residual = err - m.explainedError(&x, err, weight)
		m.updateCorrections(&x, residual, weight)
	}
	for i, hash := range f.Categories {
		m.updateCategory(i, hash, residual, weight)
	}
	rate := max(minErrorRate, initialErrorRate/(m.measurements+1))
	m.meanAbsError = max(minMeanAbsError, m.meanAbsError+weight*rate*(math.Abs(err)-m.meanAbsError))
	m.measurements++
	m.learnedAt = now
}

// microsPerHour is an hour in microseconds.
const microsPerHour = 3600 * float64(monotime.Second)

// growVariance raises the variance with the time since the last measurement, so that the model adapts faster after a
// long pause.
func (m *Model) growVariance(now monotime.Micros) {
	if hours := float64(now-m.learnedAt) / microsPerHour; hours > 0 {
		m.covariance[0][0] = min(maxVariance, m.covariance[0][0]+varianceGrowthPerHour*hours)
	}
}
