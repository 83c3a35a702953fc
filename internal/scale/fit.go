package scale

import (
	"math"
	"slices"
)

// Sample is the value Y of a figure at size X.
type Sample struct{ X, Y float64 }

// Line is a straight line fitted to samples, or to the logarithms of their values.
type Line struct {
	Slope, Intercept float64
	// Residual is the root mean square error: in the unit of Y for values, relative to Y for logarithms.
	Residual float64
}

// Fit describes how a figure grows with a size.
type Fit struct {
	Figure  string
	Unit    string
	Samples int
	From    float64 // smallest measured size
	To      float64 // largest measured size
	Linear  Line    // Y = Intercept + Slope*X
	Power   *Line   // Y = Intercept * X^Slope; nil if a sample has a value that is not above zero
	// MaxRepeatDifference is the largest difference between runs of the same size, relative to the middle of their range.
	// It is 0 if no size was measured twice.
	MaxRepeatDifference float64
}

// minSizes is the number of different sizes that a fit needs: a line through two sizes always has a residual of 0.
const minSizes = 3

// FitSamples fits a line and a power law to samples. It returns false if there are fewer than three different sizes.
func FitSamples(figure, unit string, samples []Sample) (f Fit, ok bool) {
	samples = slices.Clone(samples)
	slices.SortFunc(samples, func(a, b Sample) int {
		if a.X != b.X {
			return compareFloat(a.X, b.X)
		}
		return compareFloat(a.Y, b.Y)
	})
	if countSizes(samples) < minSizes {
		return Fit{}, false
	}
	f = Fit{Figure: figure, Unit: unit, Samples: len(samples), From: samples[0].X, To: samples[len(samples)-1].X}
	f.Linear = leastSquares(samples)
	f.Power = powerLaw(samples)
	f.MaxRepeatDifference = maxRepeatDifference(samples)
	return f, true
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// countSizes returns the number of different X of samples, which must be sorted.
func countSizes(samples []Sample) (n int) {
	for i, s := range samples {
		if i == 0 || s.X != samples[i-1].X {
			n++
		}
	}
	return n
}

func leastSquares(samples []Sample) (l Line) {
	var meanX, meanY float64
	for _, s := range samples {
		meanX += s.X / float64(len(samples))
		meanY += s.Y / float64(len(samples))
	}
	var covariance, variance float64
	for _, s := range samples {
		covariance += (s.X - meanX) * (s.Y - meanY)
		variance += (s.X - meanX) * (s.X - meanX)
	}
	l.Slope = covariance / variance
	l.Intercept = meanY - l.Slope*meanX
	var squaredErrors float64
	for _, s := range samples {
		residual := s.Y - l.Intercept - l.Slope*s.X
		squaredErrors += residual * residual
	}
	l.Residual = math.Sqrt(squaredErrors / float64(len(samples)))
	return l
}

func powerLaw(samples []Sample) *Line {
	logs := make([]Sample, 0, len(samples))
	for _, s := range samples {
		if s.X <= 0 || s.Y <= 0 {
			return nil
		}
		logs = append(logs, Sample{math.Log(s.X), math.Log(s.Y)})
	}
	l := leastSquares(logs)
	l.Intercept = math.Exp(l.Intercept)
	l.Residual = math.Expm1(l.Residual)
	return &l
}

func maxRepeatDifference(samples []Sample) (maximum float64) {
	for first := 0; first < len(samples); {
		last := first
		for last+1 < len(samples) && samples[last+1].X == samples[first].X {
			last++
		}
		low, high := samples[first].Y, samples[last].Y // samples of one X are sorted by Y
		if mean := (low + high) / 2; mean > 0 {
			maximum = max(maximum, (high-low)/mean)
		}
		first = last + 1
	}
	return maximum
}

// Estimate estimates the figure at size x. It uses the power law if there is one and its relative residual is not
// larger than that of the straight line, or if the straight line gives a value that is not above 0, which no figure
// has. Beyond is the ratio of x to the largest measured size; above 1 the value is extrapolated.
func (f *Fit) Estimate(x float64) (value float64, law string, beyond float64) {
	beyond = x / f.To
	value = f.Linear.Intercept + f.Linear.Slope*x
	if f.Power != nil && (f.Power.Residual <= f.relativeLinearResidual() || value <= 0) {
		return f.Power.Intercept * math.Pow(x, f.Power.Slope), "power", beyond
	}
	return value, "linear", beyond
}

// relativeLinearResidual returns the straight line's residual relative to its value at the geometric mean of the range.
func (f *Fit) relativeLinearResidual() float64 {
	middle := math.Abs(f.Linear.Intercept + f.Linear.Slope*math.Sqrt(f.From*f.To))
	if middle == 0 {
		return math.Inf(1)
	}
	return f.Linear.Residual / middle
}
