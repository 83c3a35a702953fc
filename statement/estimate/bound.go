package estimate

import "math"

// updateBound updates the upper bound by the Robbins-Monro rule for a quantile. An error above the bound raises it by a
// large step and any other error lowers it by a small one, so that a fraction of exceedanceRate lies above it in the
// long run.
func (m *Model) updateBound(err, weight float64) {
	step := weight * boundStep * m.meanAbsError
	if err > m.boundWidth {
		m.boundWidth += step
	} else {
		descent := max(exceedanceRate/(1-exceedanceRate), initialDescent/(m.measurements+2))
		m.boundWidth = max(2*minMeanAbsError, m.boundWidth-step*descent)
	}
}

// clipOutlier limits an error to outlierThreshold mean absolute errors. A run of outlierRunLength outliers with the
// same sign is taken for a change of the cost: from then on, the errors of the run are not limited, and each of them
// raises the variance, so that the model adapts quickly.
func (m *Model) clipOutlier(err float64) float64 {
	limit := outlierThreshold * m.meanAbsError
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
