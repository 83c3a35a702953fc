package estimate

import "math"

// updateBound moves the bound by the Robbins-Monro rule for a quantile: far up by an error above it, and a little down
// by any other, so that a share of exceedanceRate ends above it.
func (m *Model) updateBound(err, weight float64) {
	step := weight * boundStep * m.typicalError
	if err > m.boundWidth {
		m.boundWidth += step
	} else {
		descent := max(exceedanceRate/(1-exceedanceRate), initialDescent/(m.measurements+2))
		m.boundWidth = max(2*minTypicalError, m.boundWidth-step*descent)
	}
}

// clipOutlier limits an error to outlierThreshold typical errors. Outliers that come in a row on one side are taken
// for a change of the cost instead, which the model then learns fast.
func (m *Model) clipOutlier(err float64) float64 {
	limit := outlierThreshold * m.typicalError
	switch {
	case m.measurements < minOutlierHistory || math.Abs(err) <= limit:
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
	return math.Copysign(limit, err)
}
