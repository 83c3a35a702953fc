package exercise

import (
	"fmt"

	"chutechute/internal/history"
	"chutechute/internal/monotime"
)

const (
	// abandonTimeout is how long an engine executes what no front end polls for.
	abandonTimeout = 2 * second
	// duplicateWindow is for how long an engine drops further starts of an idempotency key.
	duplicateWindow = 25 * second
	// enginePollInterval is the interval at which a front end polls an engine for an execution.
	enginePollInterval = 250 * ms
	// minPollDelay is how soon, at least, the pending poll reports the end of an execution.
	minPollDelay = 100 // µs
	// maxEndDelay is the longest time from the end of an execution to the crash point after it.
	maxEndDelay = 5 * ms
	// failedExecutionOneIn is the average number of executions for each one that fails.
	failedExecutionOneIn = 12
)

// The delays of messages between front ends and engines.
const (
	minEngineDelay         = 200 // µs
	maxEngineRequestDelay  = 3 * ms
	maxEngineResponseDelay = 2 * ms
)

// engine executes what it is sent until that ends by itself, is canceled, or was not polled for a while. It drops
// duplicates of an idempotency key.
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
	failed // by itself, or because it was canceled or abandoned
)

// execution is a request that an engine executes or has executed.
type execution struct {
	attempts   []*attempt // that poll for it; the first one started it
	lastPolled monotime.Micros
	state      executionState
	rows       string
}

// engineRequestDelay draws how long a message takes to an engine.
func (s *Simulation) engineRequestDelay() monotime.Micros {
	return s.random.between(minEngineDelay, maxEngineRequestDelay)
}

// engineResponseDelay draws how long a message from an engine takes.
func (s *Simulation) engineResponseDelay() monotime.Micros {
	return s.random.between(minEngineDelay, maxEngineResponseDelay)
}

// isDuplicate reports whether an idempotency key was executed a short while ago, on any engine.
func (s *Simulation) isDuplicate(idempotencyKey string) bool {
	last, known := s.lastExecuted[idempotencyKey]
	return known && s.now-last < duplicateWindow && !s.options.Mutation.NoDuplicateDetection
}

// receiveStart starts the execution of an attempt, unless it is a duplicate. What has become of the process that
// sent it does not matter.
func (e *engine) receiveStart(a *attempt) {
	s := e.simulation
	a.state = attemptReceived
	s.after(s.random.between(0, ms), func() { s.reach(executionStarted, a.process.frontEnd) })
	if s.isDuplicate(a.IdempotencyKey) {
		s.History.Add(history.Event{
			What: history.Repeat, Engine: e.name, Call: a.ID, Once: a.IdempotencyKey,
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

// execute starts an execution and schedules its end. The statement tells how long it runs.
func (e *engine) execute(a *attempt) *execution {
	s := e.simulation
	s.lastExecuted[a.IdempotencyKey] = s.now
	exec := &execution{
		attempts:   []*attempt{a},
		lastPolled: s.now,
		rows:       fmt.Sprintf("%s\t%s\t%s\n", a.ID, a.IdempotencyKey, e.name),
	}
	e.executions[a.ID] = exec
	e.record(history.Began, a)
	var duration monotime.Micros // in milliseconds
	fmt.Sscanf(string(a.Statement), statementFormat, &duration)
	result := succeeded
	if s.random.oneIn(failedExecutionOneIn) {
		result = failed
	}
	s.after(duration*ms, func() {
		if exec.state == running {
			e.end(exec, history.Ended, result)
		}
	})
	return exec
}

// record adds an event of an execution to the history, with what the attempt that started it says.
func (e *engine) record(what string, a *attempt) {
	e.simulation.History.Add(history.Event{
		What: what, Engine: e.name, Call: a.ID, Once: a.IdempotencyKey, Key: a.Key,
	})
}

// poll has an attempt's process poll for an execution now, and again at intervals as long as the process is alive and
// the attempt has not ended. A paused process does not poll, and continues when it resumes.
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

// checkAbandoned ends an execution that no front end has polled for, and checks again at intervals.
func (e *engine) checkAbandoned(exec *execution) {
	switch {
	case exec.state != running:
	case e.simulation.now-exec.lastPolled >= abandonTimeout:
		e.end(exec, history.Unasked, failed)
	default:
		e.simulation.after(enginePollInterval, func() { e.checkAbandoned(exec) })
	}
}

// end ends an execution. Front ends that poll for it learn at once that it has ended by itself.
func (e *engine) end(exec *execution, what string, state executionState) {
	s := e.simulation
	exec.state = state
	first := exec.attempts[0]
	e.record(what, first)
	s.after(s.random.between(0, maxEndDelay), func() { s.reach(executionEnded, first.process.frontEnd) })
	if what != history.Ended {
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
