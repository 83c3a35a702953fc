package simulation

import (
	"chutechute/gateway"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// How long it takes to connect to an engine, mostly, and how long a slow connection takes.
const (
	maxConnectDuration     = 2 * ms
	maxSlowConnectDuration = 200 * ms
	slowConnectOneIn       = 20
)

// healthCheckLatency is the latency that all health checks report.
const healthCheckLatency = ms

// attemptState is how far an attempt has come.
type attemptState int

const (
	attemptConnecting attemptState = iota
	attemptSent                    // its start was written, or it polls for what another front end started
	attemptReceived                // its engine knows it
	attemptEnded                   // the core knows its result
)

// attempt is an attempt of a request at an engine, as the process sees it.
type attempt struct {
	*gateway.Attempt
	process   *process
	engine    *engine
	createdAt monotime.Micros // true time
	state     attemptState
	canceled  bool // by the core
}

// engineClient is a process's side of the engines. It implements gateway.EngineClient.
type engineClient struct{ process *process }

// Start sends an attempt to its engine once a connection is up, or polls for what another front end started.
func (c engineClient) Start(started *gateway.Attempt) {
	p := c.process
	s := p.simulation
	a := &attempt{Attempt: started, process: p, engine: s.engine(started.Engine), createdAt: s.now}
	p.attempts[started] = a
	if a.AlreadyRunning {
		a.state = attemptSent
		s.after(s.engineRequestDelay(), func() { p.run(a.takeOver) })
		return
	}
	s.after(0, func() { s.reach(attemptAuthorized, p.frontEnd) })
	s.after(s.connectDuration(), func() { p.run(a.sendStart) })
}

// connectDuration draws how long it takes to connect to an engine.
func (s *Simulation) connectDuration() monotime.Micros {
	duration := s.random.between(0, maxConnectDuration)
	if s.random.oneIn(slowConnectOneIn) {
		duration = s.random.between(0, maxSlowConnectDuration)
	}
	return duration
}

// SetPriority does nothing, as these engines support no priorities.
func (c engineClient) SetPriority(*gateway.Attempt) {}

// Cancel ends an attempt early: at once if its start was not written, otherwise by a message to its engine, which
// is not sent before the engine knows the attempt.
func (c engineClient) Cancel(started *gateway.Attempt) {
	a := c.process.attempts[started]
	switch {
	case a == nil || a.canceled:
	case a.state == attemptConnecting:
		a.end(scheduler.NotSent, nil)
	default:
		a.canceled = true
		if a.state == attemptReceived {
			a.sendCancellation()
		}
	}
}

// HealthCheck succeeds at once.
func (c engineClient) HealthCheck(engine string) {
	c.process.core.HealthCheckEnded(engine, scheduler.Succeeded, healthCheckLatency, nil)
}

// sendStart writes the start, unless it is too late for that.
func (a *attempt) sendStart() {
	if a.state == attemptEnded {
		return
	}
	s := a.process.simulation
	if !s.options.Mutation.IgnoreStartBy && a.StartBy != 0 && a.process.now() >= a.StartBy {
		a.end(scheduler.NotSent, nil)
		return
	}
	a.state = attemptSent
	s.after(s.engineRequestDelay(), func() { a.engine.receiveStart(a) })
}

// takeOver polls the engine for what another front end started. An engine that does not know it may not have received
// the start yet; only after a while it is certain that it never will.
func (a *attempt) takeOver() {
	s := a.process.simulation
	if a.state == attemptEnded {
		return
	}
	if exec := a.engine.executions[a.ID]; exec != nil {
		a.state = attemptReceived
		exec.attempts = append(exec.attempts, a)
		a.engine.poll(exec, a)
		if a.canceled {
			a.sendCancellation()
		}
		return
	}
	if s.now-a.createdAt >= abandonTimeout+enginePollInterval || s.options.Mutation.TakeOverWithoutWaiting {
		a.canceled = true
		a.sendCancellation()
		return
	}
	s.after(enginePollInterval, func() { a.process.run(a.takeOver) })
}

// sendCancellation cancels the attempt's execution, if there is one, and ends the attempt when the engine has
// responded.
func (a *attempt) sendCancellation() {
	s := a.process.simulation
	s.after(s.engineRequestDelay(), func() {
		if exec := a.engine.executions[a.ID]; exec != nil && exec.state == running {
			a.engine.end(exec, history.ExecutionCanceled, failed)
		}
		s.after(s.engineResponseDelay(), func() { a.process.run(a.endCanceled) })
	})
}

// reportEnd ends the attempt with the result of its execution.
func (a *attempt) reportEnd(exec *execution) {
	if exec.state == succeeded {
		a.end(scheduler.Succeeded, []byte(exec.rows))
	} else {
		a.fail()
	}
}

func (a *attempt) fail() { a.end(scheduler.Errored, nil) }

func (a *attempt) endCanceled() { a.end(scheduler.Canceled, nil) }

// end tells the core the result of the attempt, unless it has ended.
func (a *attempt) end(result scheduler.Result, rows []byte) {
	if a.state == attemptEnded {
		return
	}
	a.state = attemptEnded
	p := a.process
	delete(p.attempts, a.Attempt)
	p.core.AttemptEnded(p.now(), a.Attempt, result, rows, nil)
	p.simulation.after(0, func() { p.run(p.runLoop) })
}
