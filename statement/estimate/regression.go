package estimate

// updateWeights makes one step of recursive least squares.
func (m *Model) updateWeights(x *[termCount]float64, err, weight float64) {
	var gain [termCount]float64 // covariance times inputs, before it is divided by the noise
	noise := 1 / weight         // variance of the measurement and of the prediction
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

// explainedError returns the part of the error that the step of least squares has removed.
func (m *Model) explainedError(x *[termCount]float64, err, weight float64) float64 {
	share := 0.0
	for i := range x {
		for j := range x {
			share += x[i] * m.covariance[i][j] * x[j]
		}
	}
	return err * min(1, share*weight)
}

// updateCorrections moves the two knots around each number by what is left of the error.
func (m *Model) updateCorrections(x *[termCount]float64, err, weight float64) {
	for i := range m.plan.numbers {
		knot, part := knotPosition(x[i+1])
		rate := correctionRate * weight * err
		m.corrections[i][knot] += float32(rate * (1 - part))
		m.corrections[i][knot+1] += float32(rate * part)
	}
}

// lastKnotPosition lies just below the last knot, so that there is always a next one.
const lastKnotPosition = knotCount - 1.001

// knotPosition returns the knot below a number and which part of the way to the next knot the number has gone.
func knotPosition(x float64) (knot int, part float64) {
	position := min(max(x/knotDistance+knotCount/2, 0), lastKnotPosition)
	knot = int(position)
	return knot, position - float64(knot)
}
