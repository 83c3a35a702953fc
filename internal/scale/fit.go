package scale

import (
	"math"
	"slices"
)

// Sample is one figure at one size.
type Sample struct{ X, Y float64 }

// Line is a straight line through samples, of the values or of their logarithms.
type Line struct {
	Slope, Intercept float64
	// Residual is the root mean square of what the line misses: in Y's unit for values; for logarithms as a share of Y.
	Residual float64
}

// Fit is how a figure grows with a size.
type Fit struct {
	Figure  string
	Unit    string
	Samples int
	From    float64 // the measured range
	To      float64
	Linear  Line  // Y = Intercept + Slope*X
	Power   *Line // Y = Intercept * X^Slope; nil where a value is not above zero
	// RepeatDiffers is the largest difference between runs of the same size, as a share of their mean; 0 without repeats.
	RepeatDiffers float64
}

// leastSizes is how many different sizes a line needs, so that it can miss any of them.
const leastSizes = 3

// FitOf fits samples; ok is false where there are too few sizes.
func FitOf(figure, unit string, samples []Sample) (f Fit, ok bool) {
	samples = slices.Clone(samples)
	slices.SortFunc(samples, func(a, b Sample) int {
		if a.X != b.X {
			return compareFloat(a.X, b.X)
		}
		return compareFloat(a.Y, b.Y)
	})
	if sizes(samples) < leastSizes {
		return Fit{}, false
	}
	f = Fit{Figure: figure, Unit: unit, Samples: len(samples), From: samples[0].X, To: samples[len(samples)-1].X}
	f.Linear = leastSquares(samples)
	f.Power = powerLaw(samples)
	f.RepeatDiffers = repeatDiffers(samples)
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

// sizes counts the different X of sorted samples.
func sizes(samples []Sample) (n int) {
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
	var missed float64
	for _, s := range samples {
		miss := s.Y - l.Intercept - l.Slope*s.X
		missed += miss * miss
	}
	l.Residual = math.Sqrt(missed / float64(len(samples)))
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

func repeatDiffers(samples []Sample) (most float64) {
	for first := 0; first < len(samples); {
		last := first
		for last+1 < len(samples) && samples[last+1].X == samples[first].X {
			last++
		}
		low, high := samples[first].Y, samples[last].Y // sorted by Y within one X
		if mean := (low + high) / 2; mean > 0 {
			most = max(most, (high-low)/mean)
		}
		first = last + 1
	}
	return most
}

// At is the figure at a size, by the power law where there is one and it misses less than the straight line, as a share of the
// values, or where the line would fall to nothing, as no figure does. Beyond is how many times the largest measured size that is;
// above 1 the value is extrapolated.
func (f *Fit) At(x float64) (value float64, law string, beyond float64) {
	beyond = x / f.To
	value = f.Linear.Intercept + f.Linear.Slope*x
	if f.Power != nil && (f.Power.Residual <= f.linearShare() || value <= 0) {
		return f.Power.Intercept * math.Pow(x, f.Power.Slope), "power", beyond
	}
	return value, "linear", beyond
}

// linearShare is the straight line's residual as a share of its value in the middle of the range.
func (f *Fit) linearShare() float64 {
	middle := math.Abs(f.Linear.Intercept + f.Linear.Slope*math.Sqrt(f.From*f.To))
	if middle == 0 {
		return math.Inf(1)
	}
	return f.Linear.Residual / middle
}
