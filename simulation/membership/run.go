package membership

import (
	"errors"
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// Options say what to simulate.
type Options struct {
	FrontEnds  int     // all front ends, with the control members, as in scale.Shape
	Controls   int     // control members
	Zones      int     // that the front ends are spread over
	Seconds    float64 // of virtual time in the measured part; 0 for the scenario's own
	Seed       uint64  // of all that is random
	Faults     string  // a scenario's name, or a script as scale.ParseFaults reads it; empty for no faults
	MeasureCPU bool    // measure processor time, which no seed determines
	// Progress is called with what begins, or how far the measured part is. It may be nil.
	Progress func(progress string)
}

// Durations of the parts of a run.
const (
	startupDuration         = 3 * monotime.Second // over which the processes start, unless the scenario starts them
	maxConvergenceTime      = 180 * monotime.Second
	convergencePollInterval = monotime.Second
	// quietPeriod lies between the convergence of the start and the measured part, which keeps the start out of the
	// windows of peakWindowSeconds.
	quietPeriod      = 15 * monotime.Second
	progressInterval = minute
)

// maxDescribedDisagreements limits the disagreements that an outcome describes.
const maxDescribedDisagreements = 10

// minControlMembers is how many control members an attached front end attaches to.
const minControlMembers = 2

var errNothingToSimulate = errors.New(
	"membership: without two control members and an attached front end there is nothing to play")

// Run simulates a fleet and returns its figures. A violation (see Outcome.Err) is an error that comes with the figures;
// all other errors, those of the options among them, come without.
func Run(o Options) (*scale.Result, error) {
	outcome, err := Simulate(o)
	if outcome == nil {
		return nil, err
	}
	return outcome.Result, errors.Join(err, outcome.Err())
}

// Simulate simulates a fleet and returns what the run has shown, violations included. Its errors are those of the
// options (scale.FlagError, scale.ScriptError), a fleet whose views do not converge after the start, and a message
// storm.
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
	o.Progress("faults are over")
	s.endFaults()
	convergenceTime, err := s.awaitConvergence()
	if err != nil && !errors.Is(err, errNotConverged) {
		return nil, err
	}
	return s.outcome(o, scenario, convergenceTime), nil
}

// selectScenario returns the scenario that the options ask for. It checks the shape, and sets its duration to the
// scenario's if it has none.
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
		return scenario, errNothingToSimulate
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

// measure runs the measured part. An error of it is returned by the next advance.
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

// awaitConvergence waits until all views agree with the ground truth, and returns how long it took. Its error is
// errNotConverged, or that of advance.
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
