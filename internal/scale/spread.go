package scale

import (
	"slices"
	"time"
)

// SpreadOf summarises how long changes took to reach the last member alive. It is nil where there were no changes.
func SpreadOf(reached []time.Duration, unreached int) *SpreadFigures {
	if len(reached) == 0 && unreached == 0 {
		return nil
	}
	s := &SpreadFigures{Count: len(reached), Unreached: unreached}
	if len(reached) == 0 {
		return s
	}
	sorted := slices.Clone(reached)
	slices.Sort(sorted)
	s.MedianMS = millis(quantile(sorted, 50))
	s.P99MS = millis(quantile(sorted, 99))
	s.MostMS = millis(sorted[len(sorted)-1])
	return s
}

// quantile is the nearest-rank percentile of a sorted list.
func quantile(sorted []time.Duration, percent int) time.Duration {
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(1, rank)-1]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
