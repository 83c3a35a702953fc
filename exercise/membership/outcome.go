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
	// PastBack is how often a process was seen again by a member that had already seen a later one.
	PastBack int
	// Older is how often a process was seen for the first time by a member that had already seen a later one.
	Older int
	// Faults describes the first findings that FalseDeaths, PastBack and Older count.
	Faults []string
	// Steady says that the scenario allows no false deaths.
	Steady bool

	// Disagree describes the first differences between views and the ground truth that were left when the time for
	// convergence was over.
	Disagree []string
	// Settled is how long after the end of all faults all views agreed with the ground truth.
	Settled monotime.Micros

	// Noticed is how long each death took to be detected by a control member, sorted.
	Noticed []monotime.Micros
	// Spreads is how long each change took from its detection until the last responsive member knew it, sorted.
	Spreads []monotime.Micros

	Bursts []Burst

	// Rest is the mean rate, in and out, of an attached front end.
	Rest float64
	// Busiest is the highest mean rate of any attached front end over ten seconds.
	Busiest float64
	// BusiestWho is the name of that attached front end.
	BusiestWho string

	// Turns is the most changes of the flapping front end that a control member observed.
	Turns int
	// Refused is how many queues to attached front ends were full.
	Refused int
	// Rejected is the number of messages of running processes that their receivers refused, by the text of the error.
	Rejected map[string]int
}

var errNotConverged = errors.New("membership: views don't agree with the truth")

// Err returns what the run has violated, nil if nothing: views that have not converged, processes that were seen again
// after later ones, or false deaths where the scenario allows none.
func (o *Outcome) Err() error {
	var violations []error
	if len(o.Disagree) > 0 {
		violations = append(violations, fmt.Errorf("%w: %v", errNotConverged, o.Disagree))
	}
	if o.PastBack > 0 {
		violations = append(violations,
			fmt.Errorf("membership: %d times a past process was seen again: %v", o.PastBack, o.Faults))
	}
	if o.FalseDeaths > 0 && o.Steady {
		violations = append(violations, fmt.Errorf("membership: %d false deaths: %v", o.FalseDeaths, o.Faults))
	}
	return errors.Join(violations...)
}
