package membership

import (
	"errors"
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// Options configures a run.
type Options struct {
	FrontEnds  int     // all front ends, including the control members, as in scale.Shape
	Controls   int     // control members
	Zones      int     // zones that the front ends are spread over
	Seconds    float64 // virtual time of the measured part; 0 for the scenario's duration
	Seed       uint64  // of all random numbers
	Faults     string  // a scenario's name, or a script as scale.ParseFaults reads it; empty for no faults
	MeasureCPU bool    // measure processor time, which differs between runs with the same seed
	// Progress, if not nil, is called at the start of each part, and during the measured part with the time that has
	// passed.
	Progress func(progress string)
}

// Durations of the parts of a run.
const (
	startupDuration         = 3 * monotime.Second // over which the processes start, unless the scenario starts them
	maxConvergenceTime      = 180 * monotime.Second
	convergencePollInterval = monotime.Second
	// quietPeriod separates the convergence after the start from the measured part, so that no peak window
	// (peakWindowSeconds) includes traffic of the start.
	quietPeriod      = 15 * monotime.Second
	progressInterval = minute
)

// maxDescribedDisagreements limits how many disagreements an outcome describes.
const maxDescribedDisagreements = 10

// minControlMembers is the number of control members that an attached front end attaches to.
const minControlMembers = 2

var errFleetTooSmall = errors.New(
	"membership: a simulation needs at least two control members and one attached front end")

// Run simulates a fleet and returns its figures. If the run has violations (see Outcome.Err), Run returns both the
// figures and an error. With any other error, invalid options included, the figures are nil.
func Run(o Options) (*scale.Result, error) {
	outcome, err := Simulate(o)
	if outcome == nil {
		return nil, err
	}
	return outcome.Result, errors.Join(err, outcome.Err())
}

// Simulate simulates a fleet and returns the outcome of the run, violations included. It returns an error if the
// options are invalid (scale.FlagError, scale.ScriptError), if the views do not converge after the start, and on a
// message storm.
func Simulate(o Options) (*Outcome, error) {
	shape := scale.Shape{
		FrontEnds: o.FrontEnds,
		Controls:  o.Controls,
		Zones:     o.Zones,
		Seconds:   o.Seconds,
		Seed:      o.Seed,
	}
	scenario, err := o.selectScenario(&shape)
	if err != nil {
		return nil, err
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	s := newSimulation(shape)
	if o.MeasureCPU {
		s.cpuMeter = newCPUMeter()
	}
	if err := s.startFleet(scenario, o.Progress); err != nil {
		return nil, err
	}
	o.Progress("measured part: " + scenario.Description)
	s.measure(scenario, o.Progress)
	o.Progress("all faults ended")
	s.endFaults()
	convergenceTime, err := s.awaitConvergence()
	if err != nil && !errors.Is(err, errNotConverged) {
		return nil, err
	}
	return s.outcome(o, scenario, convergenceTime), nil
}

// selectScenario returns the scenario that the options select. It checks the shape, and sets its duration to that of
// the scenario if it is 0.
func (o *Options) selectScenario(shape *scale.Shape) (Scenario, error) {
	name := o.Faults
	if name == "" {
		name = "rest"
	}
	scenario, known := ScenarioByName(name)
	if shape.Seconds == 0 {
		shape.Seconds = scenario.Seconds
	}
	if err := shape.Check(); err != nil {
		return scenario, err
	}
	if shape.Attached() == 0 || shape.Controls < minControlMembers {
		return scenario, errFleetTooSmall
	}
	if known {
		return scenario, nil
	}
	return scriptScenario(o.Faults, *shape)
}

// startFleet starts all processes and waits for convergence, unless the scenario starts them in the measured part.
func (s *simulation) startFleet(scenario Scenario, progress func(string)) error {
	if scenario.coldStart {
		return nil
	}
	progress("starting the fleet")
	s.startAll(startupDuration)
	if err := s.advance(startupDuration); err != nil {
		return err
	}
	if _, err := s.awaitConvergence(); err != nil {
		return fmt.Errorf("%w after the start: %v", err, s.groundTruth.describeDisagreements())
	}
	return s.advance(quietPeriod)
}

// measure runs the measured part. If the part fails, the next advance returns the error.
func (s *simulation) measure(scenario Scenario, progress func(string)) {
	s.cpuMeter.reset()
	s.traffic.start(s)
	s.groundTruth.startMeasuring()
	scenario.inject(s)
	duration := s.measuredDuration()
	for done := monotime.Micros(0); done < duration && s.err == nil; {
		part := min(progressInterval, duration-done)
		_ = s.advance(part)
		done += part
		progress(fmt.Sprintf("%g of %g s", inSeconds(done), s.shape.Seconds))
	}
	s.traffic.stop()
	s.groundTruth.stopMeasuring()
}

// awaitConvergence waits until all views agree with the ground truth, and returns how long it took. It fails with
// errNotConverged after maxConvergenceTime, or with the error of advance.
func (s *simulation) awaitConvergence() (monotime.Micros, error) {
	startedAt := s.now
	for s.now-startedAt < maxConvergenceTime {
		if err := s.advance(convergencePollInterval); err != nil {
			return 0, err
		}
		if len(s.groundTruth.disagreements(1)) == 0 {
			return s.now - startedAt, nil
		}
	}
	return s.now - startedAt, errNotConverged
}
