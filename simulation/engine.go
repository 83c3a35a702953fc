package simulation

import (
	"fmt"

	"chutechute/internal/history"
	"chutechute/internal/monotime"
)

const (
	// abandonTimeout is the time after which an engine ends an execution that no front end polls for.
	abandonTimeout = 2 * second
	// dedupeWindow is the time from the start of an execution during which engines drop further starts of the same
	// idempotency key.
	dedupeWindow = 25 * second
	// enginePollInterval is the interval at which a front end polls an engine for an execution.
	enginePollInterval = 250 * ms
	// minPollDelay is the shortest time after which a pending poll reports the end of an execution.
	minPollDelay = 100 // µs
	// maxEndDelay is the longest time from the end of an execution to the crash point executionEnded.
	maxEndDelay = 5 * ms
	// One in failedExecutionOneIn executions, on average, fails.
	failedExecutionOneIn = 12
)

// Network delays between front ends and engines.
const (
	minEngineDelay         = 200 // µs
	maxEngineRequestDelay  = 3 * ms
	maxEngineResponseDelay = 2 * ms
)

// engine executes requests. An execution ends by itself, when it is canceled, or when no front end has polled for it
// for abandonTimeout. Engines drop starts of an idempotency key that is in its dedupe window.
type engine struct {
	simulation *Simulation
	name       string
	executions map[string]*execution // by call ID
}

func newEngine(s *Simulation, index int) *engine {
	return &engine{
		simulation: s,
		name:       fmt.Sprintf("s-%08x", index+1),
		executions: map[string]*execution{},
	}
}

// executionState is the state of an execution.
type executionState int

const (
	running executionState = iota
	succeeded
	failed // with an error, or because it was canceled or abandoned
)

// execution is a request that an engine executes or has executed.
type execution struct {
	attempts   []*attempt // the attempts that poll for it, the first of which started it
	lastPolled monotime.Micros
	state      executionState
	rows       string
}

// engineRequestDelay draws the network delay of a message to an engine.
func (s *Simulation) engineRequestDelay() monotime.Micros {
	return s.random.between(minEngineDelay, maxEngineRequestDelay)
}

// engineResponseDelay draws the network delay of a message from an engine.
func (s *Simulation) engineResponseDelay() monotime.Micros {
	return s.random.between(minEngineDelay, maxEngineResponseDelay)
}

// isDuplicate reports whether an idempotency key is in its dedupe window, which all engines share.
func (s *Simulation) isDuplicate(idempotencyKey string) bool {
	last, known := s.lastExecuted[idempotencyKey]
	return known && s.now-last < dedupeWindow && !s.options.Mutation.NoDuplicateDetection
}

// receiveStart starts the execution of an attempt, unless it is a duplicate. It does so even if the process that sent
// the start has ended since.
func (e *engine) receiveStart(a *attempt) {
	s := e.simulation
	a.state = attemptReceived
	s.after(s.random.between(0, ms), func() { s.reachCrashPoint(executionStarted, a.process.frontEnd) })
	if s.isDuplicate(a.IdempotencyKey) {
		s.History.Add(history.Event{
			Kind: history.DuplicateDropped, Engine: e.name, CallID: a.ID, IdempotencyKey: a.IdempotencyKey,
		})
		s.after(s.engineResponseDelay(), func() { a.process.run(a.fail) })
		return
	}
	exec := e.execute(a)
	if a.canceled {
		s.after(s.engineResponseDelay(), func() { a.process.run(a.sendCancellation) })
	}
	e.poll(exec, a)
	e.checkAbandoned(exec)
}

// execute starts an execution and schedules its end, after the time that the statement specifies.
func (e *engine) execute(a *attempt) *execution {
	s := e.simulation
	s.lastExecuted[a.IdempotencyKey] = s.now
	exec := &execution{
		attempts:   []*attempt{a},
		lastPolled: s.now,
		rows:       fmt.Sprintf("%s\t%s\t%s\n", a.ID, a.IdempotencyKey, e.name),
	}
	e.executions[a.ID] = exec
	e.record(history.ExecutionStarted, a)
	var duration monotime.Micros // in milliseconds
	fmt.Sscanf(string(a.Statement), statementFormat, &duration)
	result := succeeded
	if s.random.oneIn(failedExecutionOneIn) {
		result = failed
	}
	s.after(duration*ms, func() {
		if exec.state == running {
			e.end(exec, history.ExecutionFinished, result)
		}
	})
	return exec
}

// record adds an event of an execution to the history. a is the attempt that started the execution.
func (e *engine) record(kind string, a *attempt) {
	e.simulation.History.Add(history.Event{
		Kind: kind, Engine: e.name, CallID: a.ID, IdempotencyKey: a.IdempotencyKey, OrderKey: a.OrderKey,
	})
}

// poll polls for an execution on behalf of an attempt, and schedules the next poll unless the execution has ended. It
// stops once the attempt or its process has ended. A paused process does not poll until it resumes.
func (e *engine) poll(exec *execution, a *attempt) {
	s := e.simulation
	if !a.process.isAlive() || a.state == attemptEnded {
		return
	}
	if !a.process.paused {
		exec.lastPolled = s.now
		if exec.state != running {
			s.after(s.engineResponseDelay(), func() { a.process.run(func() { a.reportEnd(exec) }) })
			return
		}
	}
	s.after(enginePollInterval, func() { e.poll(exec, a) })
}

// checkAbandoned ends an execution that no front end has polled for within abandonTimeout, and otherwise schedules the
// next check.
func (e *engine) checkAbandoned(exec *execution) {
	switch {
	case exec.state != running:
	case e.simulation.now-exec.lastPolled >= abandonTimeout:
		e.end(exec, history.ExecutionAbandoned, failed)
	default:
		e.simulation.after(enginePollInterval, func() { e.checkAbandoned(exec) })
	}
}

// end ends an execution. If it ended by itself, the pending polls report that; otherwise the next polls do.
func (e *engine) end(exec *execution, kind string, state executionState) {
	s := e.simulation
	exec.state = state
	first := exec.attempts[0]
	e.record(kind, first)
	s.after(s.random.between(0, maxEndDelay), func() { s.reachCrashPoint(executionEnded, first.process.frontEnd) })
	if kind != history.ExecutionFinished {
		return
	}
	for _, a := range exec.attempts {
		s.after(s.random.between(minPollDelay, enginePollInterval), func() {
			if a.process.isAlive() && a.state != attemptEnded {
				a.process.run(func() { a.reportEnd(exec) })
			}
		})
	}
}
