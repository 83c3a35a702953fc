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
	terms  = 1 + MostNumbers
	knots  = 12
	places = 8 // frequent contents that one key follows

	baseDoubt  = 4.0  // variance of a prior figure
	slopeDoubt = 0.15 // and of a prior slope
	leastDoubt = 1e-4 // no model ever ceases to learn
	mostDoubt  = 8.0
	forget     = 0.995 // a measure; about the last 200 count
	ageDoubt   = 0.2   // variance that an hour without a measure adds

	firstScale = 0.5  // usual error before any was seen
	leastScale = 0.03 // and at the least
	clip       = 3.0  // usual errors; what lies beyond is an outlier,
	outliers   = 4    // unless so many come in a row on one side: then the cost has changed
	shiftDoubt = 1.0

	knotRate = 0.12
	keyRate  = 0.1

	uncovered = 0.03 // share of measures that may lie above the bound
	boundStep = 0.7  // usual errors that the bound widens by when one does
	firstHigh = 1.8  // log of the bound over the estimate before any was seen, and once one was, fading
)

// Model predicts one quantity for the statements of one shape.
//
// The log of the quantity is a linear function of the numbers, learned by recursive least squares with
// forgetting (Ljung, System Identification, 2nd ed., ch. 11), plus a piecewise linear correction of each
// number and an offset for each frequent content, learned by stochastic approximation. The bound follows a
// quantile of the errors by the Robbins-Monro rule.
type Model struct {
	plan    *Plan
	weights [terms]float64
	doubt   [terms][terms]float64 // covariance of the weights, in units of the error's variance
	center  [MostNumbers]float64  // the first number seen; NaN before
	bends   [MostNumbers][knots]float32
	keys    [MostKeys][places]place

	n     float64         // measures so far
	scale float64         // usual error
	high  float64         // log of the bound over the estimate
	run   int             // outliers in a row; negative below
	at    monotime.Micros // of the last measure
}

// place follows one frequent content.
type place struct {
	hash         uint32
	count, shift float32
}

// ModelSize is what a model holds, in bytes.
const ModelSize = int(unsafe.Sizeof(Model{}))

// NewModel begins a model of a shape of that plan, by what the shape is held to cost.
func NewModel(plan *Plan, prior Estimate, now monotime.Micros) *Model {
	m := &Model{plan: plan, scale: firstScale, high: firstHigh, at: now}
	m.weights[0] = logOf(prior.Value)
	if prior.High > prior.Value {
		m.high = max(m.high, logOf(prior.High)-m.weights[0])
	}
	m.doubt[0][0] = baseDoubt
	for i := range m.center {
		m.center[i] = math.NaN()
		m.doubt[i+1][i+1] = slopeDoubt
		if i < len(plan.numbers) {
			m.weights[i+1] = slopes[plan.numbers[i].kind]
		}
	}
	return m
}

// logOf is the log of a figure that is never nothing.
func logOf(x float64) float64 { return math.Log(max(x, 1e-3)) }

// Measures is how many measures the model has taken.
func (m *Model) Measures() float64 { return m.n }

// Predict is the estimate for a statement with these features.
func (m *Model) Predict(f *Features) Estimate {
	x := m.inputs(f)
	y := m.predict(&x, f)
	return Estimate{math.Exp(y), math.Exp(y + m.high + firstHigh/(1+m.n))}
}

// inputs are 1 and the numbers, counted from the first seen; one not known counts as the first.
func (m *Model) inputs(f *Features) (x [terms]float64) {
	x[0] = 1
	for i, n := range m.plan.numbers {
		if v := f.Numbers[i] - m.center[i]; v == v {
			if n.kind == bound { // of any size: what matters is how far off it lies
				v = math.Asinh(v)
			}
			x[i+1] = v
		}
	}
	return x
}

func (m *Model) predict(x *[terms]float64, f *Features) float64 {
	y := 0.0
	for i, w := range m.weights {
		y += w * x[i]
	}
	for i := range m.plan.numbers {
		k, part := knot(x[i+1])
		y += (1-part)*float64(m.bends[i][k]) + part*float64(m.bends[i][k+1])
	}
	for i, hash := range f.Keys {
		if p := m.find(i, hash); p != nil {
			y += float64(p.shift)
		}
	}
	return y
}

// knot is the knot below a number and how far the number lies on the way to the next. A step is a factor of
// about 4.5 in what the number is the log of.
func knot(x float64) (k int, part float64) {
	const step = 1.5
	at := min(max(x/step+knots/2, 0), knots-1.001)
	k = int(at)
	return k, at - float64(k)
}

