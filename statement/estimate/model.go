package estimate

import (
	"math"
	"unsafe"

	"chutechute/internal/monotime"
)

// Estimate is a figure and its upper bound.
type Estimate struct{ Value, High float64 }

// What a model is made of and how it learns. Its figures are logs: costs differ by factors.
const (
	termCount         = 1 + MaxNumbers
	knotCount         = 12
	trackedCategories = 8 // frequent contents that one key follows

	priorInterceptVariance = 4.0  // variance of a prior figure
	priorSlopeVariance     = 0.15 // and of a prior slope
	minVariance            = 1e-4 // no model ever ceases to learn
	maxVariance            = 8.0
	forgettingFactor       = 0.995 // a measure; about the last 200 count
	varianceGrowthPerHour  = 0.2   // variance that an hour without a measure adds

	initialTypicalError = 0.5  // usual error before any was seen
	minTypicalError     = 0.03 // and at the least
	outlierThreshold    = 3.0  // usual errors; what lies beyond is an outlier,
	outlierRunLength    = 4    // unless so many come in a row on one side: then the cost has changed
	shiftVariance       = 1.0

	correctionRate  = 0.12
	minCategoryRate = 0.1

	exceedanceRate    = 0.03 // share of measures that may lie above the bound
	boundStep         = 0.7  // usual errors that the bound widens by when one does
	initialBoundWidth = 1.8  // log of the bound over the estimate before any was seen, and once one was, fading
)

// Model predicts one quantity for the statements of one shape.
//
// The log of the quantity is a linear function of the numbers, learned by recursive least squares with
// forgetting (Ljung, System Identification, 2nd ed., ch. 11), plus a piecewise linear correction of each
// number and an offset for each frequent content, learned by stochastic approximation. The bound follows a
// quantile of the errors by the Robbins-Monro rule.
type Model struct {
	plan        *FeaturePlan
	weights     [termCount]float64
	covariance  [termCount][termCount]float64 // covariance of the weights, in units of the error's variance
	centers     [MaxNumbers]float64           // the first number seen; NaN before
	corrections [MaxNumbers][knotCount]float32
	categories  [MaxCategories][trackedCategories]category

	measurements float64         // measures so far
	typicalError float64         // usual error
	boundWidth   float64         // log of the bound over the estimate
	outlierRun   int             // outliers in a row; negative below
	learnedAt    monotime.Micros // of the last measure
}

// category follows one frequent content.
type category struct {
	hash          uint32
	count, offset float32
}

// ModelSize is what a model holds, in bytes.
const ModelSize = int(unsafe.Sizeof(Model{}))

