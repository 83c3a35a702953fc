package simulation

import "chutechute/internal/monotime"

// clock is the monotonic clock of a front end.
type clock struct {
	offset monotime.Micros // what it shows at true time 0
	rate   float64         // 1 for a clock without drift
}

// at returns what the clock shows at a true time.
func (c clock) at(trueTime monotime.Micros) monotime.Micros {
	return c.offset + monotime.Micros(float64(trueTime)*c.rate)
}

// trueDuration returns how long a duration of this clock is in true time.
func (c clock) trueDuration(duration monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(duration) / c.rate)
}