func (m *Model) find(i int, hash uint32) *place {
	if hash == 0 {
		return nil
	}
	for j := range m.keys[i] {
		if m.keys[i][j].hash == hash {
			return &m.keys[i][j]
		}
	}
	return nil
}

// Learn takes a measure of a statement with these features. The weight, above 0 and 1 at most, says how much
// a measure tells.
func (m *Model) Learn(f *Features, value, weight float64, now monotime.Micros) {
	for i := range m.center {
		if math.IsNaN(m.center[i]) {
			m.center[i] = f.Numbers[i]
		}
	}
	m.age(now)
	x := m.inputs(f)
	err := logOf(value) - m.predict(&x, f)
	m.bound(err, weight)
	err = m.clip(err)
	m.linear(&x, err, weight)
	rest := err
	if m.n > 0 { // the first says nothing of how values differ
		rest = err - m.explained(&x, err, weight)
		m.bend(&x, rest, weight)
	}
	for i, hash := range f.Keys {
		m.key(i, hash, rest, weight)
	}
	size := math.Abs(err)
	m.scale = max(leastScale, m.scale+weight*max(0.04, 0.5/(m.n+1))*(size-m.scale))
	m.n++
	m.at = now
}

// age makes the model doubt what it has not measured for long.
func (m *Model) age(now monotime.Micros) {
	if hours := float64(now-m.at) / 3.6e9; hours > 0 {
		m.doubt[0][0] = min(mostDoubt, m.doubt[0][0]+ageDoubt*hours)
	}
}

// bound moves the bound by the Robbins-Monro rule for a quantile.
func (m *Model) bound(err, weight float64) {
	step := weight * boundStep * m.scale
	if err > m.high {
		m.high += step
	} else {
		m.high = max(2*leastScale, m.high-step*max(uncovered/(1-uncovered), 0.6/(m.n+2)))
	}
}

// clip cuts an outlier down, and takes a row of them for a change of cost.
func (m *Model) clip(err float64) float64 {
	most := clip * m.scale
	switch {
	case m.n < 3 || math.Abs(err) <= most:
		m.run = 0
		return err
	case err > 0:
		m.run = max(0, m.run) + 1
	default:
		m.run = min(0, m.run) - 1
	}
	if m.run >= outliers || m.run <= -outliers {
		m.doubt[0][0] = min(mostDoubt, m.doubt[0][0]+shiftDoubt)
		return err
	}
	return math.Copysign(most, err)
}

// linear is one step of recursive least squares.
func (m *Model) linear(x *[terms]float64, err, weight float64) {
	var px [terms]float64
	noise := 1 / weight
	for i := range px {
		for j := range px {
			px[i] += m.doubt[i][j] * x[j]
		}
		noise += px[i] * x[i]
	}
	for i := range px {
		m.weights[i] += px[i] / noise * err
	}
	for i := range px {
		for j := range px {
			m.doubt[i][j] -= px[i] * px[j] / noise
			m.doubt[i][j] /= forget
		}
		m.doubt[i][i] = min(max(m.doubt[i][i], leastDoubt), mostDoubt)
	}
}

// explained is what the step of least squares has taken of the error.
func (m *Model) explained(x *[terms]float64, err, weight float64) float64 {
	gain := 0.0
	for i := range x {
		for j := range x {
			gain += x[i] * m.doubt[i][j] * x[j]
		}
	}
	return err * min(1, gain*weight)
}

func (m *Model) bend(x *[terms]float64, err, weight float64) {
	for i := range m.plan.numbers {
		k, part := knot(x[i+1])
		rate := knotRate * weight * err
		m.bends[i][k] += float32(rate * (1 - part))
		m.bends[i][k+1] += float32(rate * part)
	}
}

// key learns the offset of a frequent content. One that is new takes the place of the least frequent once it
// has come often enough, as in the space-saving sketch (Metwally, Agrawal and El Abbadi, 2005).
func (m *Model) key(i int, hash uint32, err, weight float64) {
	if hash == 0 {
		return
	}
	p := m.find(i, hash)
	if p == nil {
		p = &m.keys[i][0]
		for j := range m.keys[i] {
			if m.keys[i][j].count < p.count {
				p = &m.keys[i][j]
			}
		}
		if p.count *= 0.8; p.count > 1 {
			return
		}
		*p = place{hash: hash}
	}
	p.count = min(p.count+1, 1000)
	p.shift += float32(weight * err * max(keyRate, 1/(float64(p.count)+3)))
}
