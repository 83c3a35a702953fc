package simulation

import (
	"chutechute/gateway"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// The longest time that connecting to an engine takes. One connection in slowConnectOneIn is slow.
const (
	maxConnectDuration     = 2 * ms
	maxSlowConnectDuration = 200 * ms
	slowConnectOneIn       = 20
)

// healthCheckLatency is the latency that all health checks report.
const healthCheckLatency = ms

// attemptState is the state of an attempt. An attempt passes the states in order and may skip some.
type attemptState int

const (
	attemptConnecting attemptState = iota
	attemptSent                    // its start was sent, or it was taken over and its engine is not known to have it
	attemptReceived                // the engine has received its start
	attemptEnded                   // its result was passed to the core
)

// attempt is the engine client's state of an attempt.
type attempt struct {
	*gateway.Attempt
	process   *process
	engine    *engine
	createdAt monotime.Micros // true time
	state     attemptState
	canceled  bool // by the core
}

// engineClient is the part of a process that communicates with engines. It implements gateway.EngineClient.
type engineClient struct{ process *process }

// Start connects to the engine and sends it an attempt. If another front end has started the attempt, it polls the
// engine for it instead.
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
	s.after(0, func() { s.reachCrashPoint(attemptAuthorized, p.frontEnd) })
	s.after(s.connectDuration(), func() { p.run(a.sendStart) })
}

// connectDuration draws the time that connecting to an engine takes.
func (s *Simulation) connectDuration() monotime.Micros {
	duration := s.random.between(0, maxConnectDuration)
	if s.random.oneIn(slowConnectOneIn) {
		duration = s.random.between(0, maxSlowConnectDuration)
	}
	return duration
}

// SetPriority does nothing, as simulated engines support no priorities.
func (c engineClient) SetPriority(*gateway.Attempt) {}

// Cancel cancels an attempt. If its start was not sent, it ends at once. Otherwise a cancellation is sent to the
// engine, but not before the engine has received the start.
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

// sendStart sends the start of the attempt to the engine, unless StartBy has passed.
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

// takeOver polls the engine for an attempt that another front end started. If the engine does not know the attempt, its
// start may still be in transit, so the attempt is canceled only after abandonTimeout plus one poll interval.
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

// sendCancellation sends a cancellation to the engine, which ends the execution if it still runs. The attempt ends when
// the engine has responded.
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

// end ends the attempt and passes its result to the core, unless it has ended already.
func (a *attempt) end(result scheduler.Result, rows []byte) {
	if a.state == attemptEnded {
		return
	}
	a.state = attemptEnded
	p := a.process
	delete(p.attempts, a.Attempt)
	p.core.AttemptEnded(p.now(), a.Attempt, result, rows, nil)
	p.simulation.after(0, func() { p.run(p.runTurn) })
}
