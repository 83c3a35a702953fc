package membership

import (
	"errors"
	"fmt"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// Options say what to play.
type Options struct {
	FrontEnds int // all of them, as scale.Shape counts: control members too
	Controls  int
	Zones     int
	Seconds   float64 // of the measured part; 0: as the scenario has it
	Seed      uint64
	Faults    string // a scenario's name, or a script as scale.ParseFaults reads it; empty for none
	Processor bool   // measure the processor time, which is no function of the seed
	// Progress is told what is being done; nil: nobody is.
	Progress func(word string)
}

// Outcome is what a run showed.
type Outcome struct {
	Result      *scale.Result
	FalseDeaths int      // members that run seen dead, by somebody who could have known
	PastBack    int      // processes seen again by somebody who had seen them replaced
	Older       int      // processes seen for the first time by somebody who had seen a later one
	Faults      []string // the first of them, in words
	Steady      bool     // the scenario allows no false death
	// Disagree is what views still had wrong when the time for them to settle was over.
	Disagree []string
	Settled  monotime.Micros // until all views agreed with the truth once all faults were over
	// Noticed is how long it took, for each death, until the first control member held it for one; Spreads how long until
	// the last member alive knew of a change, from when it was noticed. Both are sorted.
	Noticed []monotime.Micros
	Spreads []monotime.Micros
	Bursts  []Burst
	// Rest is the mean bytes a second in and out of an attached front end; Busiest the mean over the busiest ten seconds of any.
	Rest, Busiest float64
	BusiestWho    string
	Turns         int            // the most changes of the flapping front end that any control member saw
	Refused       int            // queues that were full
	Rejected      map[string]int // messages of running processes that were refused, by the error
}

// Spans of a run.
const (
	startupDuration           = 3 * monotime.Second // over which a fleet starts that isn't started at once
	maxConvergenceTime        = 180 * monotime.Second
	convergencePollInterval   = monotime.Second
	quietPeriod               = 15 * monotime.Second // between the views' agreeing and the measured part: the ten-second windows are clear of the start
	maxDescribedDisagreements = 10
)

var errNotConverged = errors.New("membership: views don't agree with the truth")

// Run plays a fleet and gives its figures. What breaks a rule is an error; the result is given too.
func Run(o Options) (*scale.Result, error) {
	outcome, err := Play(o)
	if outcome == nil {
		return nil, err
	}
	return outcome.Result, errors.Join(err, outcome.Err())
}

// Err is what broke a rule; nil where nothing did.
func (o *Outcome) Err() error {
	var list []error
	if len(o.Disagree) > 0 {
		list = append(list, fmt.Errorf("%w: %v", errNotConverged, o.Disagree))
	}
	if o.PastBack > 0 {
		list = append(list, fmt.Errorf("membership: %d times a past process was seen again: %v", o.PastBack, o.Faults))
	}
	if o.FalseDeaths > 0 && o.Steady {
		list = append(list, fmt.Errorf("membership: %d false deaths: %v", o.FalseDeaths, o.Faults))
	}
	return errors.Join(list...)
}

// Play plays a fleet.
func Play(o Options) (*Outcome, error) {
	shape := scale.Shape{FrontEnds: o.FrontEnds, Controls: o.Controls, Zones: o.Zones, Seconds: o.Seconds, Seed: o.Seed}
	scenario, err := o.selectScenario(&shape)
	if err != nil {
		return nil, err
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	s := newSimulation(shape)
	if o.Processor {
		s.cpuMeter = newCPUMeter()
	}
	if err := s.startFleet(scenario, o.Progress); err != nil {
		return nil, err
	}
	o.Progress("measured part: " + scenario.About)
	s.measure(scenario, o.Progress)
	o.Progress("faults are over")
	outcome := &Outcome{Steady: scenario.forbidsFalseDeaths}
	s.endFaults()
	settled, err := s.awaitConvergence()
	outcome.Settled = settled
	if err != nil && !errors.Is(err, errNotConverged) {
		return nil, err
	}
	s.fillOutcome(o, scenario, outcome)
	return outcome, nil
}

// selectScenario is what the options ask for; the shape is checked and gets the scenario's span.
func (o *Options) selectScenario(shape *scale.Shape) (Scenario, error) {
	name := o.Faults
	if name == "" {
		name = "rest"
	}
	scenario, known := Named(name)
	if shape.Seconds == 0 {
		shape.Seconds = scenario.Seconds
	}
	if err := shape.Check(); err != nil {
		return scenario, err
	}
	if shape.Attached() == 0 || shape.Controls < 2 {
		return scenario, errors.New("membership: without two control members and an attached front end there is nothing to play")
	}
	if known {
		return scenario, nil
	}
	return scriptScenario(o.Faults, *shape)
}

// startFleet starts a fleet and has its views settle, unless the scenario begins with the start.
func (s *simulation) startFleet(scenario Scenario, progress func(string)) error {
	if scenario.coldStart {
		return nil
	}
	progress("start")
	s.startAll(startupDuration)
	if err := s.advance(startupDuration); err != nil {
		return err
	}
	if _, err := s.awaitConvergence(); err != nil {
		return fmt.Errorf("%w at the start: %v", err, s.groundTruth.describeDisagreements())
	}
	return s.advance(quietPeriod)
}

// measure plays the scenario.
func (s *simulation) measure(scenario Scenario, progress func(string)) {
	s.cpuMeter.reset()
	s.traffic.begin(s)
	s.groundTruth.startRecording()
	scenario.inject(s)
	span := s.measuredDuration()
	for done := monotime.Micros(0); done < span && s.err == nil; {
		part := min(minute, span-done)
		_ = s.advance(part) // failed has it too
		done += part
		progress(fmt.Sprintf("%g of %g s", float64(done)/float64(monotime.Second), s.shape.Seconds))
	}
	s.traffic.end()
	s.groundTruth.recording = false
}

// awaitConvergence waits until all views agree with the truth, and gives how long it took.
func (s *simulation) awaitConvergence() (monotime.Micros, error) {
	began := s.now
	for s.now-began < maxConvergenceTime {
		if err := s.advance(convergencePollInterval); err != nil {
			return 0, err
		}
		if len(s.groundTruth.disagreements(1)) == 0 {
			return s.now - began, nil
		}
	}
	return s.now - began, errNotConverged
}

// describeDisagreements is what views have wrong now.
func (t *groundTruth) describeDisagreements() (list []string) {
	for _, d := range t.disagreements(maxDescribedDisagreements) {
		list = append(list, fmt.Sprintf("%s sees %s: %s", d.observer, d.subject, d.observed))
	}
	return list
}

// roleName is a role as results have it.
func roleName(role membership.Role) string {
	if role == membership.Control {
		return scale.RoleControl
	}
	return scale.RoleFrontEnd
}
