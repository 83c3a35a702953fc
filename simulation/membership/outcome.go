package membership

import (
	"errors"
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// Outcome holds the results of a run. Rates are in bytes per second, including framing.
type Outcome struct {
	Result *scale.Result

	// FalseDeaths counts observations of a running member as dead by a member that it could reach, if only through
	// others.
	FalseDeaths int
	// Resurrections counts observations of a process by a member that had observed it before, and then a later process
	// of the same member.
	Resurrections int
	// OutOfOrder counts first observations of a process by a member that had already observed a later process of the
	// same member.
	OutOfOrder int
	// Findings describes the first findings that FalseDeaths, Resurrections and OutOfOrder count.
	Findings []string
	// ForbidsFalseDeaths reports whether a false death is a violation in the scenario.
	ForbidsFalseDeaths bool

	// Disagreements describes the first differences between views and the ground truth that remained after the wait for
	// convergence.
	Disagreements []string
	// ConvergenceTime is the time from the end of all faults until all views agreed with the ground truth.
	ConvergenceTime monotime.Micros

	// DetectionTimes holds the time from each end of a process to its detection by a control member, sorted. Like
	// PropagationDelays, it omits changes that some awaited member did not know of at the end.
	DetectionTimes []monotime.Micros
	// PropagationDelays holds the time from the detection of each change until the last responsive member knew of it,
	// sorted.
	PropagationDelays []monotime.Micros

	Bursts []Burst

	// MeanRate is the mean rate of an attached front end, in and out together.
	MeanRate float64
	// PeakRate is the highest rate of any attached front end, averaged over ten seconds.
	PeakRate float64
	// PeakFrontEnd is the name of that attached front end.
	PeakFrontEnd string

	// MaxObservedFlaps is the highest number of changes of the flapping front end that any control member observed.
	MaxObservedFlaps int
	// FullQueues counts how often a queue to an attached front end was full.
	FullQueues int
	// RejectedMessages counts the rejected messages of running processes, by the text of the error.
	RejectedMessages map[string]int
}

var errNotConverged = errors.New("membership: views do not agree with the ground truth")

// Err returns the violations of the run, or nil if there are none: views that have not converged, resurrections, and
// false deaths if the scenario forbids them.
func (o *Outcome) Err() error {
	var violations []error
	if len(o.Disagreements) > 0 {
		violations = append(violations, fmt.Errorf("%w: %v", errNotConverged, o.Disagreements))
	}
	if o.Resurrections > 0 {
		violations = append(violations,
			fmt.Errorf("membership: %d observations of an earlier process after a later one: %v",
				o.Resurrections, o.Findings))
	}
	if o.FalseDeaths > 0 && o.ForbidsFalseDeaths {
		violations = append(violations, fmt.Errorf("membership: %d false deaths: %v", o.FalseDeaths, o.Findings))
	}
	return errors.Join(violations...)
}
