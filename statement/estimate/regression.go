package estimate

// updateWeights performs one step of recursive least squares.
func (m *Model) updateWeights(x *[termCount]float64, err, weight float64) {
	var gain [termCount]float64 // covariance times inputs, not yet divided by noise
	noise := 1 / weight         // variance of the measurement plus that of the prediction
	for i := range gain {
		for j := range gain {
			gain[i] += m.covariance[i][j] * x[j]
		}
		noise += gain[i] * x[i]
	}
	for i := range gain {
		m.weights[i] += gain[i] / noise * err
	}
	for i := range gain {
		for j := range gain {
			m.covariance[i][j] -= gain[i] * gain[j] / noise
			m.covariance[i][j] /= forgettingFactor
		}
		m.covariance[i][i] = min(max(m.covariance[i][i], minVariance), maxVariance)
	}
}

// explainedError returns the part of the error that updateWeights has removed from the prediction.
func (m *Model) explainedError(x *[termCount]float64, err, weight float64) float64 {
	explained := 0.0
	for i := range x {
		for j := range x {
			explained += x[i] * m.covariance[i][j] * x[j]
		}
	}
	return err * min(1, explained*weight)
}

// updateCorrections updates the corrections at the two knots around each number by the given error.
func (m *Model) updateCorrections(x *[termCount]float64, err, weight float64) {
	for i := range m.plan.numbers {
		knot, fraction := knotPosition(x[i+1])
		rate := correctionRate * weight * err
		m.corrections[i][knot] += float32(rate * (1 - fraction))
		m.corrections[i][knot+1] += float32(rate * fraction)
	}
}

// lastKnotPosition is just below the last knot, so that there is always a next knot.
const lastKnotPosition = knotCount - 1.001

// knotPosition returns the knot below x and the position of x between that knot and the next one, from 0 to 1.
func knotPosition(x float64) (knot int, fraction float64) {
	position := min(max(x/knotDistance+knotCount/2, 0), lastKnotPosition)
	knot = int(position)
	return knot, position - float64(knot)
}
