package scale

import (
	"slices"
	"time"
)

// SummarizeSpread summarizes how long each of the changes in reached took to be seen by all running front ends;
// unreached is the number of changes that some had not seen at the end. It returns nil if there were no changes.
func SummarizeSpread(reached []time.Duration, unreached int) *SpreadFigures {
	if len(reached) == 0 && unreached == 0 {
		return nil
	}
	s := &SpreadFigures{Count: len(reached), Unreached: unreached}
	if len(reached) == 0 {
		return s
	}
	sorted := slices.Clone(reached)
	slices.Sort(sorted)
	s.MedianMS = millis(percentile(sorted, 50))
	s.P99MS = millis(percentile(sorted, 99))
	s.MaxMS = millis(sorted[len(sorted)-1])
	return s
}

// percentile returns the nearest-rank percentile of a sorted list.
func percentile(sorted []time.Duration, percent int) time.Duration {
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(1, rank)-1]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
