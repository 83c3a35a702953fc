package membership

import (
	"errors"
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// Outcome is what a run has shown. Rates are in bytes a second, with framing.
type Outcome struct {
	Result *scale.Result

	// FalseDeaths is how often a running member was seen dead by a member that could have known better.
	FalseDeaths int
	// Resurrections is how often a process was seen again by a member that had already seen a later one.
	Resurrections int
	// OutOfOrder is how often a process was seen for the first time by a member that had already seen a later one.
	OutOfOrder int
	// Findings describes the first findings that FalseDeaths, PastBack and Older count.
	Findings []string
	// ForbidsFalseDeaths says that the scenario allows no false deaths.
	ForbidsFalseDeaths bool

	// Disagreements describes the first differences between views and the ground truth that were left when the time for
	// convergence was over.
	Disagreements []string
	// ConvergenceTime is how long after the end of all faults all views agreed with the ground truth.
	ConvergenceTime monotime.Micros

	// DetectionTimes is how long each death took to be detected by a control member, sorted.
	DetectionTimes []monotime.Micros
	// PropagationDelays is how long each change took from its detection until the last responsive member knew it,
	// sorted.
	PropagationDelays []monotime.Micros

	Bursts []Burst

	// MeanRate is the mean rate, in and out, of an attached front end.
	MeanRate float64
	// PeakRate is the highest mean rate of any attached front end over ten seconds.
	PeakRate float64
	// PeakFrontEnd is the name of that attached front end.
	PeakFrontEnd string

	// MaxObservedFlaps is the most changes of the flapping front end that a control member observed.
	MaxObservedFlaps int
	// FullQueues is how many queues to attached front ends were full.
	FullQueues int
	// RejectedMessages is the number of messages of running processes that their receivers refused, by the text of
	// the error.
	RejectedMessages map[string]int
}

var errNotConverged = errors.New("membership: views don't agree with the truth")

// Err returns what the run has violated, nil if nothing: views that have not converged, processes that were seen again
// after later ones, or false deaths where the scenario allows none.
func (o *Outcome) Err() error {
	var violations []error
	if len(o.Disagreements) > 0 {
		violations = append(violations, fmt.Errorf("%w: %v", errNotConverged, o.Disagreements))
	}
	if o.Resurrections > 0 {
		violations = append(violations,
			fmt.Errorf("membership: %d times a past process was seen again: %v", o.Resurrections, o.Findings))
	}
	if o.FalseDeaths > 0 && o.ForbidsFalseDeaths {
		violations = append(violations, fmt.Errorf("membership: %d false deaths: %v", o.FalseDeaths, o.Findings))
	}
	return errors.Join(violations...)
}