// NewModel begins a model of a shape of that plan, by what the shape is held to cost.
func NewModel(plan *FeaturePlan, prior Estimate, now monotime.Micros) *Model {
	m := &Model{plan: plan, typicalError: initialTypicalError, boundWidth: initialBoundWidth, learnedAt: now}
	m.weights[0] = clampedLog(prior.Value)
	if prior.High > prior.Value {
		m.boundWidth = max(m.boundWidth, clampedLog(prior.High)-m.weights[0])
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

// clampedLog is the log of a figure that is never nothing.
func clampedLog(x float64) float64 { return math.Log(max(x, 1e-3)) }

// Measures is how many measures the model has taken.
func (m *Model) Measures() float64 { return m.measurements }

// Predict is the estimate for a statement with these features.
func (m *Model) Predict(f *Features) Estimate {
	x := m.inputs(f)
	y := m.predictLog(&x, f)
	return Estimate{math.Exp(y), math.Exp(y + m.boundWidth + initialBoundWidth/(1+m.measurements))}
}

// inputs are 1 and the numbers, counted from the first seen; one not known counts as the first.
func (m *Model) inputs(f *Features) (x [termCount]float64) {
	x[0] = 1
	for i, n := range m.plan.numbers {
		if v := f.Numbers[i] - m.centers[i]; v == v {
			if n.kind == openBound { // of any size: what matters is how far off it lies
				v = math.Asinh(v)
			}
			x[i+1] = v
		}
	}
	return x
}

func (m *Model) predictLog(x *[termCount]float64, f *Features) float64 {
	y := 0.0
	for i, w := range m.weights {
		y += w * x[i]
	}
	for i := range m.plan.numbers {
		k, part := knotPosition(x[i+1])
		y += (1-part)*float64(m.corrections[i][k]) + part*float64(m.corrections[i][k+1])
	}
	for i, hash := range f.Categories {
		if p := m.findCategory(i, hash); p != nil {
			y += float64(p.offset)
		}
	}
	return y
}

// knotPosition is the knot below a number and how far the number lies on the way to the next. A step is a factor of
// about 4.5 in what the number is the log of.
func knotPosition(x float64) (k int, part float64) {
	const step = 1.5
	at := min(max(x/step+knotCount/2, 0), knotCount-1.001)
	k = int(at)
	return k, at - float64(k)
}

func (m *Model) findCategory(i int, hash uint32) *category {
	if hash == 0 {
		return nil
	}
	for j := range m.categories[i] {
		if m.categories[i][j].hash == hash {
			return &m.categories[i][j]
		}
	}
	return nil
}

// Learn takes a measure of a statement with these features. The weight, above 0 and 1 at most, says how much
// a measure tells.
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
	rest := err
	if m.measurements > 0 { // the first says nothing of how values differ
		rest = err - m.explainedError(&x, err, weight)
		m.updateCorrections(&x, rest, weight)
	}
	for i, hash := range f.Categories {
		m.updateCategory(i, hash, rest, weight)
	}
	size := math.Abs(err)
	m.typicalError = max(minTypicalError, m.typicalError+weight*max(0.04, 0.5/(m.measurements+1))*(size-m.typicalError))
	m.measurements++
	m.learnedAt = now
}

// growVariance makes the model doubt what it has not measured for long.
func (m *Model) growVariance(now monotime.Micros) {
	if hours := float64(now-m.learnedAt) / 3.6e9; hours > 0 {
		m.covariance[0][0] = min(maxVariance, m.covariance[0][0]+varianceGrowthPerHour*hours)
	}
}

// updateBound moves the bound by the Robbins-Monro rule for a quantile.
func (m *Model) updateBound(err, weight float64) {
	step := weight * boundStep * m.typicalError
	if err > m.boundWidth {
		m.boundWidth += step
	} else {
		m.boundWidth = max(2*minTypicalError, m.boundWidth-step*max(exceedanceRate/(1-exceedanceRate), 0.6/(m.measurements+2)))
	}
}

// clipOutlier cuts an outlier down, and takes a row of them for a change of cost.
func (m *Model) clipOutlier(err float64) float64 {
	most := outlierThreshold * m.typicalError
	switch {
	case m.measurements < 3 || math.Abs(err) <= most:
		m.outlierRun = 0
		return err
	case err > 0:
		m.outlierRun = max(0, m.outlierRun) + 1
	default:
		m.outlierRun = min(0, m.outlierRun) - 1
	}
	if m.outlierRun >= outlierRunLength || m.outlierRun <= -outlierRunLength {
		m.covariance[0][0] = min(maxVariance, m.covariance[0][0]+shiftVariance)
		return err
	}
	return math.Copysign(most, err)
}

// updateWeights is one step of recursive least squares.
func (m *Model) updateWeights(x *[termCount]float64, err, weight float64) {
	var px [termCount]float64
	noise := 1 / weight
	for i := range px {
		for j := range px {
			px[i] += m.covariance[i][j] * x[j]
		}
		noise += px[i] * x[i]
	}
	for i := range px {
		m.weights[i] += px[i] / noise * err
	}
	for i := range px {
		for j := range px {
			m.covariance[i][j] -= px[i] * px[j] / noise
			m.covariance[i][j] /= forgettingFactor
		}
		m.covariance[i][i] = min(max(m.covariance[i][i], minVariance), maxVariance)
	}
}

// explainedError is what the step of least squares has taken of the error.
func (m *Model) explainedError(x *[termCount]float64, err, weight float64) float64 {
	gain := 0.0
	for i := range x {
		for j := range x {
			gain += x[i] * m.covariance[i][j] * x[j]
		}
	}
	return err * min(1, gain*weight)
}

func (m *Model) updateCorrections(x *[termCount]float64, err, weight float64) {
	for i := range m.plan.numbers {
		k, part := knotPosition(x[i+1])
		rate := correctionRate * weight * err
		m.corrections[i][k] += float32(rate * (1 - part))
		m.corrections[i][k+1] += float32(rate * part)
	}
}

// updateCategory learns the offset of a frequent content. One that is new takes the place of the least frequent once it
// has come often enough, as in the space-saving sketch (Metwally, Agrawal and El Abbadi, 2005).
func (m *Model) updateCategory(i int, hash uint32, err, weight float64) {
	if hash == 0 {
		return
	}
	p := m.findCategory(i, hash)
	if p == nil {
		p = &m.categories[i][0]
		for j := range m.categories[i] {
			if m.categories[i][j].count < p.count {
				p = &m.categories[i][j]
			}
		}
		if p.count *= 0.8; p.count > 1 {
			return
		}
		*p = category{hash: hash}
	}
	p.count = min(p.count+1, 1000)
	p.offset += float32(weight * err * max(minCategoryRate, 1/(float64(p.count)+3)))
}
