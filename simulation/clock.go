package simulation

import "chutechute/internal/monotime"

// clock is the monotonic clock of a front end.
type clock struct {
	offset monotime.Micros // its time at true time 0
	rate   float64         // 1 for a clock without drift
}

// at returns the time of this clock at a true time.
func (c clock) at(trueTime monotime.Micros) monotime.Micros {
	return c.offset + monotime.Micros(float64(trueTime)*c.rate)
}

// trueDuration converts a duration by this clock to true time.
func (c clock) trueDuration(duration monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(duration) / c.rate)
}
